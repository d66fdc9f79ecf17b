//! Peers: the other nodes this node knows.

use std::collections::BTreeMap;

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{
    clock::Millis,
    id::{NodeId, PeerKey},
    platform::Announcement,
    request::Pressure,
    table::health::Health,
};

/// What this node believes of a peer. Within an incarnation, a later state wins over an earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum State {
    /// It answers.
    #[default]
    Alive,
    /// It missed a probe.
    Suspect,
    /// It is leaving and takes no new work.
    Leaving,
    /// It is gone.
    Dead,
}

impl State {
    /// The state's name, as in logs.
    ///
    /// ```
    /// assert_eq!(mustardpin_world::table::peer::State::Dead.name(), "dead");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Leaving => "leaving",
            State::Dead => "dead",
        }
    }
}

/// Another node.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Who and where.
    pub announcement: Announcement,
    /// Grows when the peer refutes a suspicion.
    pub incarnation: u32,
    /// What this node believes of it.
    pub state: State,
    /// Since when.
    pub since: Millis,
    /// Whether it has replied to this node, and so knows it.
    pub introduced: bool,
    /// When its row in the platform was last seen to be written.
    pub row_seen: Option<Millis>,
    /// Calls this node has passed to it that have not ended.
    pub in_flight: u32,
    /// What its last answer said of its target.
    pub pressure: Option<Pressure>,
    /// When it said so.
    pub pressure_as_of: Millis,
    /// How it does on the traffic path.
    pub health: Health,
}

impl Peer {
    /// A peer that has just been found.
    pub fn new(announcement: Announcement, now: Millis) -> Peer {
        Peer {
            announcement,
            incarnation: 0,
            state: State::Alive,
            since: now,
            introduced: false,
            row_seen: None,
            in_flight: 0,
            pressure: None,
            pressure_as_of: Millis::ZERO,
            health: Health::default(),
        }
    }
}

/// The table of peers.
#[derive(Debug, Default)]
pub struct Peers {
    rows: SlotMap<PeerKey, Peer>,
    by_node: BTreeMap<NodeId, PeerKey>,
    by_place: BTreeMap<CompactString, BTreeMap<CompactString, Vec<PeerKey>>>,
}

impl Peers {
    /// Adds a peer, or returns the key of the one that is there with the same id.
    pub fn insert(&mut self, peer: Peer) -> PeerKey {
        let node = peer.announcement.node;
        if let Some(&key) = self.by_node.get(&node) {
            return key;
        }
        let Announcement { service, data_centre, .. } = peer.announcement.clone();
        let key = self.rows.insert(peer);
        self.by_node.insert(node, key);
        self.by_place.entry(service).or_default().entry(data_centre).or_default().push(key);
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

    /// The peers of a service in one data centre, in the order in which they were found.
    pub fn at(&self, service: &str, data_centre: &str) -> &[PeerKey] {
        let places = self.by_place.get(service);
        places.and_then(|places| places.get(data_centre)).map_or(&[], Vec::as_slice)
    }

    /// The data centres in which peers of a service were found.
    pub fn data_centres(&self, service: &str) -> impl Iterator<Item = &CompactString> {
        self.by_place.get(service).into_iter().flat_map(BTreeMap::keys)
    }

    /// Forgets a peer.
    pub fn remove(&mut self, key: PeerKey) -> Option<Peer> {
        let peer = self.rows.remove(key)?;
        let Announcement { node, service, data_centre, .. } = &peer.announcement;
        self.by_node.remove(node);
        let places = self.by_place.get_mut(service);
        if let Some(keys) = places.and_then(|places| places.get_mut(data_centre)) {
            keys.retain(|&other| other != key);
        }
        Some(peer)
    }

    /// All peers, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (PeerKey, &Peer)> {
        self.by_node.values().map(|&key| (key, &self.rows[key]))
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
