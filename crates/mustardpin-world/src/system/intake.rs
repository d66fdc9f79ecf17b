//! Takes requests in: finds the route, checks the key and opens a call.

use rand::RngExt as _;

use crate::{
    clock::Millis,
    command::Command,
    config::Importance,
    id::{CallKey, NodeId, RouteKey, TenantKey},
    refusal::{Reason, Refusal},
    request::{CallToken, Origin, Request},
    system::permission,
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
    for request in std::mem::take(&mut tick.inbox.arrived) {
        world.tables.counters.work(Work::Accepted);
        match arrival(world, tick.now, &request) {
            Ok(arrival) => open(world, tick, request, arrival),
            Err(reason) => refuse(world, tick, &request, reason),
        }
    }
}

/// Refuses a request for which no call was opened.
fn refuse(world: &mut World, tick: &mut Tick, request: &Request, reason: Reason) {
    world.tables.counters.refuse(reason);
    tick.commands.push(Command::Reject(request.ticket, Refusal::not_run(reason)));
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
                    let tenant = tables.tenants.by_id(id);
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
        Origin::Peer(forwarded) => {
            let route = tables.routes.by_name(&forwarded.route).ok_or(Reason::RouteUnknown)?;
            let tenant = forwarded.key_id.as_ref().and_then(|id| tables.tenants.by_id(id));
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
        Err(reason) => return refuse(world, tick, &request, reason),
    };
    let charged = arrival.from.is_none() && arrival.parent.is_none() && grant.team.is_some();
    let stage = if charged { Stage::Rating } else { Stage::Routing };
    let call = world.tables.calls.insert(Call {
        ticket: request.ticket,
        from: arrival.from,
        parent: arrival.parent,
        tenant: grant.tenant,
        team: grant.team,
        route: arrival.route,
        importance: arrival.importance,
        idempotency_key: request.idempotency_key,
        fingerprint: request.fingerprint,
        arrived: tick.now,
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
        record: None,
        isolated: false,
    });
    tick.commands.push(Command::Accepted(request.ticket, call));
}
