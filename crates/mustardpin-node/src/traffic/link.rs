//! Connections between nodes.
//!
//! A node keeps one connection to each of its peers, over which it sends requests and messages and
//! gets answers. A peer's own connection to it carries what the peer sends. Both begin with a frame
//! that says who is there. Requests of all callers share a connection, and frames that are queued
//! in one turn of the event loop are written together.

mod incoming;
mod outgoing;
mod wire;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use mustardpin_wire::frame::{Head, Hello, LoadReport, PROTOCOL_VERSION};
use mustardpin_world::{
    id::{KeyDigest, NodeId, Revision},
    message::Message,
    store::Announcement,
};

use crate::traffic::{board::Board, sender::Sender};

pub(super) use self::{
    incoming::accept,
    outgoing::{Outgoing, Passed, find},
};

/// Who this node is, towards other nodes.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// What the node tells others of itself.
    pub announcement: Announcement,
    /// The digest of the credential that all nodes of the fleet share.
    pub fleet: KeyDigest,
}

impl Credentials {
    /// The first frame to whoever is at the other end; `to` is the node that is wanted.
    fn hello(&self, to: Option<NodeId>, revision: Revision) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            credential: self.fleet.0,
            announcement: self.announcement.clone().into(),
            to: to.map_or(0, |node| node.0),
            revision: revision.0,
        }
    }
}

/// The connections to and from all peers.
pub(super) struct Links {
    credentials: Credentials,
    outgoing: Mutex<HashMap<NodeId, Arc<Outgoing>>>,
    /// The sending sides of connections that peers have made, to tell them of the node's load.
    incoming: Mutex<HashMap<u64, Arc<Sender>>>,
}

impl Links {
    /// No connections.
    pub(super) fn new(credentials: Credentials) -> Links {
        Links { credentials, outgoing: Mutex::default(), incoming: Mutex::default() }
    }

    /// The connection to a peer, if one is kept.
    pub(super) fn to(&self, node: NodeId) -> Option<Arc<Outgoing>> {
        self.outgoing().get(&node).cloned()
    }

    /// Keeps a connection to a peer from now on.
    pub(super) fn keep(&self, board: &Arc<Board>, announcement: Announcement) {
        let node = announcement.node;
        let link = Arc::new(Outgoing::new(announcement));
        if let Some(old) = self.outgoing().insert(node, Arc::clone(&link)) {
            old.give_up();
        }
        tokio::spawn(outgoing::keep(Arc::clone(board), link));
    }

    /// Keeps no connection to a peer any more.
    pub(super) fn drop(&self, node: NodeId) {
        if let Some(link) = self.outgoing().remove(&node) {
            link.give_up();
        }
    }

    /// Sends a message to a peer, if there is a connection to it.
    pub(super) fn send(&self, to: NodeId, message: Message) {
        if let Some(link) = self.to(to) {
            link.send(&Head::Message(message.into()));
        }
    }

    /// Tells all peers that have a connection to this node what its target has to do.
    pub(super) fn publish(&self, load: LoadReport) {
        let incoming = self.incoming.lock().unwrap_or_else(PoisonError::into_inner);
        for sender in incoming.values() {
            sender.send(&Head::Load(load), &[]);
        }
    }

    fn outgoing(&self) -> MutexGuard<'_, HashMap<NodeId, Arc<Outgoing>>> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Looks for whoever is at an address of the settings, until there is a peer.
pub async fn seek(board: Arc<Board>, seed: SocketAddr) {
    find(&board, seed).await;
}
