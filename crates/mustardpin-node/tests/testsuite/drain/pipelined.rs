//! Pipelined requests that were passed on before the stop signal get their own responses.

use std::{io::Write as _, net::TcpStream, thread, time::Duration};

use crate::{
    drain::{Caller, Draining, Failures, has_run, head, outcomes, start_fleet},
    fake::{read_all, wait_until},
};

/// More requests than a node buffers, so that the rest stays in the socket.
const FLOOD_REQUESTS: usize = 30_000;
/// The size of a response that the node has written before its caller reads it.
const LARGE_BYTES: usize = 1_000_000;

#[test]
fn pipelined_requests_that_run_when_the_node_is_stopped_get_their_responses() {
    let mut fleet = start_fleet();
    let paths = ["/wait/300/first", "/ledger/wait/600/forwarded", "/bookings/wait/800/booking"];
    let requests: String = paths.iter().map(|path| head("POST", path)).collect();
    let caller = Caller::send(fleet.callers(0), &requests);
    for path in paths {
        wait_until(|| has_run(&fleet, path));
    }
    let draining = Draining::begin(&mut fleet, 0);
    let mut failures = Failures::default();
    failures.check("pipelined requests", &caller.finish().0, &["200; 200; 200, closes"]);
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}

/// Pipelined requests that were read but not passed on are not run without a response.
#[test]
fn pipelined_requests_are_not_cut_when_many_wait_behind_a_slow_one() {
    let mut fleet = start_fleet();
    let count = 40;
    let paths: Vec<_> =
        (0..count).map(|number| format!("/wait/{}/{number}", 20 * number)).collect();
    let requests: String = paths.iter().map(|path| head("GET", path)).collect();
    let caller = Caller::send(fleet.callers(0), &requests);
    wait_until(|| has_run(&fleet, &paths[0]));
    let draining = Draining::begin(&mut fleet, 0);
    let mut failures = Failures::default();
    let (outcomes, _) = caller.finish();
    failures.check_time("the end of the process", draining.wait());
    for (number, path) in paths.iter().enumerate() {
        let is_answered = outcomes.get(number).is_some_and(|outcome| !outcome.contains("cut"));
        failures.require(&format!("{path} ran"), is_answered || !has_run(&fleet, path));
    }
    failures.assert_none();
}

/// Guards against a reset of a connection that is closed with requests unread: the caller would
/// lose the responses before them.
#[test]
fn unread_requests_do_not_cost_a_caller_the_responses_before_them() {
    let mut fleet = start_fleet();
    let mut stream = TcpStream::connect(fleet.callers(0)).expect("the node listens");
    let path = format!("/wait/300/bytes/{LARGE_BYTES}/first");
    stream.write_all(head("GET", &path).as_bytes()).expect("the node reads");
    wait_until(|| has_run(&fleet, &path));
    let draining = Draining::begin(&mut fleet, 0);
    let mut flooding = stream.try_clone().expect("a second handle of the socket");
    let flood = thread::spawn(move || {
        // The node closes the connection before it has read all of this.
        let _ = flooding.write_all(head("GET", "/behind").repeat(FLOOD_REQUESTS).as_bytes());
    });
    draining.sleep_until(Duration::from_millis(800));
    let responses = outcomes(&read_all(stream).text);
    let mut failures = Failures::default();
    failures.check("the responses", &responses, &["200; 200, closes"]);
    failures.check_time("the end of the process", draining.wait());
    flood.join().expect("no panic");
    failures.assert_none();
}
