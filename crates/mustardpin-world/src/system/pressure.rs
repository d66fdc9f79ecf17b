//! Refuses early what services below would refuse anyway, and tells peers what is refused here.
//!
//! For each route the system counts what came, what was served and what was refused below because
//! of load. From that follows which share of each importance and team is let through: the least
//! important are refused first, and teams of one importance share what is left by max-min.

use std::collections::BTreeMap;

use rand::RngExt as _;

use crate::{
    clock::Millis,
    command::Command,
    config::Importance,
    id::{CallKey, TeamKey},
    refusal::{Reason, Refusal},
    request::{ForwardEnd, Pressure, RunEnd},
    table::{
        demand::{Class, Row},
        team::Teams,
    },
    world::{Tick, World},
};

/// The time between two looks at the whole table of demand.
const PERIOD: Millis = Millis(100);
/// What amounts are multiplied by each period.
const DECAY: f64 = 0.85;
/// Requests let through for each one served. The surplus finds out when more can be served.
const SURPLUS: f64 = 1.3;
/// Requests let through each period even if none is served.
const PROBES: f64 = 0.5;
/// Requests refused below, as a share of those served, up to which nothing is refused here.
const TOLERANCE: f64 = 0.02;
/// Requests that a team is let through beyond its share: the amounts of small teams are too small
/// to be exact.
const SLACK: f64 = 1.0;
/// How long a caller should wait before it sends a refused request again.
const RETRY_AFTER: Millis = Millis(1_000);
/// How many times a window of the running mean holds what one period brings.
const PERIODS_HELD: f64 = 1.0 / (1.0 - DECAY);

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    published: Pressure,
    next: Millis,
}

/// How a call ended, as far as load is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    Served,
    Shed,
    Neither,
}

/// Counts what has ended, and brings the shares up to date.
pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (call, end) in &tick.inbox.runs_ended {
        let load = run_load(world, *call, end);
        count(world, *call, load);
    }
    for (call, end, _) in &tick.inbox.forwards_ended {
        let load = forward_load(world, *call, end);
        count(world, *call, load);
    }
    if tick.now < world.systems.pressure.next {
        return;
    }
    world.systems.pressure.next = tick.now + PERIOD;
    let tables = &mut world.tables;
    for (_, row) in tables.demand.iter_mut() {
        row.decay(DECAY);
        share(row, &tables.teams);
    }
}

fn run_load(world: &World, key: CallKey, end: &RunEnd) -> Load {
    let Some(call) = world.tables.calls.get(key) else { return Load::Neither };
    match end {
        RunEnd::Answered { status, .. } => answer_load(*status, call.lineage.shed_below),
        RunEnd::Declined => Load::Shed,
        RunEnd::Cancelled if !call.abandoned => Load::Shed,
        _ => Load::Neither,
    }
}

fn forward_load(world: &World, key: CallKey, end: &ForwardEnd) -> Load {
    let Some(call) = world.tables.calls.get(key) else { return Load::Neither };
    match end {
        ForwardEnd::Answered { status } => answer_load(*status, false),
        ForwardEnd::Refused(refusal) if is_shed(refusal.reason) => Load::Shed,
        ForwardEnd::Cancelled if !call.abandoned => Load::Shed,
        _ => Load::Neither,
    }
}

/// A target that answers "too many requests", "unavailable" or "timeout" hands on what a service
/// below has refused.
fn answer_load(status: u16, shed_below: bool) -> Load {
    match status {
        429 | 503 | 504 => Load::Shed,
        500.. if shed_below => Load::Shed,
        500.. => Load::Neither,
        _ => Load::Served,
    }
}

/// Whether a refusal for this reason comes from load.
pub(super) fn is_shed(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::QueueFull | Reason::Shed | Reason::DeadlineBeforeRun | Reason::DeadlineDuringRun
    )
}

fn count(world: &mut World, key: CallKey, load: Load) {
    let Some(call) = world.tables.calls.get(key) else { return };
    let Some(row) = world.tables.demand.row(call.route) else { return };
    match load {
        Load::Served => row.served += 1.0,
        Load::Shed => row.shed += 1.0,
        Load::Neither => {}
    }
}

/// Lets a call through, or says why not.
pub(super) fn admit(world: &mut World, key: CallKey) -> Result<(), Refusal> {
    if !world.options.pressure.early_refusal {
        return Ok(());
    }
    let Some(call) = world.tables.calls.get(key) else { return Ok(()) };
    let class = (call.importance, call.team);
    let Some(row) = world.tables.demand.row(call.route) else { return Ok(()) };
    *row.offered.entry(class).or_default() += 1.0;
    let Some(&share) = row.admitted.get(&class) else { return Ok(()) };
    if world.rng.random::<f64>() < share {
        return Ok(());
    }
    Err(Refusal::not_run(Reason::Shed).after(RETRY_AFTER))
}

/// Works out which share of each class is let through.
fn share(row: &mut Row, teams: &Teams) {
    row.admitted.clear();
    if row.shed <= row.served * TOLERANCE + PROBES {
        return;
    }
    let mut budget = row.served * SURPLUS + PROBES * PERIODS_HELD;
    for importance in Importance::ALL.into_iter().rev() {
        let classes: BTreeMap<Class, f64> = row
            .offered
            .iter()
            .filter(|((other, _), _)| *other == importance)
            .map(|(&class, &amount)| (class, amount))
            .collect();
        let offered: f64 = classes.values().sum();
        if offered > budget {
            row.admitted.extend(water_fill(&classes, budget, teams));
        }
        budget = (budget - offered).max(0.0);
    }
}

/// Splits a budget between teams by weighted max-min. Returns the share of each class's requests
/// that the budget covers, for classes that it does not cover whole.
fn water_fill(classes: &BTreeMap<Class, f64>, budget: f64, teams: &Teams) -> BTreeMap<Class, f64> {
    let weight = |team: Option<TeamKey>| {
        team.and_then(|team| teams.get(team)).map_or(1.0, |team| f64::from(team.weight.max(1)))
    };
    let mut open: Vec<(Class, f64, f64)> =
        classes.iter().map(|(&class, &amount)| (class, amount, weight(class.1))).collect();
    open.sort_by(|one, other| (one.1 / one.2).total_cmp(&(other.1 / other.2)));
    let mut weights: f64 = open.iter().map(|(_, _, weight)| weight).sum();
    let mut left = budget;
    let mut shares = BTreeMap::new();
    for (class, amount, weight) in open {
        let fair = left * weight / weights;
        if amount > fair + SLACK {
            shares.insert(class, (fair + SLACK) / amount);
        }
        left -= amount.min(fair);
        weights -= weight;
    }
    shares
}

/// Tells peers what the own target refuses and how busy it is, when that has changed.
pub(super) fn publish(world: &mut World, tick: &mut Tick) {
    let target = &world.tables.target;
    let pressure = Pressure {
        least_importance: target.least_importance,
        running: target.running,
        queued: target.queued,
        limit: target.limit,
    };
    if !is_news(world.systems.pressure.published, pressure) {
        return;
    }
    world.systems.pressure.published = pressure;
    tick.commands.push(Command::Publish(pressure));
}

fn is_news(old: Pressure, new: Pressure) -> bool {
    /// Loads that differ by less than this part of the limit count as the same.
    const GRAIN: u32 = 16;

    let grain = new.limit / GRAIN;
    let load = |pressure: Pressure| pressure.running + pressure.queued;
    old.least_importance != new.least_importance
        || old.limit.abs_diff(new.limit) > grain
        || load(old).abs_diff(load(new)) > grain
}
