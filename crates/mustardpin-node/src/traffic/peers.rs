//! The client to peers: HTTP/2, one connection to each peer.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use compact_str::CompactString;
use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use mustardpin_world::id::NodeId;

use crate::{
    peer::Identity,
    traffic::{payload::Outgoing, target::Failure},
};

/// Bytes of one answer that a peer may send ahead.
pub(super) const STREAM_WINDOW: u32 = 64 * 1024;
/// Requests in progress on one connection.
pub(super) const MAX_STREAMS: u32 = 1_024;
/// Large enough that slow callers of some answers never hold up the others.
pub(super) const CONNECTION_WINDOW: u32 = STREAM_WINDOW * MAX_STREAMS;

const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(2);

type Sender = http2::SendRequest<Outgoing>;
type Slot = Arc<tokio::sync::Mutex<Option<Sender>>>;

/// The client to all peers.
pub(super) struct Peers {
    identity: Identity,
    slots: Mutex<HashMap<(NodeId, CompactString), Slot>>,
}

impl Peers {
    /// A client without connections.
    pub(super) fn new(identity: Identity) -> Peers {
        Peers { identity, slots: Mutex::default() }
    }

    /// Sends a request to a peer.
    pub(super) async fn send(
        &self,
        to: NodeId,
        address: &CompactString,
        request: Request<Outgoing>,
    ) -> Result<Response<Incoming>, Failure> {
        let mut sender = self.connection(to, address).await.ok_or(Failure::NotSent)?;
        sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(_) => Failure::NotSent,
            None => Failure::Broken,
        })
    }

    /// The connection to a peer. Callers that come while it is being made wait for it.
    async fn connection(&self, to: NodeId, address: &CompactString) -> Option<Sender> {
        let slot = self.slot(to, address);
        let mut slot = slot.lock().await;
        if let Some(sender) = &*slot
            && !sender.is_closed()
        {
            return Some(sender.clone());
        }
        *slot = None;
        let sender = self.connect(to, address).await?;
        Some(slot.insert(sender).clone())
    }

    fn slot(&self, to: NodeId, address: &CompactString) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(slot) = slots.get(&(to, address.clone())) {
            return Arc::clone(slot);
        }
        // Peers that have gone leave slots behind that nobody holds.
        slots.retain(|_, slot| {
            Arc::strong_count(slot) > 1
                || slot
                    .try_lock()
                    .is_ok_and(|slot| slot.as_ref().is_some_and(|sender| !sender.is_closed()))
        });
        Arc::clone(slots.entry((to, address.clone())).or_default())
    }

    async fn connect(&self, to: NodeId, address: &str) -> Option<Sender> {
        let stream = self.identity.connect(address, Some(to)).await.ok()?;
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        tokio::spawn(async move {
            // Its failures reach the requests that are under way.
            let _ = connection.await;
        });
        Some(sender)
    }
}
