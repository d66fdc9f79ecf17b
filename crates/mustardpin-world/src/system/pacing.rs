//! Keeps the target's requests within the rate limit that its responses state.
//!
//! All requests to a target pass through the node beside it, so one token bucket there limits the
//! requests of all nodes together. The limit ends with the first response to a later request that
//! does not state it. Peers remember the limit and remind this node of it after a restart.

use compact_str::{CompactString, ToCompactString as _};

use crate::{
    clock::Millis,
    id::{NodeId, PeerKey},
    log::{Entry, Level},
    message::target::Message,
    notice::{Rate, RateLimit},
    request::{RunEnd, SERVER_ERROR, TargetRate},
    system::{departure, target},
    table::{
        pace::{Pace, Source},
        statement::Statement,
    },
    world::{Tick, World},
};

/// The maximum number of statements that are kept until the target's first report shows which of
/// them are about its process.
const MAX_REMINDERS: usize = 16;
/// While the rate allows fewer runs at once than this, the target seems full to peers even when it is
/// idle.
const MIN_USABLE_LIMIT: u32 = 2;

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Statements of peers about processes that are not known as the target's.
    reminders: Vec<(NodeId, Statement)>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (from, message) in std::mem::take(&mut tick.inbox.target_messages) {
        let Message { target, leaving, rate, age } = message;
        if leaving {
            departure::record(world, tick, target);
        }
        let statement = Statement { target, leaving, rate, as_of: tick.now - age };
        if target == world.tables.target.process {
            recall(world, tick, from, statement);
        } else if !world.tables.target.present {
            let reminders = &mut world.systems.pacing.reminders;
            reminders.push((from, statement));
            if reminders.len() > MAX_REMINDERS {
                reminders.remove(0);
            }
        }
    }
    lift(world, tick);
    update_throughput_limit(world, tick);
}

/// Applies what peers remember of a process that has just become the target.
pub(super) fn recall_all(world: &mut World, tick: &mut Tick) {
    for (from, statement) in std::mem::take(&mut world.systems.pacing.reminders) {
        if statement.target == world.tables.target.process {
            recall(world, tick, from, statement);
        }
    }
}

/// Reminds a peer that has connected of what its target stated.
pub(super) fn remind(world: &mut World, tick: &mut Tick, key: PeerKey) {
    let Some(peer) = world.tables.peers.get(key) else { return };
    let Some(statement) = world.tables.statements.get(&peer.announcement.name) else { return };
    let Statement { target, leaving, rate, as_of } = *statement;
    world.send(tick, key, Message { target, leaving, rate, age: tick.now - as_of });
}

/// Applies what a peer remembers of the target, unless this node has heard of it later.
fn recall(world: &mut World, tick: &mut Tick, from: NodeId, statement: Statement) {
    if statement.leaving {
        target::mark_leaving(world, tick, None, Source::Peer(from));
    }
    let Some(rate) = statement.rate else { return };
    let target = &world.tables.target;
    let stated_at = target.pace.map_or(Millis::ZERO, |pace| pace.stated_at);
    let heard_at = stated_at.max(target.unlimited_as_of);
    let knows_more = target.pace.is_some() || target.unlimited_as_of > Millis::ZERO;
    if knows_more && statement.as_of <= heard_at {
        return;
    }
    set(world, tick, None, rate, statement.as_of, Source::Peer(from));
}

/// Applies the rate limit of a response.
pub(super) fn apply(
    world: &mut World,
    tick: &mut Tick,
    request: Option<CompactString>,
    rate_limit: RateLimit,
) {
    match rate_limit {
        RateLimit::Absent => {}
        RateLimit::Unreadable => {
            let target = &world.tables.target;
            let entry = Entry::new(Level::Warn, "target_rate_limit_unreadable")
                .on(&request.unwrap_or_default())
                .with("instance", target.report.instance.clone())
                .with("kept", target.pace.is_some());
            tick.log(entry);
        }
        RateLimit::Stated(rate) => set(world, tick, request, rate, tick.now, Source::Target),
    }
}

fn set(
    world: &mut World,
    tick: &mut Tick,
    request: Option<CompactString>,
    rate: Rate,
    stated_at: Millis,
    source: Source,
) {
    let target = &mut world.tables.target;
    let before = target.pace;
    match &mut target.pace {
        Some(pace) => pace.restate(rate, stated_at, source, tick.now),
        None => target.pace = Some(Pace::new(rate, stated_at, source, tick.now)),
    }
    let is_known = before
        .is_some_and(|before| before.lifted_at.is_none() && !is_notable_change(before.rate, rate));
    if is_known {
        return;
    }
    let entry = Entry::new(Level::Info, "target_rate_limit")
        .on(&request.unwrap_or_default())
        .with("instance", target.report.instance.clone())
        .with("rate", rate.to_compact_string())
        .with("age", tick.now - stated_at)
        .with("running", target.running)
        .with("queued", target.queued);
    let entry = source.log(entry, "from");
    tick.log(match before {
        Some(before) => entry
            .with("before", before.rate.to_compact_string())
            .with("before_age", tick.now - before.stated_at),
        None => entry,
    });
}

/// Whether two rates differ by more than a fraction of the earlier one.
pub(super) fn is_notable_change(before: Rate, after: Rate) -> bool {
    const CHANGE_DIVISOR: u64 = 8;
    before.0.abs_diff(after.0) > before.0 / CHANGE_DIVISOR
}

/// Ends the limit if a response to a request that was sent after the last statement has none. An
/// earlier request may have been answered before the target stated the limit.
fn lift(world: &mut World, tick: &mut Tick) {
    for (ticket, end) in &tick.inbox.runs_ended {
        let RunEnd::Answered { status, .. } = end else { continue };
        let call = world.tables.calls.by_ticket(*ticket);
        let Some(call) = call.and_then(|call| world.tables.calls.get(call)) else { continue };
        let target = &mut world.tables.target;
        let is_evidence = *status < SERVER_ERROR && !call.states_rate_limit;
        if !is_evidence || call.since < target.since {
            continue;
        }
        target.unlimited_as_of = target.unlimited_as_of.max(call.since);
        let Some(pace) = &mut target.pace else { continue };
        if pace.lifted_at.is_some() || call.since <= pace.stated_at {
            continue;
        }
        pace.lift(tick.now);
        let entry = Entry::new(Level::Info, "target_rate_limit_ended")
            .on(&call.id)
            .with("instance", target.report.instance.clone())
            .with("before", pace.rate.to_compact_string())
            .with("before_age", tick.now - pace.stated_at);
        tick.commands.push(crate::Command::Log(entry));
    }
}

/// By Little's law, the number of runs at once on average follows from the rate and their duration.
fn update_throughput_limit(world: &mut World, tick: &mut Tick) {
    let target = &mut world.tables.target;
    target.throughput_limit = target.sustained_limit;
    let Some(pace) = &target.pace else { return };
    let runs = pace.per_second(tick.now) * target.latency.0 as f64 / 1_000.0;
    let has_risen = pace.lifted_at.is_some() && runs >= f64::from(target.sustained_limit);
    if has_risen || pace.has_ended(tick.now) {
        let entry = Entry::new(Level::Info, "target_rate_unlimited")
            .with("instance", target.report.instance.clone())
            .with("per_second", pace.per_second(tick.now) as u64);
        target.pace = None;
        return tick.log(entry);
    }
    let is_idle = target.running + target.queued == 0;
    let least = if is_idle && pace.is_full(tick.now) { MIN_USABLE_LIMIT } else { 1 };
    target.throughput_limit = (runs.round() as u32).max(least).min(target.sustained_limit);
    if is_idle && !pace.is_full(tick.now) {
        // Peers have to hear that the target may be used again.
        tick.wake(tick.now + pace.time_to_full(tick.now).max(Millis(1)));
    }
}

/// Adds the rate limit that decides when requests are sent to the target, if it has one.
pub(super) fn with_rate(entry: Entry, pace: &Option<Pace>, now: Millis) -> Entry {
    let Some(pace) = pace else { return entry };
    let entry = entry
        .with("rate", pace.rate.to_compact_string())
        .with("rate_age", now - pace.stated_at)
        .with("rate_wait", pace.wait(now, 0));
    pace.source.log(entry, "rate_from")
}

/// What this node knows of the target's rate limit, as it tells peers.
pub(super) fn target_rate(world: &World) -> TargetRate {
    let target = &world.tables.target;
    match target.stated_rate() {
        Some(rate) => TargetRate::Limited(rate),
        None if target.pace.is_none() && target.unlimited_as_of == Millis::ZERO => {
            TargetRate::Unknown
        }
        None => TargetRate::Unlimited,
    }
}
