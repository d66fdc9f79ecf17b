//! Leases tokens at the node where requests arrive: token caches and lease requests.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{
    clock::Millis,
    id::{CallKey, PeerKey, Revision, TeamKey},
    message::rate_limit::{self as message, LeaseGrant, LeaseRequest, Shard},
    refusal::{Reason, Refusal},
    request::Verdict,
    system::{
        clearance, finish,
        rate_limit::{ownership, parameters, policy},
    },
    table::{
        call::{Calls, Stage},
        peer::Link,
        rate_limit::{BucketParameters, ShardOwner, TokenCache},
    },
    world::{Tick, World},
};

/// Time before another lease request to a shard owner that did not reply.
const UNREACHABLE_BACKOFF: Millis = Millis(500);
/// Time without a reply after which a lease request is also sent to the next shard owner.
const HEDGE_DELAY: Millis = Millis(20);
/// Minimum time before another lease request to a bucket that was empty.
const EMPTY_BACKOFF: Millis = Millis(5);
/// Interval at which the smoothed demand is updated.
const SMOOTHING_INTERVAL: Millis = Millis(100);
/// Weight of the latest interval in the smoothed demand.
const SMOOTHING_WEIGHT: f64 = 0.1;
/// Time after the first tick within which a node learns the shard owners.
const STARTUP_PERIOD: Millis = Millis(4_000);
/// How long a request may wait for a token during [`STARTUP_PERIOD`].
const STARTUP_MAX_WAIT: Millis = Millis(2_000);
/// A token cache is dropped once its team has had no request for this long.
const IDLE_RETENTION: Millis = Millis(10_000);
/// Maximum number of tokens in one lease request.
const MAX_REQUESTED_TOKENS: u32 = 10_000;

/// A message with lease requests that awaits its grants; the shards are in the message's order.
#[derive(Debug)]
struct SentMessage {
    sent_at: Millis,
    shards: Vec<(TeamKey, Shard)>,
}

/// State of leasing between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    last_number: u64,
    /// Messages without a reply, by their number.
    unanswered: BTreeMap<u64, SentMessage>,
    /// Lease requests of this tick, by shard owner.
    outbox: BTreeMap<PeerKey, Vec<(TeamKey, LeaseRequest)>>,
    /// Teams to serve in this tick.
    due: Vec<TeamKey>,
    /// Teams with calls that wait for a token.
    waiting: Vec<TeamKey>,
    /// When the smoothed demand was last updated.
    smoothed_at: Millis,
    /// Time of the first tick.
    started_at: Option<Millis>,
    /// The revision of the configuration by which the waiting calls were checked.
    revision: Revision,
}

/// Adds granted tokens to the caches; a grant without tokens starts a backoff.
pub(super) fn handle_grants(world: &mut World, now: Millis, number: u64, grants: &[LeaseGrant]) {
    let Some(sent) = world.systems.rate_limit.leasing.unanswered.remove(&number) else { return };
    for (&(team, shard), grant) in sent.shards.iter().zip(grants) {
        let Some(parameters) = parameters(world, team) else { continue };
        let Some(cache) = world.tables.rate_limits.token_caches.get_mut(team) else { continue };
        let Some(shard_state) = cache.shard_states.get_mut(usize::from(shard.0)) else { continue };
        if shard_state.pending.is_some_and(|(pending, _)| pending == number) {
            shard_state.pending = None;
        }
        shard_state.unreachable = false;
        if grant.tokens == 0 {
            shard_state.backoff_until = now + grant.next_in.max(EMPTY_BACKOFF);
        } else {
            let tokens = grant.tokens.min(MAX_REQUESTED_TOKENS);
            cache.leases.push_back((sent.sent_at + parameters.lease_duration, tokens));
        }
        world.systems.rate_limit.leasing.due.push(team);
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    world.systems.rate_limit.leasing.started_at.get_or_insert(tick.now);
    check_waiting(world, tick);
    for call in world.tables.calls.take(Stage::RateLimit) {
        enqueue(world, tick.now, call);
    }
    smooth_demand(world, tick.now);
    let state = &mut world.systems.rate_limit.leasing;
    let mut due = std::mem::take(&mut state.due);
    due.append(&mut state.waiting);
    due.sort_unstable();
    due.dedup();
    for team in due {
        match parameters(world, team) {
            Some(parameters) => serve(world, tick, team, &parameters),
            None => release_all(world, tick, team),
        }
    }
    send_requests(world, tick);
}

/// Appends a call to the calls that wait for a token of its team.
fn enqueue(world: &mut World, now: Millis, call: CallKey) {
    let Some(team) = world.tables.calls.get(call).and_then(|call| call.team) else { return };
    let Some(entry) = world.tables.rate_limits.token_caches.entry(team) else { return };
    let cache = entry.or_default();
    cache.arrivals += 1;
    cache.last_request = now;
    cache.waiting.push_back(call);
    world.systems.rate_limit.leasing.due.push(team);
}

/// Updates the smoothed demand of all teams and marks them as due.
fn smooth_demand(world: &mut World, now: Millis) {
    let state = &mut world.systems.rate_limit.leasing;
    let elapsed = now - state.smoothed_at;
    if elapsed < SMOOTHING_INTERVAL {
        return;
    }
    state.smoothed_at = now;
    let idle =
        |cache: &TokenCache| cache.waiting.is_empty() && now - cache.last_request > IDLE_RETENTION;
    world.tables.rate_limits.token_caches.retain(|_, cache| !idle(cache));
    for (team, cache) in &mut world.tables.rate_limits.token_caches {
        let latest = f64::from(cache.arrivals) * 1_000.0 / elapsed.0 as f64;
        cache.demand += (latest - cache.demand) * SMOOTHING_WEIGHT;
        cache.arrivals = 0;
        state.due.push(team);
    }
}

/// Ends the wait of all calls of a team that has no limit, or no longer exists.
fn release_all(world: &mut World, tick: &mut Tick, team: TeamKey) {
    let Some(cache) = world.tables.rate_limits.token_caches.remove(team) else { return };
    let exists = world.tables.teams.get(team).is_some();
    for call in cache.waiting {
        if !is_waiting(&world.tables.calls, call, team) {
            continue;
        }
        match exists {
            true => world.tables.calls.advance(call, Stage::Routing, tick.now),
            // Its key has another team now, or none.
            false => {
                clearance::check(world, tick, call);
            }
        }
    }
}

/// Checks the calls that wait for a token once more after a change of the configuration. One whose key
/// is no longer valid is refused for that reason, and not for its team's rate.
fn check_waiting(world: &mut World, tick: &mut Tick) {
    let revision = world.tables.configuration.revision;
    if std::mem::replace(&mut world.systems.rate_limit.leasing.revision, revision) == revision {
        return;
    }
    let caches = world.tables.rate_limits.token_caches.iter();
    let waiting: Vec<(TeamKey, CallKey)> = caches
        .flat_map(|(team, cache)| cache.waiting.iter().map(move |&call| (team, call)))
        .collect();
    for (team, call) in waiting {
        if is_waiting(&world.tables.calls, call, team) {
            clearance::check(world, tick, call);
        }
    }
}

/// Whether a call waits for a token of this team. It may have ended, or wait for another team's.
fn is_waiting(calls: &Calls, call: CallKey, team: TeamKey) -> bool {
    let call = calls.get(call);
    call.is_some_and(|call| call.stage == Stage::RateLimit && call.team == Some(team))
}

/// Spends a team's cached tokens, leases what is missing and refuses calls that waited too long.
fn serve(world: &mut World, tick: &mut Tick, team: TeamKey, parameters: &BucketParameters) {
    update_owners(world, team, parameters);
    spend(world, tick.now, team);
    request_leases(world, tick, team, parameters);
    spend(world, tick.now, team);
    refuse(world, tick, team, parameters);
    let Some(cache) = world.tables.rate_limits.token_caches.get(team) else { return };
    if !cache.waiting.is_empty() {
        world.systems.rate_limit.leasing.waiting.push(team);
        tick.wake(tick.now + EMPTY_BACKOFF);
    }
}

fn spend(world: &mut World, now: Millis, team: TeamKey) {
    let Some(cache) = world.tables.rate_limits.token_caches.get_mut(team) else { return };
    let calls = &mut world.tables.calls;
    while let Some(&call) = cache.waiting.front() {
        let is_waiting = is_waiting(calls, call, team);
        if is_waiting && !cache.spend(now) {
            return;
        }
        cache.waiting.pop_front();
        if is_waiting {
            calls.advance(call, Stage::Routing, now);
        }
    }
}

/// Updates a cache's list of shard owners after a change of the roster or the number of shards.
fn update_owners(world: &mut World, team: TeamKey, parameters: &BucketParameters) {
    let roster = world.tables.roster.version;
    let Some(cache) = world.tables.rate_limits.token_caches.get(team) else { return };
    if cache.owners_roster == roster && cache.shard_states.len() == usize::from(parameters.shards) {
        return;
    }
    let owners = owners_by_proximity(world, team, parameters);
    let Some(cache) = world.tables.rate_limits.token_caches.get_mut(team) else { return };
    cache.owners = owners;
    cache.owners_roster = roster;
    cache.shard_states.clear();
    cache.shard_states.resize_with(usize::from(parameters.shards), Default::default);
}

/// A team's shards with their owners: this node's first, then those in its data centre.
fn owners_by_proximity(
    world: &World,
    team: TeamKey,
    parameters: &BucketParameters,
) -> Vec<ShardOwner> {
    let (members, own) = (&world.tables.roster.members, &world.identity);
    let policy = policy::of(&world.options.rate_limit);
    let Some(team) = world.tables.teams.get(team).map(|team| &team.name) else {
        return Vec::new();
    };
    let shards = u64::from(parameters.shards.max(1));
    let rotation = own.node().0 % shards;
    let mut owners: Vec<_> = (0..parameters.shards)
        .map(Shard)
        .filter_map(|shard| {
            let (data_centre, name) = policy.shard_owner(members, own, team, shard)?;
            let is_own = name == own.name();
            let is_local = data_centre == own.data_centre();
            // Nodes begin with different shards, so that they don't all drain the same bucket.
            let order = (u64::from(shard.0) + rotation) % shards;
            let member = (!is_own).then(|| name.clone());
            Some(((!is_own, Reverse(is_local), order), ShardOwner { shard, member }))
        })
        .collect();
    owners.sort_by_key(|(proximity, _)| *proximity);
    owners.into_iter().map(|(_, owner)| owner).collect()
}

/// Number of tokens to lease for the calls that wait and for the demand expected within the
/// horizon.
fn wanted(world: &mut World, now: Millis, team: TeamKey, parameters: &BucketParameters) -> u32 {
    let horizon = world.options.rate_limit.horizon.min(Millis(parameters.lease_duration.0 / 2));
    let Some(cache) = world.tables.rate_limits.token_caches.get_mut(team) else { return 0 };
    // Only whole expected requests: a token leased for less than one would mostly expire unused.
    let demand = cache.demand.min(f64::from(parameters.rate));
    let prefetch = (demand * horizon.0 as f64 / 1_000.0) as u32;
    let waiting = cache.waiting.len() as u32;
    let cached = cache.tokens(now);
    if waiting == 0 && cached.saturating_mul(2) > prefetch {
        return 0;
    }
    waiting.saturating_add(prefetch).saturating_sub(cached).min(MAX_REQUESTED_TOKENS)
}

/// Leases the missing tokens from the nearest shard owner that may have them.
fn request_leases(
    world: &mut World,
    tick: &mut Tick,
    team: TeamKey,
    parameters: &BucketParameters,
) {
    let mut missing = wanted(world, tick.now, team, parameters);
    if missing == 0 {
        return;
    }
    let reply_within = world.options.rate_limit.reply_within;
    let Some(count) =
        world.tables.rate_limits.token_caches.get(team).map(|cache| cache.owners.len())
    else {
        return;
    };
    for index in 0..count {
        let Some(cache) = world.tables.rate_limits.token_caches.get_mut(team) else { return };
        let owner = cache.owners[index].clone();
        let shard_state = &mut cache.shard_states[usize::from(owner.shard.0)];
        if let Some((_, sent)) = shard_state.pending {
            let waited = tick.now - sent;
            if waited < HEDGE_DELAY {
                return;
            }
            if waited >= reply_within {
                shard_state.pending = None;
                shard_state.unreachable = true;
                shard_state.backoff_until = tick.now + UNREACHABLE_BACKOFF;
            }
            continue;
        }
        if shard_state.backoff_until > tick.now {
            continue;
        }
        match owner.member {
            None => {
                missing -= lease_locally(world, tick.now, team, owner.shard, parameters, missing)
            }
            Some(member) => {
                if queue_request(world, tick.now, team, &member, owner.shard, missing) {
                    return;
                }
            }
        }
        if missing == 0 {
            return;
        }
    }
}

/// Leases tokens from a bucket of this node. Returns how many it granted.
fn lease_locally(
    world: &mut World,
    now: Millis,
    team: TeamKey,
    shard: Shard,
    parameters: &BucketParameters,
    wanted: u32,
) -> u32 {
    let Some(name) = world.tables.teams.get(team).map(|team| team.name.clone()) else { return 0 };
    let grant = ownership::grant(world, now, &name, shard, wanted);
    let Some(cache) = world.tables.rate_limits.token_caches.get_mut(team) else { return 0 };
    if grant.tokens > 0 {
        cache.leases.push_back((now + parameters.lease_duration.max(Millis(1)), grant.tokens));
    }
    if grant.tokens < wanted {
        let shard_state = &mut cache.shard_states[usize::from(shard.0)];
        shard_state.backoff_until = now + grant.next_in.max(EMPTY_BACKOFF);
    }
    grant.tokens
}

/// Queues a lease request to a shard owner. Returns whether the owner is connected.
fn queue_request(
    world: &mut World,
    now: Millis,
    team: TeamKey,
    member: &str,
    shard: Shard,
    wanted: u32,
) -> bool {
    let owner = world.tables.peers.by_name(member);
    let owner = owner
        .filter(|&owner| world.tables.peers.get(owner).is_some_and(|peer| peer.link == Link::Up));
    let name = world.tables.teams.get(team).map(|team| team.name.clone());
    let (Some(owner), Some(name)) = (owner, name) else {
        if let Some(cache) = world.tables.rate_limits.token_caches.get_mut(team) {
            let shard_state = &mut cache.shard_states[usize::from(shard.0)];
            shard_state.unreachable = true;
            shard_state.backoff_until = now + UNREACHABLE_BACKOFF;
        }
        return false;
    };
    let request = LeaseRequest { team: name, shard, wanted };
    world.systems.rate_limit.leasing.outbox.entry(owner).or_default().push((team, request));
    true
}

/// Sends the lease requests of this tick, one message to each shard owner.
fn send_requests(world: &mut World, tick: &mut Tick) {
    let reply_within = world.options.rate_limit.reply_within;
    let state = &mut world.systems.rate_limit.leasing;
    state.unanswered.retain(|_, sent| tick.now < sent.sent_at + reply_within);
    for (owner, requests) in std::mem::take(&mut state.outbox) {
        let state = &mut world.systems.rate_limit.leasing;
        state.last_number += 1;
        let number = state.last_number;
        let shards: Vec<_> =
            requests.iter().map(|(team, request)| (*team, request.shard)).collect();
        for &(team, shard) in &shards {
            if let Some(cache) = world.tables.rate_limits.token_caches.get_mut(team) {
                cache.shard_states[usize::from(shard.0)].pending = Some((number, tick.now));
            }
        }
        state.unanswered.insert(number, SentMessage { sent_at: tick.now, shards });
        let requests = requests.into_iter().map(|(_, request)| request).collect();
        world.send(tick, owner, message::Message::Request { number, requests });
    }
}

/// Refuses calls that have waited too long. If all shards are in backoff, also refuses the least
/// important calls beyond the number that the rate yields within the maximum wait.
fn refuse(world: &mut World, tick: &mut Tick, team: TeamKey, parameters: &BucketParameters) {
    let max_wait = max_wait(world, tick.now);
    let served_within_wait = u64::from(parameters.rate) * max_wait.0 / 1_000 + 1;
    let refusal = refusal(world, tick.now, team);
    let Some(cache) = world.tables.rate_limits.token_caches.get_mut(team) else { return };
    let calls = &world.tables.calls;
    cache.waiting.retain(|&call| is_waiting(calls, call, team));
    let all_backed_off =
        cache.shard_states.iter().all(|shard_state| shard_state.backoff_until > tick.now);
    let mut refused = Vec::new();
    while let Some(&call) = cache.waiting.front() {
        let Some(row) = calls.get(call) else { break };
        if tick.now - row.since < max_wait && row.deadline > tick.now {
            break;
        }
        cache.waiting.pop_front();
        refused.push(call);
    }
    while all_backed_off && cache.waiting.len() as u64 > served_within_wait {
        let Some(call) = least_important(cache, calls) else { break };
        refused.push(call);
    }
    for call in refused {
        finish::run(world, tick, call, Verdict::Refuse(refusal));
    }
}

/// Maximum time that a request waits for a token. It is longer just after the start, when the node
/// may not know the shard owners yet, which is no reason to refuse requests.
fn max_wait(world: &World, now: Millis) -> Millis {
    let max_wait = world.options.rate_limit.patience;
    let started_at = world.systems.rate_limit.leasing.started_at.unwrap_or(now);
    if now - started_at < STARTUP_PERIOD { max_wait.max(STARTUP_MAX_WAIT) } else { max_wait }
}

/// Removes the least important waiting call; among equals, the one that arrived last.
fn least_important(cache: &mut TokenCache, calls: &Calls) -> Option<CallKey> {
    let rank = |call: CallKey| calls.get(call).map(|call| call.rank);
    let index = (0..cache.waiting.len())
        .min_by_key(|&index| (rank(cache.waiting[index]), Reverse(index)))?;
    cache.waiting.remove(index)
}

/// The refusal for a call whose team has no tokens.
fn refusal(world: &World, now: Millis, team: TeamKey) -> Refusal {
    let Some(cache) = world.tables.rate_limits.token_caches.get(team) else {
        return Refusal::not_run(Reason::RateUnavailable).after(UNREACHABLE_BACKOFF);
    };
    let retry_at =
        cache.shard_states.iter().map(|shard_state| shard_state.backoff_until).min().unwrap_or(now);
    let none_reachable = cache.shard_states.iter().all(|shard_state| shard_state.unreachable);
    let reason = if none_reachable { Reason::RateUnavailable } else { Reason::RateExceeded };
    Refusal::not_run(reason).after((retry_at - now).max(Millis(1)))
}
