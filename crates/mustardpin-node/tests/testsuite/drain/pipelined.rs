//! Pipelined requests that were passed on before the stop signal get their own responses.

use crate::{
    drain::{Caller, Draining, Failures, has_run, head, start_fleet},
    fake::wait_until,
};

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
