//! Ways to share a team's rate between nodes.

use compact_str::CompactString;

use crate::{
    message::rate_limit::Shard,
    options::{RateLimit, RateLimitPolicy},
    table::{rate_limit::BucketParameters, roster::Roster},
    world::Identity,
};

/// A way to share a team's rate.
pub(super) trait Policy {
    /// How a rate, in tokens a second, and a burst, in tokens, are split.
    fn terms(&self, rate: u32, burst: u32, roster: &Roster) -> BucketParameters;

    /// The data centre and the name of the place that keeps a shard, as seen from a node.
    fn shard_owner<'a>(
        &self,
        roster: &'a Roster,
        node: &'a Identity,
        team: &str,
        shard: Shard,
    ) -> Option<(&'a CompactString, &'a CompactString)>;
}

/// The way that the options name.
pub(super) fn of(options: &RateLimit) -> Box<dyn Policy> {
    match options.policy {
        RateLimitPolicy::Sharded => Box::new(Sharded { max_shards: options.max_shards }),
        RateLimitPolicy::Even => Box::new(Even),
    }
}

/// Shards with a keeper each, found by rendezvous hashing.
struct Sharded {
    max_shards: u8,
}

impl Policy for Sharded {
    fn terms(&self, rate: u32, burst: u32, _roster: &Roster) -> BucketParameters {
        BucketParameters::sharded(rate, burst, self.max_shards)
    }

    fn shard_owner<'a>(
        &self,
        roster: &'a Roster,
        _node: &'a Identity,
        team: &str,
        shard: Shard,
    ) -> Option<(&'a CompactString, &'a CompactString)> {
        roster.shard_owner(team, shard)
    }
}

/// Every member keeps its own equal part.
struct Even;

impl Policy for Even {
    fn terms(&self, rate: u32, burst: u32, roster: &Roster) -> BucketParameters {
        BucketParameters::even(rate, burst, roster.len())
    }

    fn shard_owner<'a>(
        &self,
        roster: &'a Roster,
        node: &'a Identity,
        _team: &str,
        _shard: Shard,
    ) -> Option<(&'a CompactString, &'a CompactString)> {
        let is_member = roster.contains(node.data_centre(), node.name());
        is_member.then(|| (node.data_centre(), node.name()))
    }
}
