//! Rate limits: token buckets at their shard owners, and caches of leased tokens where requests
//! arrive.
//!
//! A team's rate and burst are split evenly over its shards. Leased tokens expire after the team's
//! [`BucketParameters::lease_duration`]. The buckets are smaller than the burst by the number of
//! tokens that may be leased, so that over any interval no more is spent than the burst and the
//! rate allow.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use slotmap::{SecondaryMap, SlotMap};
use smallvec::SmallVec;

use crate::{
    clock::Millis,
    id::{CallKey, StoreVersion, TeamKey},
    message::rate_limit::Shard,
};

/// One token in millionths, the unit of bucket levels. A rate of one token per second adds a
/// thousandth of this each millisecond, so that an eighth of a team's rate is still an integer.
pub const TOKEN: u64 = 1_000_000;

/// Maximum number of shards of a team's rate. A power of two.
pub const MAX_SHARDS: u8 = 8;

/// The minimum capacity of a shard, in tokens. A fleet that spends tokens at many nodes finds
/// smaller ones empty by chance.
const MIN_SHARD_CAPACITY: u64 = 4;

/// Maximum time between the lease of a token and its expiry.
const MAX_LEASE_DURATION: Millis = Millis(1_000);

/// Parameters of a team's token buckets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketParameters {
    /// The team's rate, in tokens per second.
    pub rate: u32,
    /// Number of equal parts into which the rate is split.
    pub parts: u32,
    /// Number of the parts that this node may lease from.
    pub shards: u8,
    /// Capacity of one part's bucket, in millionths of a token.
    pub capacity: u64,
    /// Time after which a leased token expires.
    pub lease_duration: Millis,
}

impl BucketParameters {
    /// Parameters for a rate, in tokens per second, and a burst, in tokens, that are split into at
    /// most `max_shards` shards.
    ///
    /// Half of the burst, or what the rate yields in a second if that is less, is reserved for
    /// leased tokens.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::rate_limit::{TOKEN, BucketParameters}};
    ///
    /// let parameters = BucketParameters::sharded(100, 400, 8);
    /// assert_eq!((parameters.shards, parameters.lease_duration), (8, Millis(1_000)));
    /// assert_eq!(u64::from(parameters.parts) * parameters.capacity, 300 * TOKEN);
    /// ```
    pub fn sharded(rate: u32, burst: u32, max_shards: u8) -> BucketParameters {
        let burst = u64::from(burst) * TOKEN;
        let per_ms = u64::from(rate).max(1) * (TOKEN / 1_000);
        let reserve = (burst / 2).min(burst.saturating_sub(TOKEN));
        let lease_duration = Millis((reserve / per_ms).min(MAX_LEASE_DURATION.0));
        let total = burst - lease_duration.0 * per_ms;
        let fitting = (total / (MIN_SHARD_CAPACITY * TOKEN)).clamp(1, u64::from(max_shards.max(1)));
        let shards = 1_u8 << fitting.ilog2();
        let parts = u32::from(shards);
        BucketParameters {
            rate,
            parts,
            shards,
            capacity: total / u64::from(shards),
            lease_duration,
        }
    }

    /// Parameters if every member of the roster spends an equal part of the rate by itself.
    ///
    /// ```
    /// use mustardpin_world::table::rate_limit::{TOKEN, BucketParameters};
    /// assert_eq!(BucketParameters::even(100, 400, 4).capacity, 100 * TOKEN);
    /// ```
    pub fn even(rate: u32, burst: u32, members: usize) -> BucketParameters {
        let parts = members.max(1) as u32;
        let capacity = u64::from(burst) * TOKEN / u64::from(parts);
        BucketParameters { rate, parts, shards: 1, capacity, lease_duration: Millis(1) }
    }

    /// Refill of one part's bucket during `elapsed`, in millionths of a token.
    fn refill(&self, elapsed: Millis) -> u64 {
        let per_ms = u64::from(self.rate) * (TOKEN / 1_000);
        elapsed.0.saturating_mul(per_ms) / u64::from(self.parts)
    }

    /// Time in which one part's bucket refills by `amount`, in millionths of a token.
    fn time_to_refill(&self, amount: u64) -> Millis {
        let per_ms = u64::from(self.rate) * (TOKEN / 1_000);
        if per_ms == 0 {
            return Millis::from_secs(3_600);
        }
        Millis((amount * u64::from(self.parts)).div_ceil(per_ms))
    }
}

/// A shard's token bucket at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bucket {
    /// The team whose rate the bucket limits.
    pub team: TeamKey,
    /// The shard of the team's rate.
    pub shard: Shard,
    /// Level at `as_of`, in millionths of a token.
    pub level: u64,
    /// When `level` was last updated.
    pub as_of: Millis,
    /// Before this time the bucket neither grants tokens nor refills.
    pub usable_from: Millis,
}

impl Bucket {
    /// Takes up to `wanted` whole tokens. Returns their number and the time until the next token,
    /// which matters if there were fewer than wanted.
    pub fn take(
        &mut self,
        parameters: &BucketParameters,
        now: Millis,
        wanted: u32,
    ) -> (u32, Millis) {
        self.refresh(parameters, now);
        if now < self.usable_from {
            return (0, self.usable_from - now);
        }
        let tokens = (self.level / TOKEN).min(u64::from(wanted));
        self.level -= tokens * TOKEN;
        let next_in = parameters.time_to_refill(TOKEN.saturating_sub(self.level)).max(Millis(1));
        (tokens as u32, next_in)
    }

    /// Updates the level to `now`.
    pub fn refresh(&mut self, parameters: &BucketParameters, now: Millis) {
        let since = self.as_of.max(self.usable_from);
        if now > since {
            self.level = self.level.saturating_add(parameters.refill(now - since));
            self.as_of = now;
        }
        self.level = self.level.min(parameters.capacity);
    }
}

slotmap::new_key_type! {
    /// Key of a bucket at this node.
    pub struct BucketKey;
}

/// State of leasing from one shard, as the leasing node knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ShardState {
    /// No lease request is sent before this time.
    pub backoff_until: Millis,
    /// Whether the backoff was caused by an unreachable owner rather than an empty bucket.
    pub unreachable: bool,
    /// Number of the message whose lease request has no reply yet, and when it was sent.
    pub pending: Option<(u64, Millis)>,
}

/// A shard and its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardOwner {
    /// Number of the shard.
    pub shard: Shard,
    /// The owner's member name; `None` if this node owns the shard.
    pub member: Option<CompactString>,
}

/// Leased tokens of one team at a node, and the calls that wait for more.
#[derive(Debug, Clone, Default)]
pub struct TokenCache {
    /// Expiry and number of tokens of each lease, oldest first.
    pub leases: VecDeque<(Millis, u32)>,
    /// Calls that wait for a token, in order of arrival.
    pub waiting: VecDeque<CallKey>,
    /// Smoothed demand, in requests per second.
    pub demand: f64,
    /// Requests since `demand` was last updated.
    pub arrivals: u32,
    /// When the last request of the team arrived at this node.
    pub last_request: Millis,
    /// The owners of the team's shards, the nearest first, as of `owners_roster`.
    pub owners: Vec<ShardOwner>,
    /// The version of the roster that assigned the owners.
    pub owners_roster: StoreVersion,
    /// State of leasing from each shard, by its number.
    pub shard_states: SmallVec<[ShardState; MAX_SHARDS as usize]>,
}

impl TokenCache {
    /// Drops expired tokens and returns the number left.
    pub fn tokens(&mut self, now: Millis) -> u32 {
        while self.leases.front().is_some_and(|&(expires, _)| expires <= now) {
            self.leases.pop_front();
        }
        self.leases.iter().fold(0, |sum: u32, &(_, tokens)| sum.saturating_add(tokens))
    }

    /// Spends the token that expires first. Returns false if the cache is empty.
    pub fn spend(&mut self, now: Millis) -> bool {
        if self.tokens(now) == 0 {
            return false;
        }
        if let Some((_, tokens)) = self.leases.front_mut() {
            *tokens -= 1;
            if *tokens == 0 {
                self.leases.pop_front();
            }
        }
        true
    }
}

/// The tables of buckets and token caches.
#[derive(Debug, Default)]
pub struct RateLimits {
    buckets: SlotMap<BucketKey, Bucket>,
    by_shard: BTreeMap<(TeamKey, Shard), BucketKey>,
    /// The version of the roster for which buckets of lost shards were last removed.
    pub buckets_roster: StoreVersion,
    /// The node's token cache of each team.
    pub token_caches: SecondaryMap<TeamKey, TokenCache>,
}

impl RateLimits {
    /// Adds a bucket, replacing one of the same shard.
    pub fn insert(&mut self, bucket: Bucket) {
        self.remove(bucket.team, bucket.shard);
        let key = self.buckets.insert(bucket);
        self.by_shard.insert((bucket.team, bucket.shard), key);
    }

    /// The bucket of a shard, if this node owns it.
    pub fn bucket_mut(&mut self, team: TeamKey, shard: Shard) -> Option<&mut Bucket> {
        let key = self.by_shard.get(&(team, shard))?;
        self.buckets.get_mut(*key)
    }

    /// Removes the bucket of a shard.
    pub fn remove(&mut self, team: TeamKey, shard: Shard) -> Option<Bucket> {
        let key = self.by_shard.remove(&(team, shard))?;
        self.buckets.remove(key)
    }

    /// Removes all buckets.
    pub fn clear_buckets(&mut self) {
        self.buckets.clear();
        self.by_shard.clear();
    }

    /// All buckets at this node, ordered by team and shard.
    pub fn buckets(&self) -> impl Iterator<Item = &Bucket> {
        self.by_shard.values().map(|&key| &self.buckets[key])
    }
}
