//! Refuses poison requests, which crash targets.
//!
//! A request that was running when a target crashed becomes a suspect on every node of the fleet.
//! Once one more crash would quarantine it, it runs only as a trial: no other suspect that needs a
//! trial runs beside it on this target. If the target crashes in the trial, the request is refused
//! from then on. A request that runs to its end is no longer a suspect.

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

/// A broken run may have caused the loss of the target if there was at most this time between the
/// two.
const CRASH_WINDOW: Millis = Millis(2_000);
/// The time between two checks of a call that waits for a trial.
const TRIAL_CHECK_INTERVAL: Millis = Millis(20);
/// The time between two transmissions of a message to all peers.
const SEND_INTERVAL: Millis = Millis(400);
/// How many times a message is sent to each peer, in case some are lost.
const TRANSMISSIONS: u32 = 3;
/// The maximum number of crash ids that are kept to count each crash once.
const MAX_COUNTED_CRASHES: usize = 256;

/// A run whose connection broke, or whose response was malformed.
#[derive(Debug, Clone, Copy)]
struct BrokenRun {
    fingerprint: Fingerprint,
    /// Whether the run was a trial.
    is_trial: bool,
    at: Millis,
}

/// A message that is sent to all peers several times.
#[derive(Debug)]
struct Broadcast {
    message: Message,
    /// Transmissions that remain.
    remaining: u32,
    /// The time of the next transmission.
    next: Millis,
}

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Runs that broke within the crash window.
    broken: Vec<BrokenRun>,
    /// When the target was last lost or ejected.
    lost_at: Option<Millis>,
    /// Ids of crashes that have been counted, oldest first.
    counted_crashes: VecDeque<u64>,
    broadcasts: Vec<Broadcast>,
}

/// Records crashes and completed runs, of this node and as reported by peers. Runs before the retry
/// system, which removes the runs that it retries from the inbox.
pub(super) fn observe(world: &mut World, tick: &mut Tick) {
    for (_, message) in std::mem::take(&mut tick.inbox.quarantine) {
        apply(world, tick, message);
    }
    for index in 0..tick.inbox.runs_ended.len() {
        let (ticket, end) = &tick.inbox.runs_ended[index];
        let Some(key) = world.tables.calls.by_ticket(*ticket) else { continue };
        let Some(call) = world.tables.calls.get(key) else { continue };
        let fingerprint = call.fingerprint;
        match end {
            RunEnd::Broken => {
                let is_trial = world.tables.target.trial == Some(key);
                let broken = BrokenRun { fingerprint, is_trial, at: tick.now };
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
    record_crash(world, tick);
    send_broadcasts(world, tick);
}

/// Removes a request that has run to its end from the suspects, here and on all peers, since its
/// run has not crashed the target. A request that is already quarantined stays.
fn clear(world: &mut World, tick: &Tick, fingerprint: Fingerprint) {
    if world.tables.suspects.get(fingerprint, tick.now).is_some() {
        world.tables.suspects.clear(fingerprint, world.options.quarantine.crashes);
        broadcast(world, tick, Message::Cleared(fingerprint));
    }
}

/// Records a crash for the requests whose runs broke around the loss of the target.
fn record_crash(world: &mut World, tick: &mut Tick) {
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
    apply(world, tick, message.clone());
    broadcast(world, tick, message);
}

fn apply(world: &mut World, tick: &mut Tick, message: Message) {
    match message {
        Message::Crashed { crash, requests, tried } => {
            let state = &mut world.systems.quarantine;
            if state.counted_crashes.contains(&crash) {
                return;
            }
            state.counted_crashes.push_back(crash);
            if state.counted_crashes.len() > MAX_COUNTED_CRASHES {
                state.counted_crashes.pop_front();
            }
            for fingerprint in requests {
                count_crash(world, tick, fingerprint, tried == Some(fingerprint));
            }
        }
        Message::Cleared(fingerprint) => {
            world.tables.suspects.clear(fingerprint, world.options.quarantine.crashes);
        }
    }
}

fn count_crash(world: &mut World, tick: &mut Tick, fingerprint: Fingerprint, is_trial: bool) {
    let options = &world.options.quarantine;
    let until = tick.now + options.memory;
    let max = if is_trial { options.crashes } else { options.crashes.saturating_sub(1) };
    let crashes = world.tables.suspects.record_crash(fingerprint, until, max, options.limit);
    if crashes == options.crashes {
        let entry = Entry::new(Level::Warn, "request_quarantined")
            .with("fingerprint", format!("{:016x}", fingerprint.0))
            .with("crashes", crashes);
        tick.log(entry);
    }
}

fn broadcast(world: &mut World, tick: &Tick, message: Message) {
    let broadcast = Broadcast { message, remaining: TRANSMISSIONS, next: tick.now };
    world.systems.quarantine.broadcasts.push(broadcast);
}

/// Sends the messages that are due to all peers.
fn send_broadcasts(world: &mut World, tick: &mut Tick) {
    let mut broadcasts = std::mem::take(&mut world.systems.quarantine.broadcasts);
    for broadcast in &mut broadcasts {
        if tick.now >= broadcast.next {
            broadcast.remaining -= 1;
            broadcast.next = tick.now + SEND_INTERVAL;
            let peers: Vec<PeerKey> = world.tables.peers.iter().map(|(key, _)| key).collect();
            for peer in peers {
                world.send(tick, peer, broadcast.message.clone());
            }
        }
        tick.wake(broadcast.next);
    }
    broadcasts.retain(|broadcast| broadcast.remaining > 0);
    world.systems.quarantine.broadcasts = broadcasts;
}

/// Whether a request may run only as a trial. Such a request is not retried on another target.
pub(super) fn needs_trial(world: &World, now: Millis, fingerprint: Fingerprint) -> bool {
    let suspect = world.tables.suspects.get(fingerprint, now);
    suspect.is_some_and(|suspect| suspect.crashes + 1 >= world.options.quarantine.crashes)
}

/// Moves calls to the queue, except those of quarantined requests. Calls that need a trial enter
/// one at a time.
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
            world.tables.calls.requeue(key);
            return tick.wake(tick.now + TRIAL_CHECK_INTERVAL);
        }
        world.tables.target.trial = Some(key);
    }
    world.tables.calls.advance(key, Stage::Queued, tick.now);
}
