//! The traffic side alone: the test takes the control thread's place.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::Receiver,
    },
    time::Duration,
};

use mustardpin_node::{
    clock::Clock,
    control::{Handle, Input},
    launch::Limits,
    traffic::{
        self, Credentials, Dispatcher, Exchanges, ListenerKind, Setup, Traffic as _, TrafficCommand,
    },
};
use mustardpin_wire::native::Native;
use mustardpin_world::{
    Event, Millis,
    command::TargetAddress,
    id::{KeyDigest, NodeId},
    request::{CallToken, Request, Run, Ticket, Verdict},
    store::Announcement,
};
use tokio::{net::TcpListener, runtime::Runtime};
use tokio_util::task::TaskTracker;

/// A clock that the test moves.
#[derive(Default)]
pub struct Hand(AtomicU64);

impl Clock for Hand {
    fn now(&self) -> Millis {
        Millis(self.0.load(Ordering::SeqCst))
    }
}

/// The traffic side of one node, with one target.
pub struct TrafficSide {
    pub callers: SocketAddr,
    pub announcement: Announcement,
    pub clock: Arc<Hand>,
    dispatcher: Mutex<Dispatcher>,
    inputs: Receiver<Input>,
    waiting: Mutex<VecDeque<Event>>,
    _runtime: Runtime,
}

impl TrafficSide {
    /// Starts the traffic side of node 1; its target is at this address.
    pub fn start(target: SocketAddr, limits: Limits) -> TrafficSide {
        TrafficSide::start_as(1, "fleet", target, limits)
    }

    /// Starts the traffic side of a node with a credential.
    pub fn start_as(
        node: u64,
        credential: &str,
        target: SocketAddr,
        limits: Limits,
    ) -> TrafficSide {
        let runtime = Runtime::new().expect("threads");
        let (control, inputs) = Handle::channel();
        let clock = Arc::new(Hand::default());
        let bind = || {
            let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a port");
            let address = listener.local_addr().expect("a bound address");
            (listener, address)
        };
        let (callers, peers) = (bind(), bind());
        let announcement = Announcement {
            node: NodeId(node),
            name: format!("node-{node}").into(),
            data_centre: "north".into(),
            service: "slots".into(),
            address: peers.1.to_string().into(),
        };
        let board = Exchanges::new(Setup {
            control,
            clock: Arc::clone(&clock) as _,
            limits,
            dialect: Arc::new(Native::new("slots")),
            service: "slots".into(),
            credentials: Credentials {
                announcement: announcement.clone(),
                fleet: KeyDigest::of(credential),
            },
        });
        let (dispatcher, dispatching) = Dispatcher::new(Arc::clone(&board));
        runtime.spawn(dispatching);
        runtime.spawn(Arc::clone(&board).send_events());
        let address = callers.1;
        for (listener, door) in [(callers.0, ListenerKind::Callers), (peers.0, ListenerKind::Peers)]
        {
            let serving = traffic::serve(listener, door, Arc::clone(&board), TaskTracker::new());
            runtime.spawn(serving);
        }
        let side = TrafficSide {
            callers: address,
            announcement,
            clock,
            dispatcher: Mutex::new(dispatcher),
            inputs,
            waiting: Mutex::default(),
            _runtime: runtime,
        };
        let place = TargetAddress { address: target.to_string().into(), instance: "".into() };
        side.order(TrafficCommand::Target(Some(place)));
        side
    }

    /// Sets the time.
    pub fn set_time(&self, now: Millis) {
        self.clock.0.store(now.0, Ordering::SeqCst);
    }

    /// Gives an order.
    pub fn order(&self, order: TrafficCommand) {
        self.dispatcher.lock().expect("no panic holds the lock").execute(vec![order]);
    }

    /// Gives the final word on a request.
    pub fn finish(&self, ticket: Ticket, verdict: Verdict) {
        self.order(TrafficCommand::Finish { ticket, verdict, retries: 0 });
    }

    /// The next request that arrives.
    pub fn accept(&self) -> Request {
        match self.event() {
            Event::Arrived(request) => request,
            event => panic!("a request should have arrived, not {event:?}"),
        }
    }

    /// The next event.
    pub fn event(&self) -> Event {
        let mut waiting = self.waiting.lock().expect("no panic holds the lock");
        loop {
            if let Some(event) = waiting.pop_front() {
                return event;
            }
            match self.inputs.recv_timeout(Duration::from_secs(5)) {
                Ok(Input::Events(events)) => waiting.extend(events),
                Ok(_) => panic!("an event should have come, not another input"),
                Err(_) => panic!("an event should have come"),
            }
        }
    }

    /// Whether no event has come that was not taken.
    pub fn is_quiet(&self) -> bool {
        let mut waiting = self.waiting.lock().expect("no panic holds the lock");
        while let Ok(input) = self.inputs.try_recv() {
            match input {
                Input::Events(events) => waiting.extend(events),
                _ => return false,
            }
        }
        waiting.is_empty()
    }
}

/// A run that may start now, with ten seconds to its deadline.
pub fn run(ticket: Ticket) -> Run {
    Run {
        ticket,
        team: None,
        token: CallToken(7),
        start_by: Millis(500),
        deadline: Millis::from_secs(10),
        repeatable: true,
    }
}
