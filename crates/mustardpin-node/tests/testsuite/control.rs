//! The control thread, with fakes at its borders.

use std::{
    net::UdpSocket,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use mustardpin_node::{
    clock::{Clock, Monotonic},
    control::{self, Borders, Handle},
    exchange::{Exchange, Order},
    log::Journal,
    metric::Meter,
    peer::Link,
    platform::Store,
    traffic::Traffic,
};
use mustardpin_world::{
    Event, Identity, Millis, Options, World,
    command::Change,
    id::NodeId,
    message::Message,
    platform::{Announcement, Operation, Ticket},
    refusal::Reason,
    request::{Fingerprint, Origin, Pressure, Request},
};

/// Stands at every border and counts how often the time is asked for.
#[derive(Clone)]
struct Silence {
    clock: Monotonic,
    asked: Arc<AtomicUsize>,
}

impl Silence {
    fn new() -> Silence {
        Silence { clock: Monotonic::start(), asked: Arc::default() }
    }
}

impl Clock for Silence {
    fn now(&self) -> Millis {
        self.asked.fetch_add(1, Ordering::Relaxed);
        self.clock.now()
    }
}

impl Store for Silence {
    fn ask(&mut self, _: Ticket, _: Operation) {}
}

impl Link for Silence {
    fn send(&mut self, _: NodeId, _: &str, _: Message) {}
}

impl Journal for Silence {
    fn write(&mut self, _: &Change) {}
}

impl Traffic for Silence {
    fn publish(&mut self, _: Pressure) {}

    fn close_idle(&mut self) {}

    fn exit(&mut self) {}
}

fn start(silence: &Silence, meter: Meter) -> Handle {
    let announcement = Announcement {
        node: NodeId(1),
        data_centre: "north".into(),
        service: "slots".into(),
        control_address: "127.0.0.1:1".into(),
        traffic_address: "127.0.0.1:1".into(),
    };
    let world = World::new(Identity { announcement }, Options::default(), 1);
    let (control, inputs) = Handle::channel();
    let borders = Borders {
        clock: Arc::new(silence.clone()),
        store: Box::new(silence.clone()),
        link: Box::new(silence.clone()),
        traffic: Box::new(silence.clone()),
        journal: Box::new(silence.clone()),
        meter,
    };
    control::spawn(world, borders, inputs).expect("a thread");
    control
}

#[test]
fn the_thread_sleeps_while_nothing_happens() {
    let silence = Silence::new();
    let control = start(&silence, Meter::open(None).expect("no socket is needed"));
    thread::sleep(Duration::from_secs(3));
    control.halt();
    // The platform never answers. Ten ticks a second are more than any system needs; each tick
    // asks for the time twice.
    let asked = silence.asked.load(Ordering::Relaxed);
    assert!(asked < 3 * 10 * 2, "the time was asked for {asked} times in three seconds");
}

struct Nobody;

impl Exchange for Nobody {
    fn order(&mut self, _: Order) {}
}

#[test]
fn counters_are_sent_by_reason() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(Duration::from_secs(5))).expect("the time is not zero");
    let address = socket.local_addr().expect("a bound address");
    let control = start(&Silence::new(), Meter::open(Some(address)).expect("a socket"));
    control.event(Event::Refused(Reason::BodyTooLarge));
    control.event(Event::Refused(Reason::BodyTooLarge));
    let request = Request {
        ticket: Default::default(),
        origin: Origin::Caller { key: None },
        method: "GET".into(),
        path: "/slots".into(),
        idempotency_key: None,
        fingerprint: Fingerprint(1),
        timeout: None,
    };
    control.arrived(request, Box::new(Nobody));
    let mut lines: Vec<String> = (0..3)
        .map(|_| {
            let mut buffer = [0; 512];
            let count = socket.recv(&mut buffer).expect("a counter comes");
            String::from_utf8_lossy(&buffer[..count]).into_owned()
        })
        .collect();
    lines.sort();
    control.halt();
    insta::assert_snapshot!(lines.join("\n"));
}
