//! Whether a request may run, by the node's present knowledge.
//!
//! Asked when a request arrives and again right before the target gets its first byte.

use crate::{
    config::CutOffPolicy,
    id::{RouteKey, TeamKey, TenantKey},
    refusal::Reason,
    table::{Tables, call::Call},
};

/// Who a request runs for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Principal {
    pub(super) tenant: Option<TenantKey>,
    pub(super) team: Option<TeamKey>,
}

/// Who a request on this route with this tenant key runs for, or why it may not run.
pub(super) fn check(
    tables: &Tables,
    route: RouteKey,
    tenant: Option<TenantKey>,
) -> Result<Principal, Reason> {
    let Some(route) = tables.routes.get(route) else { return Err(Reason::RouteUnknown) };
    let route = &route.config;
    if route.open {
        return Ok(Principal { tenant: None, team: None });
    }
    let team = check_key(tables, tenant)?;
    let name = tables.teams.get(team).map(|team| &team.name);
    if !route.teams.is_empty() && !name.is_some_and(|name| route.teams.contains(name)) {
        return Err(Reason::RouteForbidden);
    }
    Ok(Principal { tenant, team: Some(team) })
}

/// Whether a call that was allowed when it arrived is still allowed.
pub(super) fn check_again(tables: &Tables, call: &Call) -> Result<(), Reason> {
    match (&call.key_id, call.route) {
        // A peer that passed the call on has decided by its route; its key may be withdrawn since.
        (Some(id), _) => check_id(tables, id),
        (None, Some(route)) if call.from.is_none() => check(tables, route, call.tenant).map(|_| ()),
        _ => Ok(()),
    }
}

/// Whether a key is still in use. A key that this node has never heard of may be newer than its
/// configuration, by which it cannot judge.
fn check_id(tables: &Tables, id: &str) -> Result<(), Reason> {
    let Some(tenant) = tables.tenants.by_id(id) else { return Ok(()) };
    check_key(tables, Some(tenant)).map(|_| ())
}

fn check_key(tables: &Tables, tenant: Option<TenantKey>) -> Result<TeamKey, Reason> {
    let tenant = tenant.ok_or(Reason::KeyMissing)?;
    let key = tables.tenants.get(tenant).ok_or(Reason::KeyUnknown)?;
    if key.withdrawn {
        return Err(Reason::KeyWithdrawn);
    }
    let team = tables.teams.by_name(&key.team).ok_or(Reason::KeyUnknown)?;
    if tables.freshness.is_cut_off && !goes_on(tables, team) {
        return Err(Reason::CutOff);
    }
    Ok(team)
}

/// Whether the node may go on for a team without fresh knowledge.
fn goes_on(tables: &Tables, team: TeamKey) -> bool {
    match tables.cut_off_policy(team) {
        CutOffPolicy::Refuse => false,
        CutOffPolicy::Serve(grace) => tables.freshness.age < grace,
    }
}
