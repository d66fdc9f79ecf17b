//! Policies for splitting a team's rate between nodes.

use compact_str::CompactString;

use crate::{
    message::rate_limit::Shard,
    options::{RateLimit, RateLimitPolicy},
    table::{rate_limit::BucketParameters, roster::Members},
    world::Identity,
};

/// A policy for splitting a team's rate between nodes.
pub(super) trait Policy {
    /// Bucket parameters for a rate, in tokens per second, and a burst, in tokens.
    fn parameters(&self, rate: u32, burst: u32, members: &Members) -> BucketParameters;

    /// The data centre and member name of a shard's owner, as seen from `node`.
    fn shard_owner<'a>(
        &self,
        members: &'a Members,
        node: &'a Identity,
        team: &str,
        shard: Shard,
    ) -> Option<(&'a CompactString, &'a CompactString)>;
}

/// The policy that the options select.
pub(super) fn of(options: &RateLimit) -> Box<dyn Policy> {
    match options.policy {
        RateLimitPolicy::Sharded => Box::new(Sharded { max_shards: options.max_shards }),
        RateLimitPolicy::Even => Box::new(Even),
    }
}

/// Each shard has one owner in the fleet, found by rendezvous hashing.
struct Sharded {
    max_shards: u8,
}

impl Policy for Sharded {
    fn parameters(&self, rate: u32, burst: u32, _members: &Members) -> BucketParameters {
        BucketParameters::sharded(rate, burst, self.max_shards)
    }

    fn shard_owner<'a>(
        &self,
        members: &'a Members,
        _node: &'a Identity,
        team: &str,
        shard: Shard,
    ) -> Option<(&'a CompactString, &'a CompactString)> {
        members.shard_owner(team, shard)
    }
}

/// Every member owns an equal part of the rate.
struct Even;

impl Policy for Even {
    fn parameters(&self, rate: u32, burst: u32, members: &Members) -> BucketParameters {
        BucketParameters::even(rate, burst, members.len())
    }

    fn shard_owner<'a>(
        &self,
        members: &'a Members,
        node: &'a Identity,
        _team: &str,
        _shard: Shard,
    ) -> Option<(&'a CompactString, &'a CompactString)> {
        let is_member = members.contains(node.data_centre(), node.name());
        is_member.then(|| (node.data_centre(), node.name()))
    }
}
