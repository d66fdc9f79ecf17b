//! Follows the epochs one after another and judges which records this node knows.
//!
//! A turn is the recording system's stay in an epoch. It may lag behind the epoch that the node
//! has adopted until the records of the turn before have come.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    clock::Millis,
    home,
    id::{CallKey, NodeId},
    message::{
        epoch::{Epoch, Member},
        record::{Gap, Message},
    },
    refusal::{Reason, Refusal},
    request::Verdict,
    system::{
        finish,
        placement::RETRY_AFTER_MOVE,
        recording::{
            State,
            handover::{self, Outbox},
        },
    },
    table::record::State as RecordState,
    world::{Tick, World},
};

/// Epochs that a node remembers.
const EPOCHS_KEPT: usize = 16;

/// Records that went lost, and until when they matter.
#[derive(Debug, Clone)]
pub(super) struct Loss {
    epoch: Epoch,
    lost: Vec<NodeId>,
    until: Millis,
}

impl Loss {
    fn covers(&self, hash: u64) -> bool {
        pair(&self.epoch, hash).into_iter().flatten().all(|node| self.lost.contains(&node))
    }

    pub(super) fn to_gap(&self, now: Millis) -> Gap {
        let members = self.epoch.members.clone();
        Gap { members, lost: self.lost.clone(), left: self.until - now }
    }

    fn from_gap(gap: Gap, now: Millis) -> Loss {
        let epoch = Epoch { members: gap.members, ..Epoch::default() };
        Loss { epoch, lost: gap.lost, until: now + gap.left }
    }
}

/// The recording system's stay in an epoch.
#[derive(Debug, Default)]
pub(super) struct Turn {
    pub(super) epoch: Epoch,
    /// The epoch of this node's turn before; zero if it had none.
    pub(super) from: Epoch,
    /// Who has handed over everything.
    handed: BTreeMap<NodeId, Handed>,
    pub(super) losses: Vec<Loss>,
    began: Millis,
    /// Since when others are known to be in a later epoch.
    behind_since: Option<Millis>,
}

/// What a node that has handed over everything said of its knowledge.
#[derive(Debug, Clone)]
pub(super) struct Handed {
    /// The number of its epoch before; zero if it had none.
    pub(super) from: u64,
    /// The epochs in which it knew all earlier runs that it had to know.
    pub(super) settled: Vec<u64>,
    /// Whether it left nothing out that the receiver should have had.
    pub(super) full: bool,
}

/// What a node knows of the runs of a request in earlier epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Coverage {
    /// Everything.
    Known,
    /// Not yet everything.
    Moving,
    /// Something was lost.
    Lost,
}

impl Turn {
    /// Whether a node is a member of the service in this epoch.
    pub(super) fn has(&self, node: NodeId) -> bool {
        has(&self.epoch, node)
    }

    /// The home of a hash.
    pub(super) fn home(&self, hash: u64) -> Option<NodeId> {
        home::home(&self.epoch, None, hash).map(|member| member.node)
    }

    /// The mirror of a hash.
    pub(super) fn mirror(&self, hash: u64) -> Option<NodeId> {
        home::mirror(&self.epoch, None, hash).map(|member| member.node)
    }

    /// Notes that another node is in an epoch.
    pub(super) fn note(&mut self, epoch: u64, now: Millis) {
        if epoch > self.epoch.number {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Takes note that a node has handed over everything.
    pub(super) fn complete(&mut self, from: NodeId, handed: Handed, gaps: Vec<Gap>, now: Millis) {
        let full = handed.full || self.handed.get(&from).is_some_and(|known| known.full);
        self.handed.insert(from, Handed { full, ..handed });
        for gap in gaps {
            let loss = Loss::from_gap(gap, now);
            let same = |known: &&mut Loss| {
                known.lost == loss.lost && known.epoch.members == loss.epoch.members
            };
            match self.losses.iter_mut().find(same) {
                Some(known) => known.until = known.until.max(loss.until),
                None => self.losses.push(loss),
            }
        }
    }
}

impl State {
    /// What a node's handover, or this node's own knowledge, says of the runs in an epoch that
    /// the node had to know of.
    fn knowledge(&self, own: NodeId, node: NodeId, epoch: u64) -> Knowledge {
        let settled = if node == own {
            self.settled.contains(&epoch)
        } else {
            match self.turn.handed.get(&node) {
                Some(handed) if handed.full || handed.from == self.turn.from.number => {
                    handed.settled.contains(&epoch)
                }
                _ => return Knowledge::None,
            }
        };
        if settled { Knowledge::UpToEpoch } else { Knowledge::OfEpoch }
    }

    /// Whether a node that has handed nothing over will never do so: the fleet has removed it, and
    /// it had time enough.
    fn is_gone(&self, node: NodeId, now: Millis, timeout: Millis) -> bool {
        let removed = self.epochs.last_key_value().is_none_or(|(_, latest)| !has(latest, node));
        let since = self.missing_since.get(&node);
        removed && since.is_some_and(|&since| now >= since + timeout)
    }

    /// Since when the last of some missing nodes has been missing.
    fn lost_since(&self, nodes: &[NodeId]) -> Millis {
        let since = nodes.iter().filter_map(|node| self.missing_since.get(node));
        since.max().copied().unwrap_or_default()
    }

    /// Notes since when the members of earlier epochs have been missing.
    fn note_missing(&mut self, own: NodeId, now: Millis) {
        let absences = absences(self, own);
        let missing: BTreeSet<NodeId> =
            absences.iter().filter_map(|(_, absent)| absent.as_ref()).flatten().copied().collect();
        self.missing_since.retain(|node, _| missing.contains(node));
        for node in missing {
            self.missing_since.entry(node).or_insert(now);
        }
        let unknown = absences.last().is_some_and(|(_, absent)| absent.is_none());
        self.unknown_since = match self.unknown_since {
            _ if !unknown => None,
            None if self.is_in_contact(own) => Some(now),
            since => since,
        };
    }

    /// Whether another member has handed over in this turn, or there is none.
    fn is_in_contact(&self, own: NodeId) -> bool {
        let mut members = self.turn.epoch.members.iter().map(|member| member.node);
        !self.turn.handed.is_empty() || members.all(|node| node == own)
    }
}

/// What a node knows of the runs in an epoch for which it was the home or the mirror.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Knowledge {
    /// Its knowledge has not come.
    None,
    /// All runs in the epoch. There are none if it never was in the epoch.
    OfEpoch,
    /// All runs in the epoch and in those before.
    UpToEpoch,
}

/// The home and the mirror of a hash in an epoch.
pub(super) fn pair(epoch: &Epoch, hash: u64) -> [Option<NodeId>; 2] {
    let home = home::home(epoch, None, hash).map(|member| member.node);
    let mirror = home::mirror(epoch, None, hash).map(|member| member.node);
    [home, mirror]
}

/// Whether a node is the home or the mirror of a hash.
pub(super) fn has_hash(epoch: &Epoch, node: NodeId, hash: u64) -> bool {
    pair(epoch, hash).contains(&Some(node))
}

/// Whether a node is a member of an epoch.
pub(super) fn has(epoch: &Epoch, node: NodeId) -> bool {
    epoch.members.iter().any(|member| member.node == node)
}

/// Whether both the home and the mirror of some hash may be among the nodes.
fn may_lose(epoch: &Epoch, nodes: &[NodeId]) -> bool {
    if nodes.len() < 2 {
        return nodes.len() == epoch.members.len() && !nodes.is_empty();
    }
    let is_lost = |member: &&Member| nodes.contains(&member.node);
    let mut lost = epoch.members.iter().filter(is_lost).map(|member| &member.data_centre);
    let first = lost.next();
    let one_lost = lost.all(|centre| Some(centre) == first);
    let one_in_all = epoch.members.iter().all(|member| Some(&member.data_centre) == first);
    !one_lost || one_in_all
}

/// What this node knows of the runs of a request in earlier epochs.
///
/// Goes back through the epochs until a home or a mirror knew everything. A run needs both, so
/// either of them can tell.
pub(super) fn coverage(world: &World, now: Millis, hash: u64) -> Coverage {
    let own = world.identity.node();
    let timeout = world.options.recording.handover_timeout;
    let state = &world.systems.recording;
    let retention = world.tables.configuration.fleet.record_retention;
    let lost_since = |since| if now < since + retention { Coverage::Lost } else { Coverage::Known };
    if state.turn.losses.iter().any(|loss| now < loss.until && loss.covers(hash)) {
        return Coverage::Lost;
    }
    for number in (1..state.turn.epoch.number).rev() {
        let Some(epoch) = state.epochs.get(&number) else {
            let given_up = state.unknown_since.filter(|&since| now >= since + timeout);
            return given_up.map_or(Coverage::Moving, lost_since);
        };
        let pair: Vec<NodeId> = pair(epoch, hash).into_iter().flatten().collect();
        let best = pair.iter().map(|&node| state.knowledge(own, node, number)).max();
        match best {
            Some(Knowledge::None) if pair.iter().all(|&node| state.is_gone(node, now, timeout)) => {
                return lost_since(state.lost_since(&pair));
            }
            Some(Knowledge::None) => return Coverage::Moving,
            Some(Knowledge::UpToEpoch) => return Coverage::Known,
            Some(Knowledge::OfEpoch) | None => {}
        }
    }
    Coverage::Known
}

/// The epochs back to one in which a home or a mirror of each hash knew everything, and their members whose
/// knowledge has not come. The last is `None` if the node does not know the members.
fn absences(state: &State, own: NodeId) -> Vec<(u64, Option<Vec<NodeId>>)> {
    let mut absences = Vec::new();
    for number in (1..state.turn.epoch.number).rev() {
        let Some(epoch) = state.epochs.get(&number) else {
            absences.push((number, None));
            return absences;
        };
        let nodes = epoch.members.iter().map(|member| member.node);
        let knowledge: Vec<(NodeId, Knowledge)> =
            nodes.map(|node| (node, state.knowledge(own, node, number))).collect();
        let below = |limit| {
            let nodes = knowledge.iter().filter(move |(_, knowledge)| *knowledge < limit);
            nodes.map(|(node, _)| *node).collect::<Vec<NodeId>>()
        };
        absences.push((number, Some(below(Knowledge::OfEpoch))));
        if !knowledge.is_empty() && !may_lose(epoch, &below(Knowledge::UpToEpoch)) {
            break;
        }
    }
    absences
}

/// Whether this node knows all that it has to know in its epoch, or knows it to be lost.
fn is_settled(state: &State, own: NodeId, now: Millis, timeout: Millis) -> bool {
    let lacks = |(number, absent): &(u64, Option<Vec<NodeId>>)| match absent {
        Some(absent) => {
            let gone = absent.iter().all(|&node| state.is_gone(node, now, timeout));
            !gone && may_lose(&state.epochs[number], absent)
        }
        None => state.unknown_since.is_none_or(|since| now < since + timeout),
    };
    !state.turn.has(own) || !absences(state, own).iter().any(lacks)
}

/// What went lost as this node's epoch began.
fn new_losses(state: &State, own: NodeId, retention: Millis) -> Vec<Loss> {
    if !state.turn.has(own) {
        return Vec::new();
    }
    let lost = absences(state, own).into_iter().filter_map(|(number, absent)| match absent {
        Some(lost) => {
            let epoch = state.epochs.get(&number).filter(|epoch| may_lose(epoch, &lost))?;
            let until = state.lost_since(&lost) + retention;
            Some(Loss { epoch: epoch.clone(), lost, until })
        }
        None => {
            let until = state.unknown_since? + retention;
            Some(Loss { epoch: Epoch::default(), lost: Vec::new(), until })
        }
    });
    lost.collect()
}

/// Learns of epochs, and begins the next turn once the present one is settled.
pub(super) fn run(world: &mut World, tick: &mut Tick) {
    learn(world);
    let own = world.identity.node();
    world.systems.recording.note_missing(own, tick.now);
    loop {
        let Some(next) = next(world, tick) else { return };
        begin(world, tick, next);
    }
}

fn learn(world: &mut World) {
    let service = world.identity.service();
    let epochs = &mut world.systems.recording.epochs;
    for epoch in [&world.tables.epoch.previous, &world.tables.epoch.current] {
        if epoch.number == 0 || epochs.contains_key(&epoch.number) {
            continue;
        }
        let of_service = epoch.members.iter().filter(|member| member.service == *service);
        let members = of_service.cloned().collect();
        epochs.insert(epoch.number, Epoch { members, ..*epoch });
    }
    while epochs.len() > EPOCHS_KEPT {
        epochs.pop_first();
    }
}

/// A turn to begin.
struct Next {
    epoch: Epoch,
    /// Whether the present turn is settled.
    settled: bool,
}

fn next(world: &mut World, tick: &mut Tick) -> Option<Next> {
    let own = world.identity.node();
    let options = &world.options.recording;
    let state = &world.systems.recording;
    let turn = &state.turn;
    let after = turn.epoch.number + 1;
    let Some((_, following)) = state.epochs.range(after..).next() else {
        want_earlier(world, tick);
        return None;
    };
    if turn.epoch.number == 0 {
        let (_, latest) = state.epochs.last_key_value()?;
        return Some(Next { epoch: latest.clone(), settled: true });
    }
    let handed_over = state.outboxes.iter().all(Outbox::is_done)
        || tick.now >= turn.began + options.catch_up_after;
    if handed_over && is_settled(state, own, tick.now, options.handover_timeout) {
        return Some(Next { epoch: following.clone(), settled: true });
    }
    if turn.behind_since.is_some_and(|since| tick.now >= since + options.catch_up_after) {
        return Some(Next { epoch: following.clone(), settled: false });
    }
    tick.wake(tick.now + options.resend_period);
    want_earlier(world, tick);
    None
}

/// Asks for the members of the latest earlier epoch that this node has to know of.
fn want_earlier(world: &mut World, tick: &mut Tick) {
    let own = world.identity.node();
    let state = &world.systems.recording;
    if !state.turn.has(own)
        || tick.now >= state.turn.began + world.options.recording.handover_timeout
    {
        return;
    }
    if let Some((number, None)) = absences(state, own).pop() {
        want_members(world, tick, number);
        tick.wake(tick.now + world.options.recording.resend_period);
    }
}

fn want_members(world: &mut World, tick: &mut Tick, epoch: u64) {
    if tick.now < world.systems.recording.next_want {
        return;
    }
    world.systems.recording.next_want = tick.now + world.options.recording.resend_period;
    let own = world.identity.node();
    let members = world.tables.epoch.current.members.iter();
    let others: Vec<NodeId> = members
        .filter(|member| member.node != own && member.service == *world.identity.service())
        .map(|member| member.node)
        .collect();
    for node in others {
        world.send_to(tick, node, Message::WantMembers { epoch });
    }
}

/// Replies to a node that did not see an epoch.
pub(super) fn tell_members(world: &mut World, tick: &mut Tick, from: NodeId, epoch: u64) {
    let Some(known) = world.systems.recording.epochs.get(&epoch) else { return };
    let members = known.members.clone();
    world.send_to(tick, from, Message::Members { epoch, members });
}

/// Learns who the members of an earlier epoch were.
pub(super) fn learn_members(world: &mut World, epoch: u64, members: Vec<Member>) {
    let epochs = &mut world.systems.recording.epochs;
    let learnt = Epoch { number: epoch, members, ..Epoch::default() };
    epochs.entry(epoch).or_insert(learnt);
}

fn begin(world: &mut World, tick: &mut Tick, next: Next) {
    let own = world.identity.node();
    let retention = world.tables.configuration.fleet.record_retention;
    let state = &mut world.systems.recording;
    let mut losses: Vec<Loss> = Vec::new();
    if next.settled && state.turn.has(own) {
        losses.extend(new_losses(state, own, retention));
        state.settled.insert(state.turn.epoch.number);
        while state.settled.len() > EPOCHS_KEPT {
            state.settled.pop_first();
        }
    }
    let last = std::mem::take(&mut state.turn);
    losses.extend(last.losses.into_iter().filter(|loss| tick.now < loss.until));
    let (epoch, from) = (next.epoch, last.epoch);
    state.turn = Turn { epoch, from, losses, began: tick.now, ..Turn::default() };
    state.note_missing(own, tick.now);
    withdraw_moved(world, tick);
    handover::begin(world, tick);
}

/// Refuses calls that wait here and whose home is elsewhere now. None of them has run.
fn withdraw_moved(world: &mut World, tick: &mut Tick) {
    let own = world.identity.node();
    let turn = &world.systems.recording.turn;
    let records = world.tables.records.iter();
    let moved: Vec<CallKey> = records
        .filter(|(_, record)| record.state == RecordState::Reserved)
        .filter(|(_, record)| turn.home(record.name.hash()) != Some(own))
        .filter_map(|(_, record)| record.call)
        .collect();
    for call in moved {
        let refusal = Refusal::not_run(Reason::HomeMoving).after(RETRY_AFTER_MOVE);
        finish::run(world, tick, call, Verdict::Refuse(refusal));
    }
}
