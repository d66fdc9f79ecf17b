//! Responses to peers of a node that drains.

use std::time::Duration;

use crate::{
    drain::{Caller, Draining, Failures, GRACE, has_run, head, start_fleet},
    fake::wait_until,
};

/// Guards against a connection to a peer that stays open, although the last response has been sent
/// over it, until the node aborts it.
#[test]
fn a_node_exits_once_its_last_response_to_a_peer_is_sent() {
    let cases = [
        ("the target responds", "/wait/800", "200, closes"),
        ("the target breaks off", "/bookings/close/800", "502 target_failed, closes"),
    ];
    let mut failures = Failures::default();
    for (name, path, accepted) in cases {
        let mut fleet = start_fleet();
        let request = head("POST", path).replace("host:", "connection: close\r\nhost:");
        let caller = Caller::send(fleet.callers(1), &request);
        wait_until(|| has_run(&fleet, path));
        let target = fleet.targets.iter().position(|target| target.seen().concat().contains(path));
        let draining = Draining::begin(&mut fleet, target.expect("a target runs the request"));
        failures.check(name, &caller.finish().0, &[accepted]);
        let ended = draining.wait();
        failures.require(&format!("{name}: ended after {ended:?}"), ended < GRACE * 5 / 6);
    }
    failures.assert_none();
}

/// The requests of a peer are many, so that some end together with the node's last call.
#[test]
fn peers_get_all_responses_of_a_node_that_drains() {
    let mut fleet = start_fleet();
    let paths: Vec<_> =
        (0..12).map(|number| format!("/bookings/wait/{}/{number}", 600 + 30 * number)).collect();
    let callers: Vec<_> = paths
        .iter()
        .map(|path| {
            let request = head("POST", path).replace("host:", "connection: close\r\nhost:");
            Caller::send(fleet.callers(1), &request)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let draining = Draining::begin(&mut fleet, 0);
    let mut failures = Failures::default();
    for (path, caller) in paths.iter().zip(callers) {
        failures.check(path, &caller.finish().0, &["200, closes"]);
    }
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}
