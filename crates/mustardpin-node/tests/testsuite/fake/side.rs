//! The traffic side alone, with the test in the role of the control thread.

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
use mustardpin_wire::{dialect::Dialect, native::Native};
use mustardpin_world::{
    Event, Millis,
    command::TargetAddress,
    id::{KeyDigest, NodeId},
    log::Entry,
    request::{CallToken, Request, Run, Ticket, Verdict},
    store::Announcement,
};
use tokio::{net::TcpListener, runtime::Runtime};
use tokio_util::task::TaskTracker;

/// A clock whose time the test sets.
#[derive(Default)]
pub struct ManualClock(AtomicU64);

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.0.load(Ordering::SeqCst))
    }
}

/// The traffic side of one node, with one target.
pub struct TrafficSide {
    pub callers: SocketAddr,
    pub announcement: Announcement,
    pub clock: Arc<ManualClock>,
    dispatcher: Mutex<Dispatcher>,
    inputs: Receiver<Input>,
    unread: Mutex<VecDeque<Event>>,
    /// The log entries among the inputs that were read.
    pub logged: Mutex<Vec<Entry>>,
    _runtime: Runtime,
}

impl TrafficSide {
    /// Starts the traffic side of node 1 with the target at this address.
    pub fn start(target: SocketAddr, limits: Limits) -> TrafficSide {
        TrafficSide::start_as(1, "fleet", target, limits)
    }

    /// Starts the traffic side of this node with this fleet credential.
    pub fn start_as(
        node: u64,
        credential: &str,
        target: SocketAddr,
        limits: Limits,
    ) -> TrafficSide {
        TrafficSide::start_with(node, credential, target, limits, Arc::new(Native::new("slots")))
    }

    /// Like `start_as`, with the dialect of callers and targets.
    pub fn start_with(
        node: u64,
        credential: &str,
        target: SocketAddr,
        limits: Limits,
        dialect: Arc<dyn Dialect>,
    ) -> TrafficSide {
        let runtime = Runtime::new().expect("the runtime starts");
        let (control, inputs) = Handle::channel();
        let clock = Arc::new(ManualClock::default());
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
        let exchanges = Exchanges::new(Setup {
            control,
            clock: Arc::clone(&clock) as _,
            limits,
            dialect,
            service: "slots".into(),
            credentials: Credentials {
                announcement: announcement.clone(),
                fleet: KeyDigest::of(credential),
            },
        });
        let (dispatcher, dispatching) = Dispatcher::new(Arc::clone(&exchanges));
        runtime.spawn(dispatching);
        runtime.spawn(Arc::clone(&exchanges).send_events());
        let address = callers.1;
        for (listener, kind) in [(callers.0, ListenerKind::Callers), (peers.0, ListenerKind::Peers)]
        {
            let task = traffic::serve(listener, kind, Arc::clone(&exchanges), TaskTracker::new());
            runtime.spawn(task);
        }
        let side = TrafficSide {
            callers: address,
            announcement,
            clock,
            dispatcher: Mutex::new(dispatcher),
            inputs,
            unread: Mutex::default(),
            logged: Mutex::default(),
            _runtime: runtime,
        };
        let target_address =
            TargetAddress { address: target.to_string().into(), instance: "".into() };
        side.dispatch(TrafficCommand::Target(Some(target_address)));
        side
    }

    /// Sets the time.
    pub fn set_time(&self, now: Millis) {
        self.clock.0.store(now.0, Ordering::SeqCst);
    }

    /// Passes a command to the dispatcher.
    pub fn dispatch(&self, command: TrafficCommand) {
        self.dispatcher.lock().expect("the lock is not poisoned").execute(vec![command]);
    }

    /// Finishes a request with this verdict.
    pub fn finish(&self, ticket: Ticket, verdict: Verdict) {
        self.dispatch(TrafficCommand::Finish { ticket, verdict, retries: 0 });
    }

    /// Waits for the next event, which must be the arrival of a request.
    pub fn accept(&self) -> Request {
        match self.event() {
            Event::Arrived(request) => request,
            event => panic!("expected the arrival of a request, not {event:?}"),
        }
    }

    /// Waits for the next event, at most five seconds.
    pub fn event(&self) -> Event {
        let mut unread = self.unread.lock().expect("the lock is not poisoned");
        loop {
            if let Some(event) = unread.pop_front() {
                return event;
            }
            match self.inputs.recv_timeout(Duration::from_secs(5)) {
                Ok(Input::Events(events)) => unread.extend(events),
                Ok(Input::LogEntry(entry)) => {
                    self.logged.lock().expect("the lock is not poisoned").push(entry);
                }
                Ok(_) => panic!("expected events, not another input"),
                Err(_) => panic!("expected an event within five seconds"),
            }
        }
    }

    /// Returns whether there is no unread event.
    pub fn has_no_events(&self) -> bool {
        let mut unread = self.unread.lock().expect("the lock is not poisoned");
        while let Ok(input) = self.inputs.try_recv() {
            match input {
                Input::Events(events) => unread.extend(events),
                _ => return false,
            }
        }
        unread.is_empty()
    }
}

/// Returns a run that may start within half a second and has its deadline at ten seconds.
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
