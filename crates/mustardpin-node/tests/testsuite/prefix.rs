//! A target stops at any byte of its response, and its connection ends: by a close or by a reset.

use std::{
    cell::Cell,
    sync::{Arc, Mutex},
    time::Duration,
};

use mustardpin_world::{World, refusal::Reason};

use crate::fake::{End, Fleet, KEY, RawResponse, Script, Step, exchange, get, http2, text};

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
/// Larger than a response that a node sends on only when it is complete.
const LARGE_BYTES: usize = 600_000;

/// How a connection with a truncated response ends.
const ENDS: [Step; 2] = [Step::Close, Step::Reset];

/// A fleet of which the first node's target sends the steps that the test sets, and then a whole
/// response to each request.
struct Truncating {
    fleet: Fleet,
    steps: Arc<Mutex<Vec<Step>>>,
    /// The number of the last request. Requests differ, so that none counts as sent again.
    last: Cell<u32>,
}

impl Truncating {
    fn start() -> Truncating {
        let steps = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::clone(&steps);
        let script: Script = Arc::new(move |_| {
            let steps = std::mem::take(&mut *next.lock().expect("the lock is not poisoned"));
            if steps.is_empty() { text(WHOLE) } else { steps }
        });
        let other: Script = Arc::new(|_| text(WHOLE));
        let fleet = Fleet::start(&[("slots", script), ("ledger", other)]);
        Truncating { fleet, steps, last: Cell::new(0) }
    }

    /// Sends a request and returns the body if the caller takes the response for a whole one with
    /// status 200. The target sends `sent`, and then its connection ends.
    fn whole_body(
        &self,
        node: usize,
        caller: Caller,
        line: &str,
        sent: &str,
        end: &Step,
    ) -> Option<String> {
        self.last.set(self.last.get() + 2);
        // Several consecutive failures would eject the target.
        let first = get(self.fleet.callers(node), &format!("/slots/{}", self.last.get()));
        assert_eq!(first.status(), 200, "{first:?}");
        // A node discards what it has not received before a reset.
        let pause = Step::Wait(Duration::from_millis(2));
        *self.steps.lock().expect("the lock is not poisoned") =
            [text(sent), vec![pause, end.clone()]].concat();
        let line = format!("{line}/{}", self.last.get() + 1);
        let body = send(&self.fleet, node, caller, &line);
        let is_taken = self.steps.lock().expect("the lock is not poisoned").is_empty();
        let refusals = || self.refusals(node);
        assert!(
            is_taken,
            "{caller:?} at node {node}: {line} did not reach the target: {}",
            refusals()
        );
        body
    }

    /// The requests that a node has refused, by reason.
    fn refusals(&self, node: usize) -> String {
        let refusals = |world: &World| {
            let count = |reason: &Reason| (*reason, world.tables().counters.refusals(*reason));
            let counts = Reason::ALL.iter().map(count).filter(|(_, count)| *count > 0);
            counts.map(|(reason, count)| format!("{count} {reason}")).collect::<Vec<_>>()
        };
        let report = self.fleet.nodes[node].control().report(refusals);
        self.fleet.runtime.block_on(report).expect("the node runs").join(", ")
    }
}

/// The callers of one node.
#[derive(Debug, Clone, Copy)]
enum Caller {
    Http10,
    Http11,
    Http2,
}

/// Sends a request and returns the body if the caller takes the response for a whole one with status
/// 200.
fn send(fleet: &Fleet, node: usize, caller: Caller, line: &str) -> Option<String> {
    let address = fleet.callers(node);
    let (version, (method, path)) = match caller {
        Caller::Http2 => {
            let (_, path) = line.split_once(' ').expect("a method and a path");
            return fleet.runtime.block_on(async {
                let response = http2(address).await.collect(path).await;
                let (status, body, _) = response.ok()?;
                (status == 200).then(|| String::from_utf8_lossy(&body).into_owned())
            });
        }
        Caller::Http10 => ("HTTP/1.0", line.split_once(' ').expect("a method and a path")),
        Caller::Http11 => ("HTTP/1.1", line.split_once(' ').expect("a method and a path")),
    };
    let length = if method == "POST" { "content-length: 6\r\n" } else { "" };
    let body = if method == "POST" { "slot 7" } else { "" };
    let request = format!(
        "{method} {path} {version}\r\nhost: fleet\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\n{length}\r\n{body}"
    );
    whole(&exchange(address, request.as_bytes()))
}

/// The body of a response that a caller takes for whole, with status 200.
fn whole(response: &RawResponse) -> Option<String> {
    let body = response.body();
    let head = response.head();
    if response.status() != 200 || !response.text.contains("\r\n\r\n") {
        return None;
    }
    if head.contains("transfer-encoding: chunked") {
        let chunks =
            body.strip_suffix("0\r\n\r\n").or_else(|| Some(body.split_once("\r\n0\r\n")?.0));
        return chunks.map(str::to_owned);
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => (length.parse() == Ok(body.len())).then(|| body.to_owned()),
        None => (response.end == End::Closed).then(|| body.to_owned()),
    }
}

/// Guards against a response that broke off, in its head or after it, and that callers take for a
/// whole one with a short body.
#[test]
fn no_prefix_of_a_response_is_taken_for_a_whole_one() {
    let responses = [
        "HTTP/1.1 200 OK\r\nx: 1\r\ncontent-length: 12\r\n\r\nhello, world",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-sum: 7\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx: 1\r\n\r\nhello",
    ];
    let truncating = Truncating::start();
    for (node, caller, line) in [
        (0, Caller::Http11, "GET /slots"),
        (0, Caller::Http11, "POST /bookings"),
        (0, Caller::Http10, "GET /slots"),
        (0, Caller::Http10, "POST /bookings"),
        (0, Caller::Http2, "GET /slots"),
        (0, Caller::Http2, "GET /bookings"),
        (1, Caller::Http11, "GET /slots"),
        (1, Caller::Http11, "POST /bookings"),
        (1, Caller::Http10, "GET /slots"),
        (1, Caller::Http2, "GET /slots"),
    ] {
        for response in responses {
            let (head, _) = response.split_once("\r\n\r\n").expect("a head");
            let has_end = head.contains("content-length") || head.contains("chunked");
            for length in 1..response.len() {
                for end in ENDS {
                    let sent = &response[..length];
                    let body = truncating.whole_body(node, caller, line, sent, &end);
                    let case = format!("{caller:?} at node {node}, {line}, {end:?}: {sent:?}");
                    // The end of a response without a length is that of its connection.
                    let legal = sent.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
                    let legal = legal.filter(|_| !has_end && matches!(end, Step::Close));
                    assert_eq!(body, legal, "{case}");
                }
            }
        }
    }
}

/// Guards against the same for a response so large that it has begun before it broke off.
#[test]
fn a_large_response_that_broke_off_is_not_taken_for_a_whole_one() {
    let data = "x".repeat(LARGE_BYTES);
    let chunk = format!("{LARGE_BYTES:x}\r\n{data}");
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let responses = [
        (format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{data}", LARGE_BYTES + 1), true),
        (format!("{chunked}{chunk}"), true),
        (format!("{chunked}{chunk}\r\n"), true),
        (format!("{chunked}{chunk}\r\n0"), true),
        (format!("{chunked}{chunk}\r\n0\r\n"), true),
        (format!("{chunked}{chunk}\r\n0\r\nx-sum: 7\r\n"), true),
        (format!("{chunked}{chunk}\r\n\r\n\r\n"), true),
        (format!("HTTP/1.1 200 OK\r\n\r\n{data}"), false),
    ];
    let truncating = Truncating::start();
    for (node, caller) in [
        (0, Caller::Http11),
        (0, Caller::Http10),
        (0, Caller::Http2),
        (1, Caller::Http11),
        (1, Caller::Http10),
        (1, Caller::Http2),
    ] {
        for (response, has_end) in &responses {
            for end in ENDS {
                let body = truncating.whole_body(node, caller, "GET /slots", response, &end);
                let is_legal = !has_end && matches!(end, Step::Close);
                let start = response.chars().take(60).collect::<String>();
                let case = format!("{caller:?} at node {node}, {end:?}: {start:?}");
                assert_eq!(body.is_some(), is_legal, "{case}");
            }
        }
    }
}
