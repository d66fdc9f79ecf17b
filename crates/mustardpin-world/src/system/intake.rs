//! Accepts requests: resolves the route, checks the key and creates a call.

use compact_str::CompactString;
use rand::RngExt as _;

use crate::{
    clock::Millis,
    command::Command,
    config::Rank,
    id::{CallKey, NodeId, Revision, RouteKey, ServiceKey, TeamKey, TenantKey},
    log::{self, Entry, Level},
    refusal::{Reason, Refusal},
    request::{CallToken, Forwarded, Nesting, Origin, Request, Verdict},
    system::{ending, finish, permission, resend, retry, shedding, stop},
    table::{
        call::{Call, Stage},
        counter::Work,
        route::Route,
    },
    world::{Tick, World},
};

/// How long a caller should wait before it retries a request that came before the node had a
/// configuration.
const RETRY_AFTER_START: Millis = Millis(300);

/// The properties of a new call that depend on the origin of its request.
struct Arrival {
    route: Option<RouteKey>,
    service: ServiceKey,
    from: Option<NodeId>,
    parent: Option<CallKey>,
    nesting: Nesting,
    tenant: Option<TenantKey>,
    key_id: Option<CompactString>,
    revision: Revision,
    team: Option<TeamKey>,
    rank: Rank,
    repeatable: bool,
    objective: Millis,
    deadline: Millis,
    retry_allowance: u32,
    depth: u16,
    hops: u8,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for reason in std::mem::take(&mut tick.inbox.refused) {
        world.tables.counters.count_refusal(reason);
    }
    for request in std::mem::take(&mut tick.inbox.arrived) {
        world.tables.counters.count_work(Work::Accepted);
        let arrival = match &request.origin {
            Origin::Peer(forwarded) => from_peer(world, tick.now, &request, forwarded),
            Origin::Caller { .. } | Origin::Target { .. } => from_caller(world, tick.now, &request),
        };
        match arrival {
            Ok(arrival) => create_call(world, tick, request, arrival),
            Err(refusal) => refuse(world, tick, &request, refusal),
        }
    }
    ending::abandon_known(world, tick);
}

/// Refuses a request for which no call was created.
fn refuse(world: &mut World, tick: &mut Tick, request: &Request, refusal: Refusal) {
    world.tables.counters.count_refusal(refusal.reason);
    let configuration = &world.tables.configuration;
    tick.log(
        Entry::new(Level::Warn, "refused")
            .on(&request.id)
            .with("reason", refusal.reason.to_string())
            .with("outcome", refusal.outcome.to_string())
            .with("revision", configuration.revision.0)
            .with("configuration_age", world.tables.freshness.age)
            .with("stage", "intake"),
    );
    let verdict = Verdict::Refuse(refusal);
    tick.commands.push(Command::Finish { ticket: request.ticket, verdict, retries: 0 });
}

fn from_caller(world: &mut World, now: Millis, request: &Request) -> Result<Arrival, Refusal> {
    stop::check(world, now, &request.origin)?;
    let tables = &world.tables;
    if tables.configuration.revision.0 == 0 {
        return Err(Refusal::not_run(Reason::Starting).after(RETRY_AFTER_START));
    }
    let (parent, tenant, nesting) = match &request.origin {
        Origin::Target { token: Some(token) } => {
            let parent = tables.calls.by_token(*token);
            let call = parent.and_then(|parent| tables.calls.get(parent));
            let call = call.ok_or(Refusal::not_run(Reason::CallTokenInvalid))?;
            if call.cancelling {
                return Err(Refusal::not_run(Reason::CallerGone));
            }
            (parent, call.tenant, Nesting::Linked)
        }
        Origin::Target { token: None } => (None, None, Nesting::Unlinked),
        Origin::Caller { key } => {
            (None, key.as_ref().and_then(|key| tables.tenants.by_digest(key)), Nesting::Root)
        }
        Origin::Peer(_) => (None, None, Nesting::Root),
    };
    let route = tables.routes.resolve(&request.host, &request.method, &request.path);
    let route = route.ok_or(Refusal::not_run(Reason::RouteUnknown))?;
    let is_key_unknown = matches!(&request.origin, Origin::Caller { key: Some(_) });
    let is_key_unknown = is_key_unknown && tenant.is_none();
    let principal = match parent.and_then(|parent| tables.calls.get(parent)) {
        // The parent call was allowed; a nested request runs for the same principal.
        Some(call) => permission::Principal { tenant: call.tenant, team: call.team },
        None => permission::check(tables, route, tenant).map_err(|reason| match reason {
            Reason::KeyMissing if is_key_unknown => Refusal::not_run(Reason::KeyUnknown),
            _ => permission::refusal(reason),
        })?,
    };
    let row = world.tables.routes.get_mut(route).ok_or(Refusal::not_run(Reason::RouteUnknown))?;
    let service = row.next_service().ok_or(Refusal::not_run(Reason::NoTarget))?;
    let (timeout, objective, repeatable, retries) = route_parameters(row);
    let timeout = timeout.min(request.timeout.unwrap_or(world.options.routing.default_timeout));
    let deadline = now + timeout;
    stop::check_unlinked(world, now, &request.origin, deadline)?;
    let fleet_allowance = world.tables.configuration.fleet.retry_allowance;
    let allowance = retries.map_or(fleet_allowance, |retries| fleet_allowance.min(retries));
    let mut arrival = Arrival {
        route: Some(route),
        service,
        from: None,
        parent,
        nesting,
        tenant: principal.tenant,
        key_id: None,
        revision: Revision::default(),
        team: principal.team,
        rank: world.tables.rank(principal.team, route),
        repeatable,
        objective: now + objective.min(timeout),
        deadline,
        retry_allowance: allowance,
        depth: 0,
        hops: 0,
    };
    if let Some(call) = parent.and_then(|parent| world.tables.calls.get(parent)) {
        arrival.key_id = call.key_id.clone();
        arrival.revision = call.revision;
        arrival.rank = call.rank;
        arrival.deadline = arrival.deadline.min(call.deadline);
        arrival.depth = call.depth + 1;
    }
    set_retry_allowance(world, now, request, &mut arrival)?;
    Ok(arrival)
}

/// A route's timeout, its objective, whether its requests may run twice, and its maximum number of
/// retries (`None` if the route sets none).
fn route_parameters(route: &Route) -> (Millis, Millis, bool, Option<u32>) {
    let config = &route.config;
    let objective = config.objective.unwrap_or(config.timeout);
    let max_retries = config.attempts.map(|attempts| u32::from(attempts).saturating_sub(1));
    (config.timeout, objective, config.repeatable, max_retries)
}

/// Sets the number of retries that a request may cause, or returns why it may not run.
fn set_retry_allowance(
    world: &mut World,
    now: Millis,
    request: &Request,
    arrival: &mut Arrival,
) -> Result<(), Refusal> {
    if let Some(parent) = arrival.parent {
        let allowance = retry::lend_to_nested(world, parent, arrival.service, request);
        arrival.retry_allowance = allowance.map_err(Refusal::not_run)?;
        return Ok(());
    }
    let (Some(team), Some(route)) = (arrival.team, arrival.route) else { return Ok(()) };
    let identity = resend::Identity { team, route, fingerprint: request.fingerprint };
    arrival.retry_allowance = resend::admit(world, now, identity, arrival.retry_allowance)?;
    Ok(())
}

fn from_peer(
    world: &mut World,
    now: Millis,
    request: &Request,
    forwarded: &Forwarded,
) -> Result<Arrival, Refusal> {
    let tables = &mut world.tables;
    if tables.leaving {
        return Err(Refusal::not_run(Reason::Leaving));
    }
    if forwarded.key_id.is_some() != forwarded.team.is_some() {
        // The peer has told the target of the team, so one without it can't run for the key's team.
        return Err(permission::refusal(Reason::ConfigurationChanged));
    }
    if forwarded.service != *world.identity.service() && forwarded.hops > 1 {
        return Err(Refusal::not_run(Reason::NoTarget));
    }
    let timeout = request.timeout.unwrap_or(world.options.routing.default_timeout);
    Ok(Arrival {
        route: tables.routes.by_name(&forwarded.route),
        service: tables.services.get_or_insert(&forwarded.service),
        from: Some(forwarded.from),
        parent: None,
        nesting: forwarded.nesting,
        tenant: None,
        key_id: forwarded.key_id.clone(),
        revision: forwarded.revision,
        team: forwarded.team.as_ref().and_then(|team| tables.teams.by_name(team)),
        rank: forwarded.rank,
        repeatable: forwarded.repeatable,
        objective: now + forwarded.objective,
        deadline: now + timeout,
        retry_allowance: forwarded.retry_allowance,
        depth: forwarded.depth,
        hops: forwarded.hops,
    })
}

fn create_call(world: &mut World, tick: &mut Tick, request: Request, arrival: Arrival) {
    let is_root = arrival.from.is_none() && !arrival.nesting.is_nested();
    let is_rate_limited = is_root && arrival.team.is_some();
    let stage = if is_rate_limited { Stage::RateLimit } else { Stage::Routing };
    let call = Call {
        ticket: request.ticket,
        is_logged: log::is_sampled(&request.id, world.options.logging.one_in),
        id: request.id,
        from: arrival.from,
        parent: arrival.parent,
        nesting: arrival.nesting,
        tenant: arrival.tenant,
        key_id: arrival.key_id,
        revision: arrival.revision,
        routed_by: world.tables.configuration.revision,
        host: request.host,
        method: request.method,
        path: request.path,
        team: arrival.team,
        route: arrival.route,
        service: arrival.service,
        rank: arrival.rank,
        repeatable: arrival.repeatable,
        fingerprint: request.fingerprint,
        arrived: tick.now,
        objective: arrival.objective,
        deadline: arrival.deadline,
        retry_allowance: arrival.retry_allowance,
        depth: arrival.depth,
        hops: arrival.hops,
        stage,
        since: tick.now,
        token: CallToken(world.rng.random()),
        peer: None,
        tried: Default::default(),
        abandoned: false,
        states_rate_limit: false,
        cancelling: false,
        lineage: Default::default(),
    };
    if call.is_logged {
        tick.log(arrived_entry(world, &call));
    }
    let from_target = call.nesting.is_nested() && call.from.is_none();
    let (route, parent) = (call.route, call.parent);
    let key = world.tables.calls.insert(call);
    if let Some(parent) = parent.and_then(|parent| world.tables.calls.get_mut(parent)) {
        parent.lineage.children.push(key);
    }
    if from_target {
        shedding::record_call(world, route);
    }
    if tick.now >= arrival.deadline {
        let refusal = Refusal::not_run(Reason::DeadlineBeforeRun);
        finish::run(world, tick, key, Verdict::Refuse(refusal));
    }
}

fn arrived_entry(world: &World, call: &Call) -> Entry {
    let tables = &world.tables;
    let route = call.route.and_then(|route| tables.routes.get(route));
    let team = call.team.and_then(|team| tables.teams.get(team));
    let entry = Entry::new(Level::Info, "arrived")
        .on(&call.id)
        .with("route", route.map_or_else(CompactString::default, |row| row.config.name.clone()))
        .with("team", team.map_or_else(CompactString::default, |row| row.name.clone()))
        .with("rank", call.rank.to_string())
        .with("nested", call.nesting.is_nested())
        .with("left", call.deadline - call.arrived)
        .with("revision", tables.configuration.revision.0)
        .with("configuration_age", tables.freshness.age);
    match call.from {
        Some(from) => entry.with("from", from),
        None => entry,
    }
}
