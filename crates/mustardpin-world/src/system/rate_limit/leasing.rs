//! The side of the node where requests arrive: stocks of tokens and draws.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{
    clock::Millis,
    id::{CallKey, PeerKey, TeamKey},
    message::rate_limit::{self as message, LeaseGrant, LeaseRequest, Shard},
    refusal::{Reason, Refusal},
    request::Verdict,
    system::{
        finish,
        rate_limit::{ownership, policy, terms},
    },
    table::{
        call::{Calls, Stage},
        peer::Link,
        rate_limit::{BucketParameters, ShardOwner, TokenCache},
    },
    world::{Tick, World},
};

/// A keeper that did not reply is not asked again for this long.
const UNREACHABLE_WAIT: Millis = Millis(500);
/// While a keeper has not replied for this long, the next one is asked as well.
const HEDGE_AFTER: Millis = Millis(20);
/// A bucket that was empty is not asked again for at least this long.
const EMPTY_WAIT: Millis = Millis(5);
/// Demand is smoothed over this period.
const SMOOTHING_PERIOD: Millis = Millis(100);
/// The weight of the last period in the smoothed demand.
const SMOOTHING_WEIGHT: f64 = 0.3;
/// Below this many requests a second, tokens are not drawn ahead of demand.
const LEAST_DEMAND: f64 = 2.0;
/// A node gets to know the keepers within this time of its start.
const STARTING: Millis = Millis(4_000);
/// Requests that arrive in that time may wait this long for a token.
const START_PATIENCE: Millis = Millis(2_000);
/// A stock whose team has had no request for this long is dropped.
const IDLE: Millis = Millis(10_000);
/// The most tokens one draw asks for.
const MAX_DRAW: u32 = 10_000;

/// Draws of one message, in its order.
#[derive(Debug)]
struct Drawn {
    sent: Millis,
    shards: Vec<(TeamKey, Shard)>,
}

/// What the drawing side remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    last_number: u64,
    /// Messages without a reply yet.
    drawn: BTreeMap<u64, Drawn>,
    /// Draws of this tick, by keeper.
    outbox: BTreeMap<PeerKey, Vec<(TeamKey, LeaseRequest)>>,
    /// Teams to look at in this tick.
    due: Vec<TeamKey>,
    /// Teams with calls that wait.
    waiting: Vec<TeamKey>,
    /// When demand was last smoothed.
    smoothed: Millis,
    /// The first tick.
    started: Option<Millis>,
}

/// A keeper granted tokens, or none.
pub(super) fn granted(world: &mut World, now: Millis, number: u64, grants: &[LeaseGrant]) {
    let Some(drawn) = world.systems.rate_limit.leasing.drawn.remove(&number) else { return };
    for (&(team, shard), grant) in drawn.shards.iter().zip(grants) {
        let Some(terms) = terms(world, team) else { continue };
        let Some(stock) = world.tables.rate_limits.token_caches.get_mut(team) else { continue };
        let Some(source) = stock.shard_states.get_mut(usize::from(shard.0)) else { continue };
        if source.pending.is_some_and(|(pending, _)| pending == number) {
            source.pending = None;
        }
        source.unreachable = false;
        if grant.tokens == 0 {
            source.backoff_until = now + grant.next_in.max(EMPTY_WAIT);
        } else {
            stock.leases.push_back((drawn.sent + terms.lease_duration, grant.tokens));
        }
        world.systems.rate_limit.leasing.due.push(team);
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    world.systems.rate_limit.leasing.started.get_or_insert(tick.now);
    for call in world.tables.calls.take(Stage::RateLimit) {
        admit(world, tick.now, call);
    }
    smooth_demand(world, tick.now);
    let state = &mut world.systems.rate_limit.leasing;
    let mut due = std::mem::take(&mut state.due);
    due.append(&mut state.waiting);
    due.sort_unstable();
    due.dedup();
    for team in due {
        match terms(world, team) {
            Some(terms) => serve(world, tick, team, &terms),
            None => release(world, tick.now, team),
        }
    }
    send_draws(world, tick);
}

/// Puts a call in line for a token of its team.
fn admit(world: &mut World, now: Millis, call: CallKey) {
    let Some(team) = world.tables.calls.get(call).and_then(|call| call.team) else { return };
    let Some(entry) = world.tables.rate_limits.token_caches.entry(team) else { return };
    let stock = entry.or_default();
    stock.arrived += 1;
    stock.last_request = now;
    stock.waiting.push_back(call);
    world.systems.rate_limit.leasing.due.push(team);
}

/// Brings the demand of all teams up to date, and looks at each of them.
fn smooth_demand(world: &mut World, now: Millis) {
    let state = &mut world.systems.rate_limit.leasing;
    let elapsed = now - state.smoothed;
    if elapsed < SMOOTHING_PERIOD {
        return;
    }
    state.smoothed = now;
    let idle = |stock: &TokenCache| stock.waiting.is_empty() && now - stock.last_request > IDLE;
    world.tables.rate_limits.token_caches.retain(|_, stock| !idle(stock));
    for (team, stock) in &mut world.tables.rate_limits.token_caches {
        let latest = f64::from(stock.arrived) * 1_000.0 / elapsed.0 as f64;
        stock.demand += (latest - stock.demand) * SMOOTHING_WEIGHT;
        stock.arrived = 0;
        state.due.push(team);
    }
}

/// Lets all calls of a team through that has no limit, or has gone: the check of the key follows.
fn release(world: &mut World, now: Millis, team: TeamKey) {
    let Some(stock) = world.tables.rate_limits.token_caches.remove(team) else { return };
    for call in stock.waiting {
        let is_waiting =
            world.tables.calls.get(call).is_some_and(|call| call.stage == Stage::RateLimit);
        if is_waiting {
            world.tables.calls.advance(call, Stage::Routing, now);
        }
    }
}

/// Spends what there is of a team's tokens, draws what is lacking, and refuses what waits too long.
fn serve(world: &mut World, tick: &mut Tick, team: TeamKey, terms: &BucketParameters) {
    find_keepers(world, team, terms);
    spend(world, tick.now, team);
    draw(world, tick, team, terms);
    spend(world, tick.now, team);
    refuse(world, tick, team, terms);
    let Some(stock) = world.tables.rate_limits.token_caches.get(team) else { return };
    if !stock.waiting.is_empty() {
        world.systems.rate_limit.leasing.waiting.push(team);
        tick.wake(tick.now + EMPTY_WAIT);
    }
}

fn spend(world: &mut World, now: Millis, team: TeamKey) {
    let Some(stock) = world.tables.rate_limits.token_caches.get_mut(team) else { return };
    let calls = &mut world.tables.calls;
    while let Some(&call) = stock.waiting.front() {
        let is_waiting = calls.get(call).is_some_and(|call| call.stage == Stage::RateLimit);
        if is_waiting && !stock.spend(now) {
            return;
        }
        stock.waiting.pop_front();
        if is_waiting {
            calls.advance(call, Stage::Routing, now);
        }
    }
}

/// Brings a stock's list of keepers up to date with the roster and the team's terms.
fn find_keepers(world: &mut World, team: TeamKey, terms: &BucketParameters) {
    let roster = world.tables.roster.version;
    let Some(stock) = world.tables.rate_limits.token_caches.get(team) else { return };
    if stock.owners_roster == roster && stock.shard_states.len() == usize::from(terms.shards) {
        return;
    }
    let keepers = keepers_by_nearness(world, team, terms);
    let Some(stock) = world.tables.rate_limits.token_caches.get_mut(team) else { return };
    stock.owners = keepers;
    stock.owners_roster = roster;
    stock.shard_states.clear();
    stock.shard_states.resize_with(usize::from(terms.shards), Default::default);
}

/// A team's shards with their keepers, the own ones first, then those in the own data centre.
fn keepers_by_nearness(world: &World, team: TeamKey, terms: &BucketParameters) -> Vec<ShardOwner> {
    let (roster, own) = (&world.tables.roster, &world.identity);
    let policy = policy::of(&world.options.rate_limit);
    let Some(team) = world.tables.teams.get(team).map(|team| &team.name) else {
        return Vec::new();
    };
    let shards = u64::from(terms.shards.max(1));
    let rotation = own.node().0 % shards;
    let mut keepers: Vec<_> = (0..terms.shards)
        .map(Shard)
        .filter_map(|shard| {
            let (data_centre, name) = policy.shard_owner(roster, own, team, shard)?;
            let is_own = name == own.name();
            let is_near = data_centre == own.data_centre();
            // Nodes begin with different shards, so that none is emptied by all.
            let turn = (u64::from(shard.0) + rotation) % shards;
            let member = (!is_own).then(|| name.clone());
            Some(((!is_own, Reverse(is_near), turn), ShardOwner { shard, member }))
        })
        .collect();
    keepers.sort_by_key(|(nearness, _)| *nearness);
    keepers.into_iter().map(|(_, keeper)| keeper).collect()
}

/// How many tokens the node lacks for the calls that wait and for the demand ahead.
fn wanted(world: &mut World, now: Millis, team: TeamKey, terms: &BucketParameters) -> u32 {
    let horizon = world.options.rate_limit.horizon.min(Millis(terms.lease_duration.0 / 2));
    let Some(stock) = world.tables.rate_limits.token_caches.get_mut(team) else { return 0 };
    let ahead = if stock.demand < LEAST_DEMAND {
        0
    } else {
        (stock.demand.min(f64::from(terms.rate)) * horizon.0 as f64 / 1_000.0).ceil() as u32
    };
    let waiting = stock.waiting.len() as u32;
    let held = stock.tokens(now);
    if waiting == 0 && held * 2 > ahead {
        return 0;
    }
    (waiting + ahead).saturating_sub(held).min(MAX_DRAW)
}

/// Draws what is lacking from the nearest keeper that may have it.
fn draw(world: &mut World, tick: &mut Tick, team: TeamKey, terms: &BucketParameters) {
    let mut missing = wanted(world, tick.now, team, terms);
    if missing == 0 {
        return;
    }
    let reply_within = world.options.rate_limit.reply_within;
    let Some(count) =
        world.tables.rate_limits.token_caches.get(team).map(|stock| stock.owners.len())
    else {
        return;
    };
    for index in 0..count {
        let Some(stock) = world.tables.rate_limits.token_caches.get_mut(team) else { return };
        let keeper = stock.owners[index].clone();
        let source = &mut stock.shard_states[usize::from(keeper.shard.0)];
        if let Some((_, sent)) = source.pending {
            let waited = tick.now - sent;
            if waited < HEDGE_AFTER {
                return;
            }
            if waited >= reply_within {
                source.pending = None;
                source.unreachable = true;
                source.backoff_until = tick.now + UNREACHABLE_WAIT;
            }
            continue;
        }
        if source.backoff_until > tick.now {
            continue;
        }
        match keeper.member {
            None => missing -= draw_here(world, tick.now, team, keeper.shard, terms, missing),
            Some(member) => {
                if ask(world, tick.now, team, &member, keeper.shard, missing) {
                    return;
                }
            }
        }
        if missing == 0 {
            return;
        }
    }
}

/// Draws from a bucket of this node. Returns how many tokens there were.
fn draw_here(
    world: &mut World,
    now: Millis,
    team: TeamKey,
    shard: Shard,
    terms: &BucketParameters,
    wanted: u32,
) -> u32 {
    let Some(name) = world.tables.teams.get(team).map(|team| team.name.clone()) else { return 0 };
    let grant = ownership::grant(world, now, &name, shard, wanted);
    let Some(stock) = world.tables.rate_limits.token_caches.get_mut(team) else { return 0 };
    if grant.tokens > 0 {
        stock.leases.push_back((now + terms.lease_duration.max(Millis(1)), grant.tokens));
    }
    if grant.tokens < wanted {
        let source = &mut stock.shard_states[usize::from(shard.0)];
        source.backoff_until = now + grant.next_in.max(EMPTY_WAIT);
    }
    grant.tokens
}

/// Puts a draw in the outbox for a keeper. Returns whether the keeper can be reached.
fn ask(
    world: &mut World,
    now: Millis,
    team: TeamKey,
    place: &str,
    shard: Shard,
    wanted: u32,
) -> bool {
    let keeper = world.tables.peers.by_name(place);
    let keeper = keeper
        .filter(|&keeper| world.tables.peers.get(keeper).is_some_and(|peer| peer.link == Link::Up));
    let name = world.tables.teams.get(team).map(|team| team.name.clone());
    let (Some(keeper), Some(name)) = (keeper, name) else {
        if let Some(stock) = world.tables.rate_limits.token_caches.get_mut(team) {
            let source = &mut stock.shard_states[usize::from(shard.0)];
            source.unreachable = true;
            source.backoff_until = now + UNREACHABLE_WAIT;
        }
        return false;
    };
    let draw = LeaseRequest { team: name, shard, wanted };
    world.systems.rate_limit.leasing.outbox.entry(keeper).or_default().push((team, draw));
    true
}

/// Sends the draws of this tick, one message to each keeper.
fn send_draws(world: &mut World, tick: &mut Tick) {
    let reply_within = world.options.rate_limit.reply_within;
    let state = &mut world.systems.rate_limit.leasing;
    state.drawn.retain(|_, drawn| tick.now < drawn.sent + reply_within);
    for (keeper, draws) in std::mem::take(&mut state.outbox) {
        let state = &mut world.systems.rate_limit.leasing;
        state.last_number += 1;
        let number = state.last_number;
        let shards: Vec<_> = draws.iter().map(|(team, draw)| (*team, draw.shard)).collect();
        for &(team, shard) in &shards {
            if let Some(stock) = world.tables.rate_limits.token_caches.get_mut(team) {
                stock.shard_states[usize::from(shard.0)].pending = Some((number, tick.now));
            }
        }
        state.drawn.insert(number, Drawn { sent: tick.now, shards });
        let requests = draws.into_iter().map(|(_, draw)| draw).collect();
        world.send(tick, keeper, message::Message::Request { number, requests });
    }
}

/// Refuses calls that have waited too long, and those beyond what the rate yields meanwhile.
fn refuse(world: &mut World, tick: &mut Tick, team: TeamKey, terms: &BucketParameters) {
    let patience = patience(world, tick.now);
    let within_patience = u64::from(terms.rate) * patience.0 / 1_000 + 1;
    let refusal = refusal(world, tick.now, team);
    let Some(stock) = world.tables.rate_limits.token_caches.get_mut(team) else { return };
    let calls = &world.tables.calls;
    stock
        .waiting
        .retain(|&call| calls.get(call).is_some_and(|call| call.stage == Stage::RateLimit));
    let dry = stock.shard_states.iter().all(|source| source.backoff_until > tick.now);
    let mut refused = Vec::new();
    while let Some(&call) = stock.waiting.front() {
        let Some(row) = calls.get(call) else { break };
        if tick.now - row.since < patience && row.deadline > tick.now {
            break;
        }
        stock.waiting.pop_front();
        refused.push(call);
    }
    while dry && stock.waiting.len() as u64 > within_patience {
        let Some(call) = least_important(stock, calls) else { break };
        refused.push(call);
    }
    for call in refused {
        finish::run(world, tick, call, Verdict::Refuse(refusal));
    }
}

/// How long a request may wait for a token. A node that has just started may not know the keepers
/// yet, which is no reason to refuse.
fn patience(world: &World, now: Millis) -> Millis {
    let patience = world.options.rate_limit.patience;
    let started = world.systems.rate_limit.leasing.started.unwrap_or(now);
    if now - started < STARTING { patience.max(START_PATIENCE) } else { patience }
}

/// Removes the least important of the waiting calls, the last one to arrive among equals.
fn least_important(stock: &mut TokenCache, calls: &Calls) -> Option<CallKey> {
    let rank = |call: CallKey| calls.get(call).map(|call| call.rank);
    let index = (0..stock.waiting.len())
        .min_by_key(|&index| (rank(stock.waiting[index]), Reverse(index)))?;
    stock.waiting.remove(index)
}

/// What to tell a caller whose team has no tokens.
fn refusal(world: &World, now: Millis, team: TeamKey) -> Refusal {
    let Some(stock) = world.tables.rate_limits.token_caches.get(team) else {
        return Refusal::not_run(Reason::RateUnavailable).after(UNREACHABLE_WAIT);
    };
    let retry_at =
        stock.shard_states.iter().map(|source| source.backoff_until).min().unwrap_or(now);
    let none_reachable = stock.shard_states.iter().all(|source| source.unreachable);
    let reason = if none_reachable { Reason::RateUnavailable } else { Reason::RateExceeded };
    Refusal::not_run(reason).after((retry_at - now).max(Millis(1)))
}
