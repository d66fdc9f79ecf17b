//! Connections between nodes.

mod played;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use mustardpin_node::{launch::Limits, traffic::TrafficCommand};
use mustardpin_wire::frame::{self, Head, Hello};
use mustardpin_world::{
    Event, Millis,
    id::{KeyDigest, NodeId, Revision},
    message::{Message, configuration},
    refusal::{Reason, Refusal},
    request::{Forward, ForwardEnd, Forwarded, Load, Nesting, Ticket, Verdict},
    store::Announcement,
};

use crate::fake::{End, Target, TrafficSide, read_all, run, text};

const UNUSED_ADDRESS: &str = "127.0.0.1:1";

fn node(id: u64, credential: &str) -> TrafficSide {
    let target: SocketAddr = UNUSED_ADDRESS.parse().expect("an address");
    TrafficSide::start_as(id, credential, target, Limits::default())
}

fn message(after: u64) -> Message {
    Message::Configuration(configuration::Message::Want { after: Revision(after) })
}

/// Waits for the next event of a node that meets a condition.
pub fn next_event(node: &TrafficSide, condition: impl Fn(&Event) -> bool) -> Event {
    loop {
        let event = node.event();
        if condition(&event) {
            return event;
        }
    }
}

pub fn is_link_up(event: &Event) -> bool {
    matches!(event, Event::LinkUp { .. })
}

#[test]
fn messages_arrive_in_the_order_they_were_sent() {
    let (one, two) = (node(1, "fleet"), node(2, "fleet"));
    two.dispatch(TrafficCommand::OpenLink(one.announcement.clone()));
    next_event(&two, is_link_up);
    assert_eq!(one.event(), Event::PeerSeen(two.announcement.clone()));
    for after in 0..200 {
        two.dispatch(TrafficCommand::Send { to: NodeId(1), message: message(after) });
    }
    for after in 0..200 {
        let event = Event::Peer { from: NodeId(2), message: message(after) };
        assert_eq!(one.event(), event);
    }
}

#[test]
fn a_node_reports_the_load_of_its_target_to_peers() {
    let (one, two) = (node(1, "fleet"), node(2, "fleet"));
    two.dispatch(TrafficCommand::OpenLink(one.announcement.clone()));
    next_event(&two, is_link_up);
    let load = Load { open: true, running: 3, limit: 8, ..Load::default() };
    one.dispatch(TrafficCommand::Publish { load, urgent: true });
    let reported =
        next_event(&two, |event| matches!(event, Event::Load { load, .. } if load.running == 3));
    assert_eq!(reported, Event::Load { from: NodeId(1), load });
}

/// Guards against failures to connect that the control thread does not learn of: the address is
/// unreachable, another node listens there, or the credentials differ.
#[test]
fn a_connection_that_cannot_be_made_is_reported() {
    let one = node(1, "fleet");
    let other = Announcement { node: NodeId(3), ..one.announcement.clone() };
    let unreachable = Announcement { address: UNUSED_ADDRESS.into(), ..one.announcement.clone() };
    let mut report = String::new();
    let cases = [
        ("nobody listens", "fleet", unreachable),
        ("another node listens", "fleet", other),
        ("another credential", "guess", one.announcement.clone()),
    ];
    for (name, credential, announcement) in cases {
        let two = node(2, credential);
        two.dispatch(TrafficCommand::OpenLink(announcement));
        let event = next_event(&two, |event| !is_link_up(event));
        report.push_str(&format!("{name}: {event:?}\n"));
    }
    insta::assert_snapshot!(report);
    assert!(one.has_no_events());
}

/// Requests that wait for an unresponsive peer fail together with the connection, within three
/// seconds.
#[test]
fn requests_to_an_unresponsive_peer_fail_together() {
    const WAITING_REQUESTS: u64 = 8;
    let two = node(2, "fleet");
    // The listener accepts connections into its backlog, but never sends anything.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent.local_addr().expect("a bound address").to_string();
    let announcement = Announcement {
        node: NodeId(1),
        name: "node-1".into(),
        data_centre: "north".into(),
        service: "slots".into(),
        address: address.into(),
    };
    two.dispatch(TrafficCommand::OpenLink(announcement));
    let begin = Instant::now();
    let tickets: Vec<Ticket> = (0..WAITING_REQUESTS)
        .map(|_| {
            let callers = two.callers;
            thread::spawn(move || crate::fake::get(callers, "/slots"));
            two.accept().ticket
        })
        .collect();
    for &ticket in &tickets {
        two.dispatch(TrafficCommand::Forward(forward(ticket)));
    }
    let is_end = |event: &Event| matches!(event, Event::ForwardEnded { .. });
    for _ in 0..WAITING_REQUESTS {
        let Event::ForwardEnded { ticket, end, .. } = next_event(&two, is_end) else { continue };
        assert!(tickets.contains(&ticket));
        assert_eq!(end, ForwardEnd::NotSent);
    }
    assert!(begin.elapsed() < Duration::from_secs(3), "{:?}", begin.elapsed());
}

/// Messages that a node sends must not count as activity of its peer.
#[test]
fn a_silent_connection_is_closed_even_while_messages_are_sent() {
    const STEP: Millis = Millis(100);
    let (one, two) = (node(1, "fleet"), node(2, "fleet"));
    let relay = Relay::start(&one.announcement.address);
    two.dispatch(TrafficCommand::OpenLink(Announcement {
        address: relay.address.to_string().into(),
        ..one.announcement.clone()
    }));
    next_event(&two, is_link_up);
    relay.is_silent.store(true, Ordering::SeqCst);
    let mut now = Millis::ZERO;
    let mut seen = Vec::new();
    while !matches!(seen.last(), Some(Event::LinkDown { .. })) {
        assert!(now < Millis::from_secs(4), "{seen:?}");
        now = now + STEP;
        two.set_time(now);
        two.dispatch(TrafficCommand::Send { to: NodeId(1), message: message(1) });
        thread::sleep(Duration::from_millis(STEP.0));
        while !two.has_no_events() {
            seen.push(two.event());
        }
    }
    let silent = Event::LinkSilent { peer: NodeId(1), silent: true };
    seen.retain(|event| !matches!(event, Event::Load { .. }));
    assert_eq!(seen, [silent, Event::LinkDown { peer: NodeId(1), refused: false }]);
}

/// Forwards bytes between two nodes, until `is_silent` is set.
struct Relay {
    address: SocketAddr,
    is_silent: Arc<AtomicBool>,
}

impl Relay {
    fn start(to: &str) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let is_silent = Arc::new(AtomicBool::new(false));
        let (to, flag) = (to.to_owned(), Arc::clone(&is_silent));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let other = TcpStream::connect(&to).expect("the node listens");
                let clone = |stream: &TcpStream| stream.try_clone().expect("a second handle");
                let directions = [(clone(&stream), clone(&other)), (other, stream)];
                for (mut from, mut to) in directions {
                    let is_silent = Arc::clone(&flag);
                    thread::spawn(move || {
                        let mut bytes = [0; 4096];
                        while let Ok(length @ 1..) = from.read(&mut bytes) {
                            if !is_silent.load(Ordering::SeqCst) {
                                to.write_all(&bytes[..length])
                                    .expect("the destination accepts data");
                            }
                        }
                    });
                }
            }
        });
        Relay { address, is_silent }
    }
}

pub fn forward(ticket: Ticket) -> Forward {
    Forward {
        ticket,
        to: NodeId(1),
        forwarded: Forwarded {
            from: NodeId(2),
            revision: Revision(1),
            key_id: None,
            team: None,
            route: "slots".into(),
            service: "slots".into(),
            rank: Default::default(),
            nesting: Nesting::Root,
            repeatable: true,
            objective: Millis::from_secs(1),
            retry_allowance: 0,
            depth: 0,
            hops: 1,
        },
        timeout: Millis::from_secs(9),
        deadline: Millis::from_secs(10),
    }
}

/// The first frame of a peer that connects to a node.
fn hello(to: &TrafficSide) -> Vec<u8> {
    encode(&Head::Hello(Hello {
        version: frame::PROTOCOL_VERSION,
        credential: KeyDigest::of("fleet").0,
        announcement: Announcement { node: NodeId(9), ..to.announcement.clone() }.into(),
        to: 1,
        revision: 0,
        sent_ms: 0,
    }))
}

/// The frame of a request without a body.
fn request(stream: u32, id: &str) -> Vec<u8> {
    request_sent_at(stream, id, 0)
}

fn request_sent_at(stream: u32, id: &str, sent_ms: u64) -> Vec<u8> {
    encode(&Head::Request(frame::Request {
        stream,
        id: id.into(),
        method: "GET".into(),
        target: "/slots".into(),
        sent_ms,
        timeout_ms: 10_000,
        fingerprint: 0,
        revision: 0,
        key_id: None,
        team: None,
        route: "slots".into(),
        service: "slots".into(),
        rank: (0, 0),
        nesting: Nesting::Root.into(),
        repeatable: true,
        objective_ms: 0,
        retry_allowance: 0,
        depth: 0,
        hops: 0,
        fields: 0,
        body: frame::Body::Empty,
    }))
}

fn encode(head: &Head) -> Vec<u8> {
    let mut frames = Vec::new();
    frame::encode(&mut frames, head, &[]).expect("the frame is small");
    frames
}

/// A peer that reads nothing for a while must not get responses with parts missing.
#[test]
fn a_connection_whose_queue_is_full_is_closed() {
    const REQUESTS: u32 = 240;
    const BODY_BYTES: usize = 250_000;
    let body = "x".repeat(BODY_BYTES);
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n{body}");
    let target = Target::start(Arc::new(move |_| text(&answer)));
    let one = TrafficSide::start(target.address, Limits::default());
    let mut peer = TcpStream::connect(&*one.announcement.address).expect("the node listens");
    let mut frames = hello(&one);
    for stream in 1..=REQUESTS {
        frames.extend(request(stream, "one"));
    }
    peer.write_all(&frames).expect("the node reads");
    for _ in 0..REQUESTS {
        let event = next_event(&one, |event| matches!(event, Event::Arrived(_)));
        let Event::Arrived(request) = event else { continue };
        one.dispatch(TrafficCommand::Run(run(request.ticket)));
    }
    for _ in 0..REQUESTS {
        next_event(&one, |event| matches!(event, Event::RunEnded(..)));
    }
    assert_ne!(read_all(peer).end, End::LeftOpen);
}

/// Guards against requests that fail because their peer is replaced by another process while it
/// drains: the connection to it is closed under them.
#[test]
fn requests_in_progress_get_their_responses_over_a_connection_that_is_closed() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let target = Target::start(Arc::new(move |_| text(answer)));
    let (one, two) = (TrafficSide::start(target.address, Limits::default()), node(2, "fleet"));
    two.dispatch(TrafficCommand::OpenLink(one.announcement.clone()));
    next_event(&two, is_link_up);
    let callers = two.callers;
    let caller = thread::spawn(move || crate::fake::get(callers, "/slots"));
    let arrival = |node: &TrafficSide| {
        let event = next_event(node, |event| matches!(event, Event::Arrived(_)));
        let Event::Arrived(request) = event else { panic!("not an arrival: {event:?}") };
        request.ticket
    };
    let ticket = arrival(&two);
    two.dispatch(TrafficCommand::Forward(forward(ticket)));
    let at_peer = arrival(&one);
    two.dispatch(TrafficCommand::CloseLink(NodeId(1)));
    thread::sleep(Duration::from_millis(100));
    one.dispatch(TrafficCommand::Run(run(at_peer)));
    let end = next_event(&two, |event| matches!(event, Event::ForwardEnded { .. }));
    let answered = ForwardEnd::Answered { status: 200 };
    assert_eq!(end, Event::ForwardEnded { ticket, end: answered, retries: 0 });
    assert_eq!(caller.join().expect("no panic").body(), "hello");
    // The connection ends once no request uses it.
    let one_more = Forward { ticket: Ticket(ticket.0 + 1), ..forward(ticket) };
    two.dispatch(TrafficCommand::Forward(one_more));
    let end = next_event(&two, |event| matches!(event, Event::ForwardEnded { .. }));
    assert!(matches!(end, Event::ForwardEnded { end: ForwardEnd::NotSent, .. }), "{end:?}");
}

/// Guards against a connection that is closed in the moment between the end of its last request
/// and the queueing of the response.
#[test]
fn a_node_that_exits_sends_the_last_response_of_each_connection() {
    const CONNECTIONS: usize = 300;
    let one = node(1, "fleet");
    let connect = |number: usize| {
        let mut peer = TcpStream::connect(&*one.announcement.address).expect("the node listens");
        let frames = [hello(&one), request(1, &number.to_string())].concat();
        peer.write_all(&frames).expect("the node reads");
        let arrived = next_event(&one, |event| matches!(event, Event::Arrived(_)));
        let Event::Arrived(request) = arrived else { panic!("not an arrival: {arrived:?}") };
        (peer, request.ticket)
    };
    let connections: Vec<_> = (0..CONNECTIONS).map(connect).collect();
    one.dispatch(TrafficCommand::Exit { by: Millis::from_secs(60) });
    let is_answered = |(peer, ticket): (TcpStream, Ticket)| {
        let mut flooding = peer.try_clone().expect("a second handle of the socket");
        let load = encode(&Head::Load(Load::default().into()));
        let flood = thread::spawn(move || while flooding.write_all(&load).is_ok() {});
        thread::sleep(Duration::from_millis(2));
        let refusal = Refusal::not_run(Reason::Leaving);
        one.finish(ticket, Verdict::Refuse(refusal));
        let mut bytes = Vec::new();
        let _ = (&peer).read_to_end(&mut bytes);
        drop(peer.shutdown(std::net::Shutdown::Both));
        flood.join().expect("no panic");
        let mut bytes = BytesMut::from(&*bytes);
        let mut frames = std::iter::from_fn(|| frame::decode(&mut bytes).ok().flatten());
        frames.any(|(head, _)| matches!(head, Head::Refused(_)))
    };
    let answered = connections.into_iter().filter_map(|row| is_answered(row).then_some(())).count();
    assert_eq!(answered, CONNECTIONS);
}

/// Guards against a load that is published in the moment in which a peer connects and never reaches
/// that peer, which then goes on by an earlier one.
#[test]
fn a_peer_that_connects_while_the_load_changes_gets_the_latest() {
    const CONNECTIONS: u32 = 400;
    let one = node(1, "fleet");
    let missed = |number: u32| {
        let mut peer = TcpStream::connect(&*one.announcement.address).expect("the node listens");
        peer.set_read_timeout(Some(Duration::from_millis(200))).expect("the timeout is valid");
        peer.write_all(&hello(&one)).expect("the node reads");
        let load = |running| Load { running, ..Load::default() };
        for step in 0..20 {
            one.dispatch(TrafficCommand::Publish { load: load(number * 20 + step), urgent: true });
        }
        let latest = Head::Load(load(number * 20 + 19).into());
        let mut received = BytesMut::new();
        let mut bytes = [0; 4096];
        while let Ok(count @ 1..) = peer.read(&mut bytes) {
            received.extend_from_slice(&bytes[..count]);
            while let Some((head, _)) = frame::decode(&mut received).expect("a valid frame") {
                if head == latest {
                    return false;
                }
            }
        }
        true
    };
    assert_eq!((0..CONNECTIONS).filter(|&number| missed(number)).count(), 0);
}

/// Guards against a request that was held up between two nodes for longer than its caller waits, and
/// that the target then gets with all the time that it had at first.
#[test]
fn the_time_for_which_a_request_was_held_up_is_taken_from_its_timeout() {
    let one = node(1, "fleet");
    one.set_time(Millis(50_000));
    let mut peer = TcpStream::connect(&*one.announcement.address).expect("the node listens");
    peer.write_all(&hello(&one)).expect("the node reads");
    next_event(&one, |event| matches!(event, Event::PeerSeen(_)));
    let mut report = String::new();
    // The clock of the peer began 50 s later.
    let cases = [(100, 100), (200, 350), (1_000, 4_200), (1_100, 30_000), (31_000, 31_010)];
    for (stream, (sent, received)) in (1..).zip(cases) {
        one.set_time(Millis(50_000 + received));
        peer.write_all(&request_sent_at(stream, "one", sent)).expect("the node reads");
        let Event::Arrived(request) = next_event(&one, |event| matches!(event, Event::Arrived(_)))
        else {
            continue;
        };
        let timeout = request.timeout.expect("a forwarded request has a timeout");
        let mut logged = one.logged.lock().expect("the lock is not poisoned");
        let logged: Vec<&str> = logged.drain(..).map(|entry| entry.event).collect();
        let line = format!("sent {sent}, received {received}: {} left {logged:?}", timeout.0);
        report.push_str(line.trim_end_matches(" []"));
        report.push('\n');
    }
    insta::assert_snapshot!(report, @r#"
    sent 100, received 100: 10000 left
    sent 200, received 350: 9850 left
    sent 1000, received 4200: 6800 left ["request_delayed"]
    sent 1100, received 30000: 0 left ["request_delayed"]
    sent 31000, received 31010: 9990 left
    "#);
}
