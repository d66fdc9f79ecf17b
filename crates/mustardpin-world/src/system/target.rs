//! Tracks the local target by its reports.
//!
//! Reports may arrive late and out of order, also from a process that has ended. The start time of
//! the process and the sequence number of the report decide which report is the latest.
//!
//! A false report may claim a start time or a number that no true report reaches. While a process
//! that seems outdated keeps reporting in order, and nothing more is heard of the seemingly later
//! one, the latter is given up after the time after which a silent target counts as lost.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    command::{Command, TargetAddress},
    event::TargetReport,
    id::TargetId,
    log::{Entry, Level},
    notice::{Notice, RateLimit},
    refusal::{Reason, Refusal},
    request::{Ticket, Verdict},
    system::{TargetChange, departure, finish, pacing, queueing},
    table::{
        call::Stage,
        pace::Source,
        target::{Ignored, Target},
    },
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for index in 0..tick.inbox.target.len() {
        match &tick.inbox.target[index] {
            TargetChange::Reported(report) => {
                let report = report.clone();
                apply_report(world, tick, report);
            }
            TargetChange::Left { instance, started, report } => {
                let (instance, started, report) = (instance.clone(), *started, *report);
                let process = leave(world, tick, instance, started);
                if let Some(report) = report {
                    departure::answer_once_written(world, tick.now, report, process);
                }
            }
            TargetChange::Noticed { ticket, instance, notice } => {
                let (ticket, instance, notice) = (*ticket, instance.clone(), *notice);
                apply_notice(world, tick, ticket, &instance, notice);
            }
            TargetChange::Lost => mark_lost(world, tick),
        }
    }
    let target = &world.tables.target;
    if target.present {
        let silent_at = target.reported_at + world.options.target.lost_after;
        if tick.now >= silent_at {
            mark_lost(world, tick);
        } else {
            tick.wake(silent_at);
        }
    }
    if !world.tables.target.is_open() {
        reroute_queue(world, tick);
    }
}

fn apply_report(world: &mut World, tick: &mut Tick, report: TargetReport) {
    let lost_after = world.options.target.lost_after;
    let target = &mut world.tables.target;
    if is_outdated(target, &report) {
        let first_at = ignore(target, &report, tick.now, lost_after);
        if !target.present && tick.now - first_at >= lost_after {
            let entry = Entry::new(Level::Warn, "target_report_disproved")
                .with("instance", target.report.instance.clone())
                .with("sequence", target.report.sequence)
                .with("by_instance", report.instance.clone())
                .with("by_sequence", report.sequence);
            tick.log(entry);
            return accept(world, tick, report);
        }
        let entry = Entry::new(Level::Info, "target_report_ignored")
            .with("instance", report.instance)
            .with("sequence", report.sequence)
            .with("known_instance", target.report.instance.clone())
            .with("known_sequence", target.report.sequence);
        return tick.log(entry);
    }
    accept(world, tick, report);
}

/// Records a report that seems outdated. Returns since when its process has reported in order.
fn ignore(target: &mut Target, report: &TargetReport, now: Millis, lost_after: Millis) -> Millis {
    let ignored = target.ignored.take().filter(|ignored| {
        ignored.started == report.started
            && ignored.instance == report.instance
            && ignored.sequence < report.sequence
            && now - ignored.last_at < lost_after
    });
    let first_at = ignored.map_or(now, |ignored| ignored.first_at);
    let (started, instance) = (report.started, report.instance.clone());
    let sequence = report.sequence;
    target.ignored = Some(Ignored { started, instance, sequence, first_at, last_at: now });
    first_at
}

fn accept(world: &mut World, tick: &mut Tick, report: TargetReport) {
    let target = &mut world.tables.target;
    target.ignored = None;
    let is_new = is_other_process(target, &report);
    let is_change = is_new
        || !target.present
        || target.report.draining != report.draining
        || target.report.slots != report.slots;
    let target_address =
        TargetAddress { address: report.address.clone(), instance: report.instance.clone() };
    let has_moved = is_new || !target.present || target.report.address != report.address;
    let has_returned = !target.present;
    target.present = true;
    target.reported_at = tick.now;
    target.cold_until = tick.now + report.warm_up;
    target.report = report;
    if is_new {
        target.health.record_success();
    }
    // A target without an identity is taken for another process when it returns.
    let is_other = is_new || (has_returned && target.process == TargetId::default());
    if is_other {
        set_process(world, tick.now);
    }
    if has_moved {
        tick.commands.push(Command::Target(Some(target_address)));
    }
    if is_change {
        log_target(world, tick, "target_reported");
    }
    if is_other {
        pacing::recall_all(world, tick);
    }
}

/// Whether a report is older than the last one that was applied.
fn is_outdated(target: &Target, report: &TargetReport) -> bool {
    let known = &target.report;
    if !target.present && known.sequence == 0 && !target.is_leaving {
        return false;
    }
    if report.started != known.started {
        return report.started < known.started;
    }
    report.instance == known.instance && report.sequence != 0 && report.sequence <= known.sequence
}

/// Whether a report comes from a different process than the last one.
fn is_other_process(target: &Target, report: &TargetReport) -> bool {
    report.started != target.report.started || report.instance != target.report.instance
}

/// Records what a response states about the target, unless it comes from an earlier process.
fn apply_notice(
    world: &mut World,
    tick: &mut Tick,
    ticket: Ticket,
    instance: &CompactString,
    notice: Notice,
) {
    let tables = &mut world.tables;
    let key = tables.calls.by_ticket(ticket);
    let call = key.and_then(|key| tables.calls.get(key));
    let target = &tables.target;
    let is_current =
        *instance == target.report.instance && call.is_none_or(|call| call.since >= target.since);
    if !is_current {
        let entry = Entry::new(Level::Info, "target_notice_ignored")
            .with("instance", instance.clone())
            .with("known_instance", target.report.instance.clone());
        return tick.log(entry);
    }
    let request = call.map(|call| call.id.clone());
    if notice.rate_limit != RateLimit::Absent
        && let Some(call) = key.and_then(|key| tables.calls.get_mut(key))
    {
        call.states_rate_limit = true;
    }
    if notice.leaving {
        mark_leaving(world, tick, request.clone(), Source::Target);
    }
    pacing::apply(world, tick, request, notice.rate_limit);
}

/// Records that a process has reported that it is leaving, or has deregistered. Without a start time,
/// it is the one that reports itself under this instance id now. Returns the process; the default
/// value if it can't be identified.
fn leave(
    world: &mut World,
    tick: &mut Tick,
    instance: CompactString,
    started: Option<Millis>,
) -> TargetId {
    let known = &world.tables.target.report;
    let is_known =
        instance == known.instance && started.is_none_or(|started| started == known.started);
    if !is_known {
        let entry = Entry::new(Level::Info, "target_deregistration_recorded")
            .with("instance", instance.clone())
            .with("started", started.unwrap_or_default())
            .with("known_instance", known.instance.clone())
            .with("known_started", known.started);
        tick.log(entry);
        let Some(started) = started else { return TargetId::default() };
        let process = TargetId::of(&instance, started);
        departure::record(world, tick, process);
        if !is_successor(&world.tables.target, started) {
            return process;
        }
        // Peers learn of the departure by the identity of the target, before its first report.
        let report = TargetReport { instance, started, ..TargetReport::default() };
        world.tables.target.report = report;
        set_process(world, tick.now);
    }
    let target = &mut world.tables.target;
    let process = target.process;
    if target.report.draining {
        mark_leaving(world, tick, None, Source::Target);
        return process;
    }
    let was_leaving = std::mem::replace(&mut target.is_leaving, true);
    departure::record(world, tick, process);
    if !was_leaving {
        log_target(world, tick, "target_deregistered");
    }
    process
}

/// Whether a process that has not reported is the target: no other one has, or an earlier one that is
/// lost.
fn is_successor(target: &Target, started: Millis) -> bool {
    let is_unknown = target.process == TargetId::default();
    !target.present && (is_unknown || started > target.report.started)
}

/// Makes the process of the last report the target.
fn set_process(world: &mut World, now: Millis) {
    let target = &mut world.tables.target;
    target.since = now;
    target.process = TargetId::of(&target.report.instance, target.report.started);
    target.is_leaving = world.tables.departures.contains(target.process);
    target.pace = None;
    target.unlimited_as_of = Millis::ZERO;
}

/// Records that the target is leaving, for the life of its process.
pub(super) fn mark_leaving(
    world: &mut World,
    tick: &mut Tick,
    request: Option<CompactString>,
    source: Source,
) {
    departure::record(world, tick, world.tables.target.process);
    let target = &mut world.tables.target;
    if target.is_leaving {
        return;
    }
    target.is_leaving = true;
    let entry = Entry::new(Level::Info, "target_leaving")
        .on(&request.unwrap_or_default())
        .with("instance", target.report.instance.clone())
        .with("running", target.running)
        .with("queued", target.queued);
    tick.log(source.log(entry, "from"));
}

fn log_target(world: &World, tick: &mut Tick, event: &'static str) {
    let report = &world.tables.target.report;
    let entry = Entry::new(Level::Info, event)
        .with("instance", report.instance.clone())
        .with("address", report.address.clone())
        .with("sequence", report.sequence)
        .with("slots", report.slots.unwrap_or_default())
        .with("draining", report.draining)
        .with("leaving", world.tables.target.is_leaving)
        .with("cold", report.warm_up);
    tick.log(entry);
}

fn mark_lost(world: &mut World, tick: &mut Tick) {
    if !world.tables.target.present {
        return;
    }
    world.tables.target.present = false;
    tick.commands.push(Command::Target(None));
    let silent = tick.now - world.tables.target.reported_at;
    let instance = world.tables.target.report.instance.clone();
    let entry = Entry::new(Level::Warn, "target_lost");
    tick.log(entry.with("instance", instance).with("silent", silent));
}

/// Routes queued calls elsewhere when the target accepts no more requests. Calls from a peer are
/// refused, so that the peer reroutes them.
fn reroute_queue(world: &mut World, tick: &mut Tick) {
    for key in queueing::take_all(world) {
        let Some(call) = world.tables.calls.get_mut(key) else { continue };
        call.lineage.local_tried = true;
        if call.from.is_none() {
            world.tables.calls.advance(key, Stage::Routing, tick.now);
            continue;
        }
        let refusal = Refusal::not_run(Reason::Leaving).after(Millis(1));
        finish::run(world, tick, key, Verdict::Refuse(refusal));
    }
}
