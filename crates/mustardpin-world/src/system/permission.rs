//! Whether a request may run, by the node's present knowledge.
//!
//! Asked when a request arrives and again right before the target gets its first byte.

use crate::{
    config::CutOffPolicy,
    id::{RouteKey, TeamKey, TenantKey},
    refusal::Reason,
    table::Tables,
};

/// Who a request runs for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Grant {
    pub(super) tenant: Option<TenantKey>,
    pub(super) team: Option<TeamKey>,
}

/// Who a request on this route with this tenant key runs for, or why it may not run.
pub(super) fn check(
    tables: &Tables,
    route: RouteKey,
    tenant: Option<TenantKey>,
) -> Result<Grant, Reason> {
    let Some(route) = tables.routes.get(route) else { return Err(Reason::RouteUnknown) };
    if route.open {
        return Ok(Grant { tenant: None, team: None });
    }
    let tenant = tenant.ok_or(Reason::KeyMissing)?;
    let key = tables.tenants.get(tenant).ok_or(Reason::KeyUnknown)?;
    if key.withdrawn {
        return Err(Reason::KeyWithdrawn);
    }
    let team = tables.teams.by_name(&key.team).ok_or(Reason::KeyUnknown)?;
    if !tables.freshness.fresh && !goes_on(tables, team) {
        return Err(Reason::CutOff);
    }
    if !route.teams.is_empty() && !route.teams.contains(&key.team) {
        return Err(Reason::RouteForbidden);
    }
    Ok(Grant { tenant: Some(tenant), team: Some(team) })
}

/// Whether the node may go on for a team without fresh knowledge.
pub(super) fn goes_on(tables: &Tables, team: TeamKey) -> bool {
    match tables.cut_off_policy(team) {
        CutOffPolicy::Refuse => false,
        CutOffPolicy::Serve(grace) => tables.freshness.is_with_own && tables.freshness.age < grace,
    }
}
