//! Recognises client retries of failed root requests, and limits them by team.
//!
//! Non-repeatable requests are not limited: their callers retry them only after a refusal that
//! reports that they have not run.

use crate::{
    clock::Millis,
    hash,
    id::{RouteKey, TeamKey},
    refusal::{Reason, Refusal},
    request::{Fingerprint, Verdict},
    table::{call::Call, counter::Retry},
    world::World,
};

/// How long a caller should wait before it resends a refused request.
const RETRY_AFTER: Millis = Millis(1_000);

/// Identity of a root request: requests with equal identities count as retries of one another.
#[derive(Debug, Clone, Copy)]
pub(super) struct Identity {
    pub(super) team: TeamKey,
    pub(super) route: RouteKey,
    pub(super) fingerprint: Fingerprint,
}

/// Returns the retry allowance that a root request starts with, or refuses the request. A client
/// retry starts with none, since its caller has already retried in place of the node.
pub(super) fn admit(
    world: &mut World,
    now: Millis,
    identity: Identity,
    allowance: u32,
) -> Result<u32, Refusal> {
    if !world.options.retry.limit_resends {
        return Ok(allowance);
    }
    let Some(limit) = world.systems.retry.max_resends(allowance) else { return Ok(allowance) };
    let Some(hash) = hash(world, identity) else { return Ok(allowance) };
    let options = &world.options.retry;
    let failed = &mut world.tables.failed;
    failed.forget(now - options.resend_window);
    let burst = f64::from(options.resend_burst);
    let is_resend = failed.get_mut(hash).is_some();
    let Some(tokens) = failed.tokens(identity.team, burst) else { return Ok(allowance) };
    if !is_resend {
        *tokens = (*tokens + f64::from(options.resend_percent) / 100.0).min(burst);
        return Ok(allowance);
    }
    let refusal = Refusal::not_run(Reason::ResendBudget).after(RETRY_AFTER);
    if *tokens < 1.0 {
        return Err(refusal);
    }
    let Some(row) = failed.get_mut(hash) else { return Ok(allowance) };
    if row.resends >= limit {
        return Err(refusal.after(row.at + options.resend_window - now));
    }
    row.resends += 1;
    if let Some(tokens) = failed.tokens(identity.team, burst) {
        *tokens -= 1.0;
    }
    world.tables.counters.count_retry(Retry::Resent);
    Ok(0)
}

/// Records a root request that failed, or removes its record if it was served.
pub(super) fn record_outcome(world: &mut World, now: Millis, call: &Call, verdict: &Verdict) {
    let (Some(team), Some(route)) = (call.team, call.route) else { return };
    if !call.is_root() || !world.options.retry.limit_resends {
        return;
    }
    let identity = Identity { team, route, fingerprint: call.fingerprint };
    let Some(hash) = hash(world, identity) else { return };
    let failed = match verdict {
        Verdict::Pass => call.lineage.failed,
        Verdict::Refuse(refusal) if is_likely_resent(refusal.reason) => true,
        Verdict::Refuse(_) => return,
    };
    if failed {
        world.tables.failed.put(hash, now);
    } else {
        world.tables.failed.remove(hash);
    }
}

/// Whether callers tend to retry a request that was refused for this reason.
fn is_likely_resent(reason: Reason) -> bool {
    let failed = matches!(
        reason,
        Reason::CallerGone
            | Reason::NoTarget
            | Reason::PeerFailed
            | Reason::RetryAllowance
            | Reason::TargetFailed
    );
    failed || is_overload(reason)
}

/// Whether a refusal for this reason is caused by overload.
fn is_overload(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::QueueFull
            | Reason::TargetRateLimit
            | Reason::Shed
            | Reason::DeadlineBeforeRun
            | Reason::DeadlineDuringRun
    )
}

/// The hash of an identity; `None` if the route is non-repeatable or the route or the team no
/// longer exists.
fn hash(world: &World, identity: Identity) -> Option<u64> {
    let route = &world.tables.routes.get(identity.route)?.config;
    let team = &world.tables.teams.get(identity.team)?.name;
    let fingerprint = identity.fingerprint.0.to_string();
    route.repeatable.then(|| hash::of(&[team, &route.name, &fingerprint]))
}
