//! A poison request crashes at most two targets in the whole fleet. After that, every node refuses
//! it.

use std::fmt::Write as _;

use insta::assert_snapshot;
use mustardpin_virtual::{Request, Site};
use mustardpin_world::{Millis, request::Fingerprint};

use crate::{
    bookings::{Bookings, SECRET},
    support::seeds,
};

const POISON_FINGERPRINT: u64 = 666;
const DEFAULT_SEEDS: u64 = 3;

/// A fleet whose ledgers all crash on the poison request.
fn fleet_with_poison(seed: u64) -> Bookings {
    let mut bookings = Bookings::new(seed, 2);
    for site in bookings.ledgers.clone() {
        bookings.fleet.target(site).poison.insert(Fingerprint(POISON_FINGERPRINT));
    }
    bookings
}

fn get(path: &str, fingerprint: u64) -> Request {
    Request { fingerprint, ..Request::get(path, SECRET) }
}

fn crashes(bookings: &mut Bookings) -> u32 {
    let ledgers = bookings.ledgers.clone();
    ledgers.into_iter().map(|site| bookings.fleet.target(site).crashes).sum()
}

/// Runs the fleet, then restarts the crashed targets, one every 300 ms.
fn run_and_restart(bookings: &mut Bookings, length: Millis) {
    bookings.fleet.run_for(length);
    for site in bookings.ledgers.clone() {
        if !bookings.fleet.target(site).up {
            bookings.fleet.run_for(Millis(300));
            bookings.fleet.restart_target(site);
        }
    }
}

/// Sends the poison request to one node after another, among harmless requests.
fn send_poison_to_all(bookings: &mut Bookings) {
    let sites: Vec<Site> = bookings.fleet.sites().collect();
    for (round, &site) in sites.iter().cycle().take(3 * sites.len()).enumerate() {
        for (other, &entry) in sites.iter().enumerate() {
            for copy in 0..4 {
                let fingerprint = 1 + (other as u64 + 9 * copy + round as u64) % 59;
                bookings.fleet.send(entry, get("/look/slots", fingerprint));
            }
        }
        bookings.fleet.run_for(Millis(5));
        bookings.fleet.send(site, get("/look/poison", POISON_FINGERPRINT));
        run_and_restart(bookings, Millis(200));
    }
    run_and_restart(bookings, Millis::from_secs(2));
}

#[test]
fn a_poison_request_crashes_at_most_two_targets() {
    let mut text = String::new();
    for seed in seeds(DEFAULT_SEEDS) {
        let mut bookings = fleet_with_poison(seed);
        send_poison_to_all(&mut bookings);
        let crashes = crashes(&mut bookings);
        assert!(crashes <= 2, "seed {seed}: {crashes} crashes");
        if seed < DEFAULT_SEEDS {
            writeln!(text, "seed {seed}: {crashes} crashes")
                .expect("writing to a string does not fail");
        }
    }
    assert_snapshot!(text);
}

#[test]
fn harmless_requests_in_flight_at_the_crashes_are_served_afterwards() {
    for seed in seeds(DEFAULT_SEEDS) {
        let mut bookings = fleet_with_poison(seed);
        send_poison_to_all(&mut bookings);
        let sites: Vec<Site> = bookings.fleet.sites().collect();
        for fingerprint in 1..60 {
            let site = sites[fingerprint as usize % sites.len()];
            let root = bookings.fleet.send(site, get("/look/slots", fingerprint));
            bookings.fleet.run_for(Millis(500));
            let response = bookings.fleet.response_to(root);
            let completed = response.is_some_and(|received| received.is_complete());
            assert!(completed, "seed {seed}, request {fingerprint}: {response:?}");
        }
    }
}

#[test]
fn a_quarantined_request_is_refused_everywhere_after_the_node_that_ran_it_was_killed() {
    let mut bookings = fleet_with_poison(1);
    send_poison_to_all(&mut bookings);
    let is_poison = |record: &&mustardpin_virtual::RunRecord| {
        record.fingerprint == Fingerprint(POISON_FINGERPRINT)
    };
    let last =
        bookings.fleet.ran.iter().rfind(is_poison).expect("a target ran the poison request").node;
    let mut sites: Vec<Site> = bookings.fleet.sites().collect();
    let last = sites
        .iter()
        .position(|&site| bookings.fleet.world_at(site).identity().node() == last)
        .expect("a site runs the node");
    let last_site = sites.remove(last);
    bookings.fleet.kill(last_site);
    bookings.fleet.run_for(Millis::from_secs(2));
    let runs_before = bookings.fleet.ran.len();
    let roots: Vec<u64> = sites
        .iter()
        .map(|&site| bookings.fleet.send(site, get("/look/poison", POISON_FINGERPRINT)))
        .collect();
    bookings.fleet.run_for(Millis(500));
    assert_eq!(bookings.fleet.ran.len(), runs_before);
    let responses: Vec<String> = roots.iter().map(|&root| bookings.response(root)).collect();
    assert_snapshot!(responses.join("\n"));
}

/// A caller resends a booking that crashes its target: it runs at most once for each sending, and
/// crashes two targets.
#[test]
fn a_booking_that_crashes_targets_is_refused_after_two_crashes() {
    let mut bookings = Bookings::new(2, 2);
    let request = Request::post("/book", SECRET, "key-0");
    for site in bookings.ledgers.clone() {
        bookings.fleet.target(site).poison.insert(Fingerprint(request.fingerprint));
    }
    let roots: Vec<u64> = (0..6)
        .map(|round| {
            let root = bookings.book(bookings.fronts[round % 3], "key-0");
            run_and_restart(&mut bookings, Millis(500));
            root
        })
        .collect();
    assert_eq!(bookings.violations(), Vec::<String>::new());
    assert_eq!(crashes(&mut bookings), 2);
    let responses: Vec<String> = roots.iter().map(|&root| bookings.response(root)).collect();
    assert_snapshot!(responses.join("\n"));
}
