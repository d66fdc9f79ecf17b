//! The process ends within the grace time, and no caller is left without a response.

use std::time::Duration;

use mustardpin_node::{Launch, launch::Limits};

use crate::{
    drain::{
        Caller, Draining, Failures, GRACE, has_run, head, http2_outcome, script, start_fleet,
        with_short_times,
    },
    fake::{Fleet, http2, wait_until},
};

/// Shorter than the route's timeout of three seconds, in milliseconds.
const LONGER_THAN_GRACE: u64 = 2_500;

/// Whether the only response is an explicit one that does not promise that the request has not run.
fn is_unknown(outcomes: &[String]) -> bool {
    matches!(outcomes, [only] if ["502", "504"].iter().any(|status| only.starts_with(status)))
        && !outcomes[0].contains("cut")
}

#[test]
fn requests_that_outlive_the_grace_get_an_explicit_response() {
    let path = |name: &str| format!("/wait/{LONGER_THAN_GRACE}/{name}");
    let mut fleet = start_fleet();
    let callers = fleet.callers(0);
    let requests = [
        ("GET", path("repeatable")),
        ("POST", format!("/bookings{}", path("booking"))),
        ("GET", format!("/ledger{}", path("forwarded"))),
    ];
    let sent = requests.each_ref().map(|(method, path)| Caller::send(callers, &head(method, path)));
    let mut http2_caller = fleet.runtime.block_on(http2(callers));
    let over_http2 = fleet.runtime.spawn(async move {
        http2_outcome(&mut http2_caller, &format!("/wait/{LONGER_THAN_GRACE}/http2")).await
    });
    let paths = requests.iter().map(|(_, path)| path.clone()).chain([path("http2")]);
    for path in paths {
        wait_until(|| has_run(&fleet, &path));
    }

    let draining = Draining::begin(&mut fleet, 0);
    let mut failures = Failures::default();
    for ((_, path), caller) in requests.iter().zip(sent) {
        let (outcomes, at) = caller.finish();
        failures.require(&format!("{path}: {outcomes:?}"), is_unknown(&outcomes));
        failures.check_time(path, at - draining.since);
    }
    let over_http2 = [fleet.runtime.block_on(over_http2).expect("no panic")];
    failures.require(&format!("HTTP/2: {over_http2:?}"), is_unknown(&over_http2));
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}

/// Requests whose target responds when five sixths of the grace time have passed.
#[test]
fn requests_that_end_before_the_last_sixth_of_the_grace_get_their_response() {
    let mut fleet = start_fleet();
    let callers = fleet.callers(0);
    let wait = (GRACE.as_millis() * 5 / 6) as u64 - 100;
    let requests = [
        ("GET", format!("/wait/{wait}/repeatable")),
        ("POST", format!("/bookings/wait/{wait}/booking")),
        ("GET", format!("/ledger/wait/{wait}/forwarded")),
        ("GET", "/pieces/8/kept".to_owned()),
        ("GET", "/pieces/14/streamed".to_owned()),
        ("GET", "/ledger/pieces/14/forwarded".to_owned()),
    ];
    let sent = requests.each_ref().map(|(method, path)| Caller::send(callers, &head(method, path)));
    for (_, path) in &requests {
        wait_until(|| has_run(&fleet, path));
    }
    let draining = Draining::begin(&mut fleet, 0);
    let mut failures = Failures::default();
    for ((_, path), caller) in requests.iter().zip(sent) {
        // The head of a streamed response may have been sent before the stop signal.
        let accepted: &[&str] = match path.contains("/pieces/14/") {
            true => &["200, closes", "200"],
            false => &["200, closes"],
        };
        failures.check(path, &caller.finish().0, accepted);
    }
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}

/// The node beside the target is stopped, and the caller's own node is not.
#[test]
fn a_booking_that_outlives_the_grace_of_its_target_s_node_gets_an_explicit_response() {
    let mut fleet = start_fleet();
    let path = format!("/bookings/wait/{LONGER_THAN_GRACE}/booking");
    let request = head("POST", &path).replace("host:", "connection: close\r\nhost:");
    let caller = Caller::send(fleet.callers(1), &request);
    wait_until(|| has_run(&fleet, &path));
    let target = fleet.targets.iter().position(|target| target.seen().concat().contains(&path));
    let draining = Draining::begin(&mut fleet, target.expect("a target runs the booking"));
    let (outcomes, at) = caller.finish();
    let mut failures = Failures::default();
    failures.require(&format!("{outcomes:?}"), is_unknown(&outcomes));
    failures.check_time("the response", at - draining.since);
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}

/// What a caller or a target may do that keeps a connection open.
#[test]
fn the_process_ends_within_the_grace_whatever_is_open() {
    type Open = fn(std::net::SocketAddr) -> Caller;
    let cases: [(&str, Open); 7] = [
        ("an idle connection", |address| Caller::send(address, "")),
        ("half a head", |address| Caller::send(address, "GET /sl")),
        ("a body that does not arrive", |address| {
            let head = head("POST", "/slots").replace("host:", "content-length: 9\r\nhost:");
            Caller::send(address, &head)
        }),
        ("an upload that does not arrive", |address| {
            let head = head("POST", "/slots").replace("host:", "content-length: 900000\r\nhost:");
            Caller::send(address, &(head + &"x".repeat(200_000)))
        }),
        ("a response that does not end", |address| {
            Caller::send(address, &head("GET", "/pieces/90/streamed"))
        }),
        ("a forwarded response that does not end", |address| {
            Caller::send(address, &head("GET", "/ledger/pieces/90/streamed"))
        }),
        ("a target that does not respond", |address| {
            Caller::send(address, &head("GET", "/wait/2900"))
        }),
    ];
    let mut failures = Failures::default();
    let fleets = cases.map(|(name, open)| {
        let mut fleet = start_fleet();
        let caller = open(fleet.callers(0));
        std::thread::sleep(Duration::from_millis(100));
        let draining = Draining::begin(&mut fleet, 0);
        (name, draining, caller, fleet)
    });
    for (name, draining, caller, _fleet) in fleets {
        failures.check_time(name, draining.wait());
        drop(caller);
    }
    failures.assert_none();
}

/// Guards against a process that is killed with connections open, because it lets idle ones linger
/// for longer than its grace.
#[test]
fn the_process_ends_within_the_grace_though_idle_connections_linger_longer() {
    let mut fleet = Fleet::start_with(&[("slots", script())], |launch| {
        let launch = with_short_times(launch);
        Launch { limits: Limits { drain_idle_timeout: 2 * GRACE, ..launch.limits }, ..launch }
    });
    let caller = Caller::send(fleet.callers(0), "");
    let draining = Draining::begin(&mut fleet, 0);
    let mut failures = Failures::default();
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
    drop(caller);
}
