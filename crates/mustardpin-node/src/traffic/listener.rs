//! Takes connections in, and lets them end when the node leaves.

use std::sync::Arc;

use futures::FutureExt as _;
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    sync::{Semaphore, watch},
    time,
};
use tokio_util::task::TaskTracker;

use crate::traffic::{ACCEPT_BACKOFF, caller, exchanges::Exchanges, link};

/// How far the process has come on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Stage {
    /// It is not leaving.
    #[default]
    Serving,
    /// It is leaving and finishes what it has.
    Leaving,
    /// It has finished everything.
    Exiting,
}

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers.
    Callers,
    /// The node's own target, with its calls and its reports.
    Local,
    /// The node's own target, with its reports only.
    Reports,
    /// Whoever asks whether the node is ready.
    Readiness,
    /// Peers, which have to show the fleet's credential.
    Peers,
}

/// Takes connections in until the runtime ends or the node has left.
///
/// Then the port is closed, and those who had connected by that time are still served: a connection
/// left in the listener's queue would break with its request on the way.
pub async fn serve(
    listener: TcpListener,
    door: ListenerKind,
    board: Arc<Exchanges>,
    connections: TaskTracker,
) {
    let mut stage = board.stage();
    let entrance = Entrance {
        door,
        permits: Arc::new(Semaphore::new(board.limits.connections)),
        board,
        connections,
    };
    loop {
        let accepted = select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == Stage::Exiting) => break,
        };
        match accepted {
            Ok((stream, _)) => entrance.open(stream),
            Err(_) => time::sleep(ACCEPT_BACKOFF).await,
        }
    }
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        entrance.open(stream);
    }
}

/// What new connections of a listener have in common.
struct Entrance {
    door: ListenerKind,
    permits: Arc<Semaphore>,
    board: Arc<Exchanges>,
    connections: TaskTracker,
}

impl Entrance {
    /// Serves a connection in a task of its own. One connection too many is closed at once.
    fn open(&self, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else { return };
        let (board, door) = (Arc::clone(&self.board), self.door);
        if door == ListenerKind::Peers {
            // Links last as long as the process; a leaving node does not wait for them.
            tokio::spawn(async move {
                link::accept(board, stream).await;
                drop(permit);
            });
            return;
        }
        let stage: watch::Receiver<Stage> = board.stage();
        self.connections.spawn(async move {
            caller::serve(board, door, stream, stage).await;
            drop(permit);
        });
    }
}
