//! Runs requests on the own target: HTTP/1.1, one request at a time on each connection.

mod connection;
mod run;

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use compact_str::CompactString;
use mustardpin_world::command::TargetAddress;

use self::connection::Connection;

pub(super) use self::run::run;

/// Idle connections to the target at most.
const MAX_IDLE: usize = 512;
/// A connection that has been idle for this long is not used again, unless the target has said how
/// long it keeps idle connections.
const MAX_IDLE_AGE: Duration = Duration::from_secs(8);
/// A connection that has been idle for this long may have been closed by the target without a sign
/// yet. A request that may not be sent twice is not sent over it.
const MAX_IDLE_AGE_UNREPEATABLE: Duration = Duration::from_millis(1_000);

/// Where the target is, and the connections to it.
#[derive(Default)]
struct State {
    place: Option<(SocketAddr, CompactString)>,
    /// Grows when the target is another one, so that connections to the one before are not kept.
    generation: u64,
    idle: Vec<Connection>,
}

/// The client to the own target.
#[derive(Default)]
pub(super) struct Target {
    state: Mutex<State>,
}

/// The place of the target at one moment.
#[derive(Debug, Clone)]
struct Place {
    address: SocketAddr,
    instance: CompactString,
    generation: u64,
}

impl Target {
    /// A client that knows no target yet.
    pub(super) fn new() -> Target {
        Target::default()
    }

    /// From now on the target is here, or nowhere.
    pub(super) fn set(&self, place: Option<TargetAddress>) {
        let place = place.and_then(|place| Some((place.address.parse().ok()?, place.instance)));
        let mut state = self.state();
        state.generation += 1;
        state.place = place;
        state.idle.clear();
    }

    fn place(&self) -> Option<Place> {
        let state = self.state();
        let (address, instance) = state.place.clone()?;
        Some(Place { address, instance, generation: state.generation })
    }

    /// An idle connection that may be used for the next request.
    fn take_idle(&self, generation: u64, repeatable: bool) -> Option<Connection> {
        let mut state = self.state();
        if state.generation != generation {
            return None;
        }
        while let Some(connection) = state.idle.pop() {
            let age = connection.idle_since.elapsed();
            if age >= connection.keep_for {
                // The ones below it have been idle for longer.
                state.idle.clear();
                return None;
            }
            if !repeatable && age >= MAX_IDLE_AGE_UNREPEATABLE {
                state.idle.push(connection);
                return None;
            }
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has come to its end.
    fn keep(&self, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut state = self.state();
        if state.generation == connection.generation && state.idle.len() < MAX_IDLE {
            state.idle.push(connection);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
