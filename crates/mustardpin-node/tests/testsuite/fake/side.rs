//! The traffic side alone: the test takes the control thread's place.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::Receiver,
    },
    time::Duration,
};

use mustardpin_node::{
    clock::Clock,
    control::{Handle, Input},
    exchange::{Exchange, Order},
    launch::Limits,
    peer,
    traffic::{self, Context, Setup, Side, Stages},
};
use mustardpin_world::{
    Event, Millis,
    id::{CallKey, KeyDigest, NodeId},
    request::{CallToken, Request, Run},
};
use tokio::{net::TcpListener, runtime::Runtime};
use tokio_util::task::TaskTracker;

use super::call;

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
    pub clock: Arc<Hand>,
    _stages: Stages,
    inputs: Receiver<Input>,
    _runtime: Runtime,
}

impl TrafficSide {
    /// Starts the traffic side; the target has announced itself.
    pub fn start(target: SocketAddr, limits: Limits) -> TrafficSide {
        let runtime = Runtime::new().expect("threads");
        let (control, inputs) = Handle::channel();
        let clock = Arc::new(Hand::default());
        let context = Context::new(Setup {
            control,
            clock: Arc::clone(&clock) as _,
            limits,
            service: "slots".into(),
            identity: peer::Identity { node: NodeId(1), credential: KeyDigest::of("fleet") },
        });
        let stages = Stages::new(Arc::clone(&context));
        let mut addresses = Vec::new();
        for side in [Side::Callers, Side::Local] {
            let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a port");
            addresses.push(listener.local_addr().expect("a bound address"));
            let (context, stage) = (Arc::clone(&context), stages.subscribe());
            runtime.spawn(traffic::serve(listener, side, context, stage, TaskTracker::new()));
        }
        let body = format!(r#"{{"address":"{target}","service":"slots","healthy":true}}"#);
        let answer = call(addresses[1], "POST /target/announce", &[], &body);
        assert_eq!(answer.status(), 204, "{answer:?}");
        let side = TrafficSide {
            callers: addresses[0],
            clock,
            _stages: stages,
            inputs,
            _runtime: runtime,
        };
        assert!(matches!(side.event(), Event::Target(_)));
        side
    }

    /// Sets the time.
    pub fn set_time(&self, now: Millis) {
        self.clock.0.store(now.0, Ordering::SeqCst);
    }

    /// The next request that arrives, accepted as a call.
    pub fn accept(&self) -> (Request, Box<dyn Exchange>) {
        match self.inputs.recv_timeout(Duration::from_secs(5)) {
            Ok(Input::Arrived(request, mut exchange)) => {
                exchange.order(Order::Accept(CallKey::default()));
                (request, exchange)
            }
            _ => panic!("a request should have arrived"),
        }
    }

    /// The next event.
    pub fn event(&self) -> Event {
        match self.inputs.recv_timeout(Duration::from_secs(5)) {
            Ok(Input::Event(event)) => event,
            Ok(_) => panic!("an event should have come, not another input"),
            Err(_) => panic!("an event should have come"),
        }
    }
}

/// A run that may start now, with ten seconds to its deadline.
pub fn run() -> Run {
    Run {
        call: CallKey::default(),
        token: CallToken(7),
        start_by: Millis(500),
        deadline: Millis::from_secs(10),
        record: false,
    }
}
