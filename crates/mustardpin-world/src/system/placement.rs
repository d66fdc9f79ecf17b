//! Sends a non-repeatable call to its home: the only node that may run it.

use crate::{
    clock::Millis,
    home,
    id::{CallKey, PeerKey},
    message::record::Name,
    refusal::{Outcome, Reason, Refusal},
    request::{ForwardEnd, Verdict},
    system::{finish, routing},
    table::{Tables, call::Stage},
    world::{Tick, World},
};

/// When callers should send again after a refusal while homes move.
pub(super) const RETRY_AFTER_MOVE: Millis = Millis(500);

/// The name of a non-repeatable call; `None` if its route is repeatable or gone.
pub(super) fn name(tables: &Tables, key: CallKey) -> Option<Name> {
    let call = tables.calls.get(key)?;
    let route = tables.routes.get(call.route)?;
    if route.repeatable {
        return None;
    }
    let team = match call.team {
        Some(team) => tables.teams.get(team)?.name.as_str(),
        None => "",
    };
    Some(Name::of(team, &route.name, call.idempotency_key.as_deref()?))
}

/// Moves a non-repeatable call on: to the own target, to its home, or back to its caller.
pub(super) fn run(world: &mut World, tick: &mut Tick, key: CallKey) {
    match place(world, key) {
        Ok(None) => world.tables.calls.advance(key, Stage::Screening, tick.now),
        Ok(Some(peer)) => routing::forward(world, tick, key, peer),
        Err(refusal) => finish::run(world, tick, key, Verdict::Refuse(refusal)),
    }
}

/// The peer that is the call's home, or `None` if this node is.
fn place(world: &World, key: CallKey) -> Result<Option<PeerKey>, Refusal> {
    let tables = &world.tables;
    let moving = Refusal::not_run(Reason::HomeMoving).after(RETRY_AFTER_MOVE);
    let name = name(tables, key).ok_or(Refusal::not_run(Reason::RouteUnknown))?;
    let call = tables.calls.get(key).ok_or(moving)?;
    let route = tables.routes.get(call.route).ok_or(Refusal::not_run(Reason::RouteUnknown))?;
    let home = home::home(&tables.epoch.current, Some(&route.service), name.hash())
        .ok_or(Refusal::not_run(Reason::NoTarget).after(RETRY_AFTER_MOVE))?;
    if home.node == world.identity.node() {
        let present = tables.target.present;
        return if present { Ok(None) } else { Err(Refusal::not_run(Reason::NoTarget)) };
    }
    if call.hops >= world.options.routing.max_hops {
        return Err(Refusal::not_run(Reason::WrongHome).after(RETRY_AFTER_MOVE));
    }
    let peer = tables.peers.by_node(home.node).ok_or(moving)?;
    if call.tried.last() == Some(&peer) {
        return Err(moving);
    }
    Ok(Some(peer))
}

/// Sends a non-repeatable call to its home again, if it has surely not run and the home has
/// changed since it was sent. Returns whether it did.
pub(super) fn run_again(
    world: &mut World,
    tick: &mut Tick,
    key: CallKey,
    end: &ForwardEnd,
) -> bool {
    let not_run = match end {
        ForwardEnd::NotSent => true,
        ForwardEnd::Refused(refusal) => {
            refusal.outcome == Outcome::NotRun && refusal.reason == Reason::WrongHome
        }
        _ => false,
    };
    if !not_run || name(&world.tables, key).is_none() {
        return false;
    }
    let Some(call) = world.tables.calls.get_mut(key) else { return false };
    let Some(peer) = call.peer.take() else { return false };
    call.tried.push(peer);
    if call.abandoned || call.deadline <= tick.now || place(world, key).is_err() {
        return false;
    }
    if let Some(peer) = world.tables.peers.get_mut(peer) {
        peer.in_flight = peer.in_flight.saturating_sub(1);
    }
    run(world, tick, key);
    true
}
