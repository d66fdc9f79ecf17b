//! A request from caller to target, through one node and through two.

use std::sync::Arc;

use crate::fake::{End, Fleet, KEY, Script, call, get, text};

fn hello() -> Script {
    Arc::new(|_| text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-own: 1\r\n\r\nhello"))
}

#[test]
fn one_node_sends_a_request_to_its_target_and_returns_the_response() {
    let fleet = Fleet::start(&[("slots", hello())]);
    let response = get(fleet.callers(0), "/slots?day=2");
    insta::assert_snapshot!(format!("{}\n\n{}", response.head(), response.body()));
    assert_eq!(response.end, End::Closed);
    let seen = fleet.targets[0].seen();
    assert_eq!(seen.len(), 1);
    assert!(seen[0].starts_with("GET /slots?day=2 HTTP/1.1\r\n"), "{seen:?}");
}

#[test]
fn a_node_without_a_target_of_the_service_forwards_the_request_to_a_peer() {
    let fleet = Fleet::start(&[("slots", hello()), ("ledger", hello())]);
    let response = get(fleet.callers(1), "/slots?day=2");
    insta::assert_snapshot!(format!("{}\n\n{}", response.head(), response.body()));
    assert_eq!(fleet.targets[0].seen().len(), 1);
    assert_eq!(fleet.targets[1].seen().len(), 0);
}

#[test]
fn refusals_are_problems_with_an_outcome_and_a_reason() {
    let fleet = Fleet::start(&[("slots", hello())]);
    let callers = fleet.callers(0);
    let key = format!("Bearer {KEY}");
    let authorized = ("authorization", key.as_str());
    let responses = [
        call(callers, "GET /slots", &[], ""),
        call(callers, "GET /slots", &[("authorization", "Bearer garage-1.wrong")], ""),
        call(callers, "GET /ledger", &[authorized], ""),
        call(callers, "GET /slots", &[authorized, ("request-timeout-ms", "soon")], ""),
        call(callers, "GET /slots", &[authorized, authorized], ""),
        call(callers, "GET /slots?key=garage-1.s3cret%2Dtext", &[authorized], ""),
        call(callers, "GET /slots", &[("mustardpin-call", &"0".repeat(32))], ""),
    ];
    let responses: Vec<_> = responses
        .iter()
        .map(|response| format!("{}\n{}", response.head(), response.body()))
        .collect();
    insta::assert_snapshot!(responses.join("\n\n"));
    assert!(fleet.targets[0].seen().is_empty());
}
