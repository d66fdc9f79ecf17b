//! Each sending of a non-repeatable request runs at most once, and "not-run" is true.

use std::fmt::Write as _;

use insta::assert_snapshot;
use mustardpin_world::{Millis, Options, options};

use crate::{
    bookings::Bookings,
    schedule::{self, Failures},
    support::seeds,
};

/// Seeds that run without being asked for.
const FEW: u64 = 4;

/// What the callers of some bookings received. Fails if a promise was broken.
fn answers(bookings: &Bookings, roots: &[u64]) -> String {
    assert_eq!(bookings.breaches(), Vec::<String>::new());
    let answers: Vec<String> = roots.iter().map(|&root| bookings.answer(root)).collect();
    answers.join("\n")
}

#[test]
fn a_lost_answer_is_no_reason_to_run_again() {
    let mut bookings = Bookings::new(1, 2);
    bookings.fleet.network.response_loss = 1.0;
    let root = bookings.book(bookings.fronts[0], "k1");
    bookings.fleet.run_for(Millis(500));
    assert_snapshot!(answers(&bookings, &[root]));
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
    assert_snapshot!(answers(&bookings, &[root]));
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
    assert_snapshot!(answers(&bookings, &[root]));
}

#[test]
fn a_run_goes_on_without_its_caller() {
    let mut bookings = Bookings::new(4, 2);
    let ledger = bookings.ledgers[0];
    bookings.fleet.target(ledger).slowdown = 20.0;
    let root = bookings.book_at(ledger, "k1");
    bookings.fleet.run_for(Millis(10));
    bookings.fleet.hang_up(root);
    bookings.fleet.run_for(Millis(50));
    assert_eq!(bookings.fleet.world_at(ledger).tables().target.running, 1);
    bookings.fleet.run_for(Millis::from_secs(4));
    assert_eq!(bookings.fleet.world_at(ledger).tables().target.running, 0);
    assert_snapshot!(answers(&bookings, &[root]));
}

#[test]
fn a_booking_whose_caller_has_gone_leaves_the_queue_unrun() {
    let mut options = Options::default();
    options.limit = options::Limit { initial: 1, least: 1, most: 1, ..options.limit };
    let mut bookings = Bookings::with_options(5, 1, options);
    let ledger = bookings.ledgers[0];
    bookings.fleet.target(ledger).slowdown = 20.0;
    let first = bookings.book_at(ledger, "k1");
    let second = bookings.book(bookings.fronts[0], "k2");
    bookings.fleet.run_for(Millis(50));
    bookings.fleet.hang_up(second);
    bookings.fleet.run_for(Millis::from_secs(4));
    assert_snapshot!(answers(&bookings, &[first, second]));
}

/// A booking that reached a frozen node is not sent elsewhere, and may run when the node resumes.
#[test]
fn a_booking_at_a_frozen_node_is_not_run_elsewhere() {
    let mut bookings = Bookings::new(6, 2);
    let ledger = bookings.ledgers[0];
    let warm = bookings.book_at(ledger, "k0");
    bookings.fleet.run_for(Millis(200));
    bookings.fleet.freeze(ledger);
    let frozen = bookings.book(bookings.fronts[0], "k1");
    bookings.fleet.run_for(Millis::from_secs(4));
    let before = bookings.answer(frozen);
    bookings.fleet.resume(ledger);
    bookings.fleet.run_for(Millis::from_secs(3));
    assert_snapshot!(format!("{before}\n{}", answers(&bookings, &[warm, frozen])));
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
    assert_snapshot!(answers(&bookings, &[root]));
}

/// A short cut delays the answer and loses nothing.
#[test]
fn a_cut_shorter_than_the_connection_lasts_loses_no_answer() {
    let mut bookings = Bookings::new(8, 2);
    let ledger = bookings.ledgers[5];
    bookings.fleet.target(ledger).slowdown = 5.0;
    let root = bookings.book_at(ledger, "k1");
    bookings.fleet.run_for(Millis(20));
    bookings.fleet.network.cut("north", "west");
    bookings.fleet.run_for(Millis(700));
    bookings.fleet.network.heal();
    bookings.fleet.run_for(Millis::from_secs(1));
    assert_snapshot!(answers(&bookings, &[root]));
}

/// What a leaving node holds in its queue runs elsewhere.
#[test]
fn a_booking_in_the_queue_of_a_leaving_target_runs_elsewhere() {
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
    assert_snapshot!(answers(&bookings, &[first, second]));
}

/// Runs schedules with some failures over the seeds, and returns what callers received in the few
/// first of them.
fn survive(failures: Failures) -> String {
    let mut text = String::new();
    for seed in seeds(FEW) {
        let bookings = schedule::run(seed, failures);
        assert_eq!(bookings.breaches(), Vec::<String>::new(), "seed {seed}, {failures:?}");
        if seed < FEW {
            writeln!(text, "seed {seed}\n{}", bookings.summary()).expect("a string takes all text");
        }
    }
    text
}

#[test]
fn stops() {
    assert_snapshot!(survive(Failures { stops: true, ..Failures::default() }));
}

#[test]
fn kills_and_stops() {
    assert_snapshot!(survive(Failures { kills: true, stops: true, ..Failures::default() }));
}

#[test]
fn freezes_and_stops() {
    assert_snapshot!(survive(Failures { freezes: true, stops: true, ..Failures::default() }));
}

#[test]
fn cuts_and_stops() {
    assert_snapshot!(survive(Failures { cuts: true, stops: true, ..Failures::default() }));
}

#[test]
fn lost_and_late_messages() {
    assert_snapshot!(survive(Failures { losses: true, stops: true, ..Failures::default() }));
}

#[test]
fn crashes_of_targets() {
    assert_snapshot!(survive(Failures { crashes: true, ..Failures::default() }));
}

#[test]
fn every_failure_together() {
    assert_snapshot!(survive(Failures::ALL));
}
