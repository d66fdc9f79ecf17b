//! Chooses a target for each call: the local one or that of a peer.
//!
//! Each target has a cost: how long a run takes there, as a multiple of its usual duration, plus
//! how long it waits there first. A target in another data centre has to be better by a margin,
//! since the network path there costs time and bytes.

use rand::RngExt as _;

use crate::{
    clock::Millis,
    command::Command,
    id::{CallKey, PeerKey},
    log::{Entry, Level},
    refusal::{Reason, Refusal},
    request::{Forward, Forwarded, TargetRate, Verdict},
    system::{clearance, finish, retry, shedding},
    table::{
        call::{Call, Stage},
        counter::Work,
        health::EjectionState,
        peer::{Link, Peer},
    },
    world::{Tick, World},
};

/// How long a peer's load report is used. After that, only this node's own requests to the peer
/// count.
const LOAD_REPORT_TTL: Millis = Millis(1_000);
/// The assumed limit of a peer that has not reported one.
const DEFAULT_LIMIT: u32 = 8;
/// From this fraction of its limit on, a target counts as increasingly congested.
const CONGESTED_FROM: f32 = 0.7;
/// The additional cost of a target at its limit compared with an idle one, in runs.
const CONGESTION_COST: f32 = 1.0;
/// Costs that differ by less than this, in runs, count as equal: the choice among them is random,
/// so that nodes do not all choose the same target.
const COST_TOLERANCE: f32 = 0.15;
/// The additional cost of a target with a rate limit for a call that another target had no room for,
/// in runs. Its load may have changed since it was reported, and a call is rerouted a few times only.
const REROUTED_COST: f32 = 1.0;
/// How long a caller should wait before it retries a refused request.
const RETRY_AFTER: Millis = Millis(500);

/// Where a call may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Destination {
    /// The local target.
    Local,
    /// A peer, for the target behind it.
    Peer(PeerKey),
}

/// A destination and the cost of sending a call there, in runs.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Candidate {
    destination: Destination,
    cost: f32,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in world.tables.calls.take(Stage::Routing) {
        route(world, tick, call);
    }
}

fn route(world: &mut World, tick: &mut Tick, key: CallKey) {
    let Some(call) = world.tables.calls.get(key) else { return };
    let is_first = !call.lineage.local_tried && call.tried.is_empty();
    if is_first {
        retry::earn(world, key);
        if let Err(refusal) = shedding::admit(world, key) {
            return finish::run(world, tick, key, Verdict::Refuse(refusal));
        }
    }
    let tie_breaker = world.rng.random::<u64>();
    let Some(call) = world.tables.calls.get(key) else { return };
    match choose(world, tick.now, call, tie_breaker) {
        Some(Destination::Local) => world.tables.calls.advance(key, Stage::Screening, tick.now),
        Some(Destination::Peer(peer)) => forward(world, tick, key, peer),
        None => {
            let refusal = no_target(call);
            finish::run(world, tick, key, Verdict::Refuse(refusal));
        }
    }
}

/// Whether there is a destination for a call.
pub(super) fn has_destination(world: &World, now: Millis, key: CallKey) -> bool {
    world.tables.calls.get(key).is_some_and(|call| choose(world, now, call, 0).is_some())
}

/// The destination with the lowest cost. `tie_breaker` selects among peers of equal cost.
fn choose(world: &World, now: Millis, call: &Call, tie_breaker: u64) -> Option<Destination> {
    let tables = &world.tables;
    let local = local_candidate(world, now, call);
    if let Some(local) = local
        && call.from.is_some()
    {
        return Some(local.destination);
    }
    let mut best = local;
    if call.hops < world.options.routing.max_hops
        && let Some(service) = tables.services.get(call.service)
    {
        let count = service.peers.len();
        for index in 0..count {
            // A random start makes the choice among peers of equal cost random.
            let peer = service.peers[(index + tie_breaker as usize) % count];
            let cost = tables.peers.get(peer).and_then(|row| cost(world, row, peer, call, now));
            let Some(cost) = cost else { continue };
            if best.is_none_or(|best| cost + COST_TOLERANCE < best.cost) {
                best = Some(Candidate { destination: Destination::Peer(peer), cost });
            }
        }
    }
    best.map(|best| best.destination)
}

fn no_target(call: &Call) -> Refusal {
    Refusal::not_run(Reason::NoTarget).after(RETRY_AFTER.min(call.deadline - call.arrived))
}

fn local_candidate(world: &World, now: Millis, call: &Call) -> Option<Candidate> {
    let tables = &world.tables;
    let target = &tables.target;
    let service = tables.services.get(call.service)?;
    if service.name != *world.identity.service() || call.lineage.local_tried {
        return None;
    }
    if !target.is_open() || tables.leaving {
        return None;
    }
    if target.health.ejection_state(now, target.running) == EjectionState::Ejected {
        return None;
    }
    let cost = 1.0 + congestion_cost(target.running + target.queued, target.usable_limit());
    Some(Candidate { destination: Destination::Local, cost })
}

/// The cost of forwarding a call to a peer, in runs, or `None` if the peer can't be used.
fn cost(world: &World, peer: &Peer, key: PeerKey, call: &Call, now: Millis) -> Option<f32> {
    let node = peer.announcement.node;
    if peer.link != Link::Up || Some(node) == call.from || call.tried.contains(&key) {
        return None;
    }
    if peer.health.ejection_state(now, peer.in_flight) == EjectionState::Ejected {
        return None;
    }
    let load = peer.load?;
    if !load.open || peer.is_target_leaving {
        return None;
    }
    let is_recent = now - peer.load_as_of < LOAD_REPORT_TTL;
    let reported = if is_recent { load.running.saturating_add(load.queued) } else { 0 };
    let pending = reported.saturating_add(peer.unreported).max(peer.in_flight);
    let limit = if load.limit == 0 { DEFAULT_LIMIT } else { load.limit };
    let distance = match peer.is_local {
        true => 0.0,
        false => world.options.routing.local_preference as f32 / 100.0,
    };
    let is_limited = matches!(load.rate, TargetRate::Limited(_));
    let rerouted = if is_limited && call.lineage.reroutes > 0 { REROUTED_COST } else { 0.0 };
    Some(peer.latency_ratio + congestion_cost(pending, limit) + distance + rerouted)
}

/// The cost of the congestion that `pending` requests cause at a target with this limit, in runs.
fn congestion_cost(pending: u32, limit: u32) -> f32 {
    let load = (pending as f32 + 1.0) / limit.max(1) as f32;
    if load <= CONGESTED_FROM {
        return load * 0.1;
    }
    let congestion = (load - CONGESTED_FROM) / (1.0 - CONGESTED_FROM);
    congestion * CONGESTION_COST
}

/// Forwards a call to a peer, unless it is no longer permitted.
fn forward(world: &mut World, tick: &mut Tick, key: CallKey, peer_key: PeerKey) {
    if !clearance::check(world, tick, key) {
        return;
    }
    let lent = retry::lend(world, key);
    let tables = &mut world.tables;
    tables.calls.advance(key, Stage::Forwarded, tick.now);
    let Some(call) = tables.calls.get_mut(key) else { return };
    let Some(peer) = tables.peers.get_mut(peer_key) else { return };
    call.peer = Some(peer_key);
    call.lineage.lent = lent;
    peer.in_flight += 1;
    peer.unreported += 1;
    let route = call.route.and_then(|route| tables.routes.get(route));
    let team = call.team.and_then(|team| tables.teams.get(team));
    // On an open route, a request runs for nobody, whatever key it came with.
    let tenant = call.tenant.filter(|_| team.is_some());
    let tenant = tenant.and_then(|tenant| tables.tenants.get(tenant));
    let key_id = tenant.map(|key| key.id.clone()).or_else(|| call.key_id.clone());
    let service = tables.services.get(call.service);
    let forwarded = Forwarded {
        from: world.identity.announcement.node,
        revision: tables.configuration.revision,
        key_id,
        team: team.map(|team| team.name.clone()),
        route: route.map(|route| route.config.name.clone()).unwrap_or_default(),
        service: service.map(|service| service.name.clone()).unwrap_or_default(),
        rank: call.rank,
        nesting: call.nesting,
        repeatable: call.repeatable,
        objective: call.objective - tick.now,
        retry_allowance: lent,
        depth: call.depth,
        hops: call.hops + 1,
    };
    if call.is_logged {
        tick.commands.push(Command::Log(forwarded_entry(call, peer, tick.now)));
    }
    tables.counters.count_work(Work::Forwarded);
    tick.commands.push(Command::Forward(Forward {
        ticket: call.ticket,
        to: peer.announcement.node,
        forwarded,
        timeout: (call.deadline - tick.now) - world.options.routing.margin,
        deadline: call.deadline,
    }));
}

fn forwarded_entry(call: &Call, peer: &Peer, now: Millis) -> Entry {
    let load = peer.load.unwrap_or_default();
    Entry::new(Level::Info, "forwarded")
        .on(&call.id)
        .with("peer", peer.announcement.name.clone())
        .with("attempt", call.lineage.sent_attempts + call.lineage.reroutes + 1)
        .with("peer_running", load.running)
        .with("peer_queued", load.queued)
        .with("peer_limit", load.limit)
        .with("load_age", now - peer.load_as_of)
        .with("left", call.deadline - now)
}
