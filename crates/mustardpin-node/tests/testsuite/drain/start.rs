//! A node that is stopped while it starts, and stop signals that are repeated.

use std::time::Duration;

use mustardpin_node::Node;

use crate::{
    drain::{Caller, Draining, Failures, STAY, has_run, head, start_fleet, with_short_times},
    fake::{Platform, launch, wait_until},
};

#[test]
fn a_node_without_a_configuration_refuses_requests_and_ends_in_time() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let platform = Platform::new(Vec::new());
    let _guard = runtime.enter();
    let node = Node::start(with_short_times(launch("node-0", "slots", &platform)));
    let node = node.expect("the node starts");
    let callers = node.addresses().callers;
    let mut half_head = Caller::send(callers, "GET /slots HTTP/1.1\r\n");
    let draining = Draining::begin_node(node);
    let mut failures = Failures::default();
    let during = Caller::send(callers, &head("GET", "/slots")).finish().0;
    failures.check("during the stay", &during, &["503 starting, retry later, closes"]);
    draining.sleep_until(STAY / 2);
    half_head.send_more("host: fleet\r\n\r\n");
    let rest = half_head.finish().0;
    failures.check("the rest of a head", &rest, &["503 starting, retry later, closes"]);
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}

#[test]
fn repeated_stop_signals_neither_prolong_nor_shorten_the_drain() {
    let mut fleet = start_fleet();
    let caller = Caller::send(fleet.callers(0), &head("GET", "/wait/1200"));
    wait_until(|| has_run(&fleet, "/wait/1200"));
    let control = fleet.nodes[0].control().clone();
    let draining = Draining::begin(&mut fleet, 0);
    for number in 1..8 {
        draining.sleep_until(Duration::from_millis(140 * number));
        control.event(mustardpin_world::Event::Stop);
    }
    let mut failures = Failures::default();
    failures.check("a request in progress", &caller.finish().0, &["200, closes"]);
    let ended = draining.wait();
    failures.require("the process ended before its request", ended >= Duration::from_millis(1_000));
    failures.check_time("the end of the process", ended);
    failures.assert_none();
}
