//! From the end of the stay on, callers' new requests are refused.

use std::time::Duration;

use crate::{
    drain::{
        Caller, Draining, Failures, LEAVING, STAY, TURNED_AWAY, has_run, head, http2_outcome,
        start_fleet,
    },
    fake::{call, http2, wait_until},
};

/// Callers that sent something before the stop signal, and continue after the stay.
#[test]
fn new_requests_after_the_stay_are_refused_on_kept_and_new_connections() {
    let mut fleet = start_fleet();
    let callers = fleet.callers(0);
    let mut pipelining = Caller::send(callers, &head("GET", "/wait/1400/pipelining"));
    let half_head = head("GET", "/half-head");
    let mut half_head_caller = Caller::send(callers, &half_head[..30]);
    let body_head = head("POST", "/half-body").replace("host:", "content-length: 10\r\nhost:");
    let mut half_body_caller = Caller::send(callers, &(body_head + "slot "));
    let http2_caller = fleet.runtime.block_on(http2(callers));
    let mut streaming = http2_caller.clone();
    let streaming = fleet
        .runtime
        .spawn(async move { http2_outcome(&mut streaming, "/wait/1400/streaming").await });
    wait_until(|| has_run(&fleet, "/wait/1400/pipelining"));
    wait_until(|| has_run(&fleet, "/wait/1400/streaming"));

    let draining = Draining::begin(&mut fleet, 0);
    draining.sleep_until(STAY + Duration::from_millis(150));
    let mut failures = Failures::default();
    pipelining.send_more(&head("GET", "/behind"));
    half_head_caller.send_more(&half_head[30..]);
    half_body_caller.send_more("12345");
    let on_new = Caller::send(callers, &head("GET", "/on-new")).finish().0;
    failures.check("a new connection", &on_new, &[LEAVING]);
    let on_new_http2 = fleet.runtime.block_on(async {
        let mut caller = http2(callers).await;
        http2_outcome(&mut caller, "/on-new-http2").await
    });
    failures.check("a new HTTP/2 connection", &[on_new_http2], &["503 leaving, retry later"]);
    let mut kept = http2_caller;
    let on_kept = fleet.runtime.block_on(http2_outcome(&mut kept, "/on-kept-http2"));
    let accepted = ["503 leaving, retry later", "no response", TURNED_AWAY];
    failures.check("a kept HTTP/2 connection", &[on_kept], &accepted);
    failures.check("the rest of a head", &half_head_caller.finish().0, &[LEAVING]);
    failures.check("the rest of a body", &half_body_caller.finish().0, &[LEAVING, "200, closes"]);
    let accepted = ["200, closes", &format!("200; {LEAVING}")];
    failures.check("a kept connection", &pipelining.finish().0, &accepted);
    let streamed = fleet.runtime.block_on(streaming).expect("no panic");
    failures.check("a request in progress over HTTP/2", &[streamed], &["200"]);
    failures.check_time("the end of the process", draining.wait());
    for path in ["/on-new", "/on-new-http2", "/on-kept-http2", "/half-head", "/behind"] {
        failures.require(&format!("{path} ran"), !has_run(&fleet, path));
    }
    failures.assert_none();
}

#[test]
fn calls_of_a_running_target_are_served_after_the_stay() {
    let mut fleet = start_fleet();
    let local = fleet.nodes[0].addresses().local.expect("the node listens for its target");
    let parent = Caller::send(fleet.callers(0), &head("GET", "/wait/1400"));
    wait_until(|| has_run(&fleet, "/wait/1400"));
    let seen = fleet.targets[0].seen().concat();
    let token = seen.lines().find_map(|line| line.strip_prefix("mustardpin-call: "));
    let token = token.expect("the target gets a call token");

    let draining = Draining::begin(&mut fleet, 0);
    draining.sleep_until(STAY + Duration::from_millis(150));
    let mut failures = Failures::default();
    for path in ["/ledger/nested", "/nested"] {
        let nested = call(local, &format!("GET {path}"), &[("mustardpin-call", token)], "");
        failures.check(path, &super::outcomes(&nested.text), &["200, closes"]);
    }
    failures.check("the parent", &parent.finish().0, &["200, closes"]);
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}
