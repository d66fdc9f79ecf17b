//! The keeper's side: buckets, grants and handover.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    config::CutOffPolicy,
    id::{Revision, StoreVersion, TeamKey},
    message::rate_limit::{self as message, Shard},
    system::rate_limit::{policy, terms},
    table::rate_limit::{Bucket, BucketParameters},
    world::{Tick, World},
};

/// Handovers kept for a roster that this node has not learned of yet.
const MAX_EARLY: usize = 4_096;
/// What a keeper that is not one tells a node that draws from it to wait.
const NOT_KEEPER_WAIT: Millis = Millis(500);

/// A bucket that another node handed over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Handover {
    pub(super) roster: StoreVersion,
    pub(super) team: CompactString,
    pub(super) shard: Shard,
    pub(super) level: u64,
}

/// What the keeper's side remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The roster and the configuration that the buckets belong to.
    reconciled: (StoreVersion, Revision),
    /// Buckets handed over for a roster that this node has not learned of yet.
    early: Vec<Handover>,
}

/// Adds buckets for shards that this node has come to keep. Runs once for each roster and each
/// revision of the configuration.
pub(super) fn reconcile(world: &mut World, now: Millis) {
    let wanted = (world.tables.roster.version, world.tables.configuration.revision);
    if world.systems.rate_limit.ownership.reconciled == wanted {
        return;
    }
    world.systems.rate_limit.ownership.reconciled = wanted;
    for (team, shard) in kept_shards(world) {
        if world.tables.rate_limits.bucket_mut(team, shard).is_some() {
            continue;
        }
        let usable_from = usable_from(world, team, now);
        world.tables.rate_limits.insert(Bucket { team, shard, level: 0, as_of: now, usable_from });
    }
    let (due, early) = std::mem::take(&mut world.systems.rate_limit.ownership.early)
        .into_iter()
        .partition(|handover| handover.roster <= wanted.0);
    world.systems.rate_limit.ownership.early = early;
    for handover in due {
        take_over(world, now, &handover);
    }
}

/// When buckets that are new at this node may be used: once every node that kept them before has
/// surely stopped. A node that finds the roster as it was follows only an earlier process in its
/// own place, which has ended.
fn usable_from(world: &World, team: TeamKey, now: Millis) -> Millis {
    let roster = &world.tables.roster;
    if roster.is_settled { now } else { roster.learned_at + longest_use(world, team) }
}

/// For how long after its last news a node uses the roster that it knows for a team.
fn longest_use(world: &World, team: TeamKey) -> Millis {
    let window = world.options.freshness.window;
    match world.tables.cut_off_policy(team) {
        CutOffPolicy::Refuse => window,
        CutOffPolicy::Serve(grace) => window.max(grace),
    }
}

/// The shards that this node keeps.
fn kept_shards(world: &World) -> Vec<(TeamKey, Shard)> {
    let policy = policy::of(&world.options.rate_limit);
    let (roster, own) = (&world.tables.roster, &world.identity);
    let mut kept = Vec::new();
    for (key, team) in world.tables.teams.iter() {
        let Some(terms) = terms(world, key) else { continue };
        for shard in (0..terms.shards).map(Shard) {
            let keeper = policy.shard_owner(roster, own, &team.name, shard);
            if keeper.is_some_and(|(_, name)| name == own.name()) {
                kept.push((key, shard));
            }
        }
    }
    kept
}

/// Gives up buckets of shards that this node keeps no longer, and hands over those that another
/// node keeps now.
pub(super) fn hand_over_lost(world: &mut World, tick: &mut Tick) {
    let version = world.tables.roster.version;
    if world.tables.rate_limits.buckets_roster == version {
        return;
    }
    world.tables.rate_limits.buckets_roster = version;
    let policy = policy::of(&world.options.rate_limit);
    let (roster, own) = (&world.tables.roster, &world.identity);
    let mut lost = Vec::new();
    for bucket in world.tables.rate_limits.buckets() {
        let team = world.tables.teams.get(bucket.team).map(|team| team.name.clone());
        let keeper =
            team.as_deref().and_then(|team| policy.shard_owner(roster, own, team, bucket.shard));
        let keeper = keeper.map(|(_, name)| name.clone());
        if keeper.as_ref() != Some(own.name()) {
            lost.push((*bucket, team, keeper));
        }
    }
    for (mut bucket, team, keeper) in lost {
        world.tables.rate_limits.remove(bucket.team, bucket.shard);
        // Knowledge that is out of date may be older than a roster in between, by which another
        // node kept the shard.
        if tick.now < bucket.usable_from || !world.tables.freshness.fleet_fresh {
            continue;
        }
        let (Some(team), Some(keeper)) = (team, keeper) else { continue };
        let Some(terms) = terms(world, bucket.team) else { continue };
        let Some(keeper) = world.tables.peers.by_name(&keeper) else { continue };
        bucket.refresh(&terms, tick.now);
        let (roster, shard, level) = (version, bucket.shard, bucket.level);
        world.send(tick, keeper, message::Message::Handover { roster, team, shard, level });
    }
}

/// Takes tokens out of a bucket for another node or for this one.
pub(super) fn grant(
    world: &mut World,
    now: Millis,
    team: &str,
    shard: Shard,
    wanted: u32,
) -> message::LeaseGrant {
    let none = message::LeaseGrant { tokens: 0, next_in: NOT_KEEPER_WAIT };
    let Some(team) = world.tables.teams.by_name(team) else { return none };
    let Some(terms) = usable_terms(world, now, team) else { return none };
    let Some(bucket) = world.tables.rate_limits.bucket_mut(team, shard) else { return none };
    let (tokens, next_in) = bucket.take(&terms, now, wanted);
    message::LeaseGrant { tokens, next_in }
}

/// A team's terms, unless this node must not give out its tokens at present, since another may
/// keep them by now.
fn usable_terms(world: &World, now: Millis, team: TeamKey) -> Option<BucketParameters> {
    let is_usable = world.tables.freshness.fleet_age(now) < longest_use(world, team);
    if is_usable { terms(world, team) } else { None }
}

/// Takes a bucket in that its last keeper hands over, or keeps it for a roster to come.
pub(super) fn handed_over(world: &mut World, now: Millis, handover: Handover) {
    let current = world.tables.roster.version;
    if handover.roster > current {
        if world.systems.rate_limit.ownership.early.len() < MAX_EARLY {
            world.systems.rate_limit.ownership.early.push(handover);
        }
        return;
    }
    take_over(world, now, &handover);
}

fn take_over(world: &mut World, now: Millis, handover: &Handover) {
    if handover.roster != world.tables.roster.version {
        return;
    }
    let Some(team) = world.tables.teams.by_name(&handover.team) else { return };
    let Some(bucket) = world.tables.rate_limits.bucket_mut(team, handover.shard) else { return };
    if now >= bucket.usable_from {
        return;
    }
    bucket.level = handover.level;
    bucket.as_of = now;
    bucket.usable_from = now;
}
