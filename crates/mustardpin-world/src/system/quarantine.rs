//! Keeps requests that crash targets away from them.
//!
//! A request that was running as a target crashed is remembered in the whole fleet. Before the
//! crash that would be one too many, it is tried alone: no other request like it runs beside it.
//! If the target crashes again, the request is refused from then on. A request that runs to its
//! end is innocent.

use std::collections::VecDeque;

use rand::RngExt as _;

use crate::{
    clock::Millis,
    id::{CallKey, PeerKey},
    log::{Entry, Level},
    message::quarantine::Message,
    refusal::{Reason, Refusal},
    request::{Fingerprint, RunEnd, Verdict},
    system::{TargetChange, finish},
    table::call::Stage,
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
/// Crashes that are remembered, so that each is counted once.
const MAX_CRASHES: usize = 256;

/// A run that broke.
#[derive(Debug, Clone, Copy)]
struct Broken {
    fingerprint: Fingerprint,
    /// Whether it was tried alone.
    is_trial: bool,
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
    /// Runs that broke.
    broken: Vec<Broken>,
    lost_at: Option<Millis>,
    /// Crashes that have been counted.
    counted: VecDeque<u64>,
    pushes: Vec<Push>,
}

/// Learns of crashes and of runs that have ended, and from peers. Runs before anything is tried
/// again.
pub(super) fn observe(world: &mut World, tick: &mut Tick) {
    for (_, message) in std::mem::take(&mut tick.inbox.quarantine) {
        learn(world, tick, message);
    }
    for index in 0..tick.inbox.runs_ended.len() {
        let (ticket, end) = &tick.inbox.runs_ended[index];
        let Some(key) = world.tables.calls.by_ticket(*ticket) else { continue };
        let Some(call) = world.tables.calls.get(key) else { continue };
        let fingerprint = call.fingerprint;
        match end {
            RunEnd::Broken => {
                let is_trial = world.tables.target.trial == Some(key);
                let broken = Broken { fingerprint, is_trial, at: tick.now };
                world.systems.quarantine.broken.push(broken);
            }
            RunEnd::Answered { .. } => clear(world, tick, fingerprint),
            _ => {}
        }
    }
    let is_lost = |change: &TargetChange| matches!(change, TargetChange::Lost);
    if tick.inbox.target.iter().any(is_lost) || world.tables.target.health.is_ejected() {
        world.systems.quarantine.lost_at = Some(tick.now);
    }
    accuse(world, tick);
    spread(world, tick);
}

/// A request that has run to its end crashes no targets.
fn clear(world: &mut World, tick: &Tick, fingerprint: Fingerprint) {
    if world.tables.suspects.get(fingerprint, tick.now).is_some() {
        world.tables.suspects.clear(fingerprint, world.options.quarantine.crashes);
        push(world, tick, Message::Cleared(fingerprint));
    }
}

/// Counts runs that broke around the loss of the target against their requests.
fn accuse(world: &mut World, tick: &mut Tick) {
    let state = &mut world.systems.quarantine;
    state.broken.retain(|broken| tick.now < broken.at + CRASH_WINDOW);
    state.lost_at = state.lost_at.filter(|&lost| tick.now < lost + CRASH_WINDOW);
    if state.lost_at.is_none() || state.broken.is_empty() {
        return;
    }
    let broken = std::mem::take(&mut state.broken);
    let tried = broken.iter().find(|broken| broken.is_trial).map(|broken| broken.fingerprint);
    let requests = broken.iter().map(|broken| broken.fingerprint).collect();
    let message = Message::Crashed { crash: world.rng.random(), requests, tried };
    learn(world, tick, message.clone());
    push(world, tick, message);
}

fn learn(world: &mut World, tick: &mut Tick, message: Message) {
    match message {
        Message::Crashed { crash, requests, tried } => {
            let state = &mut world.systems.quarantine;
            if state.counted.contains(&crash) {
                return;
            }
            state.counted.push_back(crash);
            if state.counted.len() > MAX_CRASHES {
                state.counted.pop_front();
            }
            for fingerprint in requests {
                count(world, tick, fingerprint, tried == Some(fingerprint));
            }
        }
        Message::Cleared(fingerprint) => {
            world.tables.suspects.clear(fingerprint, world.options.quarantine.crashes);
        }
    }
}

fn count(world: &mut World, tick: &mut Tick, fingerprint: Fingerprint, is_trial: bool) {
    let options = &world.options.quarantine;
    let until = tick.now + options.memory;
    let most = if is_trial { options.crashes } else { options.crashes.saturating_sub(1) };
    let crashes = world.tables.suspects.record_crash(fingerprint, until, most, options.limit);
    if crashes == options.crashes {
        let entry = Entry::new(Level::Warn, "request_quarantined")
            .with("fingerprint", format!("{:016x}", fingerprint.0))
            .with("crashes", crashes);
        tick.log(entry);
    }
}

fn push(world: &mut World, tick: &Tick, message: Message) {
    let push = Push { message, left: PUSHES, next: tick.now };
    world.systems.quarantine.pushes.push(push);
}

/// Sends news to all peers, a few times over.
fn spread(world: &mut World, tick: &mut Tick) {
    let mut pushes = std::mem::take(&mut world.systems.quarantine.pushes);
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
    world.systems.quarantine.pushes = pushes;
}

/// Whether a request would have to be tried alone, so that it is not repeated on another target.
pub(super) fn needs_trial(world: &World, now: Millis, fingerprint: Fingerprint) -> bool {
    let suspect = world.tables.suspects.get(fingerprint, now);
    suspect.is_some_and(|suspect| suspect.crashes + 1 >= world.options.quarantine.crashes)
}

/// Lets calls into the queue, except those that have crashed several targets. Of those that may
/// have, it lets in one at a time.
pub(super) fn run(world: &mut World, tick: &mut Tick) {
    world.tables.suspects.expire(tick.now);
    if world.tables.target.trial.is_some_and(|trial| world.tables.calls.get(trial).is_none()) {
        world.tables.target.trial = None;
    }
    for key in world.tables.calls.take(Stage::Screening) {
        screen(world, tick, key);
    }
}

fn screen(world: &mut World, tick: &mut Tick, key: CallKey) {
    let Some(call) = world.tables.calls.get(key) else { return };
    let (fingerprint, deadline) = (call.fingerprint, call.deadline);
    let suspect = world.tables.suspects.get(fingerprint, tick.now);
    let crashes = world.options.quarantine.crashes;
    if let Some(suspect) = suspect.filter(|suspect| suspect.crashes >= crashes) {
        let refusal = Refusal::not_run(Reason::Quarantined).after(suspect.until - tick.now);
        return finish::run(world, tick, key, Verdict::Refuse(refusal));
    }
    if needs_trial(world, tick.now, fingerprint) {
        if deadline <= tick.now {
            let refusal = Refusal::not_run(Reason::DeadlineBeforeRun);
            return finish::run(world, tick, key, Verdict::Refuse(refusal));
        }
        if world.tables.target.trial.is_some_and(|trial| trial != key) {
            world.tables.calls.keep(key);
            return tick.wake(tick.now + LOOK_PERIOD);
        }
        world.tables.target.trial = Some(key);
    }
    world.tables.calls.advance(key, Stage::Queued, tick.now);
}
