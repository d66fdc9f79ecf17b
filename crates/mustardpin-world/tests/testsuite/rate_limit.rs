//! Token buckets: the split of a rate and a burst, grants and refills.

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
    /// The buckets' capacity and the tokens that may be leased together stay within the burst.
    #[test]
    fn buckets_and_leases_stay_within_the_burst(
        rate in 0_u32..200_000,
        burst in 1_u32..1_000_000,
        max_shards in 1..=MAX_SHARDS,
    ) {
        let parameters = BucketParameters::sharded(rate, burst, max_shards);
        let in_buckets = u64::from(parameters.parts) * parameters.capacity;
        let leased = parameters.lease_duration.0 * u64::from(rate) * (TOKEN / 1_000);
        prop_assert!(in_buckets + leased <= u64::from(burst) * TOKEN);
        prop_assert!(parameters.capacity >= TOKEN, "a part can hold a whole token");
        prop_assert!(parameters.shards <= max_shards);
    }

    /// With the smallest burst that operators may set for a rate, leases last long enough for
    /// tokens to reach the node that spends them.
    #[test]
    fn smallest_burst_leaves_time_to_use_a_lease(rate in 1_u32..200_000) {
        let parameters = BucketParameters::sharded(rate, rate.div_ceil(10).max(2), MAX_SHARDS);
        prop_assert!(parameters.lease_duration >= Millis(49), "{}", parameters.lease_duration);
    }

    /// However the takes are spread over time, a bucket that starts empty grants no more than its
    /// refill.
    #[test]
    fn bucket_grants_no_more_than_its_refill(
        rate in 1_u32..5_000,
        burst in 2_u32..10_000,
        steps in prop::collection::vec((0_u64..3_000, 0_u32..200), 1..60),
    ) {
        let parameters = BucketParameters::sharded(rate, burst, MAX_SHARDS);
        let mut bucket = bucket();
        let mut now = Millis::ZERO;
        let mut granted = 0;
        for (elapsed, wanted) in steps {
            now = now + Millis(elapsed);
            let (tokens, _) = bucket.take(&parameters, now, wanted);
            granted += u64::from(tokens) * TOKEN;
            let refill = now.0 * u64::from(rate) * (TOKEN / 1_000) / u64::from(parameters.parts);
            prop_assert!(granted <= refill, "a bucket that starts empty grants only its refill");
        }
    }

    /// Once the `next_in` of an unsuccessful take has passed, a token is available.
    #[test]
    fn next_token_is_available_after_next_in(rate in 1_u32..5_000, burst in 2_u32..10_000) {
        let parameters = BucketParameters::sharded(rate, burst, MAX_SHARDS);
        let mut bucket = bucket();
        let (tokens, next_in) = bucket.take(&parameters, Millis::ZERO, 1);
        prop_assert_eq!(tokens, 0);
        prop_assert_eq!(bucket.take(&parameters, next_in, 1).0, 1);
    }
}
