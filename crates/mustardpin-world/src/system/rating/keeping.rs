//! The keeper's side: buckets, grants and handover.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    id::TeamKey,
    message::{
        epoch::Epoch,
        share::{self, Shard},
    },
    system::{
        permission,
        rating::{policy, terms},
    },
    table::share::{Bucket, Terms},
    world::{Tick, World},
};

/// Handovers kept for an epoch that this node has not adopted yet.
const MAX_EARLY: usize = 4_096;

/// What a keeper that is not one tells a node that draws from it to wait.
const NOT_KEEPER_WAIT: Millis = Millis(500);

/// A bucket that another node handed over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Handover {
    pub(super) epoch: u64,
    pub(super) team: CompactString,
    pub(super) shard: Shard,
    pub(super) level: u64,
}

/// Adds buckets for shards that this node has come to keep. Runs once for each epoch and each
/// revision of the configuration.
pub(super) fn reconcile(world: &mut World, now: Millis) {
    let epoch = world.tables.epoch.current.number;
    let revision = world.tables.configuration.revision.0;
    let state = &mut world.systems.rating;
    if (state.epoch, state.revision) == (epoch, revision) {
        return;
    }
    state.epoch = epoch;
    state.revision = revision;
    let usable_from = usable_from(world, now);
    for (team, shard) in kept_shards(world, &world.tables.epoch.current) {
        if world.tables.shares.bucket_mut(team, shard).is_some() {
            continue;
        }
        world.tables.shares.insert(Bucket { team, shard, level: 0, as_of: now, usable_from });
    }
    let (due, early) = std::mem::take(&mut world.systems.rating.early)
        .into_iter()
        .partition(|handover| handover.epoch <= epoch);
    world.systems.rating.early = early;
    for handover in due {
        take_over(world, now, &handover);
    }
}

/// When buckets that are new at this node may be used: once every node that kept them before has
/// surely stopped.
fn usable_from(world: &World, now: Millis) -> Millis {
    let standing = &world.tables.epoch;
    let window = world.options.freshness.window;
    if standing.is_settled(now, window) {
        return now;
    }
    standing.adopted.unwrap_or(now) + window + window
}

/// The shards that this node keeps in an epoch.
fn kept_shards(world: &World, epoch: &Epoch) -> Vec<(TeamKey, Shard)> {
    let policy = policy::of(&world.options.rating);
    let own = world.identity.node();
    let mut kept = Vec::new();
    for (key, team) in world.tables.teams.iter() {
        let Some(terms) = terms(world, key) else { continue };
        for shard in (0..terms.shards).map(Shard) {
            if policy.keeper(epoch, own, &team.name, shard) == Some(own) {
                kept.push((key, shard));
            }
        }
    }
    kept
}

/// Gives up buckets of shards that this node keeps no longer, and hands over those that another
/// node keeps now.
pub(super) fn hand_over_lost(world: &mut World, tick: &mut Tick) {
    let own = world.identity.node();
    let policy = policy::of(&world.options.rating);
    let epoch = &world.tables.epoch.current;
    let mut lost = Vec::new();
    if world.tables.shares.buckets_epoch == epoch.number {
        return;
    }
    for bucket in world.tables.shares.buckets() {
        let name = world.tables.teams.get(bucket.team).map(|team| team.name.clone());
        let keeper = name.as_deref().and_then(|name| policy.keeper(epoch, own, name, bucket.shard));
        if keeper != Some(own) {
            lost.push((*bucket, name, keeper));
        }
    }
    let number = epoch.number;
    // Whoever skipped an epoch may have been followed by another keeper in it.
    let is_next = world.tables.shares.buckets_epoch + 1 == number;
    world.tables.shares.buckets_epoch = number;
    for (mut bucket, name, keeper) in lost {
        world.tables.shares.remove(bucket.team, bucket.shard);
        let (Some(team), Some(keeper)) = (name, keeper) else { continue };
        if !is_next || tick.now < bucket.usable_from {
            continue;
        }
        let Some(terms) = terms(world, bucket.team) else { continue };
        bucket.refresh(&terms, tick.now);
        let shard = bucket.shard;
        let message = share::Message::Handover { epoch: number, team, shard, level: bucket.level };
        world.send_to(tick, keeper, message);
    }
}

/// Takes tokens out of a bucket for another node or for this one.
pub(super) fn grant(
    world: &mut World,
    now: Millis,
    team: &str,
    shard: Shard,
    wanted: u32,
) -> (u32, Millis) {
    let Some(team) = world.tables.teams.by_name(team) else { return (0, NOT_KEEPER_WAIT) };
    let Some(terms) = usable_terms(world, team) else { return (0, NOT_KEEPER_WAIT) };
    match world.tables.shares.bucket_mut(team, shard) {
        Some(bucket) => bucket.take(&terms, now, wanted),
        None => (0, NOT_KEEPER_WAIT),
    }
}

/// A team's terms, unless this node must not give out its tokens at present.
fn usable_terms(world: &World, team: TeamKey) -> Option<Terms> {
    if !world.tables.freshness.fresh && !permission::goes_on(&world.tables, team) {
        return None;
    }
    terms(world, team)
}

/// Takes a bucket in that its last keeper hands over, or keeps it for an epoch to come.
pub(super) fn handed_over(world: &mut World, now: Millis, handover: Handover) {
    let current = world.tables.epoch.current.number;
    if handover.epoch > current {
        if world.systems.rating.early.len() < MAX_EARLY {
            world.systems.rating.early.push(handover);
        }
        return;
    }
    if handover.epoch == current {
        take_over(world, now, &handover);
    }
}

fn take_over(world: &mut World, now: Millis, handover: &Handover) {
    if handover.epoch != world.tables.epoch.current.number {
        return;
    }
    let Some(team) = world.tables.teams.by_name(&handover.team) else { return };
    let Some(bucket) = world.tables.shares.bucket_mut(team, handover.shard) else { return };
    if now >= bucket.usable_from {
        return;
    }
    bucket.level = handover.level;
    bucket.as_of = now;
    bucket.usable_from = now;
}
