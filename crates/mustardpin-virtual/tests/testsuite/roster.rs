//! Who keeps parts of teams' rates: agreed, spread, and never two at once.

use std::{collections::BTreeMap, fmt::Write as _};

use mustardpin_virtual::{PlatformMode, Site};
use mustardpin_world::{
    Event, Millis, World,
    config::CutOffPolicy,
    id::{NodeId, TeamKey},
    message::rate_limit::Shard,
    store::{RowKey, Value},
};

use crate::{
    faults::Faults,
    scenario::{Scenario, for_seeds, seeds},
};

/// Seeds of the test of removal, which only some schedules can fail.
const REMOVAL_SEEDS: u64 = 64;

/// For how long after its last news a node gives out tokens by the roster that it knows.
fn longest_use(world: &World, team: TeamKey) -> Millis {
    let window = world.options().freshness.window;
    match world.tables().cut_off_policy(team) {
        CutOffPolicy::Refuse => window,
        CutOffPolicy::Serve(grace) => window.max(grace),
    }
}

/// The parts of teams' rates that a node would give out at present.
fn kept(world: &World, now: Millis) -> Vec<(String, Shard)> {
    let tables = world.tables();
    let age = tables.freshness.fleet_age(now);
    let buckets = tables.rate_limits.buckets();
    let usable =
        buckets.filter(|bucket| bucket.usable_from <= now && age < longest_use(world, bucket.team));
    let named = usable
        .filter_map(|bucket| Some((tables.teams.get(bucket.team)?.name.to_string(), bucket.shard)));
    named.collect()
}

/// The nodes that would give out tokens of one part, where there is more than one.
fn doubles(scenario: &mut Scenario, faults: &Faults) -> Vec<((String, Shard), Vec<Site>)> {
    let sites: Vec<Site> = scenario.fleet.sites().filter(|&site| !faults.is_frozen(site)).collect();
    for &site in &sites {
        // Any event makes the node look at the time.
        scenario.fleet.inject(site, Event::LinkSilent { peer: NodeId(0), silent: false });
    }
    scenario.fleet.run_for(Millis(0));
    let now = scenario.fleet.now;
    let mut keepers: BTreeMap<(String, Shard), Vec<Site>> = BTreeMap::new();
    for &site in &sites {
        for part in kept(scenario.fleet.world_at(site), now) {
            keepers.entry(part).or_default().push(site);
        }
    }
    keepers.into_iter().filter(|(_, keepers)| keepers.len() > 1).collect()
}

/// Nodes freeze, die, start and are cut off; no part of a rate ever has two keepers.
#[test]
fn nothing_has_two_keepers_whatever_fails() {
    for policy in [CutOffPolicy::Refuse, CutOffPolicy::Serve(Millis::from_secs(6))] {
        for_seeds(|seed| {
            let mut scenario = Scenario::start(seed, policy);
            let mut faults = Faults::new(seed, scenario.fleet.now);
            for _ in 0..1_200 {
                faults.step(&mut scenario);
                scenario.fleet.run_for(Millis(100));
                let doubles = doubles(&mut scenario, &faults);
                let now = scenario.fleet.now;
                assert!(doubles.is_empty(), "{policy:?}, seed {seed}, {now}: {doubles:?}");
            }
            faults.end(&mut scenario);
            scenario.fleet.run_for(Millis::from_secs(30));
            assert_eq!(members(&scenario), [9; 9], "seed {seed}: all come together again");
        });
    }
}

fn members(scenario: &Scenario) -> Vec<usize> {
    let worlds = scenario.fleet.sites().map(|site| scenario.fleet.world_at(site));
    worlds.map(|world| world.tables().roster.len()).collect()
}

/// Rosters that nodes learned of since a point, and how many members they have.
fn rosters(scenario: &Scenario, since: Millis) -> BTreeMap<String, String> {
    let log = scenario.fleet.log.iter();
    let log = log.filter(|(at, _, entry)| *at >= since && entry.event == "roster");
    log.map(|(_, _, entry)| {
        let field = |name| entry.fields.iter().find(|(other, _)| *other == name);
        let text = |name| field(name).map(|(_, value)| value.to_string()).unwrap_or_default();
        (text("position"), text("members"))
    })
    .collect()
}

/// What becomes of the roster under failures that last.
#[test]
fn members_are_removed_only_by_those_who_can_tell() {
    type Failure = fn(&mut Scenario);
    let failures: [(&str, Failure); 6] = [
        ("one node cut off from all nodes but not from the platform", |scenario| {
            scenario.fleet.isolate(Site(4));
        }),
        ("all data centres cut off from each other", |scenario| {
            scenario.fleet.network.cut("north", "west");
            scenario.fleet.network.cut("south", "west");
            scenario.fleet.network.cut("south", "north");
        }),
        ("one data centre cut off from the others", |scenario| {
            scenario.fleet.network.cut("north", "west");
            scenario.fleet.network.cut("south", "west");
        }),
        ("one data centre cut off from all", |scenario| {
            scenario.fleet.network.cut("north", "west");
            scenario.fleet.network.cut("south", "west");
            scenario.fleet.network.cut_platform("west");
        }),
        ("two nodes of three killed", |scenario| {
            scenario.fleet.kill(Site(1));
            scenario.fleet.kill(Site(2));
        }),
        ("the platform down and a node killed", |scenario| {
            scenario.fleet.platform.mode = PlatformMode::Down;
            scenario.fleet.kill(Site(1));
        }),
    ];
    let mut report = String::new();
    for (name, failure) in failures {
        let mut scenario = Scenario::start(1, CutOffPolicy::Refuse);
        scenario.fleet.run_for(Millis::from_secs(5));
        let (start, before) = (scenario.fleet.now, scenario.fleet.platform.writes);
        failure(&mut scenario);
        scenario.fleet.run_for(Millis::from_secs(30));
        let after_30 = rosters(&scenario, start);
        scenario.fleet.run_for(Millis::from_secs(60));
        let after_90 = rosters(&scenario, start);
        let writes = scenario.fleet.platform.writes - before;
        let counts = |rosters: &BTreeMap<String, String>| {
            rosters.values().cloned().collect::<Vec<_>>().join(" ")
        };
        writeln!(
            report,
            "{name}: members of rosters in 30 s [{}], in 90 s [{}]; {writes} writes",
            counts(&after_30),
            counts(&after_90)
        )
        .unwrap();
    }
    insta::assert_snapshot!(report);
}

/// A data centre that reaches the platform is not taken for gone again and again, however long it
/// is cut off from the others.
#[test]
fn a_data_centre_that_reaches_the_platform_stays_in_the_roster() {
    for seed in 0..REMOVAL_SEEDS.max(seeds().end) {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        scenario.fleet.run_for(Millis(2_000));
        scenario.fleet.network.cut("north", "west");
        scenario.fleet.network.cut("south", "west");
        scenario.fleet.run_for(Millis::from_secs(60));
        let (start, before) = (scenario.fleet.now, scenario.fleet.platform.writes);
        scenario.fleet.run_for(Millis::from_secs(60));
        assert_eq!(rosters(&scenario, start), BTreeMap::new(), "seed {seed}");
        assert_eq!(scenario.fleet.platform.writes, before, "seed {seed}");
        assert_eq!(members(&scenario), [9; 9], "seed {seed}");
    }
}

/// Processes that start again in their places leave the roster as it is.
#[test]
fn nodes_that_start_again_keep_their_places() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        let start = scenario.fleet.now;
        for site in scenario.fleet.sites().skip(3) {
            scenario.fleet.restart(site);
        }
        scenario.fleet.run_for(Millis::from_secs(30));
        assert_eq!(members(&scenario), [9; 9], "seed {seed}");
        let Some(Value::Roster(roster)) = scenario.fleet.platform.value(&RowKey::Roster) else {
            panic!("seed {seed}: no roster");
        };
        assert_eq!(roster.members.len(), 9, "seed {seed}");
        let first = scenario.fleet.world_at(Site(0)).tables().roster.learned_at;
        assert!(first < start, "seed {seed}: the roster changed at {first}");
    });
}
