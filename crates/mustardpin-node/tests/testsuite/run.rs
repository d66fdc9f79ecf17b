//! One run on the target: the commands of the control thread, and the events that it receives.

use std::{
    io::Write as _,
    net::{Shutdown, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use mustardpin_node::{launch::Limits, traffic::TrafficCommand};
use mustardpin_world::{
    Event, Millis,
    command::TargetAddress,
    refusal::{Reason, Refusal},
    request::{Run, RunEnd, Verdict},
};

use crate::fake::{
    KEY, Script, Step, Target, TrafficSide, read_all, read_response, run, text, wait_until,
};

const COMPLETE: &str = "HTTP/1.1 201 Created\r\ncontent-length: 5\r\nx-own: 1\r\n\r\nhello";
const ANSWERED: RunEnd = RunEnd::Answered { status: 201, report: None };

fn start(steps: Vec<Step>, limits: Limits) -> (TrafficSide, Target) {
    let script: Script = Arc::new(move |_| steps.clone());
    let target = Target::start(script);
    (TrafficSide::start(target.address, limits), target)
}

/// Sends a booking, and returns the connection before the response is read.
fn send_booking(side: &TrafficSide) -> TcpStream {
    let mut stream = TcpStream::connect(side.callers).expect("the node listens");
    let request = format!(
        "POST /bookings HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\nidempotency-key: one\r\ncontent-length: 6\r\n\r\nslot 7"
    );
    stream.write_all(request.as_bytes()).expect("the node reads");
    stream
}

fn refuse(reason: Reason) -> Verdict {
    Verdict::Refuse(Refusal::unknown(reason))
}

#[test]
fn a_run_that_is_too_late_to_start_is_not_sent() {
    let (side, target) = start(text(COMPLETE), Limits::default());
    let caller = send_booking(&side);
    let ticket = side.accept().ticket;
    // As if the process was frozen between the decision and the first byte.
    side.set_time(Millis(501));
    side.dispatch(TrafficCommand::Run(run(ticket)));
    assert_eq!(side.event(), Event::RunEnded(ticket, RunEnd::NotSent));
    assert!(target.seen().is_empty());
    let refusal = Refusal::not_run(Reason::TargetFailed);
    side.finish(ticket, Verdict::Refuse(refusal));
    assert_eq!(read_all(caller).status(), 503);
}

#[test]
fn a_run_that_is_too_late_is_not_sent_over_an_idle_connection_either() {
    let (side, target) = start(text(COMPLETE), Limits::default());
    for (now, runs) in [(0, 1), (501, 1), (499, 2)] {
        side.set_time(Millis(now));
        let caller = send_booking(&side);
        let ticket = side.accept().ticket;
        side.dispatch(TrafficCommand::Run(run(ticket)));
        let event = side.event();
        assert_eq!(target.seen().len(), runs, "at {now} ms: {event:?}");
        side.finish(ticket, Verdict::Refuse(Refusal::not_run(Reason::TargetFailed)));
        read_all(caller);
    }
}

/// Guards against an upload that fails for good because one target could not be reached: its body
/// was given to the attempt that has sent none of it.
#[test]
fn an_upload_that_was_not_sent_is_sent_by_the_next_attempt() {
    const BODY_BYTES: usize = 200_000;
    let (side, target) = start(text(COMPLETE), Limits::default());
    let set_target = |address: &str| {
        let address = TargetAddress { address: address.into(), instance: "".into() };
        side.dispatch(TrafficCommand::Target(Some(address)));
    };
    let mut caller = TcpStream::connect(side.callers).expect("the node listens");
    let request = format!(
        "POST /bookings HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\nidempotency-key: one\r\n\
         content-length: {BODY_BYTES}\r\n\r\n{}",
        "x".repeat(BODY_BYTES)
    );
    let sending = caller.try_clone().expect("a second handle of the socket");
    thread::spawn(move || (&sending).write_all(request.as_bytes()));
    let ticket = side.accept().ticket;
    set_target("127.0.0.1:1");
    side.dispatch(TrafficCommand::Run(run(ticket)));
    assert_eq!(side.event(), Event::RunEnded(ticket, RunEnd::NotSent));
    set_target(&target.address.to_string());
    side.dispatch(TrafficCommand::Run(run(ticket)));
    assert_eq!(side.event(), Event::RunEnded(ticket, ANSWERED));
    assert_eq!(read_response(&mut caller).body(), "hello");
    assert!(target.seen()[0].ends_with(&"x".repeat(BODY_BYTES)));
}

#[test]
fn the_complete_response_goes_to_the_caller_at_once_and_its_end_is_reported() {
    let (side, _target) = start(text(COMPLETE), Limits::default());
    let caller = send_booking(&side);
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(run(ticket)));
    let response = read_all(caller);
    insta::assert_snapshot!(format!("{}\n\n{}", response.head(), response.body()));
    assert_eq!(side.event(), Event::RunEnded(ticket, ANSWERED));
}

/// A server error is not returned before the control thread's verdict, since it may retry the
/// request.
#[test]
fn a_server_error_is_returned_only_on_command() {
    let failed = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\noops";
    let (side, _target) = start(text(failed), Limits::default());
    let caller = send_booking(&side);
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(run(ticket)));
    let end = RunEnd::Answered { status: 500, report: None };
    assert_eq!(side.event(), Event::RunEnded(ticket, end));
    side.dispatch(TrafficCommand::Run(run(ticket)));
    assert_eq!(side.event(), Event::RunEnded(ticket, end));
    side.finish(ticket, Verdict::Pass);
    let response = read_all(caller);
    assert_eq!((response.status(), response.body()), (500, "oops"));
}

#[test]
fn a_run_continues_after_its_caller_disconnected() {
    let steps = [vec![Step::Wait(Duration::from_millis(300))], text(COMPLETE)].concat();
    let (side, _target) = start(steps, Limits::default());
    let caller = send_booking(&side);
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(run(ticket)));
    caller.shutdown(Shutdown::Both).expect("the connection is open");
    drop(caller);
    assert_eq!(side.event(), Event::CallerGone(ticket));
    assert_eq!(side.event(), Event::RunEnded(ticket, ANSWERED));
}

#[test]
fn a_cancelled_run_closes_the_connection_to_the_target() {
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello";
    for steps in [Vec::new(), text(half)] {
        let steps = [steps, vec![Step::Wait(Duration::from_millis(400))]].concat();
        let (side, target) = start(steps, Limits::default());
        let caller = send_booking(&side);
        let ticket = side.accept().ticket;
        side.dispatch(TrafficCommand::Run(run(ticket)));
        wait_until(|| target.seen().len() == 1);
        side.dispatch(TrafficCommand::Cancel(ticket));
        // The response may have begun.
        let ended = match side.event() {
            Event::ResponseUnusable => side.event(),
            event => event,
        };
        assert_eq!(ended, Event::RunEnded(ticket, RunEnd::Cancelled));
        side.finish(ticket, refuse(Reason::CallerGone));
        wait_until(|| target.closed() == 1);
        let response = read_all(caller);
        assert!(!response.text.ends_with("helloworld"), "{response:?}");
    }
}

#[test]
fn a_request_that_is_refused_while_it_runs_gets_the_refusal() {
    let (side, target) = start(vec![Step::Wait(Duration::from_millis(600))], Limits::default());
    let caller = send_booking(&side);
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(run(ticket)));
    wait_until(|| target.seen().len() == 1);
    side.dispatch(TrafficCommand::Cancel(ticket));
    assert_eq!(side.event(), Event::RunEnded(ticket, RunEnd::Cancelled));
    side.finish(ticket, refuse(Reason::DeadlineDuringRun));
    assert_eq!(read_all(caller).status(), 504);
    wait_until(|| target.closed() == 1);
}

/// Small responses are buffered until they are complete, so that no caller receives a part of one.
#[test]
fn a_truncated_response_is_not_started() {
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello";
    let steps = [text(half), vec![Step::Wait(Duration::from_millis(100)), Step::Close]].concat();
    let (side, target) = start(steps, Limits::default());
    let caller = send_booking(&side);
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(run(ticket)));
    assert_eq!(side.event(), Event::ResponseUnusable);
    assert_eq!(side.event(), Event::RunEnded(ticket, RunEnd::Broken));
    assert_eq!(target.seen().len(), 1);
    side.finish(ticket, refuse(Reason::TargetFailed));
    let response = read_all(caller);
    assert_eq!(response.status(), 502, "{response:?}");
}

/// Large responses are streamed; once one has started, the request is not retried.
#[test]
fn a_request_is_not_retried_once_its_response_has_started() {
    let size = 1_000_000;
    let half = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 2 * size);
    let steps = [text(&half), text(&"x".repeat(size))].concat();
    let steps = [steps, vec![Step::Wait(Duration::from_millis(100)), Step::Close]].concat();
    let (side, target) = start(steps, Limits::default());
    let caller = send_booking(&side);
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(run(ticket)));
    let response = read_all(caller);
    assert!(response.text.starts_with("HTTP/1.1 200 OK") && response.body().len() < 2 * size);
    let mut events = vec![side.event(), side.event(), side.event()];
    events.sort_by_key(|event| format!("{event:?}"));
    let ended = Event::RunEnded(ticket, RunEnd::Broken);
    assert_eq!(events, [Event::CallerGone(ticket), Event::ResponseUnusable, ended]);
    side.finish(ticket, refuse(Reason::TargetFailed));
    assert_eq!(target.seen().len(), 1);
}

#[test]
fn a_request_is_retried_on_a_new_connection_if_the_idle_one_was_closed() {
    // The target closes each connection after its response, without `connection: close`.
    let steps = [text(COMPLETE), vec![Step::Close]].concat();
    let (side, target) = start(steps, Limits::default());
    for number in 1..=20 {
        let caller = send_booking(&side);
        let ticket = side.accept().ticket;
        side.dispatch(TrafficCommand::Run(run(ticket)));
        assert_eq!(side.event(), Event::RunEnded(ticket, ANSWERED), "request {number}");
        assert_eq!(target.seen().len(), number);
        assert_eq!(read_all(caller).body(), "hello");
        wait_until(|| target.closed() == number);
    }
}

/// A request that must not run twice is not sent on a connection that the target may have closed.
#[test]
fn a_non_repeatable_request_is_not_sent_on_a_connection_that_was_idle_too_long() {
    let (side, target) = start(text(COMPLETE), Limits::default());
    let book_once = || {
        let caller = send_booking(&side);
        let ticket = side.accept().ticket;
        side.dispatch(TrafficCommand::Run(Run { repeatable: false, ..run(ticket) }));
        assert_eq!(side.event(), Event::RunEnded(ticket, ANSWERED));
        assert_eq!(read_all(caller).body(), "hello");
    };
    book_once();
    book_once();
    assert_eq!(target.connections(), 1);
    std::thread::sleep(Duration::from_millis(1_100));
    book_once();
    assert_eq!(target.connections(), 2);
}
