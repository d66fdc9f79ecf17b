//! Callers get complete responses, or can see that a response is truncated.

use std::{
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use bytes::Bytes;
use mustardpin_world::options::LimitAlgorithm;

use crate::fake::{Fleet, KEY, RawResponse, Script, Step, exchange, get, http2, text, wait_until};

const TRUNCATED_BY_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello";
const TRUNCATED_BY_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
const TRAILERS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
                        5\r\nhello\r\n0\r\nx-sum: 7\r\nmustardpin-outcome: run\r\n\r\n";

/// Returns a script that chooses the response by the last segment of the path.
fn script() -> Script {
    Arc::new(|request| {
        let path = request.split(' ').nth(1).unwrap_or_default();
        let send_and_close = |message: &str| [text(message), vec![Step::Close]].concat();
        match path.rsplit('/').next().unwrap_or_default() {
            "whole" => text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"),
            "short" => send_and_close(TRUNCATED_BY_LENGTH),
            "cut" => send_and_close(TRUNCATED_BY_CHUNKS),
            "trailers" => text(TRAILERS),
            "unframed" => send_and_close("HTTP/1.1 200 OK\r\n\r\nhello"),
            "silent" => vec![Step::Close],
            "garbage" => send_and_close("no HTTP at all\r\n\r\n"),
            "declined" => text(
                "HTTP/1.1 503 Service Unavailable\r\ntarget-outcome: not-run\r\n\
                 content-length: 0\r\n\r\n",
            ),
            "slow" => {
                let rest = vec![Step::Wait(Duration::from_secs(2)), Step::Send(b"world".to_vec())];
                [text(TRUNCATED_BY_LENGTH), rest].concat()
            }
            number => {
                // Requests with higher numbers get their responses first.
                let number: u64 = number.parse().unwrap_or_default();
                let wait = Step::Wait(Duration::from_millis(20 * (20 - number)));
                let body = format!("{number}").repeat(3_000);
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                [vec![wait], text(&head), text(&body)].concat()
            }
        }
    })
}

/// Classifies a response as an HTTP/1.1 caller would. Whether the connection ends before the head
/// or after it depends on timing; a caller can see either.
fn classify(response: &RawResponse) -> String {
    match response.status() {
        200 if is_complete(response) => format!("whole {:?}", response.body()),
        0 | 200 => "not whole".to_owned(),
        _ if response.head().contains("mustardpin-outcome: unknown") => "not whole".to_owned(),
        _ if response.head().contains("mustardpin-outcome: not-run") => "not run".to_owned(),
        status => format!("{status}"),
    }
}

/// Returns whether an HTTP/1.1 caller regards the response as complete.
fn is_complete(response: &RawResponse) -> bool {
    let head = response.head();
    if head.contains("transfer-encoding: chunked") {
        return response.body().ends_with("0\r\n\r\n") || response.body().contains("\r\n0\r\n");
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.and_then(|length| length.parse().ok()) == Some(response.body().len())
}

fn send_request(fleet: &Fleet, node: usize, case: &str) -> RawResponse {
    let request = format!(
        "GET /slots/{case} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\
         te: trailers\r\nconnection: close\r\n\r\n"
    );
    exchange(fleet.callers(node), request.as_bytes())
}

#[test]
fn http1_callers_see_whether_a_response_is_complete() {
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    let cases = ["whole", "short", "cut", "trailers", "unframed", "silent", "garbage", "declined"];
    let mut lines = Vec::new();
    for (node, path) in [(0, "target"), (1, "peer")] {
        for case in cases {
            // A target is ejected after several consecutive failures; a complete response resets
            // their count.
            send_request(&fleet, node, "whole");
            let response = send_request(&fleet, node, case);
            lines.push(format!("{path} {case}: {}", classify(&response)));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn http2_callers_see_whether_a_response_is_complete() {
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    let mut lines = Vec::new();
    for (node, path) in [(0, "target"), (1, "peer")] {
        for case in ["whole", "short", "cut", "trailers"] {
            let line = fleet.runtime.block_on(async {
                let mut caller = http2(fleet.callers(node)).await;
                match caller.collect(&format!("/slots/{case}")).await {
                    Ok((200, body, trailers)) => format!("{path} {case}: {body:?} {trailers:?}"),
                    _ => format!("{path} {case}: not whole"),
                }
            });
            lines.push(line);
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn each_http2_caller_gets_its_own_answer_when_answers_come_in_another_order() {
    // A new target starts with a lower limit than this, and would turn some of the requests away.
    let fleet = Fleet::start_with(&[("slots", script()), ("ledger", script())], |mut launch| {
        launch.options.limit.algorithm = LimitAlgorithm::Fixed(20);
        launch
    });
    let bodies: Vec<(u64, Bytes)> = fleet.runtime.block_on(async {
        let caller = http2(fleet.callers(1)).await;
        let calls = (0..20).map(|number| {
            let mut caller = caller.clone();
            async move {
                let response = caller.collect(&format!("/slots/{number}")).await;
                (number, response.expect("a complete response").1)
            }
        });
        futures::future::join_all(calls).await
    });
    for (number, body) in bodies {
        assert_eq!(body, number.to_string().repeat(3_000));
    }
}

#[test]
fn a_response_is_visibly_truncated_when_the_peer_that_runs_it_dies() {
    let mut fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    let callers = fleet.callers(1);
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || sender.send(get(callers, "/slots/slow")));
    wait_until(|| !fleet.targets[0].seen().is_empty());
    thread::sleep(Duration::from_millis(100));
    fleet.nodes.remove(0).kill();
    let response = receiver.recv().expect("the caller thread ends");
    // A small response is not started before it is complete.
    assert_eq!(response.status(), 502, "{response:?}");
    assert_eq!(classify(&response), "not whole");
}
