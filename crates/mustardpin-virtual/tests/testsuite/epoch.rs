//! Who holds shares and homes: agreed, spread, and never two at once.

use std::collections::BTreeMap;

use mustardpin_virtual::{PlatformMode, Site};
use mustardpin_world::{
    Event, Millis, World,
    command::Change,
    config::CutOffPolicy,
    home::{hash_of, home},
    id::NodeId,
    message::epoch::Epoch,
};

use crate::{
    faults::Faults,
    scenario::{Scenario, for_seeds, seeds},
};

const WINDOW: Millis = Millis(2_500);
/// Pieces of state whose holders are looked up.
const PIECES: u64 = 24;

/// Seeds of the test of removal, which only some schedules of gossip can fail.
const REMOVAL_SEEDS: u64 = 64;

/// Whether a node would act as the holder of a piece of state.
fn holds(world: &World, now: Millis, hash: u64) -> bool {
    let tables = world.tables();
    let own = world.identity().node();
    let is_home = |epoch: &Epoch| home(epoch, None, hash).is_some_and(|member| member.node == own);
    let grace = match tables.configuration.fleet.cut_off {
        CutOffPolicy::Refuse => Millis::ZERO,
        CutOffPolicy::Serve(grace) => grace,
    };
    let goes_on = tables.freshness.is_with_own && tables.freshness.age < grace;
    (tables.freshness.fresh || goes_on) && tables.epoch.may_use(is_home, now, WINDOW)
}

/// The nodes that would act as the holder of each piece, where there is more than one.
fn doubles(scenario: &mut Scenario, faults: &Faults) -> Vec<(u64, Vec<Site>)> {
    let sites: Vec<Site> = scenario.fleet.sites().filter(|&site| !faults.is_frozen(site)).collect();
    for &site in &sites {
        // Any event makes the node look at the time.
        scenario.fleet.inject(site, Event::Undelivered { to: NodeId(0) });
    }
    scenario.fleet.run_for(Millis(0));
    let now = scenario.fleet.now;
    let hashes = (0..PIECES).map(|piece| hash_of(&[&piece.to_string()]));
    let holders = hashes.map(|hash| {
        let holds = |site: &Site| holds(scenario.fleet.world_at(*site), now, hash);
        (hash, sites.iter().copied().filter(holds).collect::<Vec<Site>>())
    });
    holders.filter(|(_, holders)| holders.len() > 1).collect()
}

/// Nodes freeze, die, start and are cut off; no piece of state ever has two holders.
#[test]
fn nothing_has_two_holders_whatever_fails() {
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
    worlds.map(|world| world.tables().epoch.current.members.len()).collect()
}

/// Epochs adopted anywhere since a point, and their members.
fn epochs(scenario: &Scenario, since: Millis) -> BTreeMap<u64, usize> {
    let log = scenario.fleet.log.iter().filter(|(at, _, _)| *at >= since);
    log.filter_map(|(_, _, change)| match change {
        Change::Epoch { number, members } => Some((*number, *members)),
        _ => None,
    })
    .collect()
}

/// What becomes of the epoch under failures that last.
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
    for (policy_name, policy) in
        [("refuse", CutOffPolicy::Refuse), ("serve", CutOffPolicy::Serve(Millis::from_secs(20)))]
    {
        for (name, failure) in failures {
            let mut scenario = Scenario::start(1, policy);
            scenario.fleet.run_for(Millis::from_secs(5));
            let start = scenario.fleet.now;
            failure(&mut scenario);
            scenario.fleet.run_for(Millis::from_secs(20));
            let after_20 = epochs(&scenario, start);
            scenario.fleet.run_for(Millis::from_secs(20));
            let after_40 = epochs(&scenario, start);
            let writes = scenario.fleet.platform.writes;
            report.push_str(&format!(
                "{policy_name}; {name}: epochs in 20 s {after_20:?}, in 40 s {after_40:?}; \
                 {writes} writes\n"
            ));
        }
    }
    insta::assert_snapshot!(report);
}

/// A data centre that reaches the platform stays in the epoch, however long it is cut off from the
/// others.
#[test]
fn a_data_centre_that_reaches_the_platform_is_not_removed() {
    for seed in 0..REMOVAL_SEEDS.max(seeds().end) {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        scenario.fleet.run_for(Millis(2_000));
        let start = scenario.fleet.now;
        scenario.fleet.network.cut("north", "west");
        scenario.fleet.network.cut("south", "west");
        scenario.fleet.run_for(Millis::from_secs(30));
        assert_eq!(epochs(&scenario, start), BTreeMap::new(), "seed {seed}");
    }
}

/// Many nodes that start at the same time come in with few epochs.
#[test]
fn nodes_that_start_together_share_epochs() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        let start = scenario.fleet.now;
        for site in scenario.fleet.sites().skip(3) {
            scenario.fleet.restart(site);
        }
        scenario.fleet.run_for(Millis::from_secs(30));
        assert_eq!(members(&scenario), [9; 9], "seed {seed}");
        let mut adopted: BTreeMap<u64, Millis> = BTreeMap::new();
        for (at, _, change) in &scenario.fleet.log {
            if let Change::Epoch { number, .. } = change
                && *at >= start
            {
                adopted.entry(*number).or_insert(*at);
            }
        }
        let times: Vec<Millis> = adopted.values().copied().collect();
        let shortest = times.windows(2).map(|pair| pair[1] - pair[0]).min();
        assert!(shortest >= Some(Millis(1_000)), "seed {seed}: {times:?}");
    });
}
