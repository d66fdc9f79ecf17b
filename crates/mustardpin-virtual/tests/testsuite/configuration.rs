//! Operators' changes of the configuration are atomic, in force everywhere within 3 s, and never
//! reverted.

use std::{collections::BTreeMap, fmt::Write as _};

use mustardpin_virtual::{PlatformMode, Received, Site};
use mustardpin_world::{
    Millis,
    config::{
        Change, ChangeError, CutOffPolicy, Exception, Fleet, Importance, Kind, Path, Route, Row,
    },
    event::Proposal,
    message::{Message, configuration},
    refusal::Reason,
    request::Verdict,
    store::{RowKey, Value},
};

use crate::{
    faults::Faults,
    scenario::{Scenario, VALID_KEY, WITHDRAWN_KEY, for_seeds, key, route, team, withdrawal},
};

/// The maximum time from the acceptance of a change until it is in force everywhere.
const MAX_PROPAGATION_DELAY: Millis = Millis::from_secs(3);

/// Withdraws the key during a failure. Returns when the platform accepted the withdrawal.
type Case = fn(&mut Scenario) -> Millis;

const CASES: [(&str, Case); 13] = [
    ("nothing fails", |scenario| {
        scenario.withdraw(Site(0));
        scenario.load_until_accepted()
    }),
    ("platform down right after the acceptance", |scenario| {
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.fleet.platform.mode = PlatformMode::Down;
        accepted
    }),
    ("answers of the platform are lost", |scenario| {
        scenario.fleet.platform.mode = PlatformMode::LoseReplies;
        scenario.withdraw(Site(0));
        scenario.load_until_accepted()
    }),
    ("answer lost and platform down for a second", |scenario| {
        scenario.fleet.platform.mode = PlatformMode::LoseReplies;
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.fleet.platform.mode = PlatformMode::Down;
        scenario.load_for(Millis(1_000));
        scenario.fleet.platform.mode = PlatformMode::Up;
        accepted
    }),
    ("platform slow", |scenario| {
        scenario.fleet.network.delay.platform = Millis(600);
        scenario.withdraw(Site(0));
        scenario.load_until_accepted()
    }),
    ("operator's node killed right after the acceptance", |scenario| {
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.fleet.kill(Site(0));
        accepted
    }),
    ("a data centre cut off before, and back after ten seconds", |scenario| {
        cut(scenario, true);
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.load_for(Millis::from_secs(10));
        scenario.fleet.network.heal();
        accepted
    }),
    ("a data centre cut off from the others only", |scenario| {
        cut(scenario, false);
        scenario.withdraw(Site(0));
        scenario.load_until_accepted()
    }),
    ("a node frozen before, and resumed after ten seconds", |scenario| {
        scenario.fleet.freeze(Site(8));
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.load_for(Millis::from_secs(10));
        scenario.fleet.resume(Site(8));
        accepted
    }),
    ("a node started from nothing while the platform is down", |scenario| {
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.fleet.platform.mode = PlatformMode::Down;
        scenario.fleet.restart(Site(4));
        scenario.fleet.introduce(Site(4), Site(8));
        accepted
    }),
    ("deltas lost on the way to a data centre without the platform", |scenario| {
        scenario.fleet.network.cut_platform("west");
        scenario.fleet.network.drop_filter = Some(is_delta);
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.load_for(Millis::from_secs(8));
        scenario.fleet.network.drop_filter = None;
        accepted
    }),
    ("the delta lost, and the next one not", |scenario| {
        scenario.fleet.network.cut_platform("west");
        scenario.fleet.network.drop_filter = Some(is_delta);
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.load_for(Millis(20));
        scenario.fleet.network.drop_filter = None;
        let expected = scenario.revision(Site(0));
        scenario.propose(Site(0), 2, "next", expected, vec![team("third")]);
        accepted
    }),
    ("requests waiting in queues", |scenario| {
        for site in scenario.fleet.sites() {
            scenario.fleet.target(site).slowdown = 200.0;
        }
        scenario.load_for(Millis::from_secs(4));
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.load_for(Millis::from_secs(5));
        for site in scenario.fleet.sites() {
            scenario.fleet.target(site).slowdown = 1.0;
        }
        accepted
    }),
];

fn is_delta(message: &Message) -> bool {
    matches!(message, Message::Configuration(configuration::Message::Have { .. }))
}

/// Cuts west off from the other data centres and, if `from_platform`, from the platform.
fn cut(scenario: &mut Scenario, from_platform: bool) {
    scenario.fleet.network.cut("north", "west");
    scenario.fleet.network.cut("south", "west");
    if from_platform {
        scenario.fleet.network.cut_platform("west");
    }
}

#[test]
fn a_withdrawn_key_stops_everywhere_within_three_seconds() {
    let mut report = String::new();
    for (name, case) in CASES {
        for_seeds(|seed| {
            let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
            scenario.load_for(Millis::from_secs(2));
            println!("{name}");
            let accepted = case(&mut scenario);
            scenario.load_for(Millis::from_secs(12));
            // No key is served without updates from the platform.
            scenario.fleet.platform.mode = PlatformMode::Up;
            scenario.load_for(MAX_PROPAGATION_DELAY + Millis::from_secs(2));
            let before = scenario.runs_with_key(WITHDRAWN_KEY).filter(|&at| at < accepted).count();
            assert!(
                before > 50,
                "{name}, seed {seed}: {before} runs of the key before its withdrawal"
            );
            let last = scenario.runs_with_key(WITHDRAWN_KEY).next_back().unwrap();
            assert!(
                last <= accepted + MAX_PROPAGATION_DELAY,
                "{name}, seed {seed}: last run {} after the acceptance",
                last - accepted
            );
            let recent = scenario.fleet.now - Millis(2_000);
            let valid = scenario.runs_with_key(VALID_KEY).filter(|&at| at >= recent).count();
            assert!(valid > 100, "{name}, seed {seed}: {valid} runs of the other key at the end");
            let refused = refused_without_configuration(&scenario, recent);
            assert_eq!(refused, 0, "{name}, seed {seed}: refusals of the other key at the end");
            if seed == 0 {
                let reply = scenario.fleet.proposal_replies.get(&1);
                let reply =
                    reply.map_or("none", |reply| if reply.is_ok() { "ok" } else { "error" });
                writeln!(report, "{name}: answer {reply}, last run {} after", last - accepted)
                    .unwrap();
            }
        });
    }
    insta::assert_snapshot!(report);
}

/// How many requests with the valid key, sent since a time, were refused for lack of fresh
/// configuration.
fn refused_without_configuration(scenario: &Scenario, since: Millis) -> usize {
    let is_refused = |received: &&Received| {
        let Some(Verdict::Refuse(refusal)) = &received.verdict else { return false };
        let reasons = [Reason::CutOff, Reason::KeyUnknown, Reason::KeyWithdrawn, Reason::Starting];
        reasons.contains(&refusal.reason)
    };
    let received = scenario.fleet.received.iter();
    let recent = received.filter(|received| received.root % 3 == 1 && received.sent >= since);
    recent.filter(is_refused).count()
}

/// Thirty keys are issued and withdrawn one after another during random failures. No withdrawn key
/// may work again.
#[test]
fn a_withdrawn_key_never_works_again_whatever_fails() {
    check_withdrawals(|seed, scenario| Faults::new(seed, scenario.fleet.now));
}

/// Guards against withdrawals that a restore of the store has lost and that nodes neither keep nor
/// write again.
#[test]
fn a_withdrawn_key_never_works_again_whatever_fails_and_is_restored() {
    check_withdrawals(Faults::with_restores);
}

fn check_withdrawals(faults: fn(u64, &Scenario) -> Faults) {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        let mut faults = faults(seed, &scenario);
        let mut withdrawn = BTreeMap::new();
        for round in 0..30 {
            let (old, new) = (format!("round-{round}"), format!("round-{}", round + 1));
            scenario.keys = [old.clone(), new.clone()];
            let rows = vec![key(&old, "garage", true), key(&new, "garage", false)];
            let site = Site(round as usize % 9);
            let expected = scenario.revision(site);
            scenario.propose(site, round, &new, expected, rows);
            let path = Path { kind: Kind::Key, name: old.as_str().into() };
            for _ in 0..200 {
                faults.step(&mut scenario);
                scenario.load_for(Millis(10));
                if scenario.fleet.platform.configuration(&path).is_some_and(is_withdrawn) {
                    withdrawn.entry(old.clone()).or_insert(scenario.fleet.now);
                }
            }
        }
        faults.end(&mut scenario);
        scenario.load_for(Millis::from_secs(12));
        for (key, &at) in &withdrawn {
            let last = scenario.runs_with_key(key).next_back().unwrap_or_default();
            assert!(
                last <= at + MAX_PROPAGATION_DELAY,
                "seed {seed}: last run of {key} {} after its withdrawal",
                last - at
            );
        }
        assert!(withdrawn.len() >= 5, "seed {seed}: {} of 30 changes accepted", withdrawn.len());
    });
}

fn is_withdrawn(row: &Row) -> bool {
    matches!(row, Row::Key(key) if key.withdrawn)
}

/// Two operators change the same configuration at about the same time through nodes of two data
/// centres. The platform accepts one change.
#[test]
fn the_later_of_two_concurrent_changes_gets_a_conflict_with_the_changed_rows() {
    for mode in [PlatformMode::Up, PlatformMode::LoseReplies] {
        for_seeds(|seed| {
            let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
            scenario.fleet.platform.mode = mode;
            let expected = scenario.revision(Site(0));
            scenario.propose(Site(0), 1, "one", expected, vec![withdrawal()]);
            scenario.fleet.run_for(Millis(seed % 7));
            scenario.propose(Site(4), 2, "two", expected, vec![team("garage"), team("third")]);
            scenario.fleet.run_for(Millis::from_secs(4));
            let replies: Vec<_> = scenario.fleet.proposal_replies.values().cloned().collect();
            let actual = scenario.revision(Site(8));
            let is_first = replies[0].is_ok();
            let winning_rows =
                if is_first { vec!["key/garage-1"] } else { vec!["team/garage", "team/third"] };
            let (winner, loser) = if is_first { (0, 1) } else { (1, 0) };
            assert_eq!(replies[winner], Ok(actual), "seed {seed}");
            let Err(ChangeError::Conflict { expected: seen, actual: now, changed }) =
                &replies[loser]
            else {
                panic!("seed {seed}: {replies:?}");
            };
            let changed: Vec<String> = changed.iter().map(Path::to_string).collect();
            let changed_rows: Vec<&str> = changed.iter().map(String::as_str).collect();
            assert_eq!((*seen, *now, &changed_rows[..]), (expected, actual, &winning_rows[..]));
        });
    }
}

/// The platform doesn't reply in time, and the operator proposes the change again through another
/// node.
#[test]
fn a_change_proposed_again_through_another_node_reports_its_true_outcome() {
    let mut report = String::new();
    for (name, takes_effect) in [("the write took effect", true), ("it did not", false)] {
        let mut scenario = Scenario::start(1, CutOffPolicy::Refuse);
        let expected = scenario.revision(Site(0));
        if takes_effect {
            scenario.fleet.platform.mode = PlatformMode::LoseReplies;
            scenario.withdraw(Site(0));
            scenario.load_until_accepted();
        }
        scenario.fleet.platform.mode = PlatformMode::Down;
        if !takes_effect {
            scenario.withdraw(Site(0));
        }
        scenario.fleet.run_for(Millis::from_secs(8));
        let before = scenario.fleet.platform.version();
        scenario.fleet.platform.mode = PlatformMode::Up;
        scenario.fleet.run_for(Millis::from_secs(2));
        scenario.propose(Site(5), 2, "withdraw", expected, vec![withdrawal()]);
        scenario.fleet.run_for(Millis::from_secs(2));
        let written = scenario.fleet.platform.version().number - before.number;
        writeln!(report, "{name}: {written} written on asking again").unwrap();
        for (ticket, reply) in &scenario.fleet.proposal_replies {
            writeln!(report, "  {ticket}: {reply:?}").unwrap();
        }
    }
    insta::assert_snapshot!(report);
}

/// Each of these changes is refused, and none of its rows is written.
#[test]
fn an_invalid_change_is_refused_as_a_whole() {
    let exception = |reason: &str, change: Change| {
        Row::Exception(Exception { name: "peak".into(), change, reason: reason.into() })
    };
    let rate = |team: &str, rate: u32| Change::TeamRate { team: team.into(), rate, burst: rate };
    let changes: Vec<(Vec<Row>, Vec<Path>)> = vec![
        (vec![exception("", rate("garage", 5))], vec![]),
        (vec![exception("peak week", rate("nobody", 5))], vec![]),
        (vec![exception("peak week", rate("garage", 0))], vec![]),
        (
            vec![exception(
                "counter staff wait",
                Change::Importance {
                    team: "garage".into(),
                    route: "nowhere".into(),
                    importance: Importance::HIGH,
                },
            )],
            vec![],
        ),
        (vec![key("third-1", "third", false), team("fourth")], vec![]),
        (vec![team("garage"), team("garage")], vec![]),
        (vec![], vec![Path { kind: Kind::Team, name: "garage".into() }]),
        (vec![], vec![Path { kind: Kind::Key, name: VALID_KEY.into() }]),
        (vec![], vec![Path { kind: Kind::Route, name: "nowhere".into() }]),
        (vec![team(" ")], vec![]),
        (
            vec![Row::Fleet(Fleet {
                cut_off: CutOffPolicy::Serve(Millis::MAX),
                ..Fleet::default()
            })],
            vec![],
        ),
        (vec![bad_route()], vec![]),
    ];
    let mut scenario = Scenario::start(1, CutOffPolicy::Refuse);
    let mut report = String::new();
    let before = scenario.revision(Site(0));
    for (ticket, (rows, removals)) in changes.into_iter().enumerate() {
        let id = format!("change-{ticket}").into();
        let proposal = Proposal { id, expected: before, rows, removals };
        scenario.fleet.propose(Site(0), ticket as u64, proposal);
        scenario.fleet.run_for(Millis(500));
        match &scenario.fleet.proposal_replies[&(ticket as u64)] {
            Ok(revision) => writeln!(report, "accepted at {revision}").unwrap(),
            Err(error) => writeln!(report, "{error}").unwrap(),
        }
    }
    assert_eq!(scenario.revision(Site(0)), before);
    insta::assert_snapshot!(report);
}

fn bad_route() -> Row {
    let Row::Route(route) = route("search", false) else { unreachable!() };
    Row::Route(Route { path_prefix: "search".into(), ..route })
}

/// The id of a withdrawn key stays withdrawn for good.
#[test]
fn a_withdrawn_key_cannot_be_issued_again() {
    let mut scenario = Scenario::start(1, CutOffPolicy::Refuse);
    scenario.withdraw(Site(0));
    scenario.fleet.run_for(Millis(500));
    let expected = scenario.revision(Site(3));
    scenario.propose(Site(3), 2, "again", expected, vec![key(WITHDRAWN_KEY, "garage", false)]);
    scenario.fleet.run_for(Millis(500));
    let reply = scenario.fleet.proposal_replies[&2].as_ref().unwrap_err().to_string();
    insta::assert_snapshot!(reply, @"key/garage-1: was withdrawn for good: issue a new key");
}

/// Guards against a route that is no longer served, and changes that never succeed again, after
/// another program has overwritten their rows with content that cannot be decoded.
#[test]
fn spoilt_rows_of_the_configuration_leave_in_force_what_was() {
    let mut scenario = Scenario::start(1, CutOffPolicy::Refuse);
    let spoilt = Path { kind: Kind::Route, name: "search".into() };
    let keys = [RowKey::Configuration(spoilt.clone()), RowKey::Head];
    scenario.fleet.platform.put(keys.map(|key| (key, Value::Unreadable)).into());
    scenario.fleet.platform.compact();
    scenario.fleet.run_for(Millis::from_secs(3));
    for site in scenario.fleet.sites() {
        let routes = &scenario.fleet.world_at(site).tables().routes;
        assert!(routes.by_name("search").is_some(), "{site:?} has dropped the route");
    }
    scenario.withdraw(Site(0));
    scenario.load_until_accepted();
    assert!(matches!(scenario.fleet.platform.value(&RowKey::Head), Some(Value::Head(_))));
}
