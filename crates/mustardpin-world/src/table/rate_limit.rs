//! Shares: buckets of rate tokens at their keepers, and stocks of drawn tokens where requests
//! arrive.
//!
//! A team's rate and burst are split evenly over its shards. Tokens drawn from a bucket expire
//! after the team's [`BucketParameters::hold`]; the buckets are smaller than the burst by what may be held,
//! so that over any interval no more is spent than the burst and the rate allow.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use slotmap::{SecondaryMap, SlotMap};
use smallvec::SmallVec;

use crate::{
    clock::Millis,
    id::{CallKey, StoreVersion, TeamKey},
    message::rate_limit::Shard,
};

/// One token, in the unit of levels. A rate of one a second adds a thousandth of it each
/// millisecond, so that the rate of an eighth of a team is still a whole number.
pub const TOKEN: u64 = 1_000_000;

/// A team's rate is split into at most this many shards. A power of two.
pub const MAX_SHARDS: u8 = 8;

/// Tokens may be held outside their bucket no longer than this.
const MAX_HOLD: Millis = Millis(1_000);

/// How a team's rate and burst are split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketParameters {
    /// The team's rate, in tokens a second.
    pub rate: u32,
    /// Into how many parts the rate is split.
    pub parts: u32,
    /// How many of the parts this node may draw from.
    pub shards: u8,
    /// The most a part's bucket holds, in millionths of a token.
    pub capacity: u64,
    /// How long a drawn token may be held before it is spent.
    pub lease_duration: Millis,
}

impl BucketParameters {
    /// The terms that follow from a team's rate, in tokens a second, and its burst, in tokens, if
    /// they are split into at most so many shards.
    ///
    /// Half of the burst, or what the rate yields in a second if that is less, is set aside for
    /// tokens that are held outside their buckets.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::rate_limit::{TOKEN, BucketParameters}};
    ///
    /// let terms = BucketParameters::sharded(100, 400, 8);
    /// assert_eq!((terms.shards, terms.lease_duration), (8, Millis(1_000)));
    /// assert_eq!(u64::from(terms.parts) * terms.capacity, 300 * TOKEN);
    /// ```
    pub fn sharded(rate: u32, burst: u32, max_shards: u8) -> BucketParameters {
        let burst = u64::from(burst) * TOKEN;
        let per_ms = u64::from(rate).max(1) * (TOKEN / 1_000);
        let spare = (burst / 2).min(burst.saturating_sub(TOKEN));
        let lease_duration = Millis((spare / per_ms).min(MAX_HOLD.0));
        let total = burst - lease_duration.0 * per_ms;
        let fitting = (total / (2 * TOKEN)).clamp(1, u64::from(max_shards.max(1)));
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

    /// The terms if every member of the roster spends an equal part of the rate by itself.
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

    /// What a part's bucket gains in a length of time, in millionths of a token.
    fn gain(&self, elapsed: Millis) -> u64 {
        let per_ms = u64::from(self.rate) * (TOKEN / 1_000);
        elapsed.0.saturating_mul(per_ms) / u64::from(self.parts)
    }

    /// How long a part's bucket takes to gain an amount, in millionths of a token.
    fn time_to_gain(&self, amount: u64) -> Millis {
        let per_ms = u64::from(self.rate) * (TOKEN / 1_000);
        if per_ms == 0 {
            return Millis::from_secs(3_600);
        }
        Millis((amount * u64::from(self.parts)).div_ceil(per_ms))
    }
}

/// A shard's tokens, at its keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bucket {
    /// Whose tokens.
    pub team: TeamKey,
    /// Which part of the team's rate.
    pub shard: Shard,
    /// The level in millionths of a token, as of `as_of`.
    pub level: u64,
    /// When the level was last brought up to date.
    pub as_of: Millis,
    /// No token leaves the bucket before this point, and it gains none before it.
    pub usable_from: Millis,
}

impl Bucket {
    /// Takes up to `wanted` whole tokens out. Returns how many, and when the next one is due if
    /// those were fewer than wanted.
    pub fn take(&mut self, terms: &BucketParameters, now: Millis, wanted: u32) -> (u32, Millis) {
        self.refresh(terms, now);
        if now < self.usable_from {
            return (0, self.usable_from - now);
        }
        let tokens = (self.level / TOKEN).min(u64::from(wanted));
        self.level -= tokens * TOKEN;
        let next_in = terms.time_to_gain(TOKEN.saturating_sub(self.level)).max(Millis(1));
        (tokens as u32, next_in)
    }

    /// Brings the level up to date.
    pub fn refresh(&mut self, terms: &BucketParameters, now: Millis) {
        let since = self.as_of.max(self.usable_from);
        if now > since {
            self.level = self.level.saturating_add(terms.gain(now - since));
            self.as_of = now;
        }
        self.level = self.level.min(terms.capacity);
    }
}

slotmap::new_key_type! {
    /// Names a bucket at this node.
    pub struct BucketKey;
}

/// What a node knows of a shard from drawing on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ShardState {
    /// No draw is worth sending before this point.
    pub backoff_until: Millis,
    /// Whether the keeper, rather than the bucket, is why.
    pub unreachable: bool,
    /// The message with the draw that has no reply yet, and when it was sent.
    pub pending: Option<(u64, Millis)>,
}

/// Who keeps a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardOwner {
    /// The shard.
    pub shard: Shard,
    /// The place that keeps it; `None` stands for this node.
    pub member: Option<CompactString>,
}

/// Tokens of one team that a node has drawn, and the calls that wait for more.
#[derive(Debug, Clone, Default)]
pub struct TokenCache {
    /// Tokens by when they expire, oldest first.
    pub leases: VecDeque<(Millis, u32)>,
    /// Calls that wait for a token, in order of arrival.
    pub waiting: VecDeque<CallKey>,
    /// Smoothed demand in requests a second.
    pub demand: f64,
    /// Requests since `demand` was last smoothed.
    pub arrived: u32,
    /// When the team last had a request here.
    pub last_request: Millis,
    /// The keepers of the team's shards, the nearest first, as of `keepers_roster`.
    pub owners: Vec<ShardOwner>,
    /// The version of the roster by which the keepers were found.
    pub owners_roster: StoreVersion,
    /// What the node knows of each shard.
    pub shard_states: SmallVec<[ShardState; MAX_SHARDS as usize]>,
}

impl TokenCache {
    /// Drops expired tokens and returns how many are left.
    pub fn tokens(&mut self, now: Millis) -> u32 {
        while self.leases.front().is_some_and(|&(expires, _)| expires <= now) {
            self.leases.pop_front();
        }
        self.leases.iter().map(|&(_, tokens)| tokens).sum()
    }

    /// Spends one token, the one that expires first. Returns whether there was one.
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

/// The tables of buckets and stocks.
#[derive(Debug, Default)]
pub struct RateLimits {
    buckets: SlotMap<BucketKey, Bucket>,
    by_shard: BTreeMap<(TeamKey, Shard), BucketKey>,
    /// The version of the roster for which buckets of lost shards were given up.
    pub buckets_roster: StoreVersion,
    /// The node's stock of each team's tokens.
    pub token_caches: SecondaryMap<TeamKey, TokenCache>,
}

impl RateLimits {
    /// Adds a bucket, in place of one of the same shard.
    pub fn insert(&mut self, bucket: Bucket) {
        self.remove(bucket.team, bucket.shard);
        let key = self.buckets.insert(bucket);
        self.by_shard.insert((bucket.team, bucket.shard), key);
    }

    /// The bucket of a shard, if this node keeps it.
    pub fn bucket_mut(&mut self, team: TeamKey, shard: Shard) -> Option<&mut Bucket> {
        let key = self.by_shard.get(&(team, shard))?;
        self.buckets.get_mut(*key)
    }

    /// Removes the bucket of a shard.
    pub fn remove(&mut self, team: TeamKey, shard: Shard) -> Option<Bucket> {
        let key = self.by_shard.remove(&(team, shard))?;
        self.buckets.remove(key)
    }

    /// All buckets at this node, in the order of teams and shards.
    pub fn buckets(&self) -> impl Iterator<Item = &Bucket> {
        self.by_shard.values().map(|&key| &self.buckets[key])
    }
}
