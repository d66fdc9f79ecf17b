//! Peers: the other nodes that this node knows.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{
    clock::Millis,
    id::{NodeId, PeerKey, Revision, ServiceKey, StoreVersion},
    request::Load,
    store::Announcement,
    table::health::Health,
};

/// The state of the connection to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Link {
    /// Not established yet since the peer was found.
    #[default]
    New,
    /// Established, and the peer replies.
    Up,
    /// Established, but the peer doesn't reply.
    Silent,
    /// Ended, or couldn't be established.
    Down,
    /// Refused, or accepted by another node: the peer no longer runs at its address.
    Refused,
}

impl Link {
    /// The state's name in log entries.
    ///
    /// ```
    /// assert_eq!(mustardpin_world::table::peer::Link::Silent.name(), "silent");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Link::New => "new",
            Link::Up => "up",
            Link::Silent => "silent",
            Link::Down => "down",
            Link::Refused => "refused",
        }
    }
}

/// A peer, and what this node knows of it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The node's announcement of itself.
    pub announcement: Announcement,
    /// The service of its target.
    pub service: ServiceKey,
    /// Whether it is in the local data centre.
    pub is_local: bool,
    /// The store version of its row, if this node knows of one.
    pub row: Option<StoreVersion>,
    /// Whether it wrote its row again after the row was removed.
    pub has_returned: bool,
    /// The state of the connection to it.
    pub link: Link,
    /// When the connection entered that state.
    pub link_since: Millis,
    /// The revision of its configuration, as last reported.
    pub revision: Revision,
    /// Calls in progress that this node has forwarded to it.
    pub in_flight: u32,
    /// Calls that this node has forwarded to it since its last load report.
    pub unreported: u32,
    /// The load of its target, as last reported.
    pub load: Option<Load>,
    /// Whether the process of its target has stated that it is leaving.
    pub is_target_leaving: bool,
    /// When it last reported its load.
    pub load_as_of: Millis,
    /// The latency of its responses, as a multiple of the usual latency. Not measured: always 1.
    pub latency_ratio: f32,
    /// Its health as seen from forwarded requests, for outlier ejection.
    pub health: Health,
}

impl Peer {
    /// A peer that has just been found.
    pub fn new(
        announcement: Announcement,
        service: ServiceKey,
        is_local: bool,
        now: Millis,
    ) -> Peer {
        Peer {
            announcement,
            service,
            is_local,
            row: None,
            has_returned: false,
            link: Link::New,
            link_since: now,
            revision: Revision(0),
            in_flight: 0,
            unreported: 0,
            load: None,
            is_target_leaving: false,
            load_as_of: Millis::ZERO,
            latency_ratio: 1.0,
            health: Health::default(),
        }
    }

    /// Whether requests may be forwarded to it, by its connection and its last load report.
    pub fn is_open(&self) -> bool {
        let is_open = self.load.is_some_and(|load| load.open);
        self.link == Link::Up && is_open && !self.is_target_leaving
    }
}

/// The table of peers. There is one for each node name: a restarted process replaces the peer of
/// the same name.
#[derive(Debug, Default)]
pub struct Peers {
    rows: SlotMap<PeerKey, Peer>,
    by_node: BTreeMap<NodeId, PeerKey>,
    by_name: BTreeMap<CompactString, PeerKey>,
}

impl Peers {
    /// Adds a peer. There must be none of the same name.
    pub fn insert(&mut self, peer: Peer) -> PeerKey {
        let (node, name) = (peer.announcement.node, peer.announcement.name.clone());
        let key = self.rows.insert(peer);
        self.by_node.insert(node, key);
        self.by_name.insert(name, key);
        key
    }

    /// The peer with this key.
    pub fn get(&self, key: PeerKey) -> Option<&Peer> {
        self.rows.get(key)
    }

    /// The peer with this key.
    pub fn get_mut(&mut self, key: PeerKey) -> Option<&mut Peer> {
        self.rows.get_mut(key)
    }

    /// The key of the peer with this id.
    pub fn by_node(&self, node: NodeId) -> Option<PeerKey> {
        self.by_node.get(&node).copied()
    }

    /// The key of the peer of this name.
    pub fn by_name(&self, name: &str) -> Option<PeerKey> {
        self.by_name.get(name).copied()
    }

    /// Removes a peer.
    pub fn remove(&mut self, key: PeerKey) -> Option<Peer> {
        let peer = self.rows.remove(key)?;
        self.by_node.remove(&peer.announcement.node);
        self.by_name.remove(&peer.announcement.name);
        Some(peer)
    }

    /// All peers, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (PeerKey, &Peer)> {
        self.by_name.values().map(|&key| (key, &self.rows[key]))
    }

    /// How many peers there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
