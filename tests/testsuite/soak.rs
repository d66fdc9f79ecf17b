//! Randomized soak tests: a fleet of processes under load and a random schedule of overlapping
//! faults, or of planned stops and changes. The promises are checked against the responses of
//! callers and the runs of targets.
//!
//! `MUSTARDPIN_SOAK_SEEDS=FIRST..LAST` sets the seeds, without LAST, and
//! `MUSTARDPIN_SOAK_SECONDS` the length of the schedule of each seed. CI sets neither.

mod fault;
mod keeper;
mod run;

use std::{ops::Range, time::Duration};

use crate::soak::{
    fault::{Schedule, Shape},
    run::Soak,
};

/// Default length of a schedule, in seconds.
const DEFAULT_SECONDS: u64 = 12;

/// Default seeds.
const DEFAULT_SEEDS: Range<u64> = 1..2;

/// Seeds that have failed before, each with the cause. They run in addition to all others.
const REGRESSIONS: &[u64] = &[];

/// The size of the fleet.
const SHAPE: Shape = Shape { nodes: 6 };

#[test]
fn a_seed_gives_the_same_faults() {
    let schedule = Schedule::generate(1, SHAPE, Duration::from_secs(DEFAULT_SECONDS));
    insta::assert_snapshot!(schedule);
}

#[test]
fn a_seed_gives_the_same_planned_work() {
    let length = Duration::from_secs(DEFAULT_SECONDS);
    insta::assert_snapshot!(Schedule::generate_planned(1, SHAPE, length));
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_overlapping_faults() {
    run_seeds(Schedule::generate, REGRESSIONS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_cut_no_request() {
    run_seeds(Schedule::generate_planned, &[]).await;
}

/// Runs the schedule of each seed.
async fn run_seeds(generate: fn(u64, Shape, Duration) -> Schedule, regressions: &[u64]) {
    let seeds = std::env::var("MUSTARDPIN_SOAK_SEEDS").ok();
    let seeds = seeds.as_deref().and_then(parse_range).unwrap_or(DEFAULT_SEEDS);
    let seconds = std::env::var("MUSTARDPIN_SOAK_SECONDS").ok();
    let seconds = seconds.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SECONDS);
    let mut broken = Vec::new();
    for seed in seeds.chain(regressions.iter().copied()) {
        let schedule = generate(seed, SHAPE, Duration::from_secs(seconds));
        let found = Soak::new(schedule).await.run().await;
        eprintln!(
            "seed {seed}: {}",
            if found.is_empty() { "no promise was broken" } else { "BROKEN" }
        );
        broken.extend(found.into_iter().map(|promise| format!("seed {seed}: {promise}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Parses a range of seeds such as `1..51`.
fn parse_range(text: &str) -> Option<Range<u64>> {
    let (first, last) = text.split_once("..")?;
    Some(first.parse().ok()?..last.parse().ok()?)
}
