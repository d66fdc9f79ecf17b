//! Uploads that are in progress when the node is stopped.

use std::time::Duration;

use crate::drain::{Caller, Draining, Failures, STAY, head, start_fleet};

/// More than a node keeps of a body, so that it is streamed.
const STREAMED_BYTES: usize = 400_000;

fn upload_head(path: &str) -> String {
    let length = format!("content-length: {STREAMED_BYTES}\r\nhost:");
    head("POST", path).replace("host:", &length)
}

#[test]
fn uploads_that_are_streamed_when_the_node_is_stopped_are_completed() {
    let mut fleet = start_fleet();
    let half = "x".repeat(STREAMED_BYTES / 2);
    let paths = ["/upload", "/bookings/upload", "/ledger/upload"];
    let mut sent =
        paths.map(|path| (path, Caller::send(fleet.callers(0), &(upload_head(path) + &half))));
    std::thread::sleep(Duration::from_millis(200));
    let draining = Draining::begin(&mut fleet, 0);
    draining.sleep_until(STAY + Duration::from_millis(150));
    let mut failures = Failures::default();
    for (_, caller) in &mut sent {
        caller.send_more(&half);
    }
    for (path, caller) in sent {
        failures.check(path, &caller.finish().0, &["200, closes"]);
    }
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}

#[test]
fn an_upload_that_does_not_end_gets_an_explicit_response() {
    let mut fleet = start_fleet();
    let text = upload_head("/upload") + &"x".repeat(STREAMED_BYTES / 2);
    let caller = Caller::send(fleet.callers(0), &text);
    std::thread::sleep(Duration::from_millis(200));
    let draining = Draining::begin(&mut fleet, 0);
    let (outcomes, at) = caller.finish();
    let mut failures = Failures::default();
    let is_unknown =
        matches!(&outcomes[..], [only] if only.starts_with("502") || only.starts_with("504"));
    failures.require(&format!("{outcomes:?}"), is_unknown);
    failures.check_time("the response", at - draining.since);
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}
