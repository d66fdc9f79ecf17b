//! Connections to a peer that the test plays.

use std::{
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use bytes::BytesMut;
use mustardpin_node::traffic::TrafficCommand;
use mustardpin_wire::frame::{self, Head, Hello};
use mustardpin_world::{
    Event, Millis,
    id::{KeyDigest, NodeId},
    refusal::{Reason, Refusal},
    request::{ForwardEnd, Load, Ticket, Verdict},
    store::Announcement,
};

use crate::{
    fake::{End, TrafficSide, read_all},
    link::{forward, is_link_up, next_event, node},
};

/// Listens as node 1.
fn listen() -> (TcpListener, Announcement) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let announcement = Announcement {
        node: NodeId(1),
        name: "node-1".into(),
        data_centre: "north".into(),
        service: "slots".into(),
        address: address.into(),
    };
    (listener, announcement)
}

/// A peer that the test plays: it accepts the connection of a node.
struct FakePeer {
    stream: TcpStream,
    received: BytesMut,
}

impl FakePeer {
    /// Accepts a connection and exchanges hello frames.
    fn accept(listener: &TcpListener, announcement: &Announcement) -> FakePeer {
        let (stream, _) = listener.accept().expect("the node connects");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("the timeout is not zero");
        let mut peer = FakePeer { stream, received: BytesMut::new() };
        assert!(matches!(peer.next(), Head::Hello(_)));
        peer.send(&Head::Hello(Hello {
            version: frame::PROTOCOL_VERSION,
            credential: KeyDigest::of("fleet").0,
            announcement: announcement.clone().into(),
            to: 2,
            revision: 0,
            sent_ms: 0,
        }));
        peer
    }

    fn send(&mut self, head: &Head) {
        self.send_with(head, "");
    }

    fn send_with(&mut self, head: &Head, payload: &str) {
        let mut bytes = Vec::new();
        frame::encode(&mut bytes, head, &[payload.as_bytes()]).expect("the frame is small");
        self.stream.write_all(&bytes).expect("the node reads");
    }

    fn next(&mut self) -> Head {
        let mut bytes = [0; 4096];
        loop {
            if let Some((head, _)) = frame::decode(&mut self.received).expect("a valid frame") {
                return head;
            }
            let count = self.stream.read(&mut bytes).expect("the node sends a frame");
            self.received.extend_from_slice(&bytes[..count]);
        }
    }

    /// Returns the stream of the next request.
    fn next_request(&mut self) -> u32 {
        loop {
            if let Head::Request(request) = self.next() {
                return request.stream;
            }
        }
    }
}

/// Guards against a refusal that arrives once more, or after the connection was made anew, and is
/// taken for that of another request.
#[test]
fn a_late_refusal_of_a_peer_belongs_to_no_other_request() {
    let two = node(2, "fleet");
    let (listener, announcement) = listen();
    two.dispatch(TrafficCommand::OpenLink(announcement.clone()));
    let mut peer = FakePeer::accept(&listener, &announcement);
    next_event(&two, is_link_up);
    let send = || {
        let callers = two.callers;
        thread::spawn(move || crate::fake::get(callers, "/slots"));
        let ticket = two.accept().ticket;
        two.dispatch(TrafficCommand::Forward(forward(ticket)));
        ticket
    };
    let end = |ended: Ticket| {
        let is_end = |event: &Event| matches!(event, Event::ForwardEnded { .. });
        let Event::ForwardEnded { ticket, end, .. } = next_event(&two, is_end) else {
            panic!("no end")
        };
        assert_eq!(ticket, ended);
        end
    };
    let load = frame::LoadReport::from(Load::default());
    let refusal = |stream| {
        let refusal = Refusal::not_run(Reason::QueueFull);
        Head::Refused(frame::Refused::new(stream, &refusal, 0, load))
    };
    let answer = |stream| {
        let body = frame::Body::Whole;
        Head::Answer(frame::Response { stream, status: 200, retries: 0, load, fields: 0, body })
    };
    let answered = ForwardEnd::Answered { status: 200 };

    let ticket = send();
    let refused = peer.next_request();
    peer.send(&refusal(refused));
    assert!(matches!(end(ticket), ForwardEnd::Refused(_)));
    let ticket = send();
    let stream = peer.next_request();
    peer.send(&refusal(refused));
    peer.send(&answer(stream));
    assert_eq!(end(ticket), answered, "on the same connection");

    drop(peer);
    let mut peer = FakePeer::accept(&listener, &announcement);
    next_event(&two, is_link_up);
    let ticket = send();
    let last = peer.next_request();
    for earlier in [refused, stream] {
        assert_ne!(earlier, last);
        peer.send(&refusal(earlier));
    }
    peer.send(&answer(last));
    assert_eq!(end(ticket), answered, "on the next connection");
}

/// Guards against requests that run for nobody: a connection to a peer that does not respond is
/// given up, and what it still holds reaches the peer once the two can reach each other again.
#[test]
fn a_connection_that_is_given_up_is_reset() {
    const STEP: Millis = Millis(100);
    let two = node(2, "fleet");
    let (listener, announcement) = listen();
    two.dispatch(TrafficCommand::OpenLink(announcement.clone()));
    let peer = FakePeer::accept(&listener, &announcement);
    next_event(&two, is_link_up);
    let callers = two.callers;
    thread::spawn(move || crate::fake::get(callers, "/slots"));
    let ticket = two.accept().ticket;
    two.dispatch(TrafficCommand::Forward(forward(ticket)));
    let mut now = Millis::ZERO;
    let mut ends = Vec::new();
    while ends.is_empty() {
        assert!(now < Millis::from_secs(4), "the connection is still in use");
        now = now + STEP;
        two.set_time(now);
        thread::sleep(Duration::from_millis(STEP.0));
        while !two.has_no_events() {
            if let Event::ForwardEnded { end, .. } = two.event() {
                ends.push(end);
            }
        }
    }
    assert_eq!(ends, [ForwardEnd::Broken]);
    assert_eq!(read_all(peer.stream).end, End::Reset);
}

/// A node and the peer that it is connected to.
fn connected() -> (TrafficSide, FakePeer) {
    let two = node(2, "fleet");
    let (listener, announcement) = listen();
    two.dispatch(TrafficCommand::OpenLink(announcement.clone()));
    let peer = FakePeer::accept(&listener, &announcement);
    next_event(&two, is_link_up);
    (two, peer)
}

/// Sends a request to a node that forwards it to the peer, which responds. Returns how the forwarded
/// request ended and what its caller got.
fn play(two: &TrafficSide, peer: &mut FakePeer, respond: impl Fn(&mut FakePeer, u32)) -> String {
    let callers = two.callers;
    let caller = thread::spawn(move || crate::fake::get(callers, "/slots"));
    let ticket = two.accept().ticket;
    two.dispatch(TrafficCommand::Forward(forward(ticket)));
    let stream = peer.next_request();
    respond(peer, stream);
    let is_end = |event: &Event| matches!(event, Event::ForwardEnded { .. });
    let Event::ForwardEnded { end, .. } = next_event(two, is_end) else { panic!("no end") };
    two.finish(ticket, Verdict::Refuse(Refusal::unknown(Reason::TargetFailed)));
    let response = caller.join().expect("the caller ends");
    let is_whole = response.body() == "hello" || response.body().contains("\r\n0\r\n");
    let got = match response.status() {
        200 if is_whole => "the whole response".to_owned(),
        200 => "a truncated response".to_owned(),
        status => format!("{status}"),
    };
    format!("{end:?}, the caller gets {got}")
}

fn answer(stream: u32, status: u16, lines: &str, body: frame::Body) -> Head {
    let load = frame::LoadReport::from(Load::default());
    let fields = lines.len() as u32;
    Head::Answer(frame::Response { stream, status, retries: 0, load, fields, body })
}

/// Guards against a status code that no final response has, and that a peer of an earlier version
/// passes on. It must end its own request and no other on the connection.
#[test]
fn a_response_of_a_peer_without_a_valid_status_is_not_passed_on() {
    let (two, mut peer) = connected();
    let (whole, chunks) = (frame::Body::Whole, frame::Body::Chunks { length: None });
    let mut table = String::new();
    for status in [0, 99, 100, 101, 199, 600, 999, 1_000, u16::MAX, 200] {
        for body in [whole, chunks] {
            let result = play(&two, &mut peer, |peer, stream| {
                peer.send_with(&answer(stream, status, "", body), "hello");
                if body == chunks {
                    peer.send_with(&Head::Chunk { stream, last: false }, "hello");
                    peer.send_with(&Head::Chunk { stream, last: true }, "");
                }
            });
            table.push_str(&format!("{status} {body:?}: {result}\n"));
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against lines that are no headers or trailers, and that a peer passes on. They must end
/// their own request and no other on the connection.
#[test]
fn malformed_header_lines_of_a_peer_are_not_passed_on() {
    let (two, mut peer) = connected();
    let chunks = frame::Body::Chunks { length: None };
    let mut table = String::new();
    for lines in [
        "x name: 1\r\n",
        " name: 1\r\n",
        "name : 1\r\n",
        ": 1\r\n",
        "x\u{0}name: 1\r\n",
        "name: \u{0}\r\n",
        "name\r\n",
        "name: 1",
        "name: 1\n",
        "name: 1\r",
        "\nname: 1\r\n",
        "x: 1\r\n\nname: 1\r\n",
        "x: 1\r\n\r\nname: 1\r\n",
        "\r\n",
        "x: 1\r\ny:\r\n",
    ] {
        let result = play(&two, &mut peer, |peer, stream| {
            let payload = format!("{lines}hello");
            peer.send_with(&answer(stream, 200, lines, frame::Body::Whole), &payload);
        });
        table.push_str(&format!("headers {lines:?}: {result}\n"));
        let result = play(&two, &mut peer, |peer, stream| {
            peer.send_with(&answer(stream, 200, "", chunks), "");
            peer.send_with(&Head::Chunk { stream, last: false }, "hello");
            peer.send_with(&Head::Chunk { stream, last: true }, lines);
        });
        table.push_str(&format!("trailers {lines:?}: {result}\n"));
    }
    insta::assert_snapshot!(table);
}

/// Guards against a body that stays in memory at both nodes, since it is neither sent on nor ended once
/// its request has ended.
#[test]
fn the_body_of_a_request_that_has_ended_is_ended() {
    let (two, mut peer) = connected();
    let load = frame::LoadReport::from(Load::default());
    let refusal = Refusal::not_run(Reason::QueueFull);
    let refused = |stream| Head::Refused(frame::Refused::new(stream, &refusal, 0, load));
    let ends: [&dyn Fn(u32) -> Head; 3] =
        [&|stream| answer(stream, 200, "", frame::Body::Empty), &refused, &|stream| Head::Broken {
            stream,
        }];
    for end in ends {
        let mut caller = TcpStream::connect(two.callers).expect("the node listens");
        let head = "POST /slots HTTP/1.1\r\nhost: fleet\r\ncontent-length: 6000000\r\n\r\n";
        caller.write_all(head.as_bytes()).expect("the node reads");
        let mut upload = caller.try_clone().expect("a second handle");
        thread::spawn(move || upload.write_all(&vec![b'x'; 6_000_000]));
        let ticket = two.accept().ticket;
        two.dispatch(TrafficCommand::Forward(forward(ticket)));
        let stream = peer.next_request();
        let end = end(stream);
        peer.send(&end);
        while peer.next() != (Head::Broken { stream }) {}
        let is_end = |event: &Event| matches!(event, Event::ForwardEnded { .. });
        next_event(&two, is_end);
        two.finish(ticket, Verdict::Refuse(Refusal::unknown(Reason::TargetFailed)));
    }
}
