//! Accepts connections, and closes the listeners at shutdown.

use std::sync::Arc;

use futures::FutureExt as _;
use mustardpin_world::Millis;
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    sync::{Semaphore, watch},
    time,
};
use tokio_util::task::TaskTracker;

use crate::traffic::{ACCEPT_BACKOFF, caller, exchanges::Exchanges, link};

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
        permits: Arc::new(Semaphore::new(exchanges.limits.connections)),
        exchanges,
        connections,
    };
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| stage.is_exiting()) => break,
        };
        match accepted {
            Ok((stream, _)) => acceptor.accept(stream),
            Err(_) => time::sleep(ACCEPT_BACKOFF).await,
        }
    }
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        acceptor.accept(stream);
    }
}

/// The state shared by all connections of a listener.
struct Acceptor {
    kind: ListenerKind,
    permits: Arc<Semaphore>,
    exchanges: Arc<Exchanges>,
    connections: TaskTracker,
}

impl Acceptor {
    /// Serves a connection in its own task. A connection above the limit is closed immediately.
    fn accept(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else { return };
        let (exchanges, kind) = (Arc::clone(&self.exchanges), self.kind);
        if kind == ListenerKind::Peers {
            self.connections.spawn(async move {
                link::accept(exchanges, stream).await;
                drop(permit);
            });
            return;
        }
        let stage: watch::Receiver<Stage> = exchanges.stage();
        self.connections.spawn(async move {
            caller::serve(exchanges, kind, stream, stage).await;
            drop(permit);
        });
    }
}
