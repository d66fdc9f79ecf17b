//! Accepts connections, and closes the listeners at shutdown.

use std::{net::IpAddr, sync::Arc, time::Instant};

use futures::FutureExt as _;
use mustardpin_world::Millis;
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time,
};
use tokio_util::task::TaskTracker;

use crate::traffic::{
    ACCEPT_BACKOFF, caller,
    connections::{Connections, Owner, Place},
    exchanges::Exchanges,
    link,
};

/// The stage of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Stage {
    /// The process is not shutting down.
    #[default]
    Serving,
    /// The process is draining: it finishes the requests in progress.
    Leaving,
    /// The process is about to exit: its requests have finished, or the time for that is over.
    Exiting {
        /// Connections that are still open at this point in time are aborted.
        by: Millis,
    },
}

/// The number of connections at once whose first request is refused because there is no place.
const MAX_TURNED_AWAY: usize = 64;

impl Stage {
    /// Whether the process is about to exit.
    ///
    /// ```
    /// use mustardpin_node::traffic::Stage;
    /// use mustardpin_world::Millis;
    /// assert!(Stage::Exiting { by: Millis(500) }.is_exiting() && !Stage::Leaving.is_exiting());
    /// ```
    pub const fn is_exiting(self) -> bool {
        matches!(self, Stage::Exiting { .. })
    }
}

/// The kind of clients that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers of the fleet's services.
    Callers,
    /// The local target, which sends calls and reports.
    Local,
    /// The local target, which sends only reports.
    Reports,
    /// Clients that check the readiness of the node.
    Readiness,
    /// Peers, which must present the fleet's credential.
    Peers,
}

impl ListenerKind {
    /// The listener's name in log entries.
    ///
    /// ```
    /// assert_eq!(mustardpin_node::traffic::ListenerKind::Callers.name(), "callers");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            ListenerKind::Callers => "callers",
            ListenerKind::Local => "local",
            ListenerKind::Reports => "reports",
            ListenerKind::Readiness => "readiness",
            ListenerKind::Peers => "peers",
        }
    }
}

/// Accepts connections until the runtime ends or the node exits.
///
/// The listener is then closed. Connections that are already in its queue are still served:
/// otherwise they would be reset with their requests in transit.
pub async fn serve(
    listener: TcpListener,
    kind: ListenerKind,
    exchanges: Arc<Exchanges>,
    connections: TaskTracker,
) {
    let mut stage = exchanges.stage();
    let acceptor = Acceptor {
        kind,
        places: Connections::new(exchanges.limits.connections),
        permits: Arc::new(Semaphore::new(exchanges.limits.connections)),
        turned_away: Arc::new(Semaphore::new(MAX_TURNED_AWAY)),
        exchanges,
        connections,
    };
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| stage.is_exiting()) => break,
        };
        match accepted {
            Ok((stream, from)) => acceptor.accept(stream, from.ip()),
            Err(_) => time::sleep(ACCEPT_BACKOFF).await,
        }
    }
    while let Some(Ok((stream, from))) = listener.accept().now_or_never() {
        acceptor.accept(stream, from.ip());
    }
}

/// The state shared by all connections of a listener.
struct Acceptor {
    kind: ListenerKind,
    /// The connections of callers and of the local target.
    places: Arc<Connections>,
    /// Places for the connections of peers.
    permits: Arc<Semaphore>,
    /// Places for connections whose first request is refused, since there is no other place.
    turned_away: Arc<Semaphore>,
    exchanges: Arc<Exchanges>,
    connections: TaskTracker,
}

impl Acceptor {
    /// Serves a connection in its own task.
    fn accept(&self, stream: TcpStream, from: IpAddr) {
        if self.kind == ListenerKind::Peers {
            return self.accept_peer(stream);
        }
        let is_target = self.exchanges.target.address().is_some_and(|address| address == from);
        let owner = if is_target { Owner::Target } else { Owner::Caller(from) };
        let (place, entry) = self.places.open(owner, Instant::now());
        if let Some(entry) = entry {
            self.exchanges.outbox.log(entry.with("listener", self.kind.name()));
        }
        let place = match place {
            Some(place) => Ok(place),
            // Without any place, closing the connection is all that is left.
            None => match Arc::clone(&self.turned_away).try_acquire_owned() {
                Ok(permit) => Err(permit),
                Err(_) => return,
            },
        };
        let (exchanges, kind) = (Arc::clone(&self.exchanges), self.kind);
        let stage: watch::Receiver<Stage> = exchanges.stage();
        self.connections.spawn(caller::serve(exchanges, kind, stream, stage, place));
    }

    /// Serves the connection of a peer. One above the limit is closed immediately; the peer tries
    /// again and logs it.
    fn accept_peer(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else { return };
        let exchanges = Arc::clone(&self.exchanges);
        self.connections.spawn(async move {
            link::accept(exchanges, stream).await;
            drop(permit);
        });
    }
}

/// The place of a connection, or the permit to read and refuse its first request.
pub(super) type Admission = Result<Place, OwnedSemaphorePermit>;
