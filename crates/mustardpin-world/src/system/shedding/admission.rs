//! Which share of the requests at the top of call chains is let through.
//!
//! For each service that has too much to do, the node lowers the share of the work for it that it
//! lets through, and raises it again once there is room. A node that falls behind itself holds back
//! all requests alike in the same way. The work that is let through goes to the most important
//! requests first, and among equals to teams by max-min shares; but some of each kind gets through.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt as _;

use crate::{
    clock::Millis,
    id::{CallKey, RouteKey, ServiceKey},
    log::{Entry, Level},
    refusal::{Reason, Refusal},
    system::shedding,
    table::{
        demand::{Load, Offer, RequestClass},
        peer::Link,
        team::Teams,
    },
    world::{Tick, World},
};

/// The time between two looks at services and shares.
const PERIOD: Millis = Millis(100);
/// What amounts are multiplied by each period.
const DECAY: f64 = 0.95;
/// The demand that a service is held to, as a multiple of what it can do.
const TARGET_DEMAND: f64 = 1.05;
/// How strongly the share follows the demand in one period.
const GAIN: f64 = 0.12;
/// The share never falls below this.
const LEAST_SHARE: f64 = 0.05;
/// The deepest chain of calls that is followed.
const DEEPEST: usize = 20;
/// Fewer runs of a route in one level below a request are not followed.
const LEAST_RUNS: f64 = 0.01;
/// More runs of a route in one level below a request are an error of the estimate.
const MOST_RUNS: f64 = 100.0;
/// A request that costs a service less than this, in milliseconds, is not held back for it.
const LEAST_COST: f64 = 1.0;
/// How long a caller should wait before it sends a refused request again.
const RETRY_AFTER: Millis = Millis(400);

/// What the admission remembers from tick to tick.
#[derive(Debug, Default)]
pub(super) struct State {
    next: Millis,
    /// Whether any share is below one.
    is_holding: bool,
}

/// Lets a call through, or says why not.
pub(super) fn admit(world: &mut World, key: CallKey) -> Result<(), Refusal> {
    let Some(call) = world.tables.calls.get(key) else { return Ok(()) };
    if !world.options.shedding.early_refusal || call.from.is_some() || call.nesting.is_nested() {
        return Ok(());
    }
    let Some(route) = call.route else { return Ok(()) };
    let kind = RequestClass { rank: call.rank, team: call.team, route };
    let demand = &mut world.tables.demand;
    // What has not been asked for lately goes as requests like it do.
    let usual = demand.similar(kind).map_or(1.0, |offer| offer.admitted);
    let offer = demand.offers.entry(kind).or_insert(Offer { offered: 0.0, admitted: usual });
    offer.offered += 1.0;
    if !world.systems.shedding.admission.is_holding || offer.admitted >= 1.0 {
        return Ok(());
    }
    if world.rng.random::<f64>() < offer.admitted {
        return Ok(());
    }
    Err(Refusal::not_run(Reason::Shed).after(RETRY_AFTER))
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    if tick.now < world.systems.shedding.admission.next {
        return;
    }
    world.systems.shedding.admission.next = tick.now + PERIOD;
    decay(world);
    let is_holding = follow_demand(world) || world.systems.shedding.node_lag.admitted < 1.0;
    let was_holding = world.systems.shedding.admission.is_holding;
    world.systems.shedding.admission.is_holding = is_holding;
    if is_holding {
        find_loads(world);
        share_out(world);
        tick.wake(tick.now + PERIOD);
    }
    if is_holding != was_holding {
        tick.log(shedding_entry(world, is_holding));
    }
}

fn shedding_entry(world: &World, is_holding: bool) -> Entry {
    let tightest = world
        .tables
        .services
        .iter()
        .min_by(|one, other| one.1.admitted.total_cmp(&other.1.admitted));
    let entry = Entry::new(Level::Info, "shedding").with("on", is_holding);
    let Some((_, service)) = tightest else { return entry };
    entry
        .with("service", service.name.clone())
        .with("demand_percent", (service.demand * 100.0) as u64)
        .with("admitted_percent", (service.admitted * 100.0) as u64)
}

/// Lets amounts decay, and forgets what is not asked for any more.
fn decay(world: &mut World) {
    const RARE: f64 = 0.02;

    world.tables.demand.offers.retain(|_, offer| {
        offer.offered *= DECAY;
        offer.offered > RARE
    });
}

/// Brings the share of each service up to date. Returns whether any is below one.
fn follow_demand(world: &mut World) -> bool {
    let keys: Vec<ServiceKey> = world.tables.services.iter().map(|(key, _)| key).collect();
    let mut is_holding = false;
    for key in keys {
        let demand = demand_of(world, key);
        let Some(service) = world.tables.services.get_mut(key) else { continue };
        let Some(demand) = demand else {
            // Nothing is known of it, so nothing is held back for it.
            service.admitted = 1.0;
            continue;
        };
        service.demand = demand;
        let change = (TARGET_DEMAND / demand.max(0.01)).powf(GAIN);
        service.admitted = (service.admitted * change).clamp(LEAST_SHARE, 1.0);
        is_holding |= service.admitted < 1.0;
    }
    is_holding
}

/// How much is asked of a service's targets, as a multiple of what they can do together.
fn demand_of(world: &World, key: ServiceKey) -> Option<f64> {
    let tables = &world.tables;
    let service = tables.services.get(key)?;
    let peers = service.peers.iter().filter_map(|&peer| tables.peers.get(peer));
    let loads = peers.filter(|peer| peer.link == Link::Up).filter_map(|peer| peer.load);
    let loads = loads.filter(|load| load.open).map(|load| (load.demand, load.limit));
    let target = &tables.target;
    let is_own = service.name == *world.identity.service() && target.is_open();
    let own = is_own.then(|| (shedding::demand(world), target.limit));
    let (mut asked, mut limits) = (0.0, 0.0);
    for (demand, limit) in loads.chain(own) {
        asked += f64::from(demand) / 1_000.0 * f64::from(limit);
        limits += f64::from(limit);
    }
    (limits > 0.0).then(|| asked / limits)
}

/// Works out what requests for each route that is asked for cost each service.
fn find_loads(world: &mut World) {
    let routes: BTreeSet<RouteKey> =
        world.tables.demand.offers.keys().map(|kind| kind.route).collect();
    for route in routes {
        let load = load_of(world, route);
        world.tables.demand.loads.insert(route, load);
    }
}

/// What a run of a route costs, with all the calls below it. Goes down level by level, so that
/// estimates in which routes call each other in a circle cost no more than others.
fn load_of(world: &World, route: RouteKey) -> Load {
    let tables = &world.tables;
    let mut load: BTreeMap<ServiceKey, f64> = BTreeMap::new();
    let mut level = BTreeMap::from([(route, 1.0)]);
    for _ in 0..DEEPEST {
        let mut below: BTreeMap<RouteKey, f64> = BTreeMap::new();
        for (route, runs) in level {
            let Some(row) = tables.routes.get(route) else { continue };
            let Some(cost) = tables.demand.costs.get(&row.config.name) else { continue };
            let weights: f64 = row.parts.iter().map(|part| f64::from(part.weight)).sum();
            for part in &row.parts {
                let share = f64::from(part.weight) / weights.max(1.0);
                *load.entry(part.service).or_default() += cost.slot_time * runs * share;
            }
            for (name, calls) in &cost.calls {
                if let Some(called) = tables.routes.by_name(name) {
                    *below.entry(called).or_default() += runs * calls;
                }
            }
        }
        below.retain(|_, runs| *runs >= LEAST_RUNS);
        below.values_mut().for_each(|runs| *runs = runs.min(MOST_RUNS));
        level = below;
    }
    load.into_iter().collect()
}

/// Work that requests of one kind ask a service for.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Asked {
    kind: RequestClass,
    work: f64,
}

/// Works out which share of each kind of request is let through.
fn share_out(world: &mut World) {
    let services = &world.tables.services;
    let tight: Vec<(ServiceKey, f64)> = services
        .iter()
        .filter(|(_, service)| service.admitted < 1.0)
        .map(|(key, service)| (key, service.admitted))
        .collect();
    let own_share = world.systems.shedding.node_lag.admitted;
    let teams = &world.tables.teams;
    let floor = f64::from(world.options.shedding.floor_percent) / 100.0;
    let demand = &mut world.tables.demand;
    for offer in demand.offers.values_mut() {
        offer.admitted = 1.0;
    }
    if own_share < 1.0 {
        let offers = demand.offers.iter().filter(|(_, offer)| offer.offered > 0.0);
        let asked: Vec<Asked> =
            offers.map(|(&kind, offer)| Asked { kind, work: offer.offered }).collect();
        for (kind, admitted) in shares(&asked, own_share, floor, teams) {
            if let Some(offer) = demand.offers.get_mut(&kind) {
                offer.admitted = admitted;
            }
        }
    }
    for (service, share) in tight {
        let cost = |route: RouteKey| cost_of(demand.loads.get(route), service);
        let asked: Vec<Asked> = demand
            .offers
            .iter()
            .filter(|(kind, offer)| offer.offered > 0.0 && cost(kind.route) >= LEAST_COST)
            .map(|(&kind, offer)| Asked { kind, work: offer.offered * cost(kind.route) })
            .collect();
        for (kind, admitted) in shares(&asked, share, floor, teams) {
            if let Some(offer) = demand.offers.get_mut(&kind) {
                offer.admitted = offer.admitted.min(admitted);
            }
        }
    }
}

fn cost_of(load: Option<&Load>, service: ServiceKey) -> f64 {
    let load = load.into_iter().flatten();
    load.filter(|(other, _)| *other == service).map(|(_, cost)| cost).sum()
}

/// Splits a share of all work between kinds of request: those of each importance have a part of
/// their own, and the rest goes to the most important first. Teams share by max-min. `asked` is in
/// the order of importance, the least first, and among equals by team.
fn shares(asked: &[Asked], share: f64, floor: f64, teams: &Teams) -> Vec<(RequestClass, f64)> {
    let total: f64 = asked.iter().map(|asked| asked.work).sum();
    let least = share * floor;
    let mut left = total * (share - least);
    let mut shares = Vec::with_capacity(asked.len());
    for equals in asked.chunk_by(|one, other| one.kind.rank == other.kind.rank).rev() {
        let work: f64 = equals.iter().map(|asked| asked.work).sum();
        let more = (work * (1.0 - least)).min(left);
        left -= more;
        let mut wanted: Vec<Wanted> = equals
            .chunk_by(|one, other| one.kind.team == other.kind.team)
            .map(|asked| Wanted::new(asked, teams))
            .collect();
        max_min(&mut wanted, work * least + more);
        for wanted in wanted {
            let admitted = wanted.given / wanted.work.max(f64::MIN_POSITIVE);
            shares.extend(wanted.asked.iter().map(|asked| (asked.kind, admitted)));
        }
    }
    shares
}

/// What a team wants of the work of one importance.
struct Wanted<'a> {
    asked: &'a [Asked],
    weight: f64,
    work: f64,
    given: f64,
}

impl Wanted<'_> {
    fn new<'a>(asked: &'a [Asked], teams: &Teams) -> Wanted<'a> {
        let team = asked.first().and_then(|asked| asked.kind.team);
        let weight = team.and_then(|team| teams.get(team)).map_or(1, |team| team.weight.max(1));
        let work = asked.iter().map(|asked| asked.work).sum();
        Wanted { asked, weight: f64::from(weight), work, given: 0.0 }
    }
}

/// Gives out work in weighted max-min shares.
fn max_min(wanted: &mut [Wanted<'_>], total: f64) {
    wanted.sort_by(|one, other| (one.work / one.weight).total_cmp(&(other.work / other.weight)));
    let mut weight: f64 = wanted.iter().map(|wanted| wanted.weight).sum();
    let mut left = total;
    for wanted in wanted {
        wanted.given = (left * wanted.weight / weight).min(wanted.work);
        left -= wanted.given;
        weight -= wanted.weight;
    }
}
