//! Decides whether a request may run, by what the node currently knows.
//!
//! Checked when a request arrives, and again on each way out; see [`super::clearance`].

use crate::{
    clock::Millis,
    config::CutOffPolicy,
    id::{RouteKey, TeamKey, TenantKey},
    refusal::{Reason, Refusal},
    request::Nesting,
    table::{Tables, call::Call},
};

/// How long a caller should wait before it retries a request that a cut-off node refused.
const RETRY_AFTER_CUT_OFF: Millis = Millis(1_000);
/// How long a caller should wait before it retries a request on which two nodes decided by different
/// configurations.
const RETRY_AFTER_CHANGE: Millis = Millis(300);

/// Who a request runs for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Principal {
    /// The tenant key that it came with, if it is known.
    pub(super) tenant: Option<TenantKey>,
    /// The team of the key; `None` on an open route.
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
        return Ok(Principal { tenant, team: None });
    }
    let team = check_key(tables, tenant)?;
    let name = tables.teams.get(team).map(|team| &team.name);
    if !route.teams.is_empty() && !name.is_some_and(|name| route.teams.contains(name)) {
        return Err(Reason::RouteForbidden);
    }
    Ok(Principal { tenant, team: Some(team) })
}

/// The refusal of a request that may not run for this reason.
pub(super) fn refusal(reason: Reason) -> Refusal {
    match reason {
        Reason::CutOff => Refusal::not_run(reason).after(RETRY_AFTER_CUT_OFF),
        Reason::ConfigurationChanged => Refusal::not_run(reason).after(RETRY_AFTER_CHANGE),
        _ => Refusal::not_run(reason),
    }
}

/// Checks whether a call that was allowed on arrival still is. Returns the team that it runs for now.
pub(super) fn check_again(tables: &Tables, call: &Call) -> Result<Option<TeamKey>, Reason> {
    let route = call.route.filter(|&route| tables.routes.get(route).is_some());
    if let Some(id) = &call.key_id {
        return check_id(tables, id, call);
    }
    if call.from.is_some() {
        return check_keyless(tables, call);
    }
    let route = route.ok_or(Reason::RouteUnknown)?;
    match (call.nesting, call.team) {
        // The call that it was made for was allowed without a key.
        (Nesting::Linked, None) => Ok(None),
        (Nesting::Linked, Some(_)) => check_key(tables, call.tenant).map(Some),
        _ => check(tables, route, call.tenant).map(|principal| principal.team),
    }
}

/// Checks the key of a call that was forwarded, or that was made for such a call.
fn check_id(tables: &Tables, id: &str, call: &Call) -> Result<Option<TeamKey>, Reason> {
    let Some(tenant) = tables.tenants.by_id(id) else {
        return if knows_later(tables, call) { Err(Reason::KeyUnknown) } else { Ok(call.team) };
    };
    let team = check_key(tables, Some(tenant))?;
    // The peer has told the target of the team that held the key then.
    let is_other = call.from.is_some() && call.team.is_some_and(|before| before != team);
    match is_other && knows_later(tables, call) {
        true => Err(Reason::ConfigurationChanged),
        false => Ok(Some(team)),
    }
}

/// Checks that a forwarded call without a key needs none.
fn check_keyless(tables: &Tables, call: &Call) -> Result<Option<TeamKey>, Reason> {
    let route = call.route.and_then(|route| tables.routes.get(route));
    let needs_key = route.is_some_and(|route| !route.config.open);
    // The call that a linked one was made for may have been allowed without a key.
    match needs_key && call.nesting != Nesting::Linked && knows_later(tables, call) {
        true => Err(Reason::ConfigurationChanged),
        false => Ok(None),
    }
}

/// Whether this node's configuration is at least as late as the one by which the peer that forwarded a
/// call has checked it. If not, the key or the route may be newer than what this node knows.
fn knows_later(tables: &Tables, call: &Call) -> bool {
    tables.configuration.revision >= call.revision
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
