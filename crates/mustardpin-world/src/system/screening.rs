//! Keeps requests that crash targets away from them.
//!
//! A request in flight at a crash is a suspect in the whole fleet. Suspects run alone on a target,
//! copies of one request at one node: an innocent one is cleared by that, and a second crash puts
//! the request into quarantine.

use crate::{
    clock::Millis,
    command::{Change, Command},
    home,
    id::{CallKey, PeerKey},
    message::quarantine::{Mark, Message},
    refusal::{Reason, Refusal},
    request::{RunEnd, Verdict},
    system::{finish, placement, routing},
    table::{Tables, call::Stage, peer, suspect::Suspect},
    world::{Tick, World},
};

/// A run that broke within this time of the loss of the target may have caused it.
const CRASH_WINDOW: Millis = Millis(2_000);
/// The time between two looks at calls that wait for a trial.
const LOOK_PERIOD: Millis = Millis(20);
/// The time between two sendings of the same news to all peers.
const PUSH_PERIOD: Millis = Millis(400);
/// How often news is sent, in case it gets lost.
const PUSHES: u32 = 3;

/// A run that broke.
#[derive(Debug, Clone, Copy)]
struct Broken {
    mark: Mark,
    alone: bool,
    at: Millis,
}

/// News on its way to all peers.
#[derive(Debug)]
struct Push {
    message: Message,
    left: u32,
    next: Millis,
}

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    broken: Vec<Broken>,
    lost_at: Option<Millis>,
    pushes: Vec<Push>,
}

/// The mark of a call.
fn mark(tables: &Tables, key: CallKey) -> Option<Mark> {
    let call = tables.calls.get(key)?;
    let route = tables.routes.get(call.route)?;
    Some(Mark(home::hash_of(&[&route.name, &call.fingerprint.0.to_string()])))
}

/// Whether a call was in flight at a crash.
pub(super) fn is_suspect(world: &World, now: Millis, key: CallKey) -> bool {
    mark(&world.tables, key).is_some_and(|mark| world.tables.suspects.get(mark, now).is_some())
}

/// Learns of crashes and of trials that have ended, and from peers. Runs before anything is tried
/// again.
pub(super) fn observe(world: &mut World, tick: &mut Tick) {
    world.tables.suspects.expire(tick.now);
    for (_, message) in std::mem::take(&mut tick.inbox.quarantine) {
        learn(world, tick, message);
    }
    for (key, end) in &tick.inbox.runs_ended {
        let Some(mark) = mark(&world.tables, *key) else { continue };
        let alone = world.tables.target.trial == Some(*key);
        match end {
            RunEnd::Broken => {
                let broken = Broken { mark, alone, at: tick.now };
                world.systems.screening.broken.push(broken);
            }
            RunEnd::Answered { .. } if alone => {
                world.tables.suspects.clear(mark);
                push(world, tick, Message::Cleared(mark));
            }
            _ => {}
        }
    }
    if tick.inbox.target_lost {
        world.systems.screening.lost_at = Some(tick.now);
    }
    accuse(world, tick);
    spread(world, tick);
}

/// Turns runs that broke around the loss of the target into suspects.
fn accuse(world: &mut World, tick: &mut Tick) {
    let state = &mut world.systems.screening;
    state.broken.retain(|broken| tick.now < broken.at + CRASH_WINDOW);
    state.lost_at = state.lost_at.filter(|&lost| tick.now < lost + CRASH_WINDOW);
    if state.lost_at.is_none() || state.broken.is_empty() {
        return;
    }
    let broken = std::mem::take(&mut state.broken);
    if let [Broken { mark, alone: true, .. }] = broken[..] {
        let left = world.options.screening.quarantine;
        quarantine(world, tick, mark, left);
        return push(world, tick, Message::Quarantined { mark, left });
    }
    let marks: Vec<Mark> = broken.iter().map(|broken| broken.mark).collect();
    suspect(world, tick, &marks);
    push(world, tick, Message::Suspected(marks));
}

fn suspect(world: &mut World, tick: &Tick, marks: &[Mark]) {
    let options = &world.options.screening;
    let suspect = Suspect { quarantined: false, until: tick.now + options.suspicion };
    for &mark in marks {
        world.tables.suspects.insert(mark, suspect, options.limit);
    }
}

fn quarantine(world: &mut World, tick: &mut Tick, mark: Mark, left: Millis) {
    let limit = world.options.screening.limit;
    let known = world.tables.suspects.get(mark, tick.now).is_some_and(|known| known.quarantined);
    let suspect = Suspect { quarantined: true, until: tick.now + left };
    world.tables.suspects.insert(mark, suspect, limit);
    if !known {
        tick.commands.push(Command::Log(Change::Quarantined(mark.0)));
    }
}

fn learn(world: &mut World, tick: &mut Tick, message: Message) {
    match message {
        Message::Suspected(marks) => suspect(world, tick, &marks),
        Message::Cleared(mark) => world.tables.suspects.clear(mark),
        Message::Quarantined { mark, left } => quarantine(world, tick, mark, left),
    }
}

fn push(world: &mut World, tick: &Tick, message: Message) {
    let push = Push { message, left: PUSHES, next: tick.now };
    world.systems.screening.pushes.push(push);
}

/// Sends news to all peers, a few times over.
fn spread(world: &mut World, tick: &mut Tick) {
    let mut pushes = std::mem::take(&mut world.systems.screening.pushes);
    for push in &mut pushes {
        if tick.now >= push.next {
            push.left -= 1;
            push.next = tick.now + PUSH_PERIOD;
            let peers: Vec<PeerKey> = world.tables.peers.iter().map(|(key, _)| key).collect();
            for peer in peers {
                world.send(tick, peer, push.message.clone());
            }
        }
        tick.wake(push.next);
    }
    pushes.retain(|push| push.left > 0);
    world.systems.screening.pushes = pushes;
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    if world.tables.target.trial.is_some_and(|trial| world.tables.calls.get(trial).is_none()) {
        world.tables.target.trial = None;
    }
    for key in world.tables.calls.take(Stage::Screening) {
        screen(world, tick, key);
    }
}

fn screen(world: &mut World, tick: &mut Tick, key: CallKey) {
    let Some(mark) = mark(&world.tables, key) else { return };
    let Some(suspect) = world.tables.suspects.get(mark, tick.now) else {
        return world.tables.calls.advance(key, Stage::Recording, tick.now);
    };
    let Some(call) = world.tables.calls.get_mut(key) else { return };
    if suspect.quarantined {
        let refusal = Refusal::not_run(Reason::Quarantined).after(suspect.until - tick.now);
        return finish::run(world, tick, key, Verdict::Refuse(refusal));
    }
    if call.deadline <= tick.now {
        let refusal = Refusal::not_run(Reason::DeadlineBeforeRun);
        return finish::run(world, tick, key, Verdict::Refuse(refusal));
    }
    if let Some(peer) = elsewhere(world, key, mark) {
        return routing::forward(world, tick, key, peer);
    }
    if world.tables.target.trial.is_some() {
        world.tables.calls.keep(key);
        return tick.wake(tick.now + LOOK_PERIOD);
    }
    world.tables.target.trial = Some(key);
    if let Some(call) = world.tables.calls.get_mut(key) {
        call.isolated = true;
    }
    world.tables.calls.advance(key, Stage::Recording, tick.now);
}

/// The peer at which copies of a suspect are tried; `None` if that is this node. A non-repeatable
/// suspect is tried at the home of its record.
fn elsewhere(world: &World, key: CallKey, mark: Mark) -> Option<PeerKey> {
    let tables = &world.tables;
    let call = tables.calls.get(key)?;
    if placement::name(tables, key).is_some() || call.hops >= world.options.routing.max_hops {
        return None;
    }
    let epoch = &tables.epoch.current;
    let home = home::home(epoch, Some(world.identity.service()), mark.0)?;
    let peer = tables.peers.by_node(home.node).filter(|peer| !call.tried.contains(peer))?;
    let alive = tables.peers.get(peer).is_some_and(|peer| peer.state == peer::State::Alive);
    alive.then_some(peer)
}
