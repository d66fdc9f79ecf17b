//! A target in trouble sends a whole message that is no response of HTTP/1.1.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use mustardpin_world::World;

use crate::fake::{Fleet, KEY, RawResponse, Script, Step, exchange, http2, text};

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

/// Messages that are no response, without a body.
const MESSAGES: [&str; 3] = [
    "HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 700 X\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\nx: 1\r\n\r\n",
];

/// Header lines with a name that is no token.
const LINES: [&str; 14] = [
    "x name: 1\r\n",
    " name: 1\r\n",
    "name : 1\r\n",
    "\tname: 1\r\n",
    ": 1\r\n",
    "name\r\n",
    "x\u{0}name: 1\r\n",
    "\u{1}name: 1\r\n",
    "name\u{7f}: 1\r\n",
    "x\rname: 1\r\n",
    "\rname: 1\r\n",
    "x\nname: 1\r\n",
    "\nname: 1\r\n",
    "\n\nname: 1\r\n",
];

/// Starts a fleet whose first target sends the message with the number at the end of the path and
/// closes the connection; a whole response if there is none.
fn start(messages: &[String]) -> Fleet {
    let messages = messages.to_vec();
    let script: Script = Arc::new(move |request| {
        let path = request.split(' ').nth(1).unwrap_or_default();
        let number = path.rsplit('/').next().and_then(|number| number.parse::<usize>().ok());
        match number.and_then(|number| messages.get(number)) {
            Some(message) => [text(message), vec![Step::Close]].concat(),
            None => text(WHOLE),
        }
    });
    Fleet::start(&[("slots", Arc::clone(&script)), ("ledger", script)])
}

fn send(fleet: &Fleet, node: usize, path: &str) -> RawResponse {
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\nte: trailers\r\n\
         connection: close\r\n\r\n"
    );
    exchange(fleet.callers(node), request.as_bytes())
}

/// The status, and what the caller is told of the request if its response is a refusal.
fn describe(response: &RawResponse) -> String {
    let head = response.head();
    let outcome = head.lines().find_map(|line| line.strip_prefix("mustardpin-outcome: "));
    format!("{} {}", response.status(), outcome.unwrap_or("passed on"))
}

fn describe_http2(fleet: &Fleet, node: usize, path: &str) -> String {
    fleet.runtime.block_on(async {
        let response = http2(fleet.callers(node)).await.get(path).await;
        let Ok(response) = response else { return "no response".to_owned() };
        let outcome = response.headers().get("mustardpin-outcome");
        let outcome = outcome.and_then(|outcome| outcome.to_str().ok()).unwrap_or("passed on");
        format!("{} {outcome}", response.status().as_u16())
    })
}

/// What callers get for each message: at the node of the target and through a peer, in HTTP/1.1 and
/// HTTP/2, for repeatable requests and others.
fn responses_to(cases: Vec<(String, String)>) -> String {
    let (names, messages): (Vec<_>, Vec<_>) = cases.into_iter().unzip();
    let fleet = start(&messages);
    let mut table = String::new();
    for (number, name) in names.iter().enumerate() {
        let mut responses = BTreeSet::new();
        for node in [0, 1] {
            // Several consecutive failures would eject the target.
            assert_eq!(send(&fleet, node, "/slots/whole").status(), 200);
            for path in ["slots", "bookings"] {
                let path = |version| format!("/{path}/{version}-{node}/{number}");
                responses.insert(describe(&send(&fleet, node, &path("http1"))));
                responses.insert(describe_http2(&fleet, node, &path("http2")));
            }
        }
        let responses: Vec<_> = responses.into_iter().collect();
        table.push_str(&format!("{name}: {}\n", responses.join(", ")));
    }
    table
}

/// Guards against a status code that no final response has, and that callers get. No request asks
/// for another protocol, so 101 is one.
#[test]
fn a_response_without_a_valid_status_is_not_passed_on() {
    let statuses = ["000", "001", "042", "099", "101", "600", "700", "987", "999"];
    let cases = statuses.map(|status| {
        let message = format!("HTTP/1.1 {status} X\r\ncontent-length: 5\r\n\r\nhello");
        (status.to_owned(), message)
    });
    insta::assert_snapshot!(responses_to(cases.into()));
}

/// Guards against a name that is no token, and that ends the head or is passed on. The rest of the
/// head would reach callers as the body.
#[test]
fn a_response_with_a_malformed_header_name_is_not_passed_on() {
    let cases = LINES.map(|line| {
        let message = format!("HTTP/1.1 200 OK\r\nx: 1\r\n{line}content-length: 5\r\n\r\nhello");
        (format!("{line:?}"), message)
    });
    insta::assert_snapshot!(responses_to(cases.into()));
}

/// Guards against a line end in the middle of a value that makes up a header, or the end of the
/// head.
#[test]
fn a_response_with_a_bare_line_feed_in_its_head_is_not_passed_on() {
    let heads = [
        "HTTP/1.1 200 OK\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx: 1\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\n",
        "HTTP/1.1 200 OK\ncontent-length: 5\n\n",
        "\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
    ];
    let cases = heads.map(|head| (format!("{head:?}"), format!("{head}hello")));
    insta::assert_snapshot!(responses_to(cases.into()));
}

/// Guards against trailers that are none at the end of a response that counts as whole.
#[test]
fn a_response_with_a_malformed_trailer_name_is_not_passed_on() {
    let cases = LINES.map(|line| {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        (format!("{line:?}"), format!("{head}5\r\nhello\r\n0\r\nx: 1\r\n{line}\r\n"))
    });
    insta::assert_snapshot!(responses_to(cases.into()));
}

/// Guards against the same at the end of a response so large that it has begun, and that then looks
/// complete.
#[test]
fn a_large_response_with_a_malformed_trailer_name_does_not_look_complete() {
    const LARGE_BYTES: usize = 600_000;
    let messages = ["x: 1\r\n", "\nx: 1\r\n"].map(|line| {
        let data = "x".repeat(LARGE_BYTES);
        format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
             {LARGE_BYTES:x}\r\n{data}\r\n0\r\n{line}\r\n"
        )
    });
    let fleet = start(&messages);
    for node in [0, 1] {
        let is_complete = [0, 1].map(|number| {
            let response = send(&fleet, node, &format!("/slots/{node}/{number}"));
            assert_eq!(response.status(), 200);
            response.body().contains("\r\n0\r\n")
        });
        assert_eq!(is_complete, [true, false], "at node {node}");
    }
}

/// Guards against a repeatable request that fails although another target can answer it, and against
/// any other that is sent again although it may have run.
#[test]
fn another_target_responds_to_a_repeatable_request_in_place_of_the_broken_one() {
    let mut table = String::new();
    for message in MESSAGES {
        let counts = [Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0))];
        let scripts = [(message, &counts[0]), (WHOLE, &counts[1])].map(|(message, count)| {
            let count = Arc::clone(count);
            let script: Script = Arc::new(move |request| match request.contains("/case") {
                true => [vec![Step::Count(Arc::clone(&count))], text(message)].concat(),
                false => text(WHOLE),
            });
            ("slots", script)
        });
        let fleet = Fleet::start(&scripts);
        // Requests earn the tokens that pay for retries.
        for number in 0..30 {
            send(&fleet, 0, &format!("/slots/{number}"));
        }
        for path in ["/slots", "/bookings"] {
            // The node may prefer the target beside its peer.
            let mut results = (0..100).map(|number| {
                let response = describe(&send(&fleet, 0, &format!("{path}/case-{number}")));
                (response, counts.each_ref().map(|count| count.swap(0, Ordering::Relaxed)))
            });
            let result = results.find(|(_, counts)| counts[0] > 0);
            let (response, counts) = result.expect("the target gets requests");
            table.push_str(&format!(
                "{message:?} {path}: {response}, requests {counts:?}
"
            ));
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against a target that counts as healthy because it sends something, though never a
/// response.
#[test]
fn a_target_is_ejected_after_messages_that_are_no_response() {
    for message in MESSAGES {
        let script: Script = Arc::new(move |_| text(message));
        let fleet = Fleet::start(&[("slots", script)]);
        for number in 0..6 {
            send(&fleet, 0, &format!("/bookings/{number}"));
        }
        let is_ejected = |world: &World| world.tables().target.health.is_ejected();
        let report = fleet.nodes[0].control().report(is_ejected);
        assert!(fleet.runtime.block_on(report).expect("the node runs"), "{message:?}");
    }
}
