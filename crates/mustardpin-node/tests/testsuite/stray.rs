//! A target sends a refusal once more, late, on a connection that is in use again. A request counts as
//! not run only if the refusal is its own.

use std::{
    io::Write as _,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use mustardpin_http::head::{Request, Response};
use mustardpin_node::{launch::Limits, traffic::TrafficCommand};
use mustardpin_wire::{
    dialect::{
        DeliveryHeaders, Dialect, EntryHeaders, ParsedRequest, Port, Report, RequestError,
        ResponseKind,
    },
    native::Native,
};
use mustardpin_world::{
    Event, Millis,
    notice::Notice,
    refusal::{Reason, Refusal},
    request::{Run, RunEnd, Verdict},
};

use crate::fake::{KEY, Script, Step, Target, TrafficSide, read_all, run, text};

const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\ntarget-outcome: not-run\r\n";

/// The native dialect, in which responses name their requests in `request-id`.
struct Echo(Native);

impl Dialect for Echo {
    fn read_request(&self, port: Port, head: &Request) -> Result<ParsedRequest, RequestError> {
        self.0.read_request(port, head)
    }

    fn forwards_request_header(&self, request: &ParsedRequest, name: &str, value: &[u8]) -> bool {
        self.0.forwards_request_header(request, name, value)
    }

    fn write_entry_headers(&self, entry: EntryHeaders<'_>, out: &mut Vec<u8>) {
        self.0.write_entry_headers(entry, out);
    }

    fn write_delivery_headers(&self, delivery: DeliveryHeaders<'_>, out: &mut Vec<u8>) {
        self.0.write_delivery_headers(delivery, out);
    }

    fn read_response(&self, id: &str, head: &Response) -> ResponseKind {
        match head.headers.get("request-id") {
            Some(echo) if echo != id.as_bytes() => ResponseKind::Unusable("another request"),
            _ => self.0.read_response(id, head),
        }
    }

    fn read_notice(&self, id: &str, head: &Response) -> Notice {
        self.0.read_notice(id, head)
    }

    fn allows_reuse(&self, head: &Response) -> bool {
        head.headers.get("request-id").is_some()
    }

    fn forwards_response_header(&self, name: &str) -> bool {
        self.0.forwards_response_header(name)
    }

    fn write_refusal(&self, refusal: &Refusal, left: Option<Millis>, out: &mut Vec<u8>) -> Bytes {
        self.0.write_refusal(refusal, left, out)
    }

    fn read_report(&self, head: &Request, body: &[u8]) -> Option<Report> {
        self.0.read_report(head, body)
    }

    fn is_readiness_check(&self, head: &Request) -> bool {
        self.0.is_readiness_check(head)
    }
}

/// Returns the id of a request.
fn id_of(request: &str) -> &str {
    request.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap_or_default()
}

/// A target that declines each request whose id begins with `full`, and sends a copy of the refusal
/// when the next request has arrived on the connection. It runs all others for some time.
fn script(is_echoed: bool) -> Script {
    Arc::new(move |request| {
        let id = id_of(request);
        let echo = if is_echoed { format!("request-id: {id}\r\n") } else { String::new() };
        if id.starts_with("full") {
            let refusal = format!("{DECLINED}{echo}content-length: 0\r\n\r\n");
            return [text(&refusal), vec![Step::Stray(refusal.into_bytes())]].concat();
        }
        let response = format!("HTTP/1.1 200 OK\r\n{echo}content-length: 5\r\n\r\nhello");
        [vec![Step::Wait(Duration::from_millis(100))], text(&response)].concat()
    })
}

/// Sends a request with this id and returns how its run ended.
fn end_of_run(side: &TrafficSide, id: &str, repeatable: bool) -> RunEnd {
    let mut stream = TcpStream::connect(side.callers).expect("the node listens");
    let request = format!(
        "POST /bookings HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\nrequest-id: {id}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 6\r\n\r\nslot 7"
    );
    stream.write_all(request.as_bytes()).expect("the node reads");
    let ticket = side.accept().ticket;
    side.dispatch(TrafficCommand::Run(Run { repeatable, ..run(ticket) }));
    let ended = match side.event() {
        Event::ResponseUnusable => side.event(),
        event => event,
    };
    let Event::RunEnded(_, end) = ended else { panic!("expected the end of the run") };
    side.finish(ticket, Verdict::Refuse(Refusal::unknown(Reason::TargetFailed)));
    read_all(stream);
    end
}

fn start(is_echoed: bool) -> (TrafficSide, Target) {
    let target = Target::start(script(is_echoed));
    let dialect: Arc<dyn Dialect> = match is_echoed {
        true => Arc::new(Echo(Native::new("slots"))),
        false => Arc::new(Native::new("slots")),
    };
    let limits = Limits::default();
    let side = TrafficSide::start_with(1, "fleet", target.address, limits, dialect);
    (side, target)
}

/// Guards against callers that are told that a request has not run, or a second run elsewhere, while
/// the target runs it.
#[test]
fn a_copy_of_an_earlier_refusal_is_not_taken_for_that_of_the_next_request() {
    for is_echoed in [false, true] {
        for repeatable in [false, true] {
            let (side, _target) = start(is_echoed);
            let case = format!("echoed: {is_echoed}, repeatable: {repeatable}");
            assert_eq!(end_of_run(&side, "full-1", repeatable), RunEnd::Declined, "{case}");
            let end = end_of_run(&side, "next", repeatable);
            let is_true = matches!(end, RunEnd::Answered { status: 200, .. } | RunEnd::Broken);
            assert!(is_true, "{case}: {end:?}");
        }
    }
}

/// Guards against the same for a request that the node sends to the target again, under the same id.
#[test]
fn a_copy_of_the_refusal_of_a_request_is_not_taken_for_that_of_its_next_run() {
    let is_full = AtomicBool::new(true);
    let refusal = format!("{DECLINED}request-id: one\r\ncontent-length: 0\r\n\r\n");
    let response = "HTTP/1.1 200 OK\r\nrequest-id: one\r\ncontent-length: 5\r\n\r\nhello";
    let script: Script = Arc::new(move |_| match is_full.swap(false, Ordering::Relaxed) {
        true => [text(&refusal), vec![Step::Stray(refusal.clone().into_bytes())]].concat(),
        false => [vec![Step::Wait(Duration::from_millis(100))], text(response)].concat(),
    });
    let target = Target::start(script);
    let dialect = Arc::new(Echo(Native::new("slots")));
    let side = TrafficSide::start_with(1, "fleet", target.address, Limits::default(), dialect);
    assert_eq!(end_of_run(&side, "one", false), RunEnd::Declined);
    assert_eq!(end_of_run(&side, "one", false), RunEnd::Answered { status: 200, report: None });
    assert_eq!(target.connections(), 2);
}

/// The ids that a connection remembers are bounded.
#[test]
fn a_connection_is_kept_for_a_limited_number_of_refusals() {
    let script: Script = Arc::new(|request| {
        text(&format!("{DECLINED}request-id: {}\r\ncontent-length: 0\r\n\r\n", id_of(request)))
    });
    let target = Target::start(script);
    let dialect = Arc::new(Echo(Native::new("slots")));
    let side = TrafficSide::start_with(1, "fleet", target.address, Limits::default(), dialect);
    for number in 0..100 {
        assert_eq!(end_of_run(&side, &format!("full-{number}"), false), RunEnd::Declined);
    }
    assert_eq!(target.connections(), 4);
}
