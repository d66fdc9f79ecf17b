//! Finds a place for each call: the own target or a peer's.
//!
//! Each place has a cost: how long a run takes there, as a multiple of what it usually takes, and
//! how long it waits there first. A place in another data centre has to be better by a margin,
//! since the way there costs time and bytes.

use rand::RngExt as _;

use crate::{
    clock::Millis,
    command::Command,
    id::{CallKey, PeerKey},
    log::{Entry, Level},
    refusal::{Reason, Refusal},
    request::{Forward, Forwarded, Verdict},
    system::{finish, retry, shedding},
    table::{
        call::{Call, Stage},
        counter::Work,
        health::EjectionState,
        peer::{Link, Peer},
    },
    world::{Tick, World},
};

/// What a peer said of its load is believed for this long; after it, only this node's own requests
/// count.
const BELIEVED_FOR: Millis = Millis(1_000);
/// The limit of a peer that has not told its own.
const ASSUMED_LIMIT: u32 = 8;
/// From this part of its limit on, a target counts as increasingly crowded.
const CROWDED_FROM: f32 = 0.7;
/// The cost of a target at its limit beyond that of an idle one, in runs.
const CROWDED_COST: f32 = 1.0;
/// Costs that differ by less than this are the same, in runs: the choice among them is random, so
/// that nodes do not all choose the same target.
const SAME_COST: f32 = 0.15;
/// How long a caller should wait before it sends a refused request again.
const RETRY_AFTER: Millis = Millis(500);

/// Where a call may go.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Place {
    Own,
    Peer(PeerKey),
}

/// A place and what it costs to go there, in runs.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Candidate {
    place: Place,
    cost: f32,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in world.tables.calls.take(Stage::Routing) {
        route(world, tick, call);
    }
}

fn route(world: &mut World, tick: &mut Tick, key: CallKey) {
    let Some(call) = world.tables.calls.get(key) else { return };
    let is_first = !call.lineage.own_tried && call.tried.is_empty();
    if is_first {
        retry::earn(world, key);
        if let Err(refusal) = shedding::admit(world, key) {
            return finish::run(world, tick, key, Verdict::Refuse(refusal));
        }
    }
    let noise = world.rng.random::<u64>();
    let Some(call) = world.tables.calls.get(key) else { return };
    match choose(world, tick.now, call, noise) {
        Some(Place::Own) => world.tables.calls.advance(key, Stage::Screening, tick.now),
        Some(Place::Peer(peer)) => forward(world, tick, key, peer),
        None => {
            let refusal = no_target(call);
            finish::run(world, tick, key, Verdict::Refuse(refusal));
        }
    }
}

/// Whether there is a place that a call may go to.
pub(super) fn has_destination(world: &World, now: Millis, key: CallKey) -> bool {
    world.tables.calls.get(key).is_some_and(|call| choose(world, now, call, 0).is_some())
}

/// The place with the least cost. `noise` decides between equals.
fn choose(world: &World, now: Millis, call: &Call, noise: u64) -> Option<Place> {
    let tables = &world.tables;
    let own = own_candidate(world, now, call);
    if let Some(own) = own
        && call.from.is_some()
    {
        return Some(own.place);
    }
    let mut best = own;
    if call.hops < world.options.routing.max_hops
        && let Some(service) = tables.services.get(call.service)
    {
        let count = service.peers.len();
        for index in 0..count {
            // Beginning anywhere makes the choice among equals random.
            let peer = service.peers[(index + noise as usize) % count];
            let cost = tables.peers.get(peer).and_then(|row| cost(world, row, peer, call, now));
            let Some(cost) = cost else { continue };
            if best.is_none_or(|best| cost + SAME_COST < best.cost) {
                best = Some(Candidate { place: Place::Peer(peer), cost });
            }
        }
    }
    best.map(|best| best.place)
}

fn no_target(call: &Call) -> Refusal {
    Refusal::not_run(Reason::NoTarget).after(RETRY_AFTER.min(call.deadline - call.arrived))
}

fn own_candidate(world: &World, now: Millis, call: &Call) -> Option<Candidate> {
    let tables = &world.tables;
    let target = &tables.target;
    let service = tables.services.get(call.service)?;
    if service.name != *world.identity.service() || call.lineage.own_tried {
        return None;
    }
    if !target.is_open() || tables.leaving {
        return None;
    }
    if target.health.ejection_state(now, target.running) == EjectionState::Ejected {
        return None;
    }
    let cost = 1.0 + crowding(target.running + target.queued, target.limit);
    Some(Candidate { place: Place::Own, cost })
}

/// What it costs to pass a call to a peer, or `None` if that may not be.
fn cost(world: &World, peer: &Peer, key: PeerKey, call: &Call, now: Millis) -> Option<f32> {
    let node = peer.announcement.node;
    if peer.link != Link::Up || Some(node) == call.from || call.tried.contains(&key) {
        return None;
    }
    if peer.health.ejection_state(now, peer.in_flight) == EjectionState::Ejected {
        return None;
    }
    let load = peer.load?;
    if !load.open {
        return None;
    }
    let reported =
        if now - peer.load_as_of < BELIEVED_FOR { load.running + load.queued } else { 0 };
    let present = (reported + peer.unreported).max(peer.in_flight);
    let limit = if load.limit == 0 { ASSUMED_LIMIT } else { load.limit };
    let distance = match peer.is_local {
        true => 0.0,
        false => world.options.routing.local_preference as f32 / 100.0,
    };
    Some(peer.pace + crowding(present, limit) + distance)
}

/// What it costs that so many requests are at a target with this limit, in runs.
fn crowding(present: u32, limit: u32) -> f32 {
    let load = (present + 1) as f32 / limit.max(1) as f32;
    if load <= CROWDED_FROM {
        return load * 0.1;
    }
    let crowded = (load - CROWDED_FROM) / (1.0 - CROWDED_FROM);
    crowded * CROWDED_COST
}

/// Passes a call to a peer.
fn forward(world: &mut World, tick: &mut Tick, key: CallKey, peer_key: PeerKey) {
    let lent = retry::lend(world, key);
    let tables = &mut world.tables;
    tables.calls.advance(key, Stage::Forwarded, tick.now);
    let Some(call) = tables.calls.get_mut(key) else { return };
    let Some(peer) = tables.peers.get_mut(peer_key) else { return };
    call.peer = Some(peer_key);
    call.lineage.lent = lent;
    peer.in_flight += 1;
    peer.unreported += 1;
    let tenant = call.tenant.and_then(|tenant| tables.tenants.get(tenant));
    let key_id = tenant.map(|key| key.id.clone()).or_else(|| call.key_id.clone());
    let route = call.route.and_then(|route| tables.routes.get(route));
    let team = call.team.and_then(|team| tables.teams.get(team));
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
    tables.counters.work(Work::Forwarded);
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
        .with("attempt", call.lineage.arrivals + call.lineage.reroutes + 1)
        .with("peer_running", load.running)
        .with("peer_queued", load.queued)
        .with("peer_limit", load.limit)
        .with("load_age", now - peer.load_as_of)
        .with("left", call.deadline - now)
}
