//! A non-repeatable request runs at most once for each time it is sent, and one that is reported as
//! "not-run" has not run.

use std::fmt::Write as _;

use insta::assert_snapshot;
use mustardpin_world::{Millis, Options, options};

use crate::{
    bookings::Bookings,
    schedule::{self, Failures},
    support::seeds,
};

/// Number of seeds without `MUSTARDPIN_SEEDS`, and of those in the snapshots.
const DEFAULT_SEEDS: u64 = 4;

/// What the callers of some bookings received. Fails if the guarantee was violated.
fn responses(bookings: &Bookings, roots: &[u64]) -> String {
    assert_eq!(bookings.violations(), Vec::<String>::new());
    let received: Vec<String> = roots.iter().map(|&root| bookings.response(root)).collect();
    received.join("\n")
}

#[test]
fn a_lost_response_does_not_cause_a_second_run() {
    let mut bookings = Bookings::new(1, 2);
    bookings.fleet.network.response_loss = 1.0;
    let root = bookings.book(bookings.fronts[0], "k1");
    bookings.fleet.run_for(Millis(500));
    assert_snapshot!(responses(&bookings, &[root]));
}

#[test]
fn a_crash_during_the_run_leaves_the_outcome_unknown() {
    let mut bookings = Bookings::new(2, 2);
    let ledger = bookings.ledgers[0];
    bookings.fleet.target(ledger).slowdown = 1_000.0;
    let root = bookings.book_at(ledger, "k1");
    bookings.fleet.run_for(Millis(100));
    bookings.fleet.crash_target(ledger);
    bookings.fleet.run_for(Millis(500));
    assert_snapshot!(responses(&bookings, &[root]));
}

#[test]
fn a_run_that_dies_with_its_node_has_an_unknown_outcome() {
    let mut bookings = Bookings::new(3, 2);
    let ledger = bookings.ledgers[0];
    bookings.fleet.target(ledger).slowdown = 1_000.0;
    let root = bookings.book_at(ledger, "k1");
    bookings.fleet.run_for(Millis(100));
    bookings.fleet.kill(ledger);
    bookings.fleet.run_for(Millis(500));
    assert_snapshot!(responses(&bookings, &[root]));
}

#[test]
fn a_run_continues_after_its_caller_disconnects() {
    let mut bookings = Bookings::new(4, 2);
    let ledger = bookings.ledgers[0];
    bookings.fleet.target(ledger).slowdown = 20.0;
    let root = bookings.book_at(ledger, "k1");
    bookings.fleet.run_for(Millis(10));
    bookings.fleet.disconnect_caller(root);
    bookings.fleet.run_for(Millis(50));
    assert_eq!(bookings.fleet.world_at(ledger).tables().target.running, 1);
    bookings.fleet.run_for(Millis::from_secs(4));
    assert_eq!(bookings.fleet.world_at(ledger).tables().target.running, 0);
    assert_snapshot!(responses(&bookings, &[root]));
}

#[test]
fn a_queued_booking_whose_caller_disconnects_does_not_run() {
    let mut options = Options::default();
    options.limit = options::Limit { initial: 1, least: 1, most: 1, ..options.limit };
    let mut bookings = Bookings::with_options(5, 1, options);
    let ledger = bookings.ledgers[0];
    bookings.fleet.target(ledger).slowdown = 20.0;
    let first = bookings.book_at(ledger, "k1");
    let second = bookings.book(bookings.fronts[0], "k2");
    bookings.fleet.run_for(Millis(50));
    bookings.fleet.disconnect_caller(second);
    bookings.fleet.run_for(Millis::from_secs(4));
    assert_snapshot!(responses(&bookings, &[first, second]));
}

/// A booking that reached a frozen node may run when the node resumes, so it isn't sent to another
/// node.
#[test]
fn a_booking_at_a_frozen_node_is_not_run_elsewhere() {
    let mut bookings = Bookings::new(6, 2);
    let ledger = bookings.ledgers[0];
    let warm = bookings.book_at(ledger, "k0");
    bookings.fleet.run_for(Millis(200));
    bookings.fleet.freeze(ledger);
    let frozen = bookings.book(bookings.fronts[0], "k1");
    bookings.fleet.run_for(Millis::from_secs(4));
    let before = bookings.response(frozen);
    bookings.fleet.resume(ledger);
    bookings.fleet.run_for(Millis::from_secs(3));
    assert_snapshot!(format!("{before}\n{}", responses(&bookings, &[warm, frozen])));
}

#[test]
fn a_cut_during_the_run_leaves_the_outcome_unknown() {
    let mut bookings = Bookings::new(7, 2);
    let ledger = bookings.ledgers[5];
    bookings.fleet.target(ledger).slowdown = 20.0;
    let root = bookings.book_at(ledger, "k1");
    bookings.fleet.run_for(Millis(20));
    bookings.fleet.network.cut("north", "west");
    bookings.fleet.run_for(Millis::from_secs(4));
    assert_snapshot!(responses(&bookings, &[root]));
}

/// A network cut of 700 ms delays the response and loses nothing.
#[test]
fn a_cut_shorter_than_the_connection_timeout_loses_no_response() {
    let mut bookings = Bookings::new(8, 2);
    let ledger = bookings.ledgers[5];
    bookings.fleet.target(ledger).slowdown = 5.0;
    let root = bookings.book_at(ledger, "k1");
    bookings.fleet.run_for(Millis(20));
    bookings.fleet.network.cut("north", "west");
    bookings.fleet.run_for(Millis(700));
    bookings.fleet.network.heal();
    bookings.fleet.run_for(Millis::from_secs(1));
    assert_snapshot!(responses(&bookings, &[root]));
}

/// Requests in the queue of a draining target are sent to another node.
#[test]
fn a_booking_in_the_queue_of_a_draining_target_runs_elsewhere() {
    let mut options = Options::default();
    options.limit = options::Limit { initial: 1, least: 1, most: 1, ..options.limit };
    let mut bookings = Bookings::with_options(9, 2, options);
    let (ledger, other) = (bookings.ledgers[0], bookings.ledgers[1]);
    bookings.fleet.target(ledger).slowdown = 10.0;
    let first = bookings.book_at(ledger, "k1");
    let second = bookings.book(bookings.fronts[0], "k2");
    bookings.fleet.run_for(Millis(5));
    bookings.fleet.target(other).draining = false;
    bookings.fleet.target(ledger).draining = true;
    bookings.fleet.run_for(Millis::from_secs(3));
    assert_snapshot!(responses(&bookings, &[first, second]));
}

/// Runs schedules with some kinds of failures for each seed. Returns what callers received with the
/// default seeds.
fn run_schedules(failures: Failures) -> String {
    let mut text = String::new();
    for seed in seeds(DEFAULT_SEEDS) {
        let bookings = schedule::run(seed, failures);
        assert_eq!(bookings.violations(), Vec::<String>::new(), "seed {seed}, {failures:?}");
        if seed < DEFAULT_SEEDS {
            writeln!(text, "seed {seed}\n{}", bookings.summary())
                .expect("writing to a string does not fail");
        }
    }
    text
}

#[test]
fn stops() {
    assert_snapshot!(run_schedules(Failures { stops: true, ..Failures::default() }));
}

#[test]
fn kills_and_stops() {
    assert_snapshot!(run_schedules(Failures { kills: true, stops: true, ..Failures::default() }));
}

#[test]
fn freezes_and_stops() {
    assert_snapshot!(run_schedules(Failures { freezes: true, stops: true, ..Failures::default() }));
}

#[test]
fn cuts_and_stops() {
    assert_snapshot!(run_schedules(Failures { cuts: true, stops: true, ..Failures::default() }));
}

#[test]
fn lost_and_late_messages() {
    assert_snapshot!(run_schedules(Failures { losses: true, stops: true, ..Failures::default() }));
}

#[test]
fn crashes_of_targets() {
    assert_snapshot!(run_schedules(Failures { crashes: true, ..Failures::default() }));
}

#[test]
fn every_failure_together() {
    assert_snapshot!(run_schedules(Failures::ALL));
}
