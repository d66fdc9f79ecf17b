//! After a restore of the store from an older copy, which assigns versions again, the nodes agree
//! on what the store holds, and none of them steps back to an earlier configuration.

use mustardpin_virtual::{PlatformMode, Site, Snapshot};
use mustardpin_world::{
    Millis,
    config::{CutOffPolicy, Kind, Path, Row},
    id::Revision,
    request::Verdict,
    store::{Announcement, RowKey, Value},
};

use crate::{
    faults::Faults,
    roster::{check_owners, members},
    scenario::{Scenario, VALID_KEY, WITHDRAWN_KEY, for_seeds, key, route, team, withdrawal},
};

/// The maximum time from the acceptance of a change until it is in force everywhere.
const MAX_PROPAGATION_DELAY: Millis = Millis::from_secs(3);
/// The maximum time from a restore until nodes and store agree on the rows of nodes and the roster.
const MAX_RECOVERY_DELAY: Millis = Millis::from_secs(25);

/// The operators' document, with the key withdrawn or not.
fn document(is_withdrawn: bool, extra_rows: &[Row]) -> Vec<Row> {
    let rows = [
        Row::Fleet(mustardpin_world::config::Fleet::default()),
        team("garage"),
        team("sitter"),
        key(VALID_KEY, "sitter", false),
        route("search", false),
        route("public", true),
    ];
    let key = key(WITHDRAWN_KEY, "garage", false);
    let key = (!is_withdrawn).then_some(key);
    rows.into_iter().chain(key).chain(extra_rows.to_vec()).collect()
}

/// A fleet whose operators write one document, of which all nodes have revision 100.
fn start(seed: u64) -> Scenario {
    let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
    scenario.fleet.platform.put_document(Revision(100), document(false, &[]));
    scenario.load_for(Millis::from_secs(2));
    assert_eq!(revisions(&scenario), [100; 9]);
    scenario
}

fn revisions(scenario: &Scenario) -> Vec<u64> {
    scenario.fleet.sites().map(|site| scenario.revision(site).0).collect()
}

/// The store goes away for a moment and comes back from a copy.
fn restore(scenario: &mut Scenario, snapshot: Snapshot, away: Millis) {
    scenario.fleet.platform.mode = PlatformMode::Down;
    scenario.load_for(away);
    scenario.fleet.restore_platform(snapshot);
    scenario.fleet.platform.mode = PlatformMode::Up;
}

/// Guards against changes that a node never reads, since the restored store has assigned their
/// versions before the node asks for later ones.
#[test]
fn a_change_at_a_version_assigned_again_reaches_every_node() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let snapshot = scenario.fleet.platform.snapshot();
        scenario.fleet.platform.put_document(Revision(101), document(false, &[]));
        scenario.fleet.platform.put_document(Revision(102), document(false, &[]));
        scenario.load_for(Millis::from_secs(2));
        restore(&mut scenario, snapshot, Millis::from_secs(1));
        scenario.fleet.platform.put_document(Revision(102), document(false, &[]));
        scenario.fleet.platform.put_document(Revision(103), document(false, &[team("third")]));
        scenario.load_for(MAX_PROPAGATION_DELAY);
        assert_eq!(revisions(&scenario), [103; 9], "seed {seed}");
    });
}

/// Guards against a node that ignores the roster and the rows of the restored store because their
/// versions are lower than those that it knows, and whose own proposals then always conflict.
#[test]
fn the_roster_of_a_restored_store_is_followed_and_can_be_changed() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let snapshot = scenario.fleet.platform.snapshot();
        scenario.fleet.kill(Site(4));
        scenario.load_excluding(Some(Site(4)), Millis::from_secs(30));
        assert_eq!(stored_members(&scenario), 8, "seed {seed}");
        scenario.fleet.restart(Site(4));
        scenario.load_for(Millis(200));
        restore(&mut scenario, snapshot, Millis::from_secs(1));
        scenario.load_for(MAX_RECOVERY_DELAY);
        assert_eq!(stored_members(&scenario), 9, "seed {seed}");
        assert_eq!(members(&scenario), [9; 9], "seed {seed}");
        scenario.fleet.kill(Site(7));
        scenario.load_excluding(Some(Site(7)), Millis::from_secs(30));
        let mut members = members(&scenario);
        members.remove(7);
        assert_eq!((stored_members(&scenario), members), (8, vec![8; 8]), "seed {seed}");
    });
}

/// Guards against nodes that are missing from the restored store and that nobody writes again.
#[test]
fn rows_that_a_restore_lost_are_written_again() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let snapshot = scenario.fleet.platform.snapshot();
        for site in scenario.fleet.sites().skip(4) {
            scenario.fleet.restart(site);
        }
        scenario.load_for(Millis::from_secs(2));
        restore(&mut scenario, snapshot, Millis::from_secs(1));
        scenario.load_for(Millis::from_secs(4));
        assert_eq!(wrong_rows(&scenario), Vec::<String>::new(), "seed {seed}");
        let since = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(10));
        assert_eq!(forgotten(&scenario, since), 0, "seed {seed}");
        assert_eq!(members(&scenario), [9; 9], "seed {seed}");
    });
}

/// Guards against connections to live processes that end because the restored store names an
/// earlier process of the same node.
#[test]
fn a_row_of_an_earlier_process_does_not_replace_a_connected_peer() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let snapshot = scenario.fleet.platform.snapshot();
        scenario.fleet.restart(Site(4));
        scenario.load_for(Millis::from_secs(3));
        let since = scenario.fleet.now;
        restore(&mut scenario, snapshot, Millis::from_secs(1));
        scenario.load_for(Millis::from_secs(5));
        assert_eq!(forgotten(&scenario, since), 0, "seed {seed}");
    });
}

/// Guards against a withdrawn key that works again while the restored store holds an earlier
/// document: at the nodes that were there, at one that was cut off and at one that starts. The
/// load sends that key to both.
#[test]
fn a_withdrawal_that_a_restore_lost_stays_in_force() {
    for_seeds(|seed| {
        let mut scenario = start(seed);
        let snapshot = scenario.fleet.platform.snapshot();
        scenario.fleet.network.cut_platform("west");
        scenario.fleet.isolate(Site(6));
        scenario.fleet.platform.put_document(Revision(101), document(true, &[]));
        let accepted = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(4));
        restore(&mut scenario, snapshot, Millis::from_secs(1));
        scenario.fleet.network.heal();
        // Peers reply later than the store.
        let delay = scenario.fleet.network.delay;
        scenario.fleet.network.delay.inside = Millis(150);
        scenario.fleet.network.delay.between = Millis(150);
        scenario.fleet.restart(Site(3));
        scenario.fleet.introduce(Site(3), Site(0));
        scenario.load_for(Millis::from_secs(4));
        scenario.fleet.network.delay = delay;
        scenario.load_for(Millis::from_secs(6));
        let last = scenario.runs_with_key(WITHDRAWN_KEY).next_back().unwrap_or_default();
        assert!(
            last <= accepted + MAX_PROPAGATION_DELAY,
            "seed {seed}: last run {} after the withdrawal",
            last - accepted
        );
        assert_eq!(revisions(&scenario), [101; 9], "seed {seed}");
        let recent = scenario.fleet.now - Millis(2_000);
        let valid = scenario.runs_with_key(VALID_KEY).filter(|&at| at >= recent).count();
        assert!(valid > 100, "seed {seed}: {valid} runs of the other key at the end");
    });
}

/// Guards against changes made through nodes that the store has confirmed and a restore has lost:
/// the nodes write them again, none of them steps back, and later changes build on them.
#[test]
fn changes_made_through_nodes_are_written_again() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        scenario.load_for(Millis::from_secs(2));
        let snapshot = scenario.fleet.platform.snapshot();
        scenario.withdraw(Site(0));
        let accepted = scenario.load_until_accepted();
        scenario.load_for(Millis::from_secs(1));
        let (expected, site) = (scenario.revision(Site(5)), Site(5));
        scenario.propose(site, 2, "third", expected, vec![team("third")]);
        scenario.load_for(Millis(100 + seed * 37 % 900));
        restore(&mut scenario, snapshot, Millis(300 + seed * 111 % 2_000));
        scenario.fleet.restart(Site(3));
        scenario.fleet.introduce(Site(3), Site(0));
        scenario.load_for(Millis::from_secs(5));
        assert_eq!(acknowledged(&scenario), [1, 2], "seed {seed}");
        let stored = |kind, name: &str| {
            scenario.fleet.platform.configuration(&Path { kind, name: name.into() }).cloned()
        };
        assert_eq!(stored(Kind::Key, WITHDRAWN_KEY), Some(withdrawal()), "seed {seed}");
        assert_eq!(stored(Kind::Team, "third"), Some(team("third")), "seed {seed}");
        let last = scenario.runs_with_key(WITHDRAWN_KEY).next_back().unwrap_or_default();
        assert!(
            last <= accepted + MAX_PROPAGATION_DELAY,
            "seed {seed}: last run {} after the withdrawal",
            last - accepted
        );
        let expected = scenario.revision(Site(8));
        scenario.propose(Site(8), 3, "fourth", expected, vec![team("fourth")]);
        scenario.load_for(MAX_PROPAGATION_DELAY);
        assert_eq!(acknowledged(&scenario), [1, 2, 3], "seed {seed}");
        let revisions = revisions(&scenario);
        assert!(revisions.iter().all(|revision| *revision == revisions[0]), "{revisions:?}");
    });
}

/// The tickets of the changes that were accepted.
fn acknowledged(scenario: &Scenario) -> Vec<u64> {
    let replies = scenario.fleet.proposal_replies.iter();
    replies.filter(|(_, reply)| reply.is_ok()).map(|(ticket, _)| *ticket).collect()
}

/// Guards against two owners of a shard when the roster goes back by a restore, whatever else fails.
#[test]
fn no_shard_has_two_owners_after_restores_whatever_else_fails() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        let mut faults = Faults::with_restores(seed, &scenario);
        check_owners(&mut scenario, &mut faults, 1_200, &format!("seed {seed}"));
        assert_eq!(members(&scenario), [9; 9], "seed {seed}: not all nodes are back");
        assert_eq!(wrong_rows(&scenario), Vec::<String>::new(), "seed {seed}");
    });
}

/// Guards against a pause of all rates after a restore that takes the roster back.
#[test]
fn rates_are_served_while_a_restore_takes_the_roster_back() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed, CutOffPolicy::Refuse);
        let snapshot = scenario.fleet.platform.snapshot();
        scenario.fleet.kill(Site(4));
        scenario.load_excluding(Some(Site(4)), Millis::from_secs(30));
        assert_eq!(stored_members(&scenario), 8, "seed {seed}");
        let restored = scenario.fleet.now;
        restore(&mut scenario, snapshot, Millis::from_secs(1));
        scenario.load_excluding(Some(Site(4)), Millis::from_secs(5));
        let sent = scenario.fleet.received.iter().filter(|received| received.sent >= restored);
        let whole = sent.clone().filter(|received| received.verdict == Some(Verdict::Pass)).count();
        let (sent, whole) = (sent.count() as f64, whole as f64);
        assert!(whole > sent * 0.95, "seed {seed}: {whole} of {sent}");
    });
}

/// The number of members of the roster in the store.
fn stored_members(scenario: &Scenario) -> usize {
    match scenario.fleet.platform.value(&RowKey::Roster) {
        Some(Value::Roster(roster)) => roster.members.len(),
        _ => 0,
    }
}

/// The names of nodes whose row in the store is missing or names another process.
fn wrong_rows(scenario: &Scenario) -> Vec<String> {
    let identities = scenario.fleet.sites().map(|site| scenario.fleet.world_at(site).identity());
    let is_stored = |announcement: &Announcement| {
        let row = scenario.fleet.platform.value(&RowKey::Node(announcement.name.clone()));
        matches!(row, Some(Value::Node(stored)) if stored == announcement)
    };
    let wrong = identities.filter(|identity| !is_stored(&identity.announcement));
    wrong.map(|identity| identity.name().to_string()).collect()
}

/// How many peers nodes have forgotten since a time.
fn forgotten(scenario: &Scenario, since: Millis) -> usize {
    let log = scenario.fleet.log.iter();
    log.filter(|(at, _, entry)| *at >= since && entry.event == "peer_forgotten").count()
}
