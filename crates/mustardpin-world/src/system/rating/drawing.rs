//! The side of the node where requests arrive: stocks of tokens and draws.

use std::cmp::Reverse;

use crate::{
    clock::Millis,
    config::Importance,
    id::{CallKey, NodeId, TeamKey},
    message::share::{self, Shard},
    refusal::{Reason, Refusal},
    request::Verdict,
    system::{
        finish,
        rating::{keeping, policy, terms},
    },
    table::{
        call::Stage,
        share::{Source, Stock, Terms},
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

/// A keeper granted tokens, or none.
pub(super) fn granted(
    world: &mut World,
    now: Millis,
    from: NodeId,
    draw: u64,
    tokens: u32,
    next_in: Millis,
) {
    let pending = |source: &Source| {
        source.pending.is_some_and(|(sent, _, keeper)| sent == draw && keeper == from)
    };
    let teams: Vec<TeamKey> = world.tables.teams.iter().map(|(team, _)| team).collect();
    for team in teams {
        let Some(terms) = terms(world, team) else { continue };
        let Some(stock) = world.tables.shares.stocks.get_mut(team) else { continue };
        let Some(source) = stock.sources.iter_mut().find(|source| pending(source)) else {
            continue;
        };
        let Some((_, sent, _)) = source.pending.take() else { continue };
        source.unreachable = false;
        if tokens == 0 {
            source.quiet_until = now + next_in.max(EMPTY_WAIT);
        } else {
            stock.lots.push_back((sent + terms.hold, tokens));
        }
        return;
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in world.tables.calls.take(Stage::Rating) {
        admit(world, tick.now, call);
    }
    smooth_demand(world, tick);
    let teams: Vec<TeamKey> = world.tables.shares.stocks.keys().collect();
    for team in teams {
        match terms(world, team) {
            Some(terms) => serve(world, tick, team, &terms),
            None => {
                world.tables.shares.stocks.remove(team);
            }
        }
    }
    let now = tick.now;
    let idle = |stock: &Stock| stock.waiting.is_empty() && now - stock.last_request > IDLE;
    world.tables.shares.stocks.retain(|_, stock| !idle(stock));
}

/// Puts a call in line for a token of its team.
fn admit(world: &mut World, now: Millis, call: CallKey) {
    let Some(team) = world.tables.calls.get(call).and_then(|call| call.team) else { return };
    let Some(entry) = world.tables.shares.stocks.entry(team) else { return };
    let stock = entry.or_default();
    stock.arrived += 1;
    stock.last_request = now;
    stock.waiting.push_back(call);
}

fn smooth_demand(world: &mut World, tick: &mut Tick) {
    let elapsed = tick.now - world.systems.rating.smoothed;
    if elapsed < SMOOTHING_PERIOD {
        return;
    }
    world.systems.rating.smoothed = tick.now;
    for (_, stock) in &mut world.tables.shares.stocks {
        let latest = f64::from(stock.arrived) * 1_000.0 / elapsed.0 as f64;
        stock.demand += (latest - stock.demand) * SMOOTHING_WEIGHT;
        stock.arrived = 0;
    }
}

/// Spends a team's tokens on its waiting calls, draws more and refuses what has waited too long.
fn serve(world: &mut World, tick: &mut Tick, team: TeamKey, terms: &Terms) {
    let sources = usize::from(terms.shards);
    world.tables.shares.stocks[team].sources.resize(sources, Source::default());
    spend(world, tick.now, team);
    expire_draws(world, tick, team);
    draw(world, tick, team, terms);
    spend(world, tick.now, team);
    refuse(world, tick, team, terms);
    let stock = &world.tables.shares.stocks[team];
    if !stock.waiting.is_empty() {
        tick.wake(next_step(stock, tick.now));
    }
}

/// The next point at which a waiting call may get further without a message.
fn next_step(stock: &Stock, now: Millis) -> Millis {
    let quiet = stock.sources.iter().map(|source| source.quiet_until).filter(|&at| at > now).min();
    quiet.unwrap_or(Millis::MAX).min(now + Millis(20))
}

fn spend(world: &mut World, now: Millis, team: TeamKey) {
    let tables = &mut world.tables;
    let stock = &mut tables.shares.stocks[team];
    let mut tokens = stock.tokens(now);
    while tokens > 0 {
        let Some(call) = stock.waiting.pop_front() else { return };
        if tables.calls.get(call).is_none_or(|call| call.stage != Stage::Rating) {
            continue;
        }
        stock.spend(now);
        tokens -= 1;
        tables.calls.advance(call, Stage::Routing, now);
    }
}

/// Gives up on draws whose keeper does not reply.
fn expire_draws(world: &mut World, tick: &mut Tick, team: TeamKey) {
    let reply_within = world.options.rating.reply_within;
    let undelivered = &tick.inbox.undelivered;
    for source in &mut world.tables.shares.stocks[team].sources {
        let Some((_, sent, keeper)) = source.pending else { continue };
        if tick.now - sent < reply_within && !undelivered.contains(&keeper) {
            continue;
        }
        source.pending = None;
        source.unreachable = true;
        source.quiet_until = tick.now + UNREACHABLE_WAIT;
    }
}

/// Draws tokens for the calls that wait and for the demand ahead.
fn draw(world: &mut World, tick: &mut Tick, team: TeamKey, terms: &Terms) {
    let wanted = wanted(world, tick.now, team, terms);
    if wanted == 0 {
        return;
    }
    let Some(name) = world.tables.teams.get(team).map(|team| team.name.clone()) else { return };
    let mut missing = wanted;
    find_keepers(world, team, &name, terms);
    for index in 0..world.tables.shares.stocks[team].keepers.len() {
        let (shard, keeper) = world.tables.shares.stocks[team].keepers[index];
        let source = world.tables.shares.stocks[team].sources[usize::from(shard.0)];
        if let Some((_, sent, _)) = source.pending {
            if tick.now - sent < HEDGE_AFTER {
                return;
            }
            continue;
        }
        if source.quiet_until > tick.now {
            continue;
        }
        if keeper == world.identity.node() {
            let (tokens, next_in) = keeping::grant(world, tick.now, &name, shard, missing);
            let stock = &mut world.tables.shares.stocks[team];
            if tokens > 0 {
                stock.lots.push_back((tick.now + terms.hold.max(Millis(1)), tokens));
            }
            missing -= tokens;
            if missing == 0 {
                return;
            }
            stock.sources[usize::from(shard.0)].quiet_until = tick.now + next_in.max(EMPTY_WAIT);
            continue;
        }
        return ask(world, tick, team, keeper, (shard, missing));
    }
}

fn ask(
    world: &mut World,
    tick: &mut Tick,
    team: TeamKey,
    keeper: NodeId,
    (shard, wanted): (Shard, u32),
) {
    let Some(name) = world.tables.teams.get(team).map(|team| team.name.clone()) else { return };
    world.systems.rating.last_draw += 1;
    let draw = world.systems.rating.last_draw;
    let message = share::Message::Draw { draw, team: name, shard, wanted };
    let sent = world.tables.peers.by_node(keeper).is_some();
    world.send_to(tick, keeper, message);
    let source = &mut world.tables.shares.stocks[team].sources[usize::from(shard.0)];
    if sent {
        source.pending = Some((draw, tick.now, keeper));
    } else {
        source.unreachable = true;
        source.quiet_until = tick.now + UNREACHABLE_WAIT;
    }
    tick.wake(tick.now + world.options.rating.reply_within);
}

/// How many tokens the node lacks for the calls that wait and for the demand ahead.
fn wanted(world: &mut World, now: Millis, team: TeamKey, terms: &Terms) -> u32 {
    let horizon = world.options.rating.horizon.min(Millis(terms.hold.0 / 2));
    let stock = &mut world.tables.shares.stocks[team];
    let ahead = if stock.demand < LEAST_DEMAND {
        0
    } else {
        (stock.demand.min(f64::from(terms.rate)) * horizon.0 as f64 / 1_000.0) as u32
    };
    let waiting = stock.waiting.len() as u32;
    let held = stock.tokens(now);
    if waiting == 0 && held * 2 > ahead {
        return 0;
    }
    (waiting + ahead).saturating_sub(held).min(MAX_DRAW)
}

/// Brings a stock's list of keepers up to date with the epoch and the team's terms.
fn find_keepers(world: &mut World, team: TeamKey, name: &str, terms: &Terms) {
    let epoch = world.tables.epoch.current.number;
    let stock = &world.tables.shares.stocks[team];
    if stock.keepers_epoch == epoch && stock.keepers.len() == usize::from(terms.shards) {
        return;
    }
    let keepers = keepers_by_nearness(world, name, terms);
    let stock = &mut world.tables.shares.stocks[team];
    stock.keepers = keepers;
    stock.keepers_epoch = epoch;
    for source in &mut stock.sources {
        source.quiet_until = Millis::ZERO;
    }
}

/// A team's shards with their keepers, those in the own data centre first.
fn keepers_by_nearness(world: &World, team: &str, terms: &Terms) -> Vec<(Shard, NodeId)> {
    let epoch = &world.tables.epoch.current;
    let policy = policy::of(&world.options.rating);
    let own = world.identity.node();
    let near = |node: NodeId| {
        epoch.members.iter().any(|member| {
            member.node == node && member.data_centre == *world.identity.data_centre()
        })
    };
    let mut keepers: Vec<(Shard, NodeId)> = (0..terms.shards)
        .map(Shard)
        .filter_map(|shard| Some((shard, policy.keeper(epoch, own, team, shard)?)))
        .collect();
    let rotation = own.0 % u64::from(terms.shards.max(1));
    keepers.sort_by_key(|&(shard, keeper)| {
        let turn = (u64::from(shard.0) + rotation) % u64::from(terms.shards.max(1));
        (keeper != own, Reverse(near(keeper)), turn)
    });
    keepers
}

/// Refuses calls that have waited too long, and those beyond what the rate yields meanwhile.
fn refuse(world: &mut World, tick: &mut Tick, team: TeamKey, terms: &Terms) {
    let patience = patience(world, tick.now);
    let within_patience = u64::from(terms.rate) * patience.0 / 1_000 + 1;
    let refusal = refusal(world, tick.now, team);
    let stock = &mut world.tables.shares.stocks[team];
    let calls = &world.tables.calls;
    stock.waiting.retain(|&call| calls.get(call).is_some_and(|call| call.stage == Stage::Rating));
    let dry = stock.sources.iter().all(|source| source.quiet_until > tick.now);
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
    let patience = world.options.rating.patience;
    let started = world.systems.rating.started.unwrap_or(now);
    if now - started < STARTING { patience.max(START_PATIENCE) } else { patience }
}

/// Removes the least important of the waiting calls, the last one to arrive among equals.
fn least_important(stock: &mut Stock, calls: &crate::table::call::Calls) -> Option<CallKey> {
    let importance =
        |call: CallKey| calls.get(call).map_or(Importance::Low, |call| call.importance);
    let index = (0..stock.waiting.len())
        .min_by_key(|&index| (importance(stock.waiting[index]), Reverse(index)))?;
    stock.waiting.remove(index)
}

/// What to tell a caller whose team has no tokens.
fn refusal(world: &World, now: Millis, team: TeamKey) -> Refusal {
    let stock = &world.tables.shares.stocks[team];
    let retry_at = stock.sources.iter().map(|source| source.quiet_until).min().unwrap_or(now);
    let none_reachable = stock.sources.iter().all(|source| source.unreachable);
    let no_epoch = world.tables.epoch.current.members.is_empty();
    let reason =
        if none_reachable || no_epoch { Reason::RateUnavailable } else { Reason::RateExceeded };
    Refusal::not_run(reason).after((retry_at - now).max(Millis(1)))
}
