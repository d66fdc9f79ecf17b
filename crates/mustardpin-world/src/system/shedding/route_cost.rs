//! Learns what a run of each route costs on the own target, and which calls it makes.
//!
//! A target's calls do not always say which request they belong to. Over short periods the calls to
//! each route are explained by the runs of each route in the same period, by recursive least
//! squares: with two routes of which only one calls, the periods differ in their mix, and that tells
//! them apart.

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

/// The time between two looks at runs and calls.
const PERIOD: Millis = Millis(200);
/// The time between two tellings of costs to peers.
const TELL_PERIOD: Millis = Millis(1_000);
/// How much of its weight a period keeps for the next one.
const FORGETTING: f64 = 0.97;
/// How uncertain the number of calls of a route is at first.
const FIRST_VARIANCE: f64 = 10.0;
/// The weight of a new sample in the time that a run holds its place.
const HOLD_WEIGHT: f64 = 0.15;
/// The weight of what a peer says in what is believed.
const TOLD_WEIGHT: f64 = 0.3;
/// Fewer calls for each run than this are noise.
const LEAST_CALLS: f64 = 0.05;
/// Routes beyond this number are not told apart.
const MOST_ROUTES: usize = 16;

/// What is known of the runs of one route here.
#[derive(Debug, Default)]
struct Runs {
    name: CompactString,
    slot_time: f64,
    /// Runs that ended in this period.
    ended: f64,
}

/// What the route_cost remembers from tick to tick.
#[derive(Debug, Default)]
pub(super) struct State {
    next: Millis,
    next_tell: Millis,
    runs: Vec<Runs>,
    /// Calls in this period, by the name of the route called.
    called: BTreeMap<CompactString, f64>,
    /// How often a run of each route calls each route.
    calls: BTreeMap<CompactString, Vec<f64>>,
    /// The covariance of the estimates, one row for each route that runs here.
    covariance: Vec<Vec<f64>>,
}

impl State {
    fn index(&mut self, name: &CompactString) -> Option<usize> {
        let found = self.runs.iter().position(|runs| runs.name == *name);
        if found.is_some() || self.runs.len() >= MOST_ROUTES {
            return found;
        }
        self.runs.push(Runs { name: name.clone(), ..Runs::default() });
        let count = self.runs.len();
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; count];
        row[count - 1] = FIRST_VARIANCE;
        self.covariance.push(row);
        for calls in self.calls.values_mut() {
            calls.push(0.0);
        }
        Some(count - 1)
    }

    /// Explains the calls of a period by its runs.
    fn learn(&mut self) {
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
        // Counts vary by about their size, so busy periods weigh no more than quiet ones.
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
                *value = ((*value - gain * spread) / FORGETTING).clamp(-1e3, 1e3);
            }
        }
    }

    fn costs(&self) -> Vec<shedding::Cost> {
        let cost = |(index, runs): (usize, &Runs)| shedding::Cost {
            route: runs.name.clone(),
            slot_time: Millis(runs.slot_time as u64),
            calls: self
                .calls
                .iter()
                .filter(|(_, calls)| calls[index] >= LEAST_CALLS)
                .map(|(name, calls)| (name.clone(), calls[index] as f32))
                .collect(),
        };
        self.runs.iter().enumerate().filter(|(_, runs)| runs.slot_time > 0.0).map(cost).collect()
    }
}

/// How long a run of a route holds its place on the own target, or elsewhere if it did not run
/// here.
pub(super) fn slot_time(world: &World, route: RouteKey) -> Option<Millis> {
    let name = &world.tables.routes.get(route)?.config.name;
    let runs = world.systems.shedding.route_cost.runs.iter();
    let here = runs.filter(|runs| runs.slot_time > 0.0).find(|runs| runs.name == *name);
    match here {
        Some(runs) => Some(Millis(runs.slot_time as u64)),
        None => world.tables.demand.slot_time(name),
    }
}

/// The own target has called a route.
pub(super) fn record_call(world: &mut World, route: Option<RouteKey>) {
    let Some(route) = route.and_then(|route| world.tables.routes.get(route)) else { return };
    let called = &mut world.systems.shedding.route_cost.called;
    *called.entry(route.config.name.clone()).or_default() += 1.0;
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (_, Message::Costs(costs)) in std::mem::take(&mut tick.inbox.shedding) {
        for cost in costs {
            believe(world, cost, TOLD_WEIGHT);
        }
    }
    for (ticket, end) in &tick.inbox.runs_ended {
        let RunEnd::Answered { .. } = end else { continue };
        let call = world.tables.calls.by_ticket(*ticket);
        let Some(call) = call.and_then(|call| world.tables.calls.get(call)) else { continue };
        let route = call.route.and_then(|route| world.tables.routes.get(route));
        let Some(route) = route else { continue };
        let held = (tick.now - call.since).0 as f64;
        let state = &mut world.systems.shedding.route_cost;
        let Some(index) = state.index(&route.config.name) else { continue };
        let runs = &mut state.runs[index];
        let weight = if runs.slot_time == 0.0 { 1.0 } else { HOLD_WEIGHT };
        runs.slot_time += (held - runs.slot_time) * weight;
        runs.ended += 1.0;
    }
    let state = &mut world.systems.shedding.route_cost;
    if tick.now >= state.next {
        state.next = tick.now + PERIOD;
        state.learn();
    }
    if tick.now >= state.next_tell {
        state.next_tell = tick.now + TELL_PERIOD;
        tell(world, tick);
    }
}

/// Tells peers what runs cost here, and takes it in as they do.
fn tell(world: &mut World, tick: &mut Tick) {
    let costs = world.systems.shedding.route_cost.costs();
    if costs.is_empty() {
        return;
    }
    for cost in &costs {
        believe(world, cost.clone(), TOLD_WEIGHT);
    }
    let peers = world.tables.peers.iter().filter(|(_, peer)| peer.link == Link::Up);
    let peers: Vec<_> = peers.map(|(key, _)| key).collect();
    for peer in peers {
        world.send(tick, peer, Message::Costs(costs.clone()));
    }
}

/// Takes in what a node says that runs of a route cost.
fn believe(world: &mut World, told: shedding::Cost, weight: f64) {
    let costs = &mut world.tables.demand.costs;
    let is_first = !costs.contains_key(&told.route);
    let weight = if is_first { 1.0 } else { weight };
    let cost: &mut Cost = costs.entry(told.route).or_default();
    cost.slot_time += (told.slot_time.0 as f64 - cost.slot_time) * weight;
    for calls in cost.calls.values_mut() {
        *calls *= 1.0 - weight;
    }
    for (name, calls) in told.calls {
        *cost.calls.entry(name).or_default() += f64::from(calls) * weight;
    }
    cost.calls.retain(|_, calls| *calls >= LEAST_CALLS / 2.0);
}
