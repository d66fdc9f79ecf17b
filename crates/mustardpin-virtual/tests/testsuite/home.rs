//! One booking, while its home or its mirror fails.

use insta::assert_snapshot;
use mustardpin_virtual::Site;
use mustardpin_world::{Millis, Options, options};

use crate::bookings::Bookings;

const KEY: &str = "key-0";

/// Checks the promise, and returns what callers received.
fn answers(bookings: &Bookings, roots: &[u64]) -> String {
    assert_eq!(bookings.breaches(), Vec::<String>::new());
    let answers: Vec<String> = roots.iter().map(|&root| bookings.answer(root)).collect();
    answers.join("\n")
}

/// Books at a front and lets time pass.
fn book(bookings: &mut Bookings, key: &str, length: u64) -> u64 {
    let root = bookings.book(bookings.fronts[0], key);
    bookings.fleet.run_for(Millis(length));
    root
}

/// Adopts an epoch without some nodes, and lets it spread.
fn without(bookings: &mut Bookings, out: &[Site]) {
    bookings.adopt(|site| !out.contains(&site));
    bookings.fleet.run_for(Millis::from_secs(2));
}

#[test]
fn the_mirror_answers_once_the_home_is_gone() {
    let mut bookings = Bookings::new(1, 2);
    let first = book(&mut bookings, KEY, 500);
    let (home, _) = bookings.pair(KEY);
    bookings.fleet.kill(home);
    let gone = book(&mut bookings, KEY, 500);
    without(&mut bookings, &[home]);
    let again = book(&mut bookings, KEY, 500);
    assert_snapshot!(answers(&bookings, &[first, gone, again]));
}

#[test]
fn a_run_that_dies_with_its_home_has_an_unknown_outcome() {
    let mut bookings = Bookings::new(2, 2);
    let (home, _) = bookings.pair(KEY);
    bookings.fleet.target(home).slowdown = 1_000.0;
    let first = book(&mut bookings, KEY, 100);
    bookings.fleet.kill(home);
    without(&mut bookings, &[home]);
    let again = book(&mut bookings, KEY, 500);
    assert_eq!(bookings.runs(KEY), 1);
    assert_snapshot!(answers(&bookings, &[first, again]));
}

#[test]
fn without_home_and_mirror_the_outcome_is_unknown() {
    let mut bookings = Bookings::new(3, 2);
    let first = book(&mut bookings, KEY, 500);
    let (home, mirror) = bookings.pair(KEY);
    bookings.fleet.kill(home);
    bookings.fleet.kill(mirror);
    without(&mut bookings, &[home, mirror]);
    let early = book(&mut bookings, KEY, 500);
    bookings.fleet.run_for(Millis::from_secs(6));
    let late = book(&mut bookings, KEY, 500);
    let other = bookings.key_where(|key| bookings.pair(key).0 != home && key != KEY);
    let other = book(&mut bookings, &other, 500);
    bookings.fleet.run_for(Millis::from_secs(600));
    let after_retention =
        bookings.key_where(|key| bookings.pair(key) == (home, mirror) && key != KEY);
    let after_retention = book(&mut bookings, &after_retention, 500);
    assert_snapshot!(answers(&bookings, &[first, early, late, other, after_retention]));
}

#[test]
fn a_home_that_leaves_hands_over() {
    let mut bookings = Bookings::new(4, 2);
    let first = book(&mut bookings, KEY, 500);
    let (home, mirror) = bookings.pair(KEY);
    without(&mut bookings, &[home, mirror]);
    assert!(bookings.fleet.world_at(home).has_handed_over());
    assert!(bookings.fleet.world_at(mirror).has_handed_over());
    bookings.fleet.kill(home);
    bookings.fleet.kill(mirror);
    let again = book(&mut bookings, KEY, 500);
    assert_snapshot!(answers(&bookings, &[first, again]));
}

#[test]
fn a_run_goes_on_while_its_home_loses_the_booking() {
    let mut bookings = Bookings::new(5, 2);
    let (home, _) = bookings.pair(KEY);
    bookings.fleet.target(home).slowdown = 150.0;
    let first = book(&mut bookings, KEY, 100);
    without(&mut bookings, &[home]);
    let during = book(&mut bookings, KEY, 3_000);
    let after = book(&mut bookings, KEY, 500);
    assert_snapshot!(answers(&bookings, &[first, during, after]));
}

#[test]
fn a_home_frozen_for_longer_than_any_lease_runs_nothing_when_it_resumes() {
    let mut bookings = Bookings::new(6, 2);
    let (home, _) = bookings.pair(KEY);
    bookings.fleet.freeze(home);
    let frozen = book(&mut bookings, KEY, 1_000);
    without(&mut bookings, &[home]);
    let elsewhere = book(&mut bookings, KEY, 8_000);
    bookings.fleet.resume(home);
    let direct = bookings.book(home, KEY);
    bookings.fleet.run_for(Millis::from_secs(3));
    let after = book(&mut bookings, KEY, 500);
    assert_snapshot!(answers(&bookings, &[frozen, elsewhere, direct, after]));
}

#[test]
fn without_its_mirror_a_booking_is_not_run() {
    let mut bookings = Bookings::new(7, 2);
    let key = bookings.key_where(|key| {
        let (home, mirror) = bookings.pair(key);
        home.0 < 3 && mirror.0 >= 6
    });
    bookings.fleet.network.cut("north", "west");
    let cut = book(&mut bookings, &key, 1_000);
    assert_eq!(bookings.runs(&key), 0);
    bookings.fleet.network.heal();
    let healed = book(&mut bookings, &key, 1_000);
    assert_snapshot!(answers(&bookings, &[cut, healed]));
}

#[test]
fn a_lost_answer_is_given_again() {
    let mut bookings = Bookings::new(8, 2);
    bookings.fleet.network.answer_loss = 1.0;
    let key = bookings.key_where(|key| bookings.pair(key).0.0 > 2);
    let lost = book(&mut bookings, &key, 500);
    bookings.fleet.network.answer_loss = 0.0;
    let again = book(&mut bookings, &key, 500);
    assert_snapshot!(answers(&bookings, &[lost, again]));
}

#[test]
fn a_crash_during_the_run_leaves_the_outcome_unknown() {
    let mut bookings = Bookings::new(9, 2);
    let (home, _) = bookings.pair(KEY);
    bookings.fleet.target(home).slowdown = 1_000.0;
    let first = book(&mut bookings, KEY, 100);
    bookings.fleet.crash_target(home);
    bookings.fleet.run_for(Millis(100));
    bookings.fleet.restart_target(home);
    let again = book(&mut bookings, KEY, 500);
    assert_eq!(bookings.runs(KEY), 1);
    assert_snapshot!(answers(&bookings, &[first, again]));
}

#[test]
fn a_caller_that_hangs_up_finds_the_answer_later() {
    let mut bookings = Bookings::new(10, 2);
    let (home, _) = bookings.pair(KEY);
    bookings.fleet.target(home).slowdown = 20.0;
    let first = book(&mut bookings, KEY, 10);
    bookings.fleet.hang_up(first);
    bookings.fleet.run_for(Millis::from_secs(4));
    let again = book(&mut bookings, KEY, 500);
    assert_eq!(bookings.runs(KEY), 1);
    assert_snapshot!(answers(&bookings, &[first, again]));
}

/// A mirror that is in the next epoch already must not help the home of the last one.
#[test]
fn the_old_home_cannot_run_with_a_mirror_that_has_moved_on() {
    let mut bookings = Bookings::new(11, 2);
    let (home, mirror) = bookings.pair(KEY);
    bookings.fleet.freeze(home);
    bookings.adopt(|site| site != home && site != mirror);
    bookings.fleet.run_for(Millis(1_200));
    bookings.fleet.resume(home);
    let old = bookings.book(home, KEY);
    let new = bookings.book(bookings.fronts[1], KEY);
    bookings.fleet.run_for(Millis(1_000));
    assert_snapshot!(answers(&bookings, &[old, new]));
}

/// A booking in the queue of its home loses its mirror, and then its home.
#[test]
fn a_queued_booking_is_mirrored_again_in_the_next_epoch() {
    let mut options = Options::default();
    options.limit = options::Limit { initial: 1, least: 1, most: 1, ..options.limit };
    let mut bookings = Bookings::with_options(12, 2, options);
    let (home, mirror) = bookings.pair(KEY);
    let blocker = bookings.key_where(|key| bookings.pair(key).0 == home && key != KEY);
    bookings.fleet.target(home).slowdown = 100.0;
    let blocker = book(&mut bookings, &blocker, 50);
    let first = book(&mut bookings, KEY, 50);
    bookings.fleet.kill(mirror);
    bookings.adopt(|site| site != mirror);
    while bookings.runs(KEY) == 0 && bookings.fleet.now < Millis::from_secs(9) {
        bookings.fleet.run_for(Millis(5));
    }
    bookings.fleet.kill(home);
    without(&mut bookings, &[home, mirror]);
    let again = book(&mut bookings, KEY, 1_000);
    assert_snapshot!(answers(&bookings, &[blocker, first, again]));
}
