//! Finds a place for each call: the own target or a peer's.
//!
//! The own target comes first, then peers of the own data centre, then those of others, for as long
//! as they have room by what this node measures and by what their last answers said. Among peers,
//! the less loaded of two drawn at random is taken.

use rand::RngExt as _;

use crate::{
    clock::Millis,
    command::Command,
    id::{CallKey, PeerKey},
    refusal::{Reason, Refusal},
    request::{Forward, Forwarded, Verdict},
    system::{finish, placement, pressure, retry},
    table::{
        call::{Call, Stage},
        counter::Work,
        health::Standing,
        peer::{Peer, State},
    },
    world::{Tick, World},
};

/// What a peer's answer said of its load is believed for this long.
const BELIEVED_FOR: Millis = Millis(500);
/// How many peers are drawn in search of two that may get the call.
const DRAWS: usize = 6;
/// A target that has more than this multiple of its limit running and waiting is crowded.
const CROWDED: f64 = 1.25;
/// The limit of a peer that has not told its own.
const ASSUMED_LIMIT: u32 = 8;
/// How long a caller should wait before it sends a refused request again.
const RETRY_AFTER: Millis = Millis(1_000);

/// Where a call may go.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Place {
    Own,
    Peer(PeerKey),
}

/// A place and how loaded it is, as a multiple of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Candidate {
    place: Place,
    load: f64,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in world.tables.calls.take(Stage::Routing) {
        route(world, tick, call);
    }
}

fn route(world: &mut World, tick: &mut Tick, key: CallKey) {
    let Some(call) = world.tables.calls.get(key) else { return };
    let is_retry = call.lineage.own_tried || !call.tried.is_empty();
    if !is_retry && let Err(refusal) = pressure::admit(world, key) {
        return finish::run(world, tick, key, Verdict::Refuse(refusal));
    }
    if placement::name(&world.tables, key).is_some() {
        return placement::run(world, tick, key);
    }
    match choose(world, tick.now, key) {
        Ok(Place::Own) => world.tables.calls.advance(key, Stage::Screening, tick.now),
        Ok(Place::Peer(peer)) => forward(world, tick, key, peer),
        Err(refusal) => finish::run(world, tick, key, Verdict::Refuse(refusal)),
    }
}

/// The first place with room; without any, the least loaded.
fn choose(world: &mut World, now: Millis, key: CallKey) -> Result<Place, Refusal> {
    let Some(call) = world.tables.calls.get(key).cloned() else {
        return Err(Refusal::not_run(Reason::NoTarget));
    };
    let own = own_candidate(world, now, &call);
    if let Some(own) = own
        && (own.load < 1.0 || call.hops > 0)
    {
        return Ok(own.place);
    }
    let mut best = own;
    if call.hops < world.options.routing.max_hops {
        for data_centre in data_centres(world, &call) {
            let Some(peer) = draw(world, now, &call, &data_centre) else { continue };
            if peer.load < CROWDED {
                return Ok(peer.place);
            }
            best = best.filter(|best| best.load <= peer.load).or(Some(peer));
        }
    }
    let best = best.ok_or_else(|| no_target(world, &call))?;
    if best.load.is_infinite() {
        return Err(Refusal::not_run(Reason::Shed).after(RETRY_AFTER));
    }
    Ok(best.place)
}

fn no_target(world: &World, call: &Call) -> Refusal {
    let failed = call.lineage.own_tried || !call.tried.is_empty();
    let known = world.tables.routes.get(call.route).is_some();
    match (known, failed) {
        (false, _) => Refusal::not_run(Reason::RouteUnknown),
        (true, false) => Refusal::not_run(Reason::NoTarget),
        (true, true) => Refusal::not_run(Reason::NoTarget).after(RETRY_AFTER),
    }
}

fn own_candidate(world: &World, now: Millis, call: &Call) -> Option<Candidate> {
    let tables = &world.tables;
    let target = &tables.target;
    let route = tables.routes.get(call.route)?;
    let takes_work = target.present && !target.report.draining && !tables.leaving;
    if route.service != *world.identity.service() || !takes_work || call.lineage.own_tried {
        return None;
    }
    if target.health.standing(now, target.running) == Standing::Ejected {
        return None;
    }
    let load = f64::from(target.running + target.queued) / f64::from(target.limit.max(1));
    Some(Candidate { place: Place::Own, load })
}

/// The data centres with peers of the call's service, the own one first, the others in random
/// order.
fn data_centres(world: &mut World, call: &Call) -> Vec<compact_str::CompactString> {
    let Some(route) = world.tables.routes.get(call.route) else { return Vec::new() };
    let own = world.identity.data_centre();
    let mut names: Vec<_> = world.tables.peers.data_centres(&route.service).cloned().collect();
    let local = names.iter().position(|name| name == own);
    if let Some(local) = local {
        names.swap(0, local);
    }
    let first = usize::from(local.is_some());
    for index in (first + 1..names.len()).rev() {
        names.swap(index, world.rng.random_range(first..=index));
    }
    names
}

/// The less loaded of two peers drawn at random from those that may get the call.
fn draw(world: &mut World, now: Millis, call: &Call, data_centre: &str) -> Option<Candidate> {
    let tables = &world.tables;
    let route = tables.routes.get(call.route)?;
    let peers = tables.peers.at(&route.service, data_centre);
    if peers.is_empty() {
        return None;
    }
    let mut best: Option<(PeerKey, f64)> = None;
    let mut seen = 0;
    let start = world.rng.random_range(0..peers.len());
    let draws = if peers.len() <= DRAWS { peers.len() } else { DRAWS };
    for draw in 0..draws {
        let index = match peers.len() <= DRAWS {
            true => (start + draw) % peers.len(),
            false => world.rng.random_range(0..peers.len()),
        };
        let key = peers[index];
        let Some(load) = tables.peers.get(key).and_then(|peer| load(peer, key, call, now)) else {
            continue;
        };
        if best.is_none_or(|(_, least)| load < least) {
            best = Some((key, load));
        }
        seen += 1;
        if seen == 2 {
            break;
        }
    }
    best.map(|(key, load)| Candidate { place: Place::Peer(key), load })
}

/// How loaded a peer is, or `None` if it may not get the call. A peer that refuses the call's
/// importance at present counts as infinitely loaded.
fn load(peer: &Peer, key: PeerKey, call: &Call, now: Millis) -> Option<f64> {
    let node = peer.announcement.node;
    if peer.state != State::Alive || Some(node) == call.from || call.tried.contains(&key) {
        return None;
    }
    if peer.health.standing(now, peer.in_flight) == Standing::Ejected {
        return None;
    }
    let recent = peer.pressure.filter(|_| now - peer.pressure_as_of < BELIEVED_FOR);
    if recent.is_some_and(|pressure| call.importance < pressure.least_importance) {
        return Some(f64::INFINITY);
    }
    let limit = peer.pressure.map_or(ASSUMED_LIMIT, |pressure| pressure.limit.max(1));
    let reported = recent.map_or(0, |pressure| pressure.running + pressure.queued);
    Some(f64::from(reported.max(peer.in_flight)) / f64::from(limit))
}

/// Passes a call to a peer.
pub(super) fn forward(world: &mut World, tick: &mut Tick, key: CallKey, peer_key: PeerKey) {
    let lent = retry::lend(world, key);
    let tables = &mut world.tables;
    tables.calls.advance(key, Stage::Forwarded, tick.now);
    let Some(call) = tables.calls.get_mut(key) else { return };
    let Some(peer) = tables.peers.get_mut(peer_key) else { return };
    let Some(route) = tables.routes.get(call.route) else { return };
    call.peer = Some(peer_key);
    call.lineage.lent = lent;
    peer.in_flight += 1;
    let key_id =
        call.tenant.and_then(|tenant| tables.tenants.get(tenant)).map(|key| key.id.clone());
    let forwarded = Forwarded {
        from: world.identity.announcement.node,
        key_id,
        route: route.name.clone(),
        importance: call.importance,
        retry_allowance: lent,
        depth: call.depth,
        hops: call.hops + 1,
    };
    tables.counters.work(Work::Forwarded);
    tick.commands.push(Command::Forward(Forward {
        call: key,
        to: peer.announcement.node,
        address: peer.announcement.traffic_address.clone(),
        forwarded,
        deadline: call.deadline,
        repeatable: route.repeatable,
    }));
}
