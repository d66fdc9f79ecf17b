//! Nodes agree on the roster, and a shard of a team's rate never has two owners at once.

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

/// The minimum number of seeds of the test of removal, which can fail with some seeds only.
const REMOVAL_SEEDS: u64 = 64;

/// How long after its last update from the store a node grants leases by the roster that it has.
fn max_roster_age(world: &World, team: TeamKey) -> Millis {
    let window = world.options().freshness.window;
    match world.tables().cut_off_policy(team) {
        CutOffPolicy::Refuse => window,
        CutOffPolicy::Serve(grace) => window.max(grace),
    }
}

/// The shards of teams' rates from which a node would grant leases at present.
fn usable_shards(world: &World, now: Millis) -> Vec<(String, Shard)> {
    let tables = world.tables();
    let age = tables.freshness.fleet_age(now);
    let buckets = tables.rate_limits.buckets();
    let usable = buckets
        .filter(|bucket| bucket.usable_from <= now && age < max_roster_age(world, bucket.team));
    let named = usable
        .filter_map(|bucket| Some((tables.teams.get(bucket.team)?.name.to_string(), bucket.shard)));
    named.collect()
}

/// The shards from which more than one node would grant leases, with these nodes.
fn duplicate_owners(scenario: &mut Scenario, faults: &Faults) -> Vec<((String, Shard), Vec<Site>)> {
    let sites: Vec<Site> = scenario.fleet.sites().filter(|&site| !faults.is_frozen(site)).collect();
    for &site in &sites {
        // Any event runs a tick, in which the node reads the time.
        scenario.fleet.inject(site, Event::LinkSilent { peer: NodeId(0), silent: false });
    }
    scenario.fleet.run_for(Millis(0));
    let now = scenario.fleet.now;
    let mut owners: BTreeMap<(String, Shard), Vec<Site>> = BTreeMap::new();
    for &site in &sites {
        for shard in usable_shards(scenario.fleet.world_at(site), now) {
            owners.entry(shard).or_default().push(site);
        }
    }
    owners.into_iter().filter(|(_, owners)| owners.len() > 1).collect()
}

/// Injects failures, and checks after each step that no shard has two owners.
pub fn check_owners(scenario: &mut Scenario, faults: &mut Faults, steps: usize, name: &str) {
    for _ in 0..steps {
        faults.step(scenario);
        scenario.fleet.run_for(Millis(100));
        let duplicates = duplicate_owners(scenario, faults);
        let now = scenario.fleet.now;
        assert!(duplicates.is_empty(), "{name}, {now}: {duplicates:?}");
    }
    faults.end(scenario);
    scenario.fleet.run_for(Millis::from_secs(30));
}

/// Nodes are frozen, restarted and cut off at random, and the platform fails. No shard may ever
/// have two owners that grant leases.
#[test]
fn no_shard_has_two_owners_whatever_fails() {
    for policy in [CutOffPolicy::Refuse, CutOffPolicy::Serve(Millis::from_secs(6))] {
        for_seeds(|seed| {
            let mut scenario = Scenario::start(seed, policy);
            let mut faults = Faults::new(seed, scenario.fleet.now);
            check_owners(&mut scenario, &mut faults, 1_200, &format!("{policy:?}, seed {seed}"));
            assert_eq!(
                members(&scenario),
                [9; 9],
                "seed {seed}: not all nodes are back in the roster"
            );
        });
    }
}

/// Guards against two owners of a shard while the roster changes: a node that restarts within a window
/// of the change does not know that the earlier owner may still grant, and one that missed a roster
/// does not know of the owner by it.
#[test]
fn no_shard_has_two_owners_while_nodes_join_and_restart() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        let mut faults = Faults::with_members(seed, scenario.fleet.now);
        check_owners(&mut scenario, &mut faults, 600, &format!("seed {seed}"));
        let count = scenario.fleet.sites().count();
        assert_eq!(members(&scenario), vec![count; count], "seed {seed}");
    });
}

pub fn members(scenario: &Scenario) -> Vec<usize> {
    let worlds = scenario.fleet.sites().map(|site| scenario.fleet.world_at(site));
    worlds.map(|world| world.tables().roster.members.len()).collect()
}

/// The rosters that nodes have logged since a time: the store version and the number of members.
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

/// How the roster changes under failures that last. A node removes the row of a peer only while it
/// reaches at least half of its peers and its data from the platform is fresh; otherwise the node
/// itself is more likely to be cut off than the peer is to have failed. A removed node that reaches
/// the platform writes its row again.
#[test]
fn only_nodes_that_reach_half_of_their_peers_and_the_platform_remove_members() {
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

/// A data centre that is cut off from the others but reaches the platform must not be removed and
/// added again and again, however long the cut lasts: each of its nodes writes its row again after
/// a removal, and is then removed only after a much longer time.
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

/// A restarted process has the name of the one before it, so the roster doesn't change.
#[test]
fn restarted_nodes_stay_in_the_roster() {
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
