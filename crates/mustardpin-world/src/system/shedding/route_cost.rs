//! Learns what a run of each route costs on the local target, and which calls it makes.
//!
//! A target's calls do not always carry the id of the request that they belong to. Recursive least
//! squares therefore fits the calls to each route in a short interval to the runs of each route in
//! the same interval. If only one of two routes makes calls, intervals with a different mix of runs
//! show which one it is.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{
    clock::Millis,
    id::RouteKey,
    message::shedding::{self, Message},
    request::RunEnd,
    table::{demand::Cost, peer::Link},
    world::{Tick, World},
};

/// The interval in which runs and calls are counted for one update of the estimates.
const UPDATE_INTERVAL: Millis = Millis(200);
/// The time between two messages with costs to peers.
const SEND_INTERVAL: Millis = Millis(1_000);
/// The maximum number of peers to which unchanged costs are sent at once. In a larger fleet, peers
/// get them in turn.
const MAX_RECIPIENTS: usize = 16;
/// The change of a route's slot time, as a percentage, that is sent to all peers.
const SENT_CHANGE_PERCENT: u64 = 25;
/// A smaller change of a slot time is not sent to all peers, whatever its percentage.
const MIN_SENT_CHANGE: Millis = Millis(10);
/// The forgetting factor: the weight of past intervals is multiplied by this at each update.
const FORGETTING_FACTOR: f64 = 0.97;
/// The variance of the estimated calls of a route before its first run.
const INITIAL_VARIANCE: f64 = 10.0;
/// The weight of a new sample in the mean slot time of a route.
const SLOT_TIME_WEIGHT: f64 = 0.15;
/// The weight of a node's report in the cost of a route.
const REPORT_WEIGHT: f64 = 0.3;
/// Fewer calls per run than this are noise.
const MIN_CALLS_PER_RUN: f64 = 0.05;
/// The maximum number of routes whose runs are counted. The calls of further routes are attributed
/// to these.
const MAX_ROUTES: usize = 16;

/// The runs of one route on the local target.
#[derive(Debug, Default)]
struct RouteRuns {
    /// The route's name.
    name: CompactString,
    /// The smoothed slot time of a run, in milliseconds; zero before the first run.
    slot_time: f64,
    /// Runs that ended in this interval.
    ended: f64,
}

/// State of the estimates between ticks.
#[derive(Debug, Default)]
pub(super) struct State {
    next_update: Millis,
    next_send: Millis,
    /// The number of messages sent, by which peers take turns.
    sent_messages: usize,
    /// The costs that were last sent to all peers.
    known_to_all: Vec<shedding::Cost>,
    runs: Vec<RouteRuns>,
    /// Calls in this interval, by the name of the called route.
    called: BTreeMap<CompactString, f64>,
    /// The estimated calls per run: by the name of the called route, one number for each of `runs`.
    calls: BTreeMap<CompactString, Vec<f64>>,
    /// The covariance of the estimates, one row for each of `runs`.
    covariance: Vec<Vec<f64>>,
}

impl State {
    /// The index of a route in `runs`. Adds the route if there is room.
    fn index(&mut self, name: &CompactString) -> Option<usize> {
        let found = self.runs.iter().position(|runs| runs.name == *name);
        if found.is_some() || self.runs.len() >= MAX_ROUTES {
            return found;
        }
        self.runs.push(RouteRuns { name: name.clone(), ..RouteRuns::default() });
        let count = self.runs.len();
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; count];
        row[count - 1] = INITIAL_VARIANCE;
        self.covariance.push(row);
        for calls in self.calls.values_mut() {
            calls.push(0.0);
        }
        Some(count - 1)
    }

    /// Updates the estimates with the runs and calls of one interval, and clears the counts.
    fn update_estimates(&mut self) {
        let runs: Vec<f64> = self.runs.iter().map(|runs| runs.ended).collect();
        let called = std::mem::take(&mut self.called);
        for runs in &mut self.runs {
            runs.ended = 0.0;
        }
        let total: f64 = runs.iter().sum();
        if total == 0.0 {
            return;
        }
        let spread: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| row.iter().zip(&runs).map(|(value, runs)| value * runs).sum())
            .collect();
        // The variance of a count is about the count itself, so busy intervals weigh no more than
        // idle ones.
        let noise = total.max(1.0);
        let scale: f64 =
            noise + spread.iter().zip(&runs).map(|(value, runs)| value * runs).sum::<f64>();
        let gain: Vec<f64> = spread.iter().map(|value| value / scale).collect();
        for name in called.keys() {
            self.calls.entry(name.clone()).or_insert_with(|| vec![0.0; runs.len()]);
        }
        for (name, calls) in &mut self.calls {
            let expected: f64 = calls.iter().zip(&runs).map(|(calls, runs)| calls * runs).sum();
            let error = called.get(name).copied().unwrap_or_default() - expected;
            for (calls, gain) in calls.iter_mut().zip(&gain) {
                *calls = (*calls + gain * error).max(0.0);
            }
        }
        for (row, gain) in self.covariance.iter_mut().zip(&gain) {
            for (value, spread) in row.iter_mut().zip(&spread) {
                *value = ((*value - gain * spread) / FORGETTING_FACTOR).clamp(-1e3, 1e3);
            }
        }
    }

    fn costs(&self) -> Vec<shedding::Cost> {
        let cost = |(index, runs): (usize, &RouteRuns)| shedding::Cost {
            route: runs.name.clone(),
            slot_time: Millis(runs.slot_time as u64),
            calls: self
                .calls
                .iter()
                .filter(|(_, calls)| calls[index] >= MIN_CALLS_PER_RUN)
                .map(|(name, calls)| (name.clone(), calls[index] as f32))
                .collect(),
        };
        self.runs.iter().enumerate().filter(|(_, runs)| runs.slot_time > 0.0).map(cost).collect()
    }
}

/// How long a run of a route occupies a slot of the local target or, if it has not run here, of
/// other targets by the reports of peers.
pub(super) fn slot_time(world: &World, route: RouteKey) -> Option<Millis> {
    let name = &world.tables.routes.get(route)?.config.name;
    let runs = world.systems.shedding.route_cost.runs.iter();
    let local = runs.filter(|runs| runs.slot_time > 0.0).find(|runs| runs.name == *name);
    match local {
        Some(runs) => Some(Millis(runs.slot_time as u64)),
        None => world.tables.demand.slot_time(name),
    }
}

/// Counts a call that the local target made to a route.
pub(super) fn record_call(world: &mut World, route: Option<RouteKey>) {
    let Some(route) = route.and_then(|route| world.tables.routes.get(route)) else { return };
    let called = &mut world.systems.shedding.route_cost.called;
    *called.entry(route.config.name.clone()).or_default() += 1.0;
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (_, Message::Costs(costs)) in std::mem::take(&mut tick.inbox.shedding) {
        for cost in costs {
            merge_cost(world, cost, REPORT_WEIGHT);
        }
    }
    for (ticket, end) in &tick.inbox.runs_ended {
        let RunEnd::Answered { .. } = end else { continue };
        let call = world.tables.calls.by_ticket(*ticket);
        let Some(call) = call.and_then(|call| world.tables.calls.get(call)) else { continue };
        let route = call.route.and_then(|route| world.tables.routes.get(route));
        let Some(route) = route else { continue };
        let measured = (tick.now - call.since).0 as f64;
        let state = &mut world.systems.shedding.route_cost;
        let Some(index) = state.index(&route.config.name) else { continue };
        let runs = &mut state.runs[index];
        let weight = if runs.slot_time == 0.0 { 1.0 } else { SLOT_TIME_WEIGHT };
        runs.slot_time += (measured - runs.slot_time) * weight;
        runs.ended += 1.0;
    }
    let state = &mut world.systems.shedding.route_cost;
    if tick.now >= state.next_update {
        state.next_update = tick.now + UPDATE_INTERVAL;
        state.update_estimates();
    }
    if tick.now >= state.next_send {
        state.next_send = tick.now + SEND_INTERVAL;
        send_costs(world, tick);
    }
}

/// Sends the costs of runs here to all peers if they changed, else to the peers whose turn it is,
/// and merges them into the table as the peers do.
fn send_costs(world: &mut World, tick: &mut Tick) {
    let costs = world.systems.shedding.route_cost.costs();
    if costs.is_empty() {
        return;
    }
    for cost in &costs {
        merge_cost(world, cost.clone(), REPORT_WEIGHT);
    }
    let peers = world.tables.peers.iter().filter(|(_, peer)| peer.link == Link::Up);
    let peers: Vec<_> = peers.map(|(key, _)| key).collect();
    let state = &mut world.systems.shedding.route_cost;
    let first = state.sent_messages % peers.len().max(1);
    let count = match is_changed(&state.known_to_all, &costs) {
        true => {
            state.known_to_all.clone_from(&costs);
            peers.len()
        }
        false => peers.len().min(MAX_RECIPIENTS),
    };
    state.sent_messages += count;
    for &peer in peers.iter().cycle().skip(first).take(count) {
        world.send(tick, peer, Message::Costs(costs.clone()));
    }
}

/// Whether costs differ so much from those known to all peers that all must know them.
fn is_changed(known: &[shedding::Cost], costs: &[shedding::Cost]) -> bool {
    costs.iter().any(|cost| {
        let known = known.iter().find(|known| known.route == cost.route);
        known.is_none_or(|known| {
            let change = known.slot_time.0.abs_diff(cost.slot_time.0);
            change > MIN_SENT_CHANGE.0 && change * 100 > known.slot_time.0 * SENT_CHANGE_PERCENT
        })
    })
}

/// Merges a node's report of a route's cost into the table.
fn merge_cost(world: &mut World, reported: shedding::Cost, weight: f64) {
    let costs = &mut world.tables.demand.costs;
    let is_first = !costs.contains_key(&reported.route);
    let weight = if is_first { 1.0 } else { weight };
    let cost: &mut Cost = costs.entry(reported.route).or_default();
    cost.slot_time += (reported.slot_time.0 as f64 - cost.slot_time) * weight;
    for calls in cost.calls.values_mut() {
        *calls *= 1.0 - weight;
    }
    for (name, calls) in reported.calls {
        *cost.calls.entry(name).or_default() += f64::from(calls) * weight;
    }
    cost.calls.retain(|_, calls| *calls >= MIN_CALLS_PER_RUN / 2.0);
}
