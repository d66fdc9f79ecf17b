//! One run on the target, as the control thread orders it and learns of its end.

use std::{
    io::Write as _,
    net::{Shutdown, TcpStream},
    sync::Arc,
    time::Duration,
};

use mustardpin_node::{exchange::Order, launch::Limits};
use mustardpin_world::{
    Event, Millis,
    refusal::{Reason, Refusal},
    request::{Run, RunEnd, Verdict},
};

use crate::fake::{KEY, Script, Step, Target, TrafficSide, read_all, run, text, wait_until};

const WHOLE: &str = "HTTP/1.1 201 Created\r\ncontent-length: 5\r\nx-own: 1\r\n\r\nhello";

fn start(steps: Vec<Step>, limits: Limits) -> (TrafficSide, Target) {
    let script: Script = Arc::new(move |_| steps.clone());
    let target = Target::start(script);
    (TrafficSide::start(target.address, limits), target)
}

/// A caller that has sent a booking and not read the answer.
fn book(side: &TrafficSide) -> TcpStream {
    let mut stream = TcpStream::connect(side.callers).expect("the node listens");
    let request = format!(
        "POST /bookings HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\nidempotency-key: one\r\ncontent-length: 6\r\n\r\nslot 7"
    );
    stream.write_all(request.as_bytes()).expect("the node reads");
    stream
}

#[test]
fn a_run_that_is_too_late_to_start_is_not_sent() {
    let (side, target) = start(text(WHOLE), Limits::default());
    let caller = book(&side);
    let (_, mut exchange) = side.accept();
    // The process was frozen between the decision and the first byte.
    side.set_time(Millis(501));
    exchange.order(Order::Run(run()));
    assert_eq!(side.event(), Event::RunEnded(run().call, RunEnd::NotSent));
    assert!(target.seen().is_empty());
    exchange.order(Order::Finish(Verdict::Refuse(Refusal::not_run(Reason::TargetFailed))));
    assert_eq!(read_all(caller).status(), 502);
}

#[test]
fn a_run_that_is_too_late_is_not_sent_over_an_idle_connection_either() {
    let (side, target) = start(text(WHOLE), Limits::default());
    for (now, runs) in [(0, 1), (501, 1), (500, 2)] {
        side.set_time(Millis(now));
        let caller = book(&side);
        let (_, mut exchange) = side.accept();
        exchange.order(Order::Run(run()));
        let event = side.event();
        assert_eq!(target.seen().len(), runs, "at {now} ms: {event:?}");
        exchange.order(Order::Finish(Verdict::Refuse(Refusal::not_run(Reason::TargetFailed))));
        read_all(caller);
    }
}

#[test]
fn the_whole_answer_of_a_recorded_run_comes_back_with_its_end() {
    let (side, _target) = start(text(WHOLE), Limits::default());
    let caller = book(&side);
    let (_, mut exchange) = side.accept();
    exchange.order(Order::Run(Run { record: true, ..run() }));
    let end = side.event();
    exchange.order(Order::Finish(Verdict::Pass));
    insta::assert_debug_snapshot!(end);
    assert_eq!(read_all(caller).body(), "hello");

    let repeat = book(&side);
    let (_, mut exchange) = side.accept();
    let Event::RunEnded(_, RunEnd::Answered { answer: Some(answer), .. }) = end else {
        panic!("the answer is recorded")
    };
    exchange.order(Order::Finish(Verdict::Replay(answer)));
    let repeat = read_all(repeat);
    insta::assert_snapshot!(format!("{}\n\n{}", repeat.head(), repeat.body()));
}

#[test]
fn an_answer_that_is_too_large_to_record_is_passed_on_all_the_same() {
    let limits = Limits { record_size: 4, ..Limits::default() };
    let (side, _target) = start(text(WHOLE), limits);
    let caller = book(&side);
    let (_, mut exchange) = side.accept();
    exchange.order(Order::Run(Run { record: true, ..run() }));
    let end = RunEnd::Answered { status: 201, answer: None };
    assert_eq!(side.event(), Event::RunEnded(run().call, end));
    exchange.order(Order::Finish(Verdict::Pass));
    assert_eq!(read_all(caller).body(), "hello");
}

#[test]
fn a_recorded_run_goes_on_when_its_caller_has_gone() {
    let steps = [vec![Step::Wait(Duration::from_millis(300))], text(WHOLE)].concat();
    let (side, _target) = start(steps, Limits::default());
    let caller = book(&side);
    let (_, mut exchange) = side.accept();
    exchange.order(Order::Run(Run { record: true, ..run() }));
    caller.shutdown(Shutdown::Both).expect("the connection is open");
    drop(caller);
    assert_eq!(side.event(), Event::CallerGone(run().call));
    let end = side.event();
    assert!(
        matches!(end, Event::RunEnded(_, RunEnd::Answered { status: 201, answer: Some(_) })),
        "{end:?}"
    );
}

#[test]
fn a_cancelled_run_closes_the_connection_to_the_target() {
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello";
    for steps in [Vec::new(), text(half)] {
        let steps = [steps, vec![Step::Wait(Duration::from_millis(400))]].concat();
        let (side, target) = start(steps, Limits::default());
        let caller = book(&side);
        let (_, mut exchange) = side.accept();
        exchange.order(Order::Run(run()));
        wait_until(|| target.seen().len() == 1);
        exchange.order(Order::Cancel);
        let mut events = vec![side.event()];
        if let Event::CallerGone(_) = events[0] {
            events.push(side.event());
        }
        assert_eq!(events.last(), Some(&Event::RunEnded(run().call, RunEnd::Cancelled)));
        exchange.order(Order::Finish(Verdict::Refuse(Refusal::unknown(Reason::CallerGone))));
        wait_until(|| target.closed() == 1);
        let answer = read_all(caller);
        assert!(!answer.text.ends_with("helloworld"), "{answer:?}");
    }
}

#[test]
fn a_run_ends_at_its_deadline() {
    let (side, target) = start(vec![Step::Wait(Duration::from_millis(600))], Limits::default());
    let caller = book(&side);
    let (_, mut exchange) = side.accept();
    exchange.order(Order::Run(Run { deadline: Millis(100), ..run() }));
    assert_eq!(side.event(), Event::RunEnded(run().call, RunEnd::Cancelled));
    exchange.order(Order::Finish(Verdict::Refuse(Refusal::unknown(Reason::DeadlineDuringRun))));
    assert_eq!(read_all(caller).status(), 504);
    wait_until(|| target.closed() == 1);
}

#[test]
fn nothing_is_sent_again_once_the_answer_has_begun() {
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello";
    let steps = [text(half), vec![Step::Wait(Duration::from_millis(100)), Step::Close]].concat();
    let (side, target) = start(steps, Limits::default());
    let caller = book(&side);
    let (_, mut exchange) = side.accept();
    exchange.order(Order::Run(run()));
    assert_eq!(side.event(), Event::CallerGone(run().call));
    assert_eq!(side.event(), Event::RunEnded(run().call, RunEnd::Broken));
    exchange.order(Order::Run(run()));
    assert_eq!(side.event(), Event::RunEnded(run().call, RunEnd::Cancelled));
    assert_eq!(target.seen().len(), 1);
    let answer = read_all(caller);
    assert_eq!(answer.body(), "hello", "{answer:?}");
}

#[test]
fn a_request_is_sent_again_over_a_new_connection_if_an_idle_one_was_dead() {
    // The target closes each connection after its answer, without saying so.
    let steps = [text(WHOLE), vec![Step::Close]].concat();
    let (side, target) = start(steps, Limits::default());
    for number in 1..=20 {
        let caller = book(&side);
        let (_, mut exchange) = side.accept();
        exchange.order(Order::Run(run()));
        let event = side.event();
        exchange.order(Order::Finish(Verdict::Pass));
        let answered = Event::RunEnded(run().call, RunEnd::Answered { status: 201, answer: None });
        assert_eq!(event, answered, "request {number}");
        assert_eq!(target.seen().len(), number);
        drop(caller);
        wait_until(|| target.closed() == number);
    }
}
