//! Data centres cut off from each other, from the platform and from both.

use std::fmt::Write as _;

use mustardpin_virtual::{PlatformMode, Site};
use mustardpin_world::{
    Millis,
    config::{Change, CutOffPolicy, Exception, Row},
};

use crate::scenario::{Scenario, WITHDRAWN_KEY, for_seeds};

/// How long each cut lasts.
const CUT_DURATION: Millis = Millis::from_secs(20);
/// How long a cut-off data centre may go on serving under the policies that allow it.
const GRACE: Millis = Millis::from_secs(8);
/// The maximum time from the platform's recovery until requests with keys are served again.
const MAX_RECOVERY_TIME: Millis = Millis::from_secs(2);
/// The age at which configuration counts as stale here: 25 ms below the default freshness window.
const MAX_CONFIGURATION_AGE: Millis = Millis(2_600);

type Cut = fn(&mut Scenario);

const CUTS: [(&str, Cut); 5] = [
    ("west from the others", |scenario| cut_west(scenario)),
    ("west from the platform", |scenario| scenario.fleet.network.cut_platform("west")),
    ("west from both", |scenario| {
        cut_west(scenario);
        scenario.fleet.network.cut_platform("west");
    }),
    ("the platform down", |scenario| scenario.fleet.platform.mode = PlatformMode::Down),
    ("west from the others, the platform down", |scenario| {
        cut_west(scenario);
        scenario.fleet.platform.mode = PlatformMode::Down;
    }),
];

fn cut_west(scenario: &mut Scenario) {
    scenario.fleet.network.cut("north", "west");
    scenario.fleet.network.cut("south", "west");
}

fn exception() -> Row {
    Row::Exception(Exception {
        name: "counter-staff".into(),
        change: Change::ServeCutOff { team: "garage".into(), grace: GRACE },
        reason: "a car waits on the ramp".into(),
    })
}

/// What each data centre serves and refuses during a cut and after it, under each policy.
#[test]
fn requests_served_during_cuts_by_cut_off_policy() {
    let policies = [
        ("refuse", CutOffPolicy::Refuse, vec![]),
        ("serve for 8 s", CutOffPolicy::Serve(GRACE), vec![]),
        ("refuse, but serve one team for 8 s", CutOffPolicy::Refuse, vec![exception()]),
    ];
    let mut report = String::new();
    for (policy_name, policy, rows) in policies {
        for (cut_name, cut) in CUTS {
            let mut scenario = Scenario::start_with(1, policy, rows.clone());
            scenario.load_for(Millis::from_secs(3));
            let start = scenario.fleet.now;
            cut(&mut scenario);
            scenario.load_for(CUT_DURATION);
            scenario.fleet.network.heal();
            scenario.fleet.platform.mode = PlatformMode::Up;
            scenario.load_for(Millis::from_secs(8));
            writeln!(report, "{policy_name}; cut: {cut_name}").unwrap();
            let phases = [
                ("0 to 2 s", Millis(0), Millis(2_000)),
                ("3 to 8 s", Millis(3_000), Millis(8_000)),
                ("9 to 20 s", Millis(9_000), CUT_DURATION),
                ("3 s after", CUT_DURATION + Millis(3_000), CUT_DURATION + Millis(7_000)),
            ];
            for (phase, from, to) in phases {
                let [north, west] = ["north", "west"]
                    .map(|data_centre| scenario.outcomes(data_centre, start + from, start + to));
                writeln!(report, "  {phase}, north: {north}").unwrap();
                writeln!(report, "  {phase}, west: {west}").unwrap();
            }
        }
    }
    insta::assert_snapshot!(report);
}

/// A cut-off data centre that may go on serving doesn't learn that a key was withdrawn. The grace
/// bounds how long the key still works there.
#[test]
fn a_withdrawn_key_works_in_a_cut_off_data_centre_until_the_grace_ends() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Serve(GRACE));
        scenario.load_for(Millis::from_secs(2));
        cut_west(&mut scenario);
        scenario.fleet.network.cut_platform("west");
        let cut = scenario.fleet.now;
        scenario.withdraw(Site(0));
        scenario.load_until_accepted();
        scenario.load_for(CUT_DURATION);
        let last = scenario.runs_with_key(WITHDRAWN_KEY).next_back().unwrap();
        assert!(last > cut + MAX_CONFIGURATION_AGE, "seed {seed}: west stopped serving at the cut");
        assert!(last <= cut + GRACE, "seed {seed}: ran {} after the cut", last - cut);
    });
}

/// The outage lasts 60 s; operators allow a grace of 90 s.
#[test]
fn an_outage_of_the_platform_within_the_grace_stops_nothing() {
    for_seeds(|seed| {
        let grace = Millis::from_secs(90);
        let mut scenario = Scenario::start(seed, CutOffPolicy::Serve(grace));
        let start = scenario.fleet.now;
        scenario.fleet.platform.mode = PlatformMode::Down;
        scenario.load_for(Millis::from_secs(60));
        scenario.fleet.run_for(Millis::from_secs(5));
        let received = scenario.fleet.received.iter().filter(|received| received.sent >= start);
        let refused = received.filter(|received| !received.is_complete()).count();
        assert_eq!(refused, 0, "seed {seed}");
    });
}

/// Without a grace, an outage of the platform stops only requests with keys, and only until the
/// platform is up again.
#[test]
fn an_outage_of_the_platform_without_a_grace_stops_only_requests_with_keys() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        let start = scenario.fleet.now;
        scenario.fleet.platform.mode = PlatformMode::Down;
        scenario.load_for(Millis::from_secs(60));
        scenario.fleet.platform.mode = PlatformMode::Up;
        scenario.load_for(MAX_RECOVERY_TIME);
        let recovered = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(5));
        let received = scenario.fleet.received.iter().filter(|received| received.sent >= start);
        for received in received.filter(|received| !received.is_complete()) {
            assert_ne!(received.root % 3, 2, "seed {seed}: a request without a key was refused");
            assert!(received.is_not_run(), "seed {seed}: {received:?}");
            assert!(
                received.sent < recovered,
                "seed {seed}: refused {} after the recovery",
                received.sent - recovered
            );
            assert!(
                received.sent > start + Millis(1_500),
                "seed {seed}: refused before the configuration was stale"
            );
        }
    });
}

/// A process that was frozen checks the age of its configuration before it admits a request.
#[test]
fn a_resumed_node_admits_nothing_by_stale_configuration() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        scenario.load_for(Millis::from_secs(2));
        scenario.fleet.freeze(Site(7));
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.load_for(Millis::from_secs(6));
        scenario.fleet.resume(Site(7));
        scenario.load_for(Millis(100));
        let last = scenario.runs_with_key(WITHDRAWN_KEY).next_back().unwrap();
        assert!(
            last < accepted + MAX_CONFIGURATION_AGE,
            "seed {seed}: ran {} after the acceptance",
            last - accepted
        );
    });
}
