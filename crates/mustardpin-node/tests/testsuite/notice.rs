//! What targets state about themselves in their responses reaches the control thread.

use std::{
    io::Write as _,
    net::TcpStream,
    sync::Arc,
    time::{Duration, Instant},
};

use mustardpin_node::{launch::Limits, traffic::TrafficCommand};
use mustardpin_world::{
    Event,
    notice::{Notice, Rate, RateLimit},
    request::{Load, TargetRate, Verdict},
};

use crate::{
    fake::{Fleet, KEY, Script, Target, TrafficSide, get, read_all, run, text},
    link::{forward, is_link_up, next_event},
};

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

/// Guards against a rate that is read and not kept on the way from the response to the dispatch, at
/// the node beside the target or at another.
#[test]
fn a_fleet_keeps_the_rate_that_a_target_states() {
    const RATE: usize = 10;
    const LENGTH: Duration = Duration::from_secs(2);
    const MIN_SENT: usize = 100;
    const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n";

    let limited: Script =
        Arc::new(|_| text(&format!("{OK}target-rate-limit: {RATE}\r\n\r\nhello")));
    let services = [("slots", limited), ("slots", text_of(OK)), ("ledger", text_of(OK))];
    let fleet = Fleet::start(&services);
    // The rate is stated by the first responses.
    for _ in 0..3 {
        assert_eq!(get(fleet.callers(0), "/slots").status(), 200);
    }
    fleet.targets[0].clear_seen();
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < LENGTH || sent <= MIN_SENT {
        for node in 0..3 {
            assert_eq!(get(fleet.callers(node), "/slots").status(), 200);
            sent += 1;
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    let seen = fleet.targets[0].seen().len();
    let allowed = 1.5 * RATE as f64 * seconds + 5.0;
    assert!(seen as f64 <= allowed, "{seen} of {sent} requests in {seconds} s, allowed {allowed}");
}

fn text_of(head: &'static str) -> Script {
    Arc::new(move |_| text(&format!("{head}\r\nhello")))
}

/// Guards against a node that passes on a response which says that its target leaves, and does not
/// know that when the node beside the target ends in the same moment.
#[test]
fn the_load_on_a_response_to_a_peer_carries_what_the_response_states() {
    let script: Script = Arc::new(|_| {
        let head = "HTTP/1.1 200 OK\r\ntarget-leaving: 1\r\ntarget-rate-limit: 2.5\r\n";
        text(&format!("{head}content-length: 5\r\n\r\nhello"))
    });
    let target = Target::start(script);
    let one = TrafficSide::start(target.address, Limits::default());
    let two = TrafficSide::start_as(2, "fleet", target.address, Limits::default());
    two.dispatch(TrafficCommand::OpenLink(one.announcement.clone()));
    next_event(&two, is_link_up);
    let load = Load { open: true, ..Load::default() };
    one.dispatch(TrafficCommand::Publish { load, urgent: true });
    next_event(&two, |event| matches!(event, Event::Load { load, .. } if load.open));

    let callers = two.callers;
    let caller = std::thread::spawn(move || get(callers, "/slots"));
    two.dispatch(TrafficCommand::Forward(forward(two.accept().ticket)));
    let is_arrival = |event: &Event| matches!(event, Event::Arrived(_));
    let Event::Arrived(request) = next_event(&one, is_arrival) else { panic!("no request") };
    // The control thread of this node does nothing more.
    one.dispatch(TrafficCommand::Run(run(request.ticket)));
    let Event::Load { load, .. } = two.event() else { panic!("expected the load first") };
    let rate = TargetRate::Limited(Rate(2_500));
    assert_eq!((load.open, load.leaving, load.rate), (false, true, rate));
    assert!(matches!(two.event(), Event::ForwardEnded { .. }));
    assert_eq!(caller.join().expect("the caller ends").status(), 200);
}
