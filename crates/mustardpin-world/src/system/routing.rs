//! Finds a place for each call: the own target or a peer's.

use crate::{
    command::Command,
    id::{CallKey, PeerKey},
    refusal::{Reason, Refusal},
    request::{Forward, Forwarded, Verdict},
    system::{finish, placement},
    table::{call::Stage, counter::Work, peer::State},
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in world.tables.calls.take(Stage::Routing) {
        place(world, tick, call);
    }
}

fn place(world: &mut World, tick: &mut Tick, key: CallKey) {
    let tables = &mut world.tables;
    let Some(call) = tables.calls.get(key) else { return };
    let Some(route) = tables.routes.get(call.route) else {
        return finish::run(
            world,
            tick,
            key,
            Verdict::Refuse(Refusal::not_run(Reason::RouteUnknown)),
        );
    };
    if !route.repeatable {
        return placement::run(world, tick, key);
    }
    let own = route.service == *world.identity.service() && tables.target.present;
    if own && call.tried.is_empty() {
        tables.calls.advance(key, Stage::Screening, tick.now);
        return;
    }
    let hops_left = call.hops < world.options.routing.max_hops;
    let peer = if hops_left { choose_peer(world, key) } else { None };
    match peer {
        Some(peer) => forward(world, tick, key, peer),
        None => finish::run(world, tick, key, Verdict::Refuse(Refusal::not_run(Reason::NoTarget))),
    }
}

/// The peer of the route's service with the fewest calls in flight, the own data centre first.
fn choose_peer(world: &World, key: CallKey) -> Option<PeerKey> {
    let tables = &world.tables;
    let call = tables.calls.get(key)?;
    let route = tables.routes.get(call.route)?;
    tables
        .peers
        .iter()
        .filter(|(peer_key, peer)| {
            peer.announcement.service == route.service
                && peer.state == State::Alive
                && Some(peer.announcement.node) != call.from
                && !call.tried.contains(peer_key)
        })
        .min_by_key(|(_, peer)| {
            (peer.announcement.data_centre != *world.identity.data_centre(), peer.in_flight)
        })
        .map(|(peer_key, _)| peer_key)
}

/// Passes a call to a peer.
pub(super) fn forward(world: &mut World, tick: &mut Tick, key: CallKey, peer_key: PeerKey) {
    let tables = &mut world.tables;
    tables.calls.advance(key, Stage::Forwarded, tick.now);
    let Some(call) = tables.calls.get_mut(key) else { return };
    let Some(peer) = tables.peers.get_mut(peer_key) else { return };
    let Some(route) = tables.routes.get(call.route) else { return };
    call.peer = Some(peer_key);
    peer.in_flight += 1;
    let key_id =
        call.tenant.and_then(|tenant| tables.tenants.get(tenant)).map(|key| key.id.clone());
    let forwarded = Forwarded {
        from: world.identity.announcement.node,
        key_id,
        route: route.name.clone(),
        importance: call.importance,
        retry_allowance: call.retry_allowance,
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
