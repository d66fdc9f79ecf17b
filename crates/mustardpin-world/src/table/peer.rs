//! Peers: the other nodes this node knows.

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

/// The connection to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Link {
    /// It was not there since the node knows the peer.
    #[default]
    New,
    /// It is there and answers.
    Up,
    /// It is there and does not answer.
    Silent,
    /// It has ended, or could not be made.
    Down,
    /// The place where the peer was says that it is not there.
    Refused,
}

impl Link {
    /// The state's name, as in logs.
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

/// Another node.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Who and where.
    pub announcement: Announcement,
    /// The service of its target.
    pub service: ServiceKey,
    /// Whether it stands in the own data centre.
    pub is_local: bool,
    /// The version of its row in the store, if it has one that this node knows.
    pub row: Option<StoreVersion>,
    /// Whether it has written its row again after someone removed it.
    pub has_returned: bool,
    /// The state of the connection to it.
    pub link: Link,
    /// Since when.
    pub link_since: Millis,
    /// The revision of its configuration, as it last said.
    pub revision: Revision,
    /// Calls this node has passed to it that have not ended.
    pub in_flight: u32,
    /// Calls this node has passed to it since it last said how much its target has to do.
    pub unreported: u32,
    /// What it last said of its target.
    pub load: Option<Load>,
    /// When it said so.
    pub load_as_of: Millis,
    /// How long its answers take, as a multiple of what answers on their routes usually take.
    pub latency_ratio: f32,
    /// How it does on the traffic path.
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
            load_as_of: Millis::ZERO,
            latency_ratio: 1.0,
            health: Health::default(),
        }
    }

    /// Whether requests may be passed to it, as far as it says.
    pub fn is_open(&self) -> bool {
        self.link == Link::Up && self.load.is_some_and(|load| load.open)
    }
}

/// The table of peers. There is one for each place: a new process in a place takes it over.
#[derive(Debug, Default)]
pub struct Peers {
    rows: SlotMap<PeerKey, Peer>,
    by_node: BTreeMap<NodeId, PeerKey>,
    by_name: BTreeMap<CompactString, PeerKey>,
}

impl Peers {
    /// Adds a peer. There must be none in its place.
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

    /// The key of the peer in this place.
    pub fn by_name(&self, name: &str) -> Option<PeerKey> {
        self.by_name.get(name).copied()
    }

    /// Forgets a peer.
    pub fn remove(&mut self, key: PeerKey) -> Option<Peer> {
        let peer = self.rows.remove(key)?;
        self.by_node.remove(&peer.announcement.node);
        self.by_name.remove(&peer.announcement.name);
        Some(peer)
    }

    /// All peers, in the order of their places' names.
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
