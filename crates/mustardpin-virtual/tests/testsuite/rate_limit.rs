//! No team gets more than its rate and burst across all instances, and a team within its rate is
//! not refused.

use mustardpin_virtual::{Fleet, Request, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::{self, CutOffPolicy, Row},
    options::{RateLimit, RateLimitPolicy},
    refusal::Reason,
    request::Verdict,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::support::{fleet, key, put, route, seeds, team};

/// The team's rate, in requests per second.
const RATE: u32 = 200;
/// The team's burst, in requests.
const BURST: u32 = 400;

/// A burst so small that any error in the sharing of tokens exceeds it.
const SMALL_BURST: u32 = 40;

/// The maximum number of requests in any interval beyond what the rate allows. The bound is the
/// burst.
fn max_excess(fleet: &Fleet, rate: u32) -> f64 {
    let mut level: f64 = 0.0;
    let mut max_level: f64 = 0.0;
    let mut last = Millis::ZERO;
    for record in &fleet.ran {
        level = (level - (record.at - last).0 as f64 * f64::from(rate) / 1_000.0).max(0.0) + 1.0;
        last = record.at;
        max_level = max_level.max(level);
    }
    max_level
}

/// How many requests were refused by rate limiting.
fn refused_by_rate_limit(fleet: &Fleet) -> usize {
    let is_rate_limited = |verdict: &Option<Verdict>| {
        matches!(verdict, Some(Verdict::Refuse(refusal))
            if matches!(refusal.reason, Reason::RateExceeded | Reason::RateUnavailable))
    };
    fleet.received.iter().filter(|received| is_rate_limited(&received.verdict)).count()
}

fn small_fleet(seed: u64, burst: u32, policy: RateLimitPolicy, max_shards: u8) -> Fleet {
    let rate_limit = RateLimit { policy, max_shards, ..RateLimit::default() };
    let options = Options { rate_limit, ..Options::default() };
    let mut fleet = fleet(seed, options, &Service::leaf("search", 200, 2.0), 4);
    let rows = vec![team("garage", RATE, burst), key("garage"), Row::Route(route("search"))];
    put(&mut fleet, rows);
    fleet.run_for(Millis::from_secs(10));
    fleet
}

/// Sends requests of the team at a mean rate, in requests a second, for a length of time, each to
/// the site that `choose` returns.
fn load(
    fleet: &mut Fleet,
    rng: &mut Pcg64Mcg,
    rate: f64,
    length: Millis,
    mut choose: impl FnMut(&mut Pcg64Mcg, Millis) -> Site,
) {
    let start = fleet.now;
    let mut at = start.0 as f64;
    while at < (start + length).0 as f64 {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() * 1_000.0 / rate;
        fleet.run_until(Millis(at as u64));
        let now = fleet.now;
        let site = choose(rng, now - start);
        fleet.send(site, Request::get("/search", "garage-1.secret"));
    }
    fleet.run_for(Millis::from_secs(1));
}

/// How requests are distributed over entry nodes.
#[derive(Debug, Clone, Copy)]
enum Entry {
    /// All nodes get the same share.
    Even,
    /// One node gets nine in ten requests.
    Skewed,
    /// One node gets all requests, a different one every second.
    Moving,
}

impl Entry {
    fn choose(self, rng: &mut Pcg64Mcg, elapsed: Millis) -> Site {
        match self {
            Entry::Skewed if rng.random_range(0..10) < 9 => Site(0),
            Entry::Even | Entry::Skewed => Site(rng.random_range(0..12)),
            Entry::Moving => Site((elapsed.0 / 1_000 % 12) as usize),
        }
    }
}

#[test]
fn rate_limit_policies_compared() {
    let mut table = String::from("sharing, entry, refused of a team at 80% of its rate\n");
    let policies = [
        ("even", RateLimitPolicy::Even, 8),
        ("one keeper", RateLimitPolicy::Sharded, 1),
        ("eight keepers", RateLimitPolicy::Sharded, 8),
    ];
    for (name, policy, max_shards) in policies {
        for entry in [Entry::Even, Entry::Skewed, Entry::Moving] {
            let mut fleet = small_fleet(1, BURST, policy, max_shards);
            let mut rng = Pcg64Mcg::seed_from_u64(1);
            let rate = f64::from(RATE) * 0.8;
            load(&mut fleet, &mut rng, rate, Millis::from_secs(20), |rng, elapsed| {
                entry.choose(rng, elapsed)
            });
            let share = refused_by_rate_limit(&fleet) as f64 / fleet.received.len() as f64;
            table.push_str(&format!("{name}, {entry:?}, {:.2}%\n", share * 100.0));
            if name == "eight keepers" {
                assert!(share < 0.001, "{entry:?}: {share}");
            }
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn a_team_far_over_its_rate_gets_its_rate_and_burst() {
    for seed in seeds(4) {
        let mut fleet = small_fleet(seed, BURST, RateLimitPolicy::Sharded, 8);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let rate = f64::from(RATE) * 10.0;
        let length = Millis::from_secs(10);
        load(&mut fleet, &mut rng, rate, length, |rng, elapsed| Entry::Even.choose(rng, elapsed));
        let excess = max_excess(&fleet, RATE);
        assert!(excess <= f64::from(BURST), "seed {seed}: {excess} beyond the rate");
        let min_runs = f64::from(RATE) * length.0 as f64 / 1_000.0 * 0.95;
        assert!(fleet.ran.len() as f64 >= min_runs, "seed {seed}: only {} ran", fleet.ran.len());
    }
}

/// A failure of the fleet while a team floods it.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// Two nodes are killed and restarted.
    Kills,
    /// A node is frozen for 12 s, so that its data is stale when it is resumed.
    Freeze,
    /// A data centre is cut off from the others and the platform, and reconnected.
    Cut,
    /// A data centre is cut off from the others and the platform, and serves with the last known
    /// keys and shard owners until its grace is over.
    CutAndServed,
    /// A data centre is cut off from the platform, and the two others from each other.
    PlatformCut,
    /// Nodes are stopped gracefully and restarted one after another.
    Churn,
}

/// The flood, as a multiple of the team's rate.
const FLOOD_FACTOR: f64 = 8.0;

fn flood_for(fleet: &mut Fleet, rng: &mut Pcg64Mcg, length: Millis) {
    load(fleet, rng, f64::from(RATE) * FLOOD_FACTOR, length, |rng, _| {
        Site(rng.random_range(0..12))
    });
}

fn cut_west(fleet: &mut Fleet) {
    fleet.network.cut("west", "north");
    fleet.network.cut("west", "south");
    fleet.network.cut_platform("west");
}

/// Floods the fleet before, during and after a failure.
fn flood_through_failure(fleet: &mut Fleet, rng: &mut Pcg64Mcg, failure: Failure) {
    let gone = [Site(rng.random_range(0..6)), Site(rng.random_range(6..12))];
    flood_for(fleet, rng, Millis(2_000));
    match failure {
        Failure::Kills => {
            gone.iter().for_each(|&site| fleet.kill(site));
            flood_for(fleet, rng, Millis(12_000));
            gone.iter().for_each(|&site| fleet.restart(site));
        }
        Failure::Freeze => {
            fleet.freeze(gone[0]);
            flood_for(fleet, rng, Millis(12_000));
            fleet.resume(gone[0]);
        }
        Failure::Cut => {
            cut_west(fleet);
            flood_for(fleet, rng, Millis(15_000));
            fleet.network.heal();
        }
        Failure::CutAndServed => {
            let cut_off = CutOffPolicy::Serve(Millis::from_secs(20));
            put(fleet, vec![Row::Fleet(config::Fleet { cut_off, ..Default::default() })]);
            flood_for(fleet, rng, Millis(3_000));
            cut_west(fleet);
            flood_for(fleet, rng, Millis(24_000));
            fleet.network.heal();
        }
        Failure::PlatformCut => {
            fleet.network.cut_platform("west");
            fleet.network.cut("north", "south");
            flood_for(fleet, rng, Millis(12_000));
            fleet.network.heal();
        }
        Failure::Churn => {
            for _ in 0..4 {
                let site = Site(rng.random_range(0..12));
                fleet.stop(site);
                flood_for(fleet, rng, Millis(3_000));
                fleet.restart(site);
                flood_for(fleet, rng, Millis(500));
            }
        }
    }
    flood_for(fleet, rng, Millis(10_000));
}

#[test]
fn rate_and_burst_hold_through_failures() {
    use Failure::{Churn, Cut, CutAndServed, Freeze, Kills, PlatformCut};

    for failure in [Kills, Freeze, Cut, CutAndServed, PlatformCut, Churn] {
        for seed in seeds(3) {
            let mut fleet = small_fleet(seed, SMALL_BURST, RateLimitPolicy::Sharded, 8);
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            flood_through_failure(&mut fleet, &mut rng, failure);
            let excess = max_excess(&fleet, RATE);
            let burst = f64::from(SMALL_BURST);
            assert!(excess <= burst, "{failure:?}, seed {seed}: {excess} beyond the rate");
        }
    }
}

/// A team at half its rate has no request refused by rate limiting when a node, and with it an
/// owner of shards, is stopped or killed.
#[test]
fn a_team_within_its_rate_is_not_refused_when_shard_owners_change() {
    let mut table = String::from("seed, change, refused of a team at half its rate\n");
    for seed in seeds(3) {
        for kill in [false, true] {
            let mut fleet = small_fleet(seed, BURST, RateLimitPolicy::Sharded, 8);
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let rate = f64::from(RATE) / 2.0;
            let gone = rng.random_range(1..12);
            let entry = |rng: &mut Pcg64Mcg, _| Site((gone + rng.random_range(1..12)) % 12);
            load(&mut fleet, &mut rng, rate, Millis(3_000), entry);
            if kill {
                fleet.kill(Site(gone));
            } else {
                fleet.stop(Site(gone));
            }
            load(&mut fleet, &mut rng, rate, Millis(15_000), entry);
            let share = refused_by_rate_limit(&fleet) as f64 / fleet.received.len() as f64;
            let change = if kill { "killed" } else { "stopped" };
            table.push_str(&format!("{seed}, {change}, {:.2}%\n", share * 100.0));
            assert!(share < 0.001, "seed {seed}, {change}: {share}");
        }
    }
    insta::assert_snapshot!(table);
}

/// When shard owners restart in a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    Never,
    /// Once no node uses an earlier roster any more.
    Settled,
    /// Right after a node has joined.
    JustChanged,
}

/// The share of a team's requests that is refused while four nodes restart in turn.
fn refused_while_owners_restart(seed: u64, burst: u32, restart: Restart) -> f64 {
    let mut fleet = small_fleet(seed, burst, RateLimitPolicy::Sharded, 8);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    fleet.run_for(Millis::from_secs(8));
    fleet.add("north", Service::leaf("search", 200, 2.0));
    let pause = if restart == Restart::JustChanged { 3 } else { 13 };
    fleet.run_for(Millis::from_secs(pause));
    for number in 0..4 {
        if restart != Restart::Never {
            fleet.restart_node(Site(number * 3));
        }
        let entry = |rng: &mut Pcg64Mcg, _| Site(1 + rng.random_range(0..2));
        load(&mut fleet, &mut rng, f64::from(RATE) * 0.8, Millis(1_500), entry);
    }
    refused_by_rate_limit(&fleet) as f64 / fleet.received.len() as f64
}

/// Guards against a fence that starves a team at each restart of a shard owner. Only owners that
/// restart soon after the roster has changed may not grant at once.
#[test]
fn a_team_within_its_rate_is_served_while_shard_owners_restart() {
    let mut table =
        String::from("burst, restarts, refused of a team at 80% of its rate, by seed\n");
    for burst in [BURST, SMALL_BURST] {
        for restart in [Restart::Never, Restart::Settled, Restart::JustChanged] {
            table.push_str(&format!("{burst}, {restart:?}:"));
            for seed in seeds(3) {
                let share = refused_while_owners_restart(seed, burst, restart);
                table.push_str(&format!(" {:.2}%", share * 100.0));
                if burst == BURST && restart == Restart::Settled {
                    assert!(share < 0.001, "seed {seed}: {share}");
                }
            }
            table.push('\n');
        }
    }
    insta::assert_snapshot!(table);
}

/// Tokens that nodes have leased ahead and not yet used count towards the burst.
#[test]
fn bursts_after_short_pauses_stay_within_the_burst() {
    for seed in seeds(3) {
        let mut fleet = small_fleet(seed, SMALL_BURST, RateLimitPolicy::Sharded, 8);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        for _ in 0..100 {
            let pause = Millis(rng.random_range(5..120));
            fleet.run_for(pause);
            let requests = rng.random_range(1..120);
            for _ in 0..requests {
                let site = Site(rng.random_range(0..12));
                fleet.send(site, Request::get("/search", "garage-1.secret"));
            }
        }
        fleet.run_for(Millis::from_secs(1));
        let excess = max_excess(&fleet, RATE);
        assert!(excess <= f64::from(SMALL_BURST), "seed {seed}: {excess} beyond the rate");
    }
}

/// Many teams whose requests arrive thinly spread over a large fleet, so that no node has a steady
/// demand of any of them. Tokens that nodes lease ahead and never use are lost to other nodes.
#[test]
fn teams_spread_thinly_over_a_large_fleet_are_not_refused() {
    const TEAMS: usize = 12;
    const SITES: usize = 48;
    const TEAM_RATE: u32 = 20;
    /// Each team sends this share of its rate.
    const SENT_SHARE: f64 = 0.62;

    let mut fleet = fleet(1, Options::default(), &Service::leaf("search", 200, 2.0), SITES / 3);
    let names: Vec<_> = (0..TEAMS).map(|number| format!("garage{number}")).collect();
    let mut rows = vec![Row::Route(route("search"))];
    for name in &names {
        rows.extend([team(name, TEAM_RATE, TEAM_RATE), key(name)]);
    }
    put(&mut fleet, rows);
    fleet.run_for(Millis::from_secs(10));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let rate = SENT_SHARE * f64::from(TEAM_RATE) * TEAMS as f64;
    let (start, mut at) = (fleet.now, fleet.now.0 as f64);
    while at < (start + Millis::from_secs(20)).0 as f64 {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() * 1_000.0 / rate;
        fleet.run_until(Millis(at as u64));
        let name = &names[rng.random_range(0..TEAMS)];
        let site = Site(rng.random_range(0..SITES));
        fleet.send(site, Request::get("/search", &format!("{name}-1.secret")));
    }
    fleet.run_for(Millis::from_secs(1));
    let share = refused_by_rate_limit(&fleet) as f64 / fleet.received.len() as f64;
    assert!(share < 0.001, "{share} of {}", fleet.received.len());
}

/// A team whose burst is the smallest that a configuration may have, spread thinly over a large
/// fleet.
#[test]
fn a_team_with_the_smallest_burst_is_served_at_all_nodes() {
    const SITES: usize = 48;
    let mut fleet = fleet(1, Options::default(), &Service::leaf("search", 200, 2.0), SITES / 3);
    put(&mut fleet, vec![team("garage", 2, 2), key("garage"), Row::Route(route("search"))]);
    fleet.run_for(Millis::from_secs(10));
    for site in 0..SITES {
        fleet.send(Site(site), Request::get("/search", "garage-1.secret"));
        fleet.run_for(Millis(1_000));
    }
    let refused = refused_by_rate_limit(&fleet);
    assert!(refused * 20 <= SITES, "{refused} of {SITES}");
}
