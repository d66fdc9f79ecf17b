//! Checks a call for the last time on each way out: to the local target and to a peer.
//!
//! A call may have waited for a token, in a queue or for another attempt, and the configuration may have
//! changed since it was accepted. What it runs for and where it goes is decided by the latest one.

use crate::{
    clock::Millis,
    id::{CallKey, ServiceKey, TeamKey},
    refusal::Reason,
    request::Verdict,
    system::{finish, permission},
    table::{
        Tables,
        call::{Call, Stage},
    },
    world::{Tick, World},
};

/// Whether a call may be sent. One that may not is refused, or goes back to wait for a token of the team
/// that holds its key now, or to the routing to the service that its route leads to now.
pub(super) fn check(world: &mut World, tick: &mut Tick, key: CallKey) -> bool {
    let Some(before) = world.tables.calls.get(key) else { return false };
    let (stage, service) = (before.stage, before.service);
    let team = match check_again(&mut world.tables, tick.now, key) {
        Ok(team) => team,
        Err(reason) => {
            finish::run(world, tick, key, Verdict::Refuse(permission::refusal(reason)));
            return false;
        }
    };
    let Some(call) = world.tables.calls.get(key) else { return false };
    // The peer that forwarded a call has charged its team.
    let has_other_team = call.from.is_none() && call.team != team;
    let is_rerouted = call.service != service;
    if !has_other_team && (!is_rerouted || stage == Stage::RateLimit) {
        return true;
    }
    let is_root = call.is_root();
    if has_other_team {
        set_team(&mut world.tables, key, team);
    }
    let next = match stage {
        _ if has_other_team && is_root && team.is_some() => Stage::RateLimit,
        _ if is_rerouted || stage == Stage::RateLimit => Stage::Routing,
        _ => return true,
    };
    world.tables.calls.advance(key, next, tick.now);
    tick.wake(tick.now);
    false
}

/// Returns the team that a call runs for now, or why it may not run.
fn check_again(tables: &mut Tables, now: Millis, key: CallKey) -> Result<Option<TeamKey>, Reason> {
    find_route_again(tables, key)?;
    match tables.calls.get(key) {
        None | Some(Call { abandoned: true, .. }) => Err(Reason::CallerGone),
        Some(call) if call.deadline <= now => Err(Reason::DeadlineBeforeRun),
        Some(call) => permission::check_again(tables, call),
    }
}

/// Finds the route and the service of a call once more, if this node accepted it by another
/// configuration.
fn find_route_again(tables: &mut Tables, key: CallKey) -> Result<(), Reason> {
    let revision = tables.configuration.revision;
    let Some(call) = tables.calls.get_mut(key) else { return Ok(()) };
    if call.from.is_some() || call.routed_by == revision {
        return Ok(());
    }
    let route = tables.routes.resolve(&call.host, &call.method, &call.path);
    let route = route.ok_or(Reason::RouteUnknown)?;
    let row = tables.routes.get_mut(route).ok_or(Reason::RouteUnknown)?;
    let has_service = |service: ServiceKey| row.parts.iter().any(|part| part.service == service);
    if !has_service(call.service) {
        call.service = row.next_service().ok_or(Reason::NoTarget)?;
    }
    call.repeatable &= row.config.repeatable;
    call.route = Some(route);
    call.routed_by = revision;
    Ok(())
}

/// Sets the team that a call runs for, and its importance.
fn set_team(tables: &mut Tables, key: CallKey, team: Option<TeamKey>) {
    let Some(route) = tables.calls.get(key).and_then(|call| call.route) else { return };
    let rank = tables.rank(team, route);
    if let Some(call) = tables.calls.get_mut(key) {
        (call.team, call.rank) = (team, rank);
    }
}
