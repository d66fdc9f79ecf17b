//! The fraction of the requests at the root of call chains that is admitted.
//!
//! For each overloaded service, the node lowers the fraction of the work for it that it admits, and
//! raises it again once the service has capacity. A node that lags itself does the same for all
//! requests, whichever services they call. The admitted work goes to the most important requests
//! first, and within a rank to teams by max-min fairness. `floor_percent` of it is divided among
//! all ranks in proportion to their work, so that some requests of each rank are admitted unless
//! the option is zero.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt as _;

use crate::{
    clock::Millis,
    id::{CallKey, RouteKey, ServiceKey},
    log::{Entry, Level},
    refusal::{Reason, Refusal},
    system::shedding,
    table::{
        demand::{Offer, RequestClass, ServiceCosts},
        peer::Link,
        team::Teams,
    },
    world::{Tick, World},
};

/// The time between two updates of the admitted fractions.
const UPDATE_INTERVAL: Millis = Millis(100);
/// The offered amounts are multiplied by this at each update.
const DECAY_FACTOR: f64 = 0.95;
/// The demand that admission steers a service to, as a multiple of its capacity.
const TARGET_DEMAND: f64 = 1.05;
/// How strongly the admitted fraction follows the demand at each update, as an exponent.
const GAIN: f64 = 0.12;
/// The lower bound of the fraction that is admitted for a service.
const MIN_ADMITTED: f64 = 0.05;
/// The maximum depth to which chains of calls are followed.
const MAX_CALL_DEPTH: usize = 20;
/// Routes with fewer runs than this in one level below a request are not followed further.
const MIN_RUNS: f64 = 0.01;
/// More runs of a route than this in one level below a request are an error of the estimate.
const MAX_RUNS: f64 = 100.0;
/// A request that costs a service less than this, in milliseconds, is not shed for it.
const MIN_COST_MS: f64 = 1.0;
/// How long a caller should wait before it retries a refused request.
const RETRY_AFTER: Millis = Millis(400);

/// State of admission between ticks.
#[derive(Debug, Default)]
pub(super) struct State {
    next_update: Millis,
    /// Whether any admitted fraction is below one.
    is_shedding: bool,
}

/// Admits a call, or returns the refusal to send to its caller.
pub(super) fn admit(world: &mut World, key: CallKey) -> Result<(), Refusal> {
    let Some(call) = world.tables.calls.get(key) else { return Ok(()) };
    if !world.options.shedding.early_refusal || call.from.is_some() || call.nesting.is_nested() {
        return Ok(());
    }
    let Some(route) = call.route else { return Ok(()) };
    let class = RequestClass { rank: call.rank, team: call.team, route };
    let demand = &mut world.tables.demand;
    // A class without recent requests starts with the fraction of a similar class.
    let similar_admitted = demand.similar(class).map_or(1.0, |offer| offer.admitted);
    let offer =
        demand.offers.entry(class).or_insert(Offer { offered: 0.0, admitted: similar_admitted });
    offer.offered += 1.0;
    if !world.systems.shedding.admission.is_shedding || offer.admitted >= 1.0 {
        return Ok(());
    }
    if world.rng.random::<f64>() < offer.admitted {
        return Ok(());
    }
    Err(Refusal::not_run(Reason::Shed).after(RETRY_AFTER))
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    if tick.now < world.systems.shedding.admission.next_update {
        return;
    }
    world.systems.shedding.admission.next_update = tick.now + UPDATE_INTERVAL;
    decay(world);
    let is_shedding = update_services(world) || world.systems.shedding.node_lag.admitted < 1.0;
    let was_shedding = world.systems.shedding.admission.is_shedding;
    world.systems.shedding.admission.is_shedding = is_shedding;
    if is_shedding {
        estimate_all_service_costs(world);
        update_offers(world);
        tick.wake(tick.now + UPDATE_INTERVAL);
    }
    if is_shedding != was_shedding {
        tick.log(shedding_entry(world, is_shedding));
    }
}

fn shedding_entry(world: &World, is_shedding: bool) -> Entry {
    let most_overloaded = world
        .tables
        .services
        .iter()
        .min_by(|one, other| one.1.admitted.total_cmp(&other.1.admitted));
    let entry = Entry::new(Level::Info, "shedding").with("on", is_shedding);
    let Some((_, service)) = most_overloaded else { return entry };
    entry
        .with("service", service.name.clone())
        .with("demand_percent", (service.demand * 100.0) as u64)
        .with("admitted_percent", (service.admitted * 100.0) as u64)
}

/// Decays the offered amounts, and removes classes that are not requested any more.
fn decay(world: &mut World) {
    const MIN_OFFERED: f64 = 0.02;

    world.tables.demand.offers.retain(|_, offer| {
        offer.offered *= DECAY_FACTOR;
        offer.offered > MIN_OFFERED
    });
}

/// Updates the admitted fraction of each service. Returns whether any is below one.
fn update_services(world: &mut World) -> bool {
    let keys: Vec<ServiceKey> = world.tables.services.iter().map(|(key, _)| key).collect();
    let mut is_shedding = false;
    for key in keys {
        let demand = service_demand(world, key);
        let Some(service) = world.tables.services.get_mut(key) else { continue };
        let Some(demand) = demand else {
            // Its demand is not known, so no requests are shed for it.
            service.admitted = 1.0;
            continue;
        };
        service.demand = demand;
        let change = (TARGET_DEMAND / demand.max(0.01)).powf(GAIN);
        service.admitted = (service.admitted * change).clamp(MIN_ADMITTED, 1.0);
        is_shedding |= service.admitted < 1.0;
    }
    is_shedding
}

/// The demand on a service's targets, as a multiple of their total capacity.
fn service_demand(world: &World, key: ServiceKey) -> Option<f64> {
    let tables = &world.tables;
    let service = tables.services.get(key)?;
    let peers = service.peers.iter().filter_map(|&peer| tables.peers.get(peer));
    let loads = peers.filter(|peer| peer.link == Link::Up).filter_map(|peer| peer.load);
    let loads = loads.filter(|load| load.open).map(|load| (load.demand, load.limit));
    let target = &tables.target;
    let is_local = service.name == *world.identity.service() && target.is_open();
    let local = is_local.then(|| (shedding::demand(world), target.usable_limit()));
    let (mut requested, mut limits) = (0.0, 0.0);
    for (demand, limit) in loads.chain(local) {
        requested += f64::from(demand) / 1_000.0 * f64::from(limit);
        limits += f64::from(limit);
    }
    (limits > 0.0).then(|| requested / limits)
}

/// Estimates what a request for each requested route costs each service.
fn estimate_all_service_costs(world: &mut World) {
    let routes: BTreeSet<RouteKey> =
        world.tables.demand.offers.keys().map(|class| class.route).collect();
    for route in routes {
        let estimate = estimate_service_costs(world, route);
        world.tables.demand.service_costs.insert(route, estimate);
    }
}

/// The slot time, in milliseconds, that a run of a route costs each service, with all the calls
/// below it. Descends level by level, so that estimates in which routes call each other in a cycle
/// take no longer to evaluate than others.
fn estimate_service_costs(world: &World, route: RouteKey) -> ServiceCosts {
    let tables = &world.tables;
    let mut estimate: BTreeMap<ServiceKey, f64> = BTreeMap::new();
    let mut level = BTreeMap::from([(route, 1.0)]);
    for _ in 0..MAX_CALL_DEPTH {
        let mut next_level: BTreeMap<RouteKey, f64> = BTreeMap::new();
        for (route, runs) in level {
            let Some(row) = tables.routes.get(route) else { continue };
            let Some(cost) = tables.demand.costs.get(&row.config.name) else { continue };
            let weights: f64 = row.parts.iter().map(|part| f64::from(part.weight)).sum();
            for part in &row.parts {
                let share = f64::from(part.weight) / weights.max(1.0);
                *estimate.entry(part.service).or_default() += cost.slot_time * runs * share;
            }
            for (name, calls) in &cost.calls {
                if let Some(called) = tables.routes.by_name(name) {
                    *next_level.entry(called).or_default() += runs * calls;
                }
            }
        }
        next_level.retain(|_, runs| *runs >= MIN_RUNS);
        next_level.values_mut().for_each(|runs| *runs = runs.min(MAX_RUNS));
        level = next_level;
    }
    estimate.into_iter().collect()
}

/// The work that requests of one class demand.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ClassWork {
    class: RequestClass,
    /// For a service, in milliseconds of slot time; for the node itself, in requests.
    work: f64,
}

/// Computes the admitted fraction of each class of request.
fn update_offers(world: &mut World) {
    let services = &world.tables.services;
    let overloaded: Vec<(ServiceKey, f64)> = services
        .iter()
        .filter(|(_, service)| service.admitted < 1.0)
        .map(|(key, service)| (key, service.admitted))
        .collect();
    let node_share = world.systems.shedding.node_lag.admitted;
    let teams = &world.tables.teams;
    let floor = f64::from(world.options.shedding.floor_percent) / 100.0;
    let demand = &mut world.tables.demand;
    for offer in demand.offers.values_mut() {
        offer.admitted = 1.0;
    }
    if node_share < 1.0 {
        let offers = demand.offers.iter().filter(|(_, offer)| offer.offered > 0.0);
        let requested: Vec<ClassWork> =
            offers.map(|(&class, offer)| ClassWork { class, work: offer.offered }).collect();
        for (class, admitted) in split_work(&requested, node_share, floor, teams) {
            if let Some(offer) = demand.offers.get_mut(&class) {
                offer.admitted = admitted;
            }
        }
    }
    for (service, share) in overloaded {
        let cost = |route: RouteKey| cost_of(demand.service_costs.get(route), service);
        let requested: Vec<ClassWork> = demand
            .offers
            .iter()
            .filter(|(class, offer)| offer.offered > 0.0 && cost(class.route) >= MIN_COST_MS)
            .map(|(&class, offer)| ClassWork { class, work: offer.offered * cost(class.route) })
            .collect();
        for (class, admitted) in split_work(&requested, share, floor, teams) {
            if let Some(offer) = demand.offers.get_mut(&class) {
                offer.admitted = offer.admitted.min(admitted);
            }
        }
    }
}

fn cost_of(estimate: Option<&ServiceCosts>, service: ServiceKey) -> f64 {
    let estimate = estimate.into_iter().flatten();
    estimate.filter(|(other, _)| *other == service).map(|(_, cost)| cost).sum()
}

/// Divides the fraction `share` of all work among classes of request, and returns the fraction of
/// each class that is admitted. Each rank is guaranteed `share * floor` of its own work, and the
/// rest goes to the highest rank first. Teams share by max-min fairness. `requested` is sorted by
/// rank, the lowest first, and within a rank by team.
fn split_work(
    requested: &[ClassWork],
    share: f64,
    floor: f64,
    teams: &Teams,
) -> Vec<(RequestClass, f64)> {
    let total: f64 = requested.iter().map(|requested| requested.work).sum();
    let guaranteed = share * floor;
    let mut remaining = total * (share - guaranteed);
    let mut shares = Vec::with_capacity(requested.len());
    for same_rank in requested.chunk_by(|one, other| one.class.rank == other.class.rank).rev() {
        let work: f64 = same_rank.iter().map(|requested| requested.work).sum();
        let extra = (work * (1.0 - guaranteed)).min(remaining);
        remaining -= extra;
        let mut team_work: Vec<TeamWork> = same_rank
            .chunk_by(|one, other| one.class.team == other.class.team)
            .map(|requested| TeamWork::new(requested, teams))
            .collect();
        max_min(&mut team_work, work * guaranteed + extra);
        for team_work in team_work {
            let admitted = team_work.granted / team_work.work.max(f64::MIN_POSITIVE);
            shares.extend(team_work.requested.iter().map(|requested| (requested.class, admitted)));
        }
    }
    shares
}

/// The work that a team demands and is granted within one rank.
struct TeamWork<'a> {
    requested: &'a [ClassWork],
    weight: f64,
    work: f64,
    granted: f64,
}

impl TeamWork<'_> {
    fn new<'a>(requested: &'a [ClassWork], teams: &Teams) -> TeamWork<'a> {
        let team = requested.first().and_then(|requested| requested.class.team);
        let weight = team.and_then(|team| teams.get(team)).map_or(1, |team| team.weight.max(1));
        let work = requested.iter().map(|requested| requested.work).sum();
        TeamWork { requested, weight: f64::from(weight), work, granted: 0.0 }
    }
}

/// Distributes `total` work by weighted max-min fairness.
fn max_min(team_work: &mut [TeamWork<'_>], total: f64) {
    team_work.sort_by(|one, other| (one.work / one.weight).total_cmp(&(other.work / other.weight)));
    let mut weight: f64 = team_work.iter().map(|team_work| team_work.weight).sum();
    let mut remaining = total;
    for team_work in team_work {
        team_work.granted = (remaining * team_work.weight / weight).min(team_work.work);
        remaining -= team_work.granted;
        weight -= team_work.weight;
    }
}
