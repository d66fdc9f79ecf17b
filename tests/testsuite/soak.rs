//! A randomized soak: real processes under faults that come in series and overlap, with the
//! promises checked from what callers and targets saw.
//!
//! `MUSTARDPIN_SOAK_SEEDS=FIRST..LAST` runs other seeds than those of CI, the last one not
//! included, and `MUSTARDPIN_SOAK_SECONDS` makes the faults of each come for longer.

mod fault;
mod run;

use std::ops::Range;

use crate::soak::{
    fault::{Schedule, Shape},
    run::Soak,
};

/// How long faults come in CI.
const SECONDS: u64 = 12;

/// What CI runs.
const SEEDS: Range<u64> = 1..2;

/// Seeds that have failed at some time, with the cause.
const REGRESSIONS: &[u64] = &[];

/// The nodes of a soak.
const SHAPE: Shape = Shape { nodes: 6 };

#[test]
fn a_seed_gives_the_same_faults() {
    let schedule = Schedule::draw(1, SHAPE, std::time::Duration::from_secs(SECONDS));
    insta::assert_snapshot!(schedule);
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_overlapping_faults() {
    let seeds = std::env::var("MUSTARDPIN_SOAK_SEEDS").ok();
    let seeds = seeds.as_deref().and_then(range).unwrap_or(SEEDS);
    let seconds = std::env::var("MUSTARDPIN_SOAK_SECONDS").ok();
    let seconds = seconds.and_then(|text| text.parse().ok()).unwrap_or(SECONDS);
    let mut broken = Vec::new();
    for seed in seeds.chain(REGRESSIONS.iter().copied()) {
        let schedule = Schedule::draw(seed, SHAPE, std::time::Duration::from_secs(seconds));
        let found = Soak::new(schedule).await.run().await;
        eprintln!(
            "seed {seed}: {}",
            if found.is_empty() { "no promise was broken" } else { "BROKEN" }
        );
        broken.extend(found.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// A range of seeds such as `1..51`.
fn range(text: &str) -> Option<Range<u64>> {
    let (first, last) = text.split_once("..")?;
    Some(first.parse().ok()?..last.parse().ok()?)
}
