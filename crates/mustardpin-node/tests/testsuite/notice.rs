//! What targets state about themselves in their responses reaches the control thread.

use std::{io::Write as _, net::TcpStream, sync::Arc};

use mustardpin_node::{launch::Limits, traffic::TrafficCommand};
use mustardpin_world::{
    Event,
    notice::{Notice, Rate, RateLimit},
    request::Verdict,
};

use crate::fake::{KEY, Script, Target, TrafficSide, read_all, run, text};

/// Returns the events about a request whose response has this head, and what its caller received.
fn events_for(head: &'static str) -> (Vec<Event>, String) {
    let script: Script = Arc::new(move |_| text(&format!("{head}content-length: 5\r\n\r\nhello")));
    let target = Target::start(script);
    let side = TrafficSide::start(target.address, Limits::default());
    let mut stream = TcpStream::connect(side.callers).expect("the node listens");
    let request = format!(
        "GET /slots HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("the node reads");
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(run(ticket)));
    let mut events = Vec::new();
    while !matches!(events.last(), Some(Event::RunEnded(..))) {
        events.push(side.event());
    }
    side.finish(ticket, Verdict::Pass);
    (events, read_all(stream).text)
}

/// Guards against a limit or a departure that a response states and the control thread never learns.
#[test]
fn a_notice_is_reported_before_the_end_of_the_run_whatever_the_response() {
    let limit = RateLimit::Stated(Rate(2_500));
    let cases = [
        ("HTTP/1.1 200 OK\r\ntarget-rate-limit: 2.5\r\n", false, limit),
        ("HTTP/1.1 500 No\r\ntarget-rate-limit: 2.5\r\n", false, limit),
        (
            "HTTP/1.1 503 Full\r\ntarget-outcome: not-run\r\ntarget-rate-limit: 2.5\r\n",
            false,
            limit,
        ),
        ("HTTP/1.1 200 OK\r\ntarget-rate-limit: soon\r\n", false, RateLimit::Unreadable),
        ("HTTP/1.1 200 OK\r\ntarget-leaving: 1\r\n", true, RateLimit::Absent),
    ];
    for (head, leaving, rate_limit) in cases {
        let (events, received) = events_for(head);
        let [Event::TargetNotice { notice, .. }, Event::RunEnded(..)] = &events[..] else {
            panic!("{head}: {events:?}");
        };
        assert_eq!(*notice, Notice { leaving, rate_limit }, "{head}");
        assert!(!received.contains("target-"), "{head}: {received}");
    }
    let (events, _) = events_for("HTTP/1.1 200 OK\r\n");
    assert!(matches!(events[..], [Event::RunEnded(..)]), "{events:?}");
}
