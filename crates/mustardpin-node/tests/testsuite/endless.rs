//! A target in trouble sends bytes that never become a response, until the node closes the
//! connection.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::fake::{End, Fleet, KEY, Script, Step, exchange, get, text, wait_until};

/// Longer than the timeout of the route.
const ENDLESS_MS: usize = 20_000;

/// Sends a start, and then the same bytes every millisecond.
fn endless(start: &str, repeated: &str) -> Vec<Step> {
    let mut steps = text(start);
    for _ in 0..ENDLESS_MS {
        steps.push(Step::Send(repeated.as_bytes().to_vec()));
        steps.push(Step::Wait(Duration::from_millis(1)));
    }
    steps
}

fn script() -> Script {
    let line = format!("x-line: {}\r\n", "x".repeat(1_000));
    let body = "x".repeat(1_000);
    Arc::new(move |request| {
        let path = request.split(' ').nth(1).unwrap_or_default();
        let ok = "HTTP/1.1 200 OK\r\n";
        match path.rsplit('/').next().unwrap_or_default() {
            "garbage" => endless("", "no response "),
            "head" => endless(ok, &line),
            "header" => endless(&format!("{ok}x-header: "), &body),
            "interim" => endless("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
            "chunk-size" => endless(&format!("{ok}transfer-encoding: chunked\r\n\r\n"), "0000"),
            "trailers" => {
                endless(&format!("{ok}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"), &line)
            }
            "body" => endless(&format!("{ok}\r\n"), &body),
            "chunks" => endless(
                &format!("{ok}transfer-encoding: chunked\r\n\r\n"),
                &"1\r\nx\r\n".repeat(1_000),
            ),
            "extensions" => endless(
                &format!("{ok}transfer-encoding: chunked\r\n\r\n"),
                &"1;x=y\r\nx\r\n".repeat(1_000),
            ),
            "declined" => endless(
                "HTTP/1.1 503 Service Unavailable\r\ntarget-outcome: not-run\r\n\
                 transfer-encoding: chunked\r\n\r\n",
                &format!("3e8\r\n{body}\r\n"),
            ),
            _ => text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"),
        }
    })
}

#[test]
fn an_endless_response_ends_at_the_deadline_and_its_connection_is_closed() {
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    let mut lines = Vec::new();
    let cases = [
        "garbage",
        "head",
        "header",
        "interim",
        "chunk-size",
        "trailers",
        "body",
        "chunks",
        "extensions",
        "declined",
    ];
    for (node, path) in [(0, "target"), (1, "peer")] {
        for case in cases {
            // Several consecutive failures would eject the target.
            get(fleet.callers(node), "/slots/whole");
            let ended = fleet.targets[0].connections() - fleet.targets[0].closed();
            let start = Instant::now();
            let response = get(fleet.callers(node), &format!("/slots/{case}"));
            assert!(start.elapsed() < Duration::from_secs(4), "{path} {case}");
            let outcome = match response.status() {
                200 if response.body().ends_with("0\r\n\r\n") => "complete".to_owned(),
                200 => "truncated".to_owned(),
                status if response.head().contains("mustardpin-outcome: not-run") => {
                    format!("{status} not run")
                }
                status => format!("{status}"),
            };
            lines.push(format!("{path} {case}: {outcome}"));
            let open = || fleet.targets[0].connections() - fleet.targets[0].closed();
            wait_until(|| open() <= ended);
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// A caller of HTTP/1.0 takes the end of the connection for the end of a response without a length.
#[test]
fn a_truncated_response_that_ends_with_its_connection_is_reset() {
    let fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    for node in [0, 1] {
        let request = format!(
            "GET /slots/body HTTP/1.0\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\r\n"
        );
        let response = exchange(fleet.callers(node), request.as_bytes());
        assert_eq!((response.status(), response.end), (200, End::Reset), "through node {node}");
    }
}
