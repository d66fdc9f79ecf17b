//! Runs requests on the local target over HTTP/1.1, without pipelining.

mod connection;
mod reception;
mod request;
mod run;
mod sending;

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use compact_str::CompactString;
use mustardpin_world::command::TargetAddress;

use self::connection::Connection;

pub(super) use self::run::run;

/// The maximum number of idle connections to the target.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// A connection that has been idle for this long is not reused. A shorter `keep-alive` timeout of
/// the target takes precedence.
const MAX_IDLE_AGE: Duration = Duration::from_secs(8);
/// A connection that has been idle for this long may have been closed by the target without this
/// node having noticed. Requests that must not be sent twice are not sent over it.
const MAX_IDLE_AGE_UNREPEATABLE: Duration = Duration::from_millis(1_000);

/// The target's address and the idle connections to it.
#[derive(Default)]
struct State {
    endpoint: Option<(SocketAddr, CompactString)>,
    /// Incremented when the target changes, so that connections to the previous target are not
    /// reused.
    generation: u64,
    idle: Vec<Connection>,
}

/// The client for the local target.
#[derive(Default)]
pub(super) struct Target {
    state: Mutex<State>,
}

/// The address of the target at one moment.
#[derive(Debug, Clone)]
struct Endpoint {
    address: SocketAddr,
    instance: CompactString,
    generation: u64,
}

impl Target {
    /// Creates a client without a target.
    pub(super) fn new() -> Target {
        Target::default()
    }

    /// Sets the address of the target; `None` if there is no target.
    pub(super) fn set(&self, endpoint: Option<TargetAddress>) {
        let endpoint =
            endpoint.and_then(|endpoint| Some((endpoint.address.parse().ok()?, endpoint.instance)));
        let mut state = self.state();
        state.generation += 1;
        state.endpoint = endpoint;
        state.idle.clear();
    }

    /// The address that the target's own connections come from.
    pub(super) fn address(&self) -> Option<IpAddr> {
        self.state().endpoint.as_ref().map(|(address, _)| address.ip())
    }

    fn endpoint(&self) -> Option<Endpoint> {
        let state = self.state();
        let (address, instance) = state.endpoint.clone()?;
        Some(Endpoint { address, instance, generation: state.generation })
    }

    /// The instance id of the target, if connections of this generation lead to it.
    pub(super) fn instance(&self, generation: u64) -> Option<CompactString> {
        let state = self.state();
        let (_, instance) = state.endpoint.as_ref()?;
        (state.generation == generation).then(|| instance.clone())
    }

    /// Takes an idle connection that can be used for the request with this id.
    fn take_idle(&self, generation: u64, repeatable: bool, id: &str) -> Option<Connection> {
        let mut state = self.state();
        if state.generation != generation {
            return None;
        }
        while let Some(connection) = state.idle.pop() {
            let age = connection.idle_since.elapsed();
            if age >= connection.max_idle_age {
                // The remaining connections have been idle for longer.
                state.idle.clear();
                return None;
            }
            if !repeatable && age >= MAX_IDLE_AGE_UNREPEATABLE {
                state.idle.push(connection);
                return None;
            }
            if connection.is_reusable() && !connection.has_declined(id) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse after its response has ended.
    fn release(&self, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut state = self.state();
        if state.generation == connection.generation && state.idle.len() < MAX_IDLE_CONNECTIONS {
            state.idle.push(connection);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
