//! Shard ownership: buckets, grants and handover.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    config::CutOffPolicy,
    id::{Revision, StoreVersion, TeamKey},
    message::rate_limit::{self as message, Shard},
    system::rate_limit::{parameters, policy},
    table::rate_limit::{Bucket, BucketParameters},
    world::{Tick, World},
};

/// Maximum number of handovers kept for rosters that this node has not received yet.
const MAX_EARLY_HANDOVERS: usize = 4_096;
/// How long a node should wait after it requested tokens of a shard that this node doesn't own or
/// may not grant from.
const NOT_OWNER_BACKOFF: Millis = Millis(500);

/// A bucket that another node handed over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Handover {
    /// Version of the roster by which this node owns the shard.
    pub(super) roster: StoreVersion,
    pub(super) team: CompactString,
    pub(super) shard: Shard,
    /// Level of the bucket, in millionths of a token.
    pub(super) level: u64,
}

/// State of shard ownership between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Roster version and configuration revision for which the buckets were last reconciled.
    reconciled: (StoreVersion, Revision),
    /// Handovers for rosters that this node has not received yet.
    early_handovers: Vec<Handover>,
}

/// Adds buckets for shards that this node newly owns. Runs once for each roster and each revision
/// of the configuration.
pub(super) fn reconcile(world: &mut World, now: Millis) {
    let wanted = (world.tables.roster.version, world.tables.configuration.revision);
    if world.systems.rate_limit.ownership.reconciled == wanted {
        return;
    }
    world.systems.rate_limit.ownership.reconciled = wanted;
    for (team, shard) in owned_shards(world) {
        if world.tables.rate_limits.bucket_mut(team, shard).is_some() {
            continue;
        }
        let usable_from = usable_from(world, team, shard, now);
        world.tables.rate_limits.insert(Bucket { team, shard, level: 0, as_of: now, usable_from });
    }
    let (due, early_handovers) =
        std::mem::take(&mut world.systems.rate_limit.ownership.early_handovers)
            .into_iter()
            .partition(|handover| handover.roster <= wanted.0);
    world.systems.rate_limit.ownership.early_handovers = early_handovers;
    for handover in due {
        apply_handover(world, now, &handover);
    }
}

/// When a new bucket of this node may be used: once every previous owner has certainly stopped
/// granting from it. An earlier process under the same node name has ended.
fn usable_from(world: &World, team: TeamKey, shard: Shard, now: Millis) -> Millis {
    let fenced_until = world.tables.roster.learned_at + roster_validity(world, team);
    if has_owned(world, team, shard) { now } else { fenced_until }
}

/// Whether this node owns a shard by the roster, and by all earlier ones that nodes may still use.
fn has_owned(world: &World, team: TeamKey, shard: Shard) -> bool {
    let (roster, own) = (&world.tables.roster, &world.identity);
    let Some(team) = world.tables.teams.get(team) else { return false };
    let Some(former) = &roster.former else { return false };
    let policy = policy::of(&world.options.rate_limit);
    former.iter().chain([&roster.members]).all(|members| {
        let owner = policy.shard_owner(members, own, &team.name, shard);
        owner.is_some_and(|(_, name)| name == own.name())
    })
}

/// How long after its last update from the store a node uses its roster for a team.
fn roster_validity(world: &World, team: TeamKey) -> Millis {
    let window = world.options.freshness.window;
    match world.tables.cut_off_policy(team) {
        CutOffPolicy::Refuse => window,
        CutOffPolicy::Serve(grace) => window.max(grace),
    }
}

/// The longest time after its last update from the store for which a node uses its roster.
pub(in crate::system) fn longest_roster_validity(world: &World) -> Millis {
    let teams = world.tables.teams.iter().map(|(team, _)| roster_validity(world, team));
    teams.max().unwrap_or_default().max(world.options.freshness.window)
}

/// The shards that this node owns by its roster.
fn owned_shards(world: &World) -> Vec<(TeamKey, Shard)> {
    let policy = policy::of(&world.options.rate_limit);
    let (members, own) = (&world.tables.roster.members, &world.identity);
    let mut owned = Vec::new();
    for (key, team) in world.tables.teams.iter() {
        let Some(parameters) = parameters(world, key) else { continue };
        for shard in (0..parameters.shards).map(Shard) {
            let owner = policy.shard_owner(members, own, &team.name, shard);
            if owner.is_some_and(|(_, name)| name == own.name()) {
                owned.push((key, shard));
            }
        }
    }
    owned
}

/// Removes the buckets of shards that this node no longer owns, and hands over to the new owners
/// those from which it was certainly the only one to grant. If this node has missed a roster, it
/// removes all buckets that another node may have owned meanwhile.
pub(super) fn hand_over_lost_buckets(world: &mut World, tick: &mut Tick) {
    let version = world.tables.roster.version;
    let before = std::mem::replace(&mut world.tables.rate_limits.buckets_roster, version);
    if before == version {
        return;
    }
    if !world.tables.roster.is_continuous {
        return remove_doubtful_buckets(world, tick.now);
    }
    let policy = policy::of(&world.options.rate_limit);
    let (members, own) = (&world.tables.roster.members, &world.identity);
    let mut lost = Vec::new();
    for bucket in world.tables.rate_limits.buckets() {
        let team = world.tables.teams.get(bucket.team).map(|team| team.name.clone());
        let owner =
            team.as_deref().and_then(|team| policy.shard_owner(members, own, team, bucket.shard));
        let owner = owner.map(|(_, name)| name.clone());
        if owner.as_ref() != Some(own.name()) {
            lost.push((*bucket, team, owner));
        }
    }
    for (mut bucket, team, owner) in lost {
        world.tables.rate_limits.remove(bucket.team, bucket.shard);
        if tick.now < bucket.usable_from {
            continue;
        }
        let (Some(team), Some(owner)) = (team, owner) else { continue };
        let Some(parameters) = parameters(world, bucket.team) else { continue };
        let Some(owner) = world.tables.peers.by_name(&owner) else { continue };
        bucket.refresh(&parameters, tick.now);
        let (roster, shard, level) = (version, bucket.shard, bucket.level);
        world.send(tick, owner, message::Message::Handover { roster, team, shard, level });
    }
}

/// Removes the buckets of shards that another node may own by a roster that nodes still use. The
/// others are emptied, since another node may have granted their refill by a roster that has expired.
fn remove_doubtful_buckets(world: &mut World, now: Millis) {
    let buckets = world.tables.rate_limits.buckets();
    let owned = |bucket: &&Bucket| has_owned(world, bucket.team, bucket.shard);
    let kept: Vec<Bucket> = buckets.filter(owned).copied().collect();
    world.tables.rate_limits.clear_buckets();
    for bucket in kept {
        world.tables.rate_limits.insert(Bucket { level: 0, as_of: now, ..bucket });
    }
}

/// Takes tokens from a bucket of this node, for another node or for this one.
pub(super) fn grant(
    world: &mut World,
    now: Millis,
    team: &str,
    shard: Shard,
    wanted: u32,
) -> message::LeaseGrant {
    let none = message::LeaseGrant { tokens: 0, next_in: NOT_OWNER_BACKOFF };
    let Some(team) = world.tables.teams.by_name(team) else { return none };
    let Some(parameters) = usable_parameters(world, now, team) else { return none };
    let Some(bucket) = world.tables.rate_limits.bucket_mut(team, shard) else { return none };
    let (tokens, next_in) = bucket.take(&parameters, now, wanted);
    message::LeaseGrant { tokens, next_in }
}

/// A team's bucket parameters; `None` while this node must not grant tokens because its roster is
/// so old that another node may own the shards by now.
fn usable_parameters(world: &World, now: Millis, team: TeamKey) -> Option<BucketParameters> {
    let is_usable = world.tables.freshness.fleet_age(now) < roster_validity(world, team);
    if is_usable { parameters(world, team) } else { None }
}

/// Applies a handover from the previous owner, or stores it until its roster arrives.
pub(super) fn handle_handover(world: &mut World, now: Millis, handover: Handover) {
    let current = world.tables.roster.version;
    if handover.roster > current {
        if world.systems.rate_limit.ownership.early_handovers.len() < MAX_EARLY_HANDOVERS {
            world.systems.rate_limit.ownership.early_handovers.push(handover);
        }
        return;
    }
    apply_handover(world, now, &handover);
}

fn apply_handover(world: &mut World, now: Millis, handover: &Handover) {
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
