//! What all connections of a node share.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use compact_str::CompactString;
use mustardpin_world::{
    Event, Millis,
    refusal::Reason,
    request::{Pressure, Ticket},
};
use tokio::sync::Semaphore;

use crate::{
    clock::Clock,
    control::Handle,
    launch::Limits,
    peer::Identity,
    traffic::{announce::Announcements, peers::Peers, target::Target},
};

/// What the traffic side is told when it starts.
pub struct Setup {
    /// The way to the control thread.
    pub control: Handle,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// What the process may use.
    pub limits: Limits,
    /// The service of the own target.
    pub service: CompactString,
    /// Who this node is, towards other nodes.
    pub identity: Identity,
}

/// What all connections of a node share.
pub struct Context {
    pub(super) control: Handle,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) limits: Limits,
    pub(super) identity: Identity,
    pub(super) target: Target,
    pub(super) peers: Peers,
    pub(super) announcements: Announcements,
    /// One permit for each request in progress.
    pub(super) requests: Arc<Semaphore>,
    /// One permit for each byte of a request body that is kept.
    pub(super) kept_bytes: Arc<Semaphore>,
    pressure: Mutex<Pressure>,
    last_ticket: AtomicU64,
}

impl Context {
    /// The state of a node that has not taken any request in.
    pub fn new(setup: Setup) -> Arc<Context> {
        let Setup { control, clock, limits, service, identity } = setup;
        Arc::new(Context {
            target: Target::new(Arc::clone(&clock)),
            peers: Peers::new(identity),
            announcements: Announcements::new(service),
            requests: Arc::new(Semaphore::new(limits.requests)),
            kept_bytes: Arc::new(Semaphore::new(limits.kept_size)),
            pressure: Mutex::default(),
            last_ticket: AtomicU64::new(0),
            control,
            clock,
            limits,
            identity,
        })
    }

    /// The clock that all parts of the node share.
    pub fn clock(&self) -> Arc<dyn Clock> {
        Arc::clone(&self.clock)
    }

    /// Says what the node tells its peers with each answer.
    pub fn publish(&self, pressure: Pressure) {
        *self.pressure.lock().unwrap_or_else(PoisonError::into_inner) = pressure;
    }

    /// Tells the world when the target stops announcing itself, until the runtime ends.
    pub async fn watch_target(self: Arc<Context>) {
        let timeout = std::time::Duration::from_millis(self.limits.announce_timeout.0);
        loop {
            self.announcements.lost(timeout).await;
            self.target.forget();
            self.control.event(Event::TargetLost);
        }
    }

    pub(super) fn pressure(&self) -> Pressure {
        *self.pressure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn next_ticket(&self) -> Ticket {
        Ticket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// The time from now to a point in time.
    pub(super) fn until(&self, point: Millis) -> Millis {
        point - self.clock.now()
    }

    /// Counts a refusal that the world has no part in.
    pub(super) fn count_refusal(&self, reason: Reason) {
        self.control.event(Event::Refused(reason));
    }
}
