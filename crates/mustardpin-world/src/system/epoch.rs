//! Agrees through the platform on the nodes that hold shares and homes, and spreads the result.
//!
//! Any node with news from the platform may propose the next epoch once the nodes it believes
//! alive differ from the members for a while. The platform accepts one proposal for each epoch.

use crate::{
    clock::Millis,
    command::{Change, Command},
    config::CutOffPolicy,
    id::NodeId,
    message::epoch::{Epoch, Member, Message, Step},
    platform::{Announcement, Guard, Operation, Reply, Row, Ticket},
    system::freshness,
    table::{
        epoch::follow,
        peer::{self, Peer},
    },
    world::{Tick, World},
};

/// How many peers a node tells of an epoch it has just adopted.
const FAN_OUT: usize = 4;
/// The shortest time between two requests for the epoch.
const WANT_PERIOD: Millis = Millis(200);
/// A node waits this long from its first contact with the platform before it proposes a first
/// epoch, so that others can be in it.
const FIRST_WAIT: Millis = Millis(1_000);
/// A node that has written to the platform within this time is not removed.
const SIGN_OF_LIFE: Millis = Millis::from_secs(10);

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    next_want: Millis,
    platform_since: Option<Millis>,
    due: Option<Millis>,
    next_look: Millis,
    proposal: Option<(Ticket, Epoch)>,
}

/// The time between two comparisons of members and peers.
const LOOK_PERIOD: Millis = Millis(250);

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let before = world.tables.epoch.current.number;
    read_platform(world, tick);
    for (from, message) in std::mem::take(&mut tick.inbox.epoch) {
        match message {
            Message::Want { number } => answer(world, tick, from, number),
            Message::Have(epoch) => adopt(world, tick, epoch),
            Message::Steps(steps) => walk(world, tick, from, steps),
        }
    }
    spread(world, tick, before);
    if tick.now >= world.systems.epoch.next_look {
        world.systems.epoch.next_look = tick.now + LOOK_PERIOD;
        consider(world, tick);
    }
    tick.wake(world.systems.epoch.next_look);
}

/// Asks a peer for the epoch, if the peer's is later.
pub(super) fn notice(world: &mut World, tick: &mut Tick, from: NodeId, number: u64) {
    let own = world.tables.epoch.current.number;
    if number <= own || tick.now < world.systems.epoch.next_want {
        return;
    }
    world.systems.epoch.next_want = tick.now + WANT_PERIOD;
    world.send_to(tick, from, Message::Want { number: own });
}

/// Whether the node is in contact with at least half of the members of its own data centre.
pub(super) fn has_own_majority(world: &World) -> bool {
    let own = world.identity.data_centre();
    let members = world.tables.epoch.current.members.iter();
    let others =
        members.filter(|member| member.data_centre == *own && member.node != world.identity.node());
    let (mut all, mut alive) = (1, 1);
    for member in others {
        all += 1;
        let peer = world.tables.peers.by_node(member.node);
        let peer = peer.and_then(|peer| world.tables.peers.get(peer));
        if peer.is_some_and(|peer| peer.state != peer::State::Dead) {
            alive += 1;
        }
    }
    alive * 2 >= all
}

fn read_platform(world: &mut World, tick: &mut Tick) {
    for (ticket, reply) in std::mem::take(&mut tick.inbox.platform) {
        match &reply {
            Reply::Changes { rows, .. } => {
                world.systems.epoch.platform_since.get_or_insert(tick.now);
                let epochs = rows.iter().filter_map(|versioned| match &versioned.row {
                    Row::Epoch(epoch) => Some(epoch.clone()),
                    _ => None,
                });
                epochs.for_each(|epoch| adopt(world, tick, epoch));
            }
            _ => proposed(world, tick, ticket, &reply),
        }
        tick.inbox.platform.push((ticket, reply));
    }
}

/// Reads the platform's answer to the own proposal.
fn proposed(world: &mut World, tick: &mut Tick, ticket: Ticket, reply: &Reply) {
    let Some((_, mut epoch)) = world.systems.epoch.proposal.take_if(|(asked, _)| *asked == ticket)
    else {
        return;
    };
    match reply {
        Reply::Accepted { revision } => {
            epoch.revision = *revision;
            adopt(world, tick, epoch);
        }
        _ => {
            freshness::poll(world, tick);
        }
    }
}

fn answer(world: &mut World, tick: &mut Tick, from: NodeId, number: u64) {
    let standing = &world.tables.epoch;
    if standing.current.number <= number {
        return;
    }
    let message = match standing.steps_after(number) {
        Some(steps) => Message::Steps(steps),
        None => Message::Have(standing.current.clone()),
    };
    world.send_to(tick, from, message);
}

fn walk(world: &mut World, tick: &mut Tick, from: NodeId, steps: Vec<Step>) {
    for step in steps {
        let own = &world.tables.epoch.current;
        if step.number <= own.number {
            continue;
        }
        match follow(own, step.clone()) {
            Some(epoch) => adopt(world, tick, epoch),
            None => return notice(world, tick, from, step.number),
        }
    }
}

fn adopt(world: &mut World, tick: &mut Tick, epoch: Epoch) {
    let (number, members) = (epoch.number, epoch.members.len());
    if !world.tables.epoch.adopt(epoch, tick.now) {
        return;
    }
    world.systems.epoch.due = None;
    world.systems.epoch.next_look = tick.now;
    tick.commands.push(Command::Log(Change::Epoch { number, members }));
}

/// Tells a few peers of an epoch that was adopted in this tick.
fn spread(world: &mut World, tick: &mut Tick, before: u64) {
    let number = world.tables.epoch.current.number;
    if number == before {
        return;
    }
    for peer in world.sample(FAN_OUT, |peer| peer.state == peer::State::Alive) {
        let Some(steps) = world.tables.epoch.steps_after(number - 1) else { return };
        world.send(tick, peer, Message::Steps(steps));
    }
}

/// Proposes the next epoch once members and living nodes have differed for long enough.
fn consider(world: &mut World, tick: &mut Tick) {
    let current = &world.tables.epoch.current;
    let options = &world.options.epoch;
    let platform_age = world.tables.freshness.platform_age(tick.now);
    let Some(since) = world.systems.epoch.platform_since else { return };
    if platform_age >= world.options.freshness.window || world.systems.epoch.proposal.is_some() {
        world.systems.epoch.due = None;
        return;
    }
    let members = living(world, tick.now);
    if members == current.members {
        world.systems.epoch.due = None;
        return;
    }
    let size = members.len().max(current.members.len()) as u64;
    let spread = Millis(options.spread_per_member.0 * size);
    let interval = options.interval + Millis(options.interval_per_member.0 * size);
    let (patience, adopted) = (options.patience, world.tables.epoch.adopted);
    let Some(due) = world.systems.epoch.due else {
        let earliest = match adopted {
            Some(adopted) => (tick.now + patience).max(adopted + interval),
            None => (tick.now + patience).max(since + FIRST_WAIT),
        };
        world.systems.epoch.due = Some(earliest + world.jitter(spread));
        return;
    };
    if tick.now >= due {
        propose(world, tick, members);
    }
}

fn propose(world: &mut World, tick: &mut Tick, members: Vec<Member>) {
    let current = &world.tables.epoch.current;
    let guards = vec![(Guard::Epoch, current.revision)];
    let number = current.number + 1;
    let epoch = Epoch { number, revision: Default::default(), members };
    let removed = current.members.iter().filter(|member| !epoch.contains(member.node));
    let mut rows: Vec<Row> = removed.map(|member| Row::Node(member.node, None)).collect();
    rows.push(Row::Epoch(epoch.clone()));
    let ticket = world.ask_platform(tick, Operation::Transact { guards, rows });
    world.systems.epoch.proposal = Some((ticket, epoch));
    world.systems.epoch.due = None;
}

/// The members that the next epoch should have.
fn living(world: &World, now: Millis) -> Vec<Member> {
    let current = &world.tables.epoch.current;
    let mut members: Vec<Member> =
        current.members.iter().filter(|member| stays(world, now, member)).cloned().collect();
    let new_peers = world
        .tables
        .peers
        .iter()
        .map(|(_, peer)| peer)
        .filter(|peer| peer.state == peer::State::Alive)
        .map(|peer| &peer.announcement);
    let own = Some(&world.identity.announcement).filter(|_| !world.tables.leaving);
    for announcement in new_peers.chain(own) {
        if !current.contains(announcement.node) {
            members.push(member(announcement));
        }
    }
    members.sort_by_key(|member| member.node);
    members
}

fn member(announcement: &Announcement) -> Member {
    Member {
        node: announcement.node,
        data_centre: announcement.data_centre.clone(),
        service: announcement.service.clone(),
    }
}

fn stays(world: &World, now: Millis, member: &Member) -> bool {
    if member.node == world.identity.node() {
        return !world.tables.leaving;
    }
    let peer = world.tables.peers.by_node(member.node);
    match peer.and_then(|peer| world.tables.peers.get(peer)) {
        Some(Peer { state: peer::State::Alive | peer::State::Suspect, .. }) => true,
        Some(Peer { state: peer::State::Leaving, .. }) => false,
        Some(Peer { state: peer::State::Dead, row_seen, since, .. }) => {
            let shows_life = row_seen.is_some_and(|seen| now - seen < SIGN_OF_LIFE);
            shows_life || !may_remove(world, now, member, *since)
        }
        None => {
            let adopted = world.tables.epoch.adopted.unwrap_or(now);
            !may_remove(world, now, member, adopted + SIGN_OF_LIFE)
        }
    }
}

/// Whether this node is in a position to say that a member is gone that it has believed dead since
/// a point.
fn may_remove(world: &World, now: Millis, member: &Member, since: Millis) -> bool {
    let window = world.options.freshness.window;
    if !has_own_majority(world) {
        return false;
    }
    let data_centres = &world.tables.data_centres;
    let name = &member.data_centre;
    let own = world.identity.data_centre();
    let key = data_centres.by_name(name).and_then(|key| data_centres.get(key));
    // Others in its data centre have been heard since: it alone is gone, not the way there.
    if key.and_then(|row| row.as_of).is_some_and(|as_of| as_of > since) {
        return true;
    }
    if name == own {
        return data_centres.silence(name, now) > SIGN_OF_LIFE;
    }
    // The whole data centre is out of reach: it may be alive, and a policy may let it go on.
    let grace = match world.tables.configuration.fleet.cut_off {
        CutOffPolicy::Refuse => Millis::ZERO,
        CutOffPolicy::Serve(grace) => grace,
    };
    let grace = grace.max(world.tables.exceptions.longest_grace().unwrap_or_default());
    data_centres.silence(name, now) > SIGN_OF_LIFE.max(grace + window + window)
}
