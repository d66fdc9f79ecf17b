//! Decides whether a request may run, by what the node currently knows.
//!
//! Checked when a request arrives, and again right before its first byte is sent to the target.

use crate::{
    config::CutOffPolicy,
    id::{RouteKey, TeamKey, TenantKey},
    refusal::Reason,
    table::{Tables, call::Call},
};

/// The tenant and team that a request runs for. Both are `None` on an open route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Principal {
    pub(super) tenant: Option<TenantKey>,
    pub(super) team: Option<TeamKey>,
}

/// Returns the principal of a request on this route with this tenant key, or why the request may
/// not run.
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

/// Checks whether a call that was allowed on arrival still is.
pub(super) fn check_again(tables: &Tables, call: &Call) -> Result<(), Reason> {
    match (&call.key_id, call.route) {
        // The peer that forwarded the call has checked its route; the key may have been withdrawn
        // since.
        (Some(id), _) => check_id(tables, id),
        (None, Some(route)) if call.from.is_none() => check(tables, route, call.tenant).map(|_| ()),
        _ => Ok(()),
    }
}

/// Checks the key of a forwarded call. A key that this node does not know is accepted, since it may
/// be newer than the node's configuration.
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
    if tables.freshness.is_cut_off && !may_serve_cut_off(tables, team) {
        return Err(Reason::CutOff);
    }
    Ok(team)
}

/// Whether a cut-off node may still serve requests of a team.
fn may_serve_cut_off(tables: &Tables, team: TeamKey) -> bool {
    match tables.cut_off_policy(team) {
        CutOffPolicy::Refuse => false,
        CutOffPolicy::Serve(grace) => tables.freshness.age < grace,
    }
}
