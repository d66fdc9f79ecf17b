//! The split of a rate and a burst into parts.

use mustardpin_world::{
    Millis,
    id::TeamKey,
    message::rate_limit::Shard,
    table::rate_limit::{Bucket, BucketParameters, MAX_SHARDS, TOKEN},
};
use proptest::prelude::*;

fn bucket() -> Bucket {
    let team = TeamKey::default();
    let start = Millis::ZERO;
    Bucket { team, shard: Shard(0), level: 0, as_of: start, usable_from: start }
}

proptest! {
    /// What buckets hold and what may be held outside them is never more than the burst.
    #[test]
    fn parts_and_held_tokens_stay_within_the_burst(
        rate in 0_u32..200_000,
        burst in 1_u32..1_000_000,
        max_shards in 1..=MAX_SHARDS,
    ) {
        let terms = BucketParameters::sharded(rate, burst, max_shards);
        let in_buckets = u64::from(terms.parts) * terms.capacity;
        let outside = terms.lease_duration.0 * u64::from(rate) * (TOKEN / 1_000);
        prop_assert!(in_buckets + outside <= u64::from(burst) * TOKEN);
        prop_assert!(terms.capacity >= TOKEN, "a part can hold a whole token");
        prop_assert!(terms.shards <= max_shards);
    }

    /// With the smallest burst that operators may set for a rate, tokens have time to travel.
    #[test]
    fn tokens_of_the_smallest_burst_have_time_to_travel(rate in 1_u32..200_000) {
        let terms = BucketParameters::sharded(rate, rate.div_ceil(10).max(2), MAX_SHARDS);
        prop_assert!(terms.lease_duration >= Millis(49), "{}", terms.lease_duration);
    }

    /// However its takings are spread, a bucket gives no more than its capacity and its gain.
    #[test]
    fn a_bucket_gives_no_more_than_capacity_and_gain(
        rate in 1_u32..5_000,
        burst in 2_u32..10_000,
        steps in prop::collection::vec((0_u64..3_000, 0_u32..200), 1..60),
    ) {
        let terms = BucketParameters::sharded(rate, burst, MAX_SHARDS);
        let mut bucket = bucket();
        let mut now = Millis::ZERO;
        let mut given = 0;
        for (pause, wanted) in steps {
            now = now + Millis(pause);
            let (tokens, _) = bucket.take(&terms, now, wanted);
            given += u64::from(tokens) * TOKEN;
            let gain = now.0 * u64::from(rate) * (TOKEN / 1_000) / u64::from(terms.parts);
            prop_assert!(given <= gain, "an empty bucket has only what it gained");
        }
    }

    /// Once the time that a refused taking names has passed, a token is there.
    #[test]
    fn the_next_token_comes_when_it_was_said_to(rate in 1_u32..5_000, burst in 2_u32..10_000) {
        let terms = BucketParameters::sharded(rate, burst, MAX_SHARDS);
        let mut bucket = bucket();
        let (tokens, next_in) = bucket.take(&terms, Millis::ZERO, 1);
        prop_assert_eq!(tokens, 0);
        prop_assert_eq!(bucket.take(&terms, next_in, 1).0, 1);
    }
}
