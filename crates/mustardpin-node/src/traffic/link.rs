//! Connections between nodes.
//!
//! A node keeps one connection to each of its peers, over which it sends requests and messages and
//! receives responses. Requests and messages of a peer arrive over the peer's own connection to
//! this node. Both sides begin with a hello frame that identifies the node. Requests of all callers
//! share a connection, and frames that are queued in one iteration of the event loop are written
//! together.

mod incoming;
mod liveness;
mod outgoing;
mod transit;
mod wire;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use mustardpin_wire::frame::{Head, Hello, LoadReport, PROTOCOL_VERSION};
use mustardpin_world::{
    Millis,
    id::{KeyDigest, NodeId, Revision},
    message::Message,
    store::Announcement,
};

use crate::traffic::{exchanges::Exchanges, sender::Sender};

pub use self::liveness::idle_ping_timeout;
pub(super) use self::{
    incoming::accept,
    outgoing::{OutgoingLink, SendResult, query_seed},
};

/// The identity that this node presents to other nodes.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// The announcement that this node sends to other nodes.
    pub announcement: Announcement,
    /// The digest of the credential that all nodes of the fleet share.
    pub fleet: KeyDigest,
}

impl Credentials {
    /// The hello frame for the other end of a connection; `to` is the expected node, if it is
    /// known.
    fn hello(&self, to: Option<NodeId>, revision: Revision, now: Millis) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            credential: self.fleet.0,
            announcement: self.announcement.clone().into(),
            to: to.map_or(0, |node| node.0),
            revision: revision.0,
            sent_ms: now.0,
        }
    }
}

/// The connections to and from peers.
pub(super) struct Links {
    credentials: Credentials,
    outgoing: Mutex<HashMap<NodeId, Arc<OutgoingLink>>>,
    /// The senders of connections that peers have made, for publishing this node's load.
    incoming: Mutex<HashMap<u64, Arc<Sender>>>,
}

impl Links {
    /// Creates a table without connections.
    pub(super) fn new(credentials: Credentials) -> Links {
        Links { credentials, outgoing: Mutex::default(), incoming: Mutex::default() }
    }

    /// The connection to a peer, if one is maintained.
    pub(super) fn get(&self, node: NodeId) -> Option<Arc<OutgoingLink>> {
        self.outgoing().get(&node).cloned()
    }

    /// The number of connections to peers that are maintained.
    pub(super) fn count(&self) -> usize {
        self.outgoing().len()
    }

    /// Starts maintaining a connection to a peer.
    pub(super) fn connect(&self, exchanges: &Arc<Exchanges>, announcement: Announcement) {
        let node = announcement.node;
        let link = Arc::new(OutgoingLink::new(announcement));
        if let Some(old) = self.outgoing().insert(node, Arc::clone(&link)) {
            old.close();
        }
        tokio::spawn(outgoing::maintain(Arc::clone(exchanges), link));
    }

    /// Closes the connection to a peer, once no request is in progress over it, and stops
    /// reconnecting.
    pub(super) fn disconnect(&self, node: NodeId) {
        if let Some(link) = self.outgoing().remove(&node) {
            link.close();
        }
    }

    /// Sends a message to a peer, if it is connected.
    pub(super) fn send(&self, to: NodeId, message: Message) {
        if let Some(link) = self.get(to) {
            link.send(&Head::Message(message.into()));
        }
    }

    /// Sends this node's load to all peers that are connected to it.
    pub(super) fn publish(&self, load: LoadReport) {
        let incoming = self.incoming.lock().unwrap_or_else(PoisonError::into_inner);
        for sender in incoming.values() {
            sender.send(&Head::Load(load), &[]);
        }
    }

    fn outgoing(&self) -> MutexGuard<'_, HashMap<NodeId, Arc<OutgoingLink>>> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queries a seed address periodically. Reports to the control thread which node replies.
pub async fn discover(exchanges: Arc<Exchanges>, seed: SocketAddr) {
    query_seed(&exchanges, seed).await;
}
