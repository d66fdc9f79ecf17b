//! A target in trouble sends bytes that never become a response, until the node closes the
//! connection.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use mustardpin_node::{launch::Limits, traffic::TrafficCommand};
use mustardpin_world::{Event, log::Entry};

use crate::fake::{
    End, Fleet, KEY, Script, Step, Target, TrafficSide, call, exchange, get, run, text, wait_until,
};

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
    let metrics = fleet.nodes[0].addresses().metrics.expect("the node serves metrics");
    let page = call(metrics, "GET /metrics", &[], "");
    let counted = page.body().lines().filter(|line| line.contains("unusable")).map(str::to_owned);
    lines.extend(counted);
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against responses without end of which no line tells, so that nobody finds the target
/// that sends them.
#[test]
fn a_response_that_cannot_be_used_has_a_line_in_the_log() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
    let wait = || Step::Wait(Duration::from_secs(5));
    let cases = [
        ("complete", vec![Step::Send(format!("{HEAD}complete!").into())]),
        ("nothing", vec![Step::Close]),
        ("a part of the head", vec![Step::Send(HEAD[..20].into()), Step::Close]),
        ("a part of the body", vec![Step::Send(format!("{HEAD}part").into()), Step::Close]),
        ("garbage", vec![Step::Send("no response\r\n\r\n".into()), wait()]),
        ("status 000", vec![Step::Send("HTTP/1.1 000 X\r\n\r\n".into()), wait()]),
        ("lines that end with LF", vec![Step::Send("HTTP/1.1 200 OK\n\n".into()), wait()]),
        ("nothing, cancelled", vec![wait()]),
        ("a part of the body, cancelled", vec![Step::Send(format!("{HEAD}part").into()), wait()]),
        (
            "interim responses, cancelled",
            vec![Step::Send("HTTP/1.1 103 Hints\r\n\r\n".into()), wait()],
        ),
    ];
    let mut report = String::new();
    for (name, steps) in cases {
        let target = Target::start(Arc::new(move |_| steps.clone()));
        let node = TrafficSide::start(target.address, Limits::default());
        let callers = node.callers;
        thread::spawn(move || get(callers, "/slots"));
        let ticket = node.accept().ticket;
        node.dispatch(TrafficCommand::Run(run(ticket)));
        wait_until(|| !target.seen().is_empty());
        if name.ends_with("cancelled") {
            thread::sleep(Duration::from_millis(100));
            node.dispatch(TrafficCommand::Cancel(ticket));
        }
        let mut events = Vec::new();
        while !matches!(events.last(), Some(Event::RunEnded(..))) {
            events.push(node.event());
        }
        let counted = events.iter().filter(|event| **event == Event::ResponseUnusable).count();
        let logged = node.logged.lock().expect("the lock is not poisoned");
        let lines: Vec<String> = logged.iter().map(describe).collect();
        report.push_str(&format!("{name}: counted {counted}, {lines:?}\n"));
    }
    insta::assert_snapshot!(report, @r#"
    complete: counted 0, []
    nothing: counted 0, []
    a part of the head: counted 1, ["response_unusable received=20 cause=the connection failed: unexpected end of file"]
    a part of the body: counted 1, ["response_unusable received=42 cause=the response is malformed: the connection ended inside a message"]
    garbage: counted 1, ["response_unusable received=15 cause=the response is malformed: the protocol version is not HTTP/1.0 or HTTP/1.1"]
    status 000: counted 1, ["response_unusable received=18 cause=the response is malformed: the status code 000 is not valid"]
    lines that end with LF: counted 1, ["response_unusable received=17 cause=the response is malformed: a line ends with LF instead of CRLF"]
    nothing, cancelled: counted 0, []
    a part of the body, cancelled: counted 1, ["response_unusable received=42 cause=cancelled"]
    interim responses, cancelled: counted 1, ["response_unusable received=22 cause=cancelled"]
    "#);
}

fn describe(entry: &Entry) -> String {
    let fields = entry.fields.iter().filter(|(name, _)| *name != "took");
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    format!("{} {}", entry.event, fields.join(" "))
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
