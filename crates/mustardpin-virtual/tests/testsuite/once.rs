//! A non-repeatable request runs at most once, and "not-run" is true.

use std::fmt::Write as _;

use insta::assert_snapshot;
use mustardpin_world::Millis;

use crate::{
    bookings::Bookings,
    schedule::{self, Failures, seeds},
};

/// Seeds that run without being asked for.
const FEW: u64 = 4;

#[test]
fn repeats_get_the_first_answer_wherever_they_are_sent() {
    let mut bookings = Bookings::new(1, 2);
    let first = bookings.book(bookings.fronts[0], "k1");
    bookings.fleet.run_for(Millis(500));
    let same = bookings.book(bookings.fronts[0], "k1");
    let other = bookings.book(bookings.ledgers[1], "k1");
    let centre = bookings.book(bookings.fronts[2], "k1");
    bookings.fleet.run_for(Millis(500));
    assert_eq!(bookings.breaches(), Vec::<String>::new());
    let answers = [first, same, other, centre].map(|root| bookings.answer(root));
    assert_snapshot!(answers.join("\n"));
}

#[test]
fn of_repeats_at_the_same_time_one_runs() {
    let mut bookings = Bookings::new(2, 2);
    let sites: Vec<_> = bookings.fleet.sites().collect();
    let roots: Vec<u64> = sites.iter().map(|&site| bookings.book(site, "k1")).collect();
    bookings.fleet.run_for(Millis(500));
    assert_eq!(bookings.breaches(), Vec::<String>::new());
    assert_eq!(bookings.runs("k1"), 1);
    let answers: Vec<String> = roots.iter().map(|&root| bookings.answer(root)).collect();
    assert_snapshot!(answers.join("\n"));
}

#[test]
fn another_request_under_the_same_key_is_refused() {
    let mut bookings = Bookings::new(3, 1);
    bookings.book(bookings.fronts[0], "k1");
    bookings.fleet.run_for(Millis(500));
    let mut request = mustardpin_virtual::Request::post("/book", crate::bookings::SECRET, "k1");
    request.fingerprint ^= 1;
    let root = bookings.fleet.send(bookings.fronts[1], request);
    bookings.fleet.run_for(Millis(500));
    assert_snapshot!(bookings.answer(root));
    assert_eq!(bookings.breaches(), Vec::<String>::new());
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
fn epochs_that_change_during_runs() {
    assert_snapshot!(survive(Failures { epochs: true, ..Failures::default() }));
}

#[test]
fn kills_and_epochs() {
    assert_snapshot!(survive(Failures { kills: true, epochs: true, ..Failures::default() }));
}

#[test]
fn freezes_and_epochs() {
    assert_snapshot!(survive(Failures { freezes: true, epochs: true, ..Failures::default() }));
}

#[test]
fn cuts_and_epochs() {
    assert_snapshot!(survive(Failures { cuts: true, epochs: true, ..Failures::default() }));
}

#[test]
fn lost_and_late_messages() {
    assert_snapshot!(survive(Failures { losses: true, epochs: true, ..Failures::default() }));
}

#[test]
fn crashes_of_targets() {
    assert_snapshot!(survive(Failures { crashes: true, ..Failures::default() }));
}

#[test]
fn every_failure_together() {
    assert_snapshot!(survive(Failures::ALL));
}
