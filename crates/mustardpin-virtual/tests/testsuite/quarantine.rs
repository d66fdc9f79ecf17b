//! A request that crashes targets stops doing so after two crashes in the whole fleet.

use std::fmt::Write as _;

use insta::assert_snapshot;
use mustardpin_virtual::{Request, Site};
use mustardpin_world::{Millis, request::Fingerprint};

use crate::{
    bookings::{Bookings, SECRET},
    support::seeds,
};

const POISON: u64 = 666;
const FEW: u64 = 3;

fn poisoned(seed: u64) -> Bookings {
    let mut bookings = Bookings::new(seed, 2);
    for site in bookings.ledgers.clone() {
        bookings.fleet.target(site).poison.insert(Fingerprint(POISON));
    }
    bookings
}

fn look(path: &str, fingerprint: u64) -> Request {
    Request { fingerprint, ..Request::get(path, SECRET) }
}

fn crashes(bookings: &mut Bookings) -> u32 {
    let ledgers = bookings.ledgers.clone();
    ledgers.into_iter().map(|site| bookings.fleet.target(site).crashes).sum()
}

/// Lets time pass, and starts crashed targets again after a while.
fn pass(bookings: &mut Bookings, length: Millis) {
    bookings.fleet.run_for(length);
    for site in bookings.ledgers.clone() {
        if !bookings.fleet.target(site).up {
            bookings.fleet.run_for(Millis(300));
            bookings.fleet.restart_target(site);
        }
    }
}

/// Sends a poisonous request to one node after another, among innocent ones.
fn storm(bookings: &mut Bookings) {
    let sites: Vec<Site> = bookings.fleet.sites().collect();
    for (round, &site) in sites.iter().cycle().take(3 * sites.len()).enumerate() {
        for (other, &entry) in sites.iter().enumerate() {
            for copy in 0..4 {
                let fingerprint = 1 + (other as u64 + 9 * copy + round as u64) % 59;
                bookings.fleet.send(entry, look("/look/slots", fingerprint));
            }
        }
        bookings.fleet.run_for(Millis(5));
        bookings.fleet.send(site, look("/look/poison", POISON));
        pass(bookings, Millis(200));
    }
    pass(bookings, Millis::from_secs(2));
}

#[test]
fn a_request_sent_again_and_again_crashes_two_targets_at_most() {
    let mut text = String::new();
    for seed in seeds(FEW) {
        let mut bookings = poisoned(seed);
        storm(&mut bookings);
        let crashes = crashes(&mut bookings);
        assert!(crashes <= 2, "seed {seed}: {crashes} crashes");
        if seed < FEW {
            writeln!(text, "seed {seed}: {crashes} crashes").expect("a string takes all text");
        }
    }
    assert_snapshot!(text);
}

#[test]
fn innocents_in_flight_at_the_crashes_are_served_afterwards() {
    for seed in seeds(FEW) {
        let mut bookings = poisoned(seed);
        storm(&mut bookings);
        let sites: Vec<Site> = bookings.fleet.sites().collect();
        for fingerprint in 1..60 {
            let site = sites[fingerprint as usize % sites.len()];
            let root = bookings.fleet.send(site, look("/look/slots", fingerprint));
            bookings.fleet.run_for(Millis(500));
            let answer = bookings.fleet.response_to(root);
            let whole = answer.is_some_and(|received| received.is_complete());
            assert!(whole, "seed {seed}, request {fingerprint}: {answer:?}");
        }
    }
}

#[test]
fn a_quarantined_request_is_refused_everywhere_though_the_node_that_tried_it_is_gone() {
    let mut bookings = poisoned(1);
    storm(&mut bookings);
    let poisonous = |ran: &&mustardpin_virtual::RunRecord| ran.fingerprint == Fingerprint(POISON);
    let last = bookings.fleet.ran.iter().rfind(poisonous).expect("it crashed a target").node;
    let mut sites: Vec<Site> = bookings.fleet.sites().collect();
    let last = sites
        .iter()
        .position(|&site| bookings.fleet.world_at(site).identity().node() == last)
        .expect("the node is at a site");
    let tried_at = sites.remove(last);
    bookings.fleet.kill(tried_at);
    bookings.fleet.run_for(Millis::from_secs(2));
    let ran = bookings.fleet.ran.len();
    let roots: Vec<u64> =
        sites.iter().map(|&site| bookings.fleet.send(site, look("/look/poison", POISON))).collect();
    bookings.fleet.run_for(Millis(500));
    assert_eq!(bookings.fleet.ran.len(), ran);
    let answers: Vec<String> = roots.iter().map(|&root| bookings.answer(root)).collect();
    assert_snapshot!(answers.join("\n"));
}

/// The caller of a booking that crashes its target sends it again and again: it never runs twice
/// for one sending, and crashes two targets at most.
#[test]
fn a_booking_that_crashes_targets_is_refused_after_two() {
    let mut bookings = Bookings::new(2, 2);
    let request = Request::post("/book", SECRET, "key-0");
    for site in bookings.ledgers.clone() {
        bookings.fleet.target(site).poison.insert(Fingerprint(request.fingerprint));
    }
    let roots: Vec<u64> = (0..6)
        .map(|round| {
            let root = bookings.book(bookings.fronts[round % 3], "key-0");
            pass(&mut bookings, Millis(500));
            root
        })
        .collect();
    assert_eq!(bookings.breaches(), Vec::<String>::new());
    assert_eq!(crashes(&mut bookings), 2);
    let answers: Vec<String> = roots.iter().map(|&root| bookings.answer(root)).collect();
    assert_snapshot!(answers.join("\n"));
}
