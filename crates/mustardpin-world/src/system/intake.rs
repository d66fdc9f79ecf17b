//! Takes requests in: finds the route, checks the key and opens a call.

use rand::RngExt as _;

use crate::{
    clock::Millis,
    command::Command,
    config::Importance,
    id::{CallKey, NodeId, RouteKey, TeamKey, TenantKey},
    refusal::{Reason, Refusal},
    request::{CallToken, Origin, Request},
    system::{permission, resend, retry},
    table::{
        call::{Call, Stage},
        counter::Work,
    },
    world::{Tick, World},
};

/// What a request brings along from where it came.
struct Arrival {
    route: RouteKey,
    tenant: Option<TenantKey>,
    from: Option<NodeId>,
    parent: Option<CallKey>,
    importance: Importance,
    retry_allowance: u32,
    depth: u16,
    hops: u8,
    deadline: Millis,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for reason in std::mem::take(&mut tick.inbox.refused) {
        world.tables.counters.refuse(reason);
    }
    for request in std::mem::take(&mut tick.inbox.arrived) {
        world.tables.counters.work(Work::Accepted);
        match arrival(world, tick.now, &request) {
            Ok(arrival) => open(world, tick, request, arrival),
            Err(reason) => refuse(world, tick, &request, Refusal::not_run(reason)),
        }
    }
}

/// Refuses a request for which no call was opened.
fn refuse(world: &mut World, tick: &mut Tick, request: &Request, refusal: Refusal) {
    world.tables.counters.refuse(refusal.reason);
    tick.commands.push(Command::Reject(request.ticket, refusal));
}

fn arrival(world: &World, now: Millis, request: &Request) -> Result<Arrival, Reason> {
    let tables = &world.tables;
    if tables.configuration.revision.0 == 0 {
        return Err(Reason::Starting);
    }
    let arrival = match &request.origin {
        Origin::Caller { key } => {
            let route = tables
                .routes
                .resolve(&request.method, &request.path)
                .ok_or(Reason::RouteUnknown)?;
            let tenant = match key {
                None => None,
                Some((id, digest)) => {
                    let tenant = tables.tenants.by_name(id);
                    tenant.filter(|&tenant| {
                        tables.tenants.get(tenant).is_some_and(|key| key.digest == *digest)
                    })
                }
            };
            if key.is_some()
                && tenant.is_none()
                && !tables.routes.get(route).is_some_and(|route| route.open)
            {
                return Err(Reason::KeyUnknown);
            }
            Arrival {
                route,
                tenant,
                from: None,
                parent: None,
                importance: tables
                    .routes
                    .get(route)
                    .map(|route| route.importance)
                    .unwrap_or_default(),
                retry_allowance: tables.configuration.fleet.retry_allowance,
                depth: 0,
                hops: 0,
                deadline: Millis::MAX,
            }
        }
        Origin::Target { token } => {
            let parent = tables.calls.by_token(*token).ok_or(Reason::CallTokenInvalid)?;
            let call = tables.calls.get(parent).ok_or(Reason::CallTokenInvalid)?;
            let route = tables
                .routes
                .resolve(&request.method, &request.path)
                .ok_or(Reason::RouteUnknown)?;
            Arrival {
                route,
                tenant: call.tenant,
                from: None,
                parent: Some(parent),
                importance: call.importance,
                retry_allowance: call.retry_allowance,
                depth: call.depth + 1,
                hops: 0,
                deadline: call.deadline,
            }
        }
        Origin::Peer(_) if tables.leaving => return Err(Reason::Leaving),
        Origin::Peer(forwarded) => {
            let route = tables.routes.by_name(&forwarded.route).ok_or(Reason::RouteUnknown)?;
            let tenant = forwarded.key_id.as_ref().and_then(|id| tables.tenants.by_name(id));
            Arrival {
                route,
                tenant,
                from: Some(forwarded.from),
                parent: None,
                importance: forwarded.importance,
                retry_allowance: forwarded.retry_allowance,
                depth: forwarded.depth,
                hops: forwarded.hops,
                deadline: Millis::MAX,
            }
        }
    };
    let route = tables.routes.get(arrival.route).ok_or(Reason::RouteUnknown)?;
    if !route.repeatable && request.idempotency_key.is_none() {
        return Err(Reason::IdempotencyKeyMissing);
    }
    let timeout = request.timeout.unwrap_or(world.options.routing.default_timeout);
    let deadline = arrival.deadline.min(now + timeout.min(route.timeout));
    Ok(Arrival { deadline, ..arrival })
}

fn open(world: &mut World, tick: &mut Tick, request: Request, arrival: Arrival) {
    let grant = match permission::check(&world.tables, arrival.route, arrival.tenant) {
        Ok(grant) => grant,
        Err(reason) => return refuse(world, tick, &request, Refusal::not_run(reason)),
    };
    let retry_allowance = match allowance(world, tick.now, &request, &arrival, grant.team) {
        Ok(allowance) => allowance,
        Err(refusal) => return refuse(world, tick, &request, refusal),
    };
    let is_root = arrival.from.is_none() && arrival.parent.is_none();
    let importance = match is_root {
        true => world.tables.importance(grant.team, arrival.route),
        false => arrival.importance,
    };
    let charged = is_root && grant.team.is_some();
    let stage = if charged { Stage::Rating } else { Stage::Routing };
    let call = world.tables.calls.insert(Call {
        ticket: request.ticket,
        from: arrival.from,
        parent: arrival.parent,
        tenant: grant.tenant,
        team: grant.team,
        route: arrival.route,
        importance,
        idempotency_key: request.idempotency_key,
        fingerprint: request.fingerprint,
        arrived: tick.now,
        deadline: arrival.deadline,
        retry_allowance,
        depth: arrival.depth,
        hops: arrival.hops,
        stage,
        since: tick.now,
        token: CallToken(world.rng.random()),
        peer: None,
        tried: Default::default(),
        abandoned: false,
        record: None,
        isolated: false,
        lineage: Default::default(),
    });
    tick.commands.push(Command::Accepted(request.ticket, call));
    if let Some(parent) = arrival.parent.and_then(|parent| world.tables.calls.get_mut(parent)) {
        parent.lineage.children.push(call);
    }
}

/// The repeats that a request may cause, or why it may not run.
fn allowance(
    world: &mut World,
    now: Millis,
    request: &Request,
    arrival: &Arrival,
    team: Option<TeamKey>,
) -> Result<u32, Refusal> {
    if let Some(parent) = arrival.parent {
        return retry::adopt(world, parent, request).map_err(Refusal::not_run);
    }
    let (None, Some(team)) = (arrival.from, team) else { return Ok(arrival.retry_allowance) };
    let identity = resend::Identity {
        team,
        route: arrival.route,
        idempotency_key: request.idempotency_key.as_deref(),
        fingerprint: request.fingerprint,
    };
    resend::admit(world, now, identity)
}
