//! The state of a node and what it knows of its peers, for operators.

use compact_str::{CompactString, ToCompactString as _};
use mustardpin_world::{
    Millis, World,
    refusal::Reason,
    table::{
        counter::{Counters, Retry, Work},
        peer,
    },
};
use serde::{Deserialize, Serialize};

/// The state of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The id of the node's process.
    pub node: CompactString,
    /// The node's name, which stays the same over restarts.
    pub name: CompactString,
    /// The data centre that the node runs in.
    pub data_centre: CompactString,
    /// The service of the node's target.
    pub service: CompactString,
    /// Whether the node is draining before it stops.
    pub leaving: bool,
    /// What the node knows from the store.
    pub view: View,
    /// The node's target.
    pub target: Target,
    /// Requests accepted and not yet answered.
    pub calls: u64,
    /// The other nodes that the node knows.
    pub peers: Vec<Peer>,
    /// Refusals by reason, without counts of zero.
    pub refusals: Vec<Count>,
    /// Retries by reason, without counts of zero.
    pub retries: Vec<Count>,
    /// Work done by kind, without counts of zero.
    pub work: Vec<Count>,
}

/// What a node knows from the store, and how old it is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct View {
    /// The revision of the configuration.
    pub revision: u64,
    /// Members of the roster, between which teams' rates are distributed.
    pub members: u64,
    /// Whether the configuration is recent enough to serve requests with a key.
    pub fresh: bool,
    /// The time since the node last knew the configuration to be current, in milliseconds; `None`
    /// before it has received one.
    pub store_age_ms: Option<u64>,
}

/// A node's target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Target {
    /// Whether the target has announced itself and is connected.
    pub present: bool,
    /// Whether the target reports itself as healthy.
    pub healthy: bool,
    /// Whether the target reports that it is draining.
    pub draining: bool,
    /// How many requests the target reports that it can run at once.
    pub slots: Option<u32>,
    /// Requests running on the target, counted by the node.
    pub running: u32,
    /// Requests waiting in the node's queue.
    pub queued: u32,
    /// How many requests may run on the target at once, as determined by the node.
    pub limit: u32,
    /// Whether the target states in its responses that it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// The requests per second that the target takes from all nodes together, as a decimal number, if
    /// it states a rate limit.
    #[serde(default)]
    pub rate_limit: Option<CompactString>,
    /// The measured duration of a run, in milliseconds.
    pub latency_ms: u64,
}

/// Another node, as this node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Peer {
    /// The id of the peer's process.
    pub node: CompactString,
    /// The data centre that the peer runs in.
    pub data_centre: CompactString,
    /// The service of the peer's target.
    pub service: CompactString,
    /// The peer's name, which stays the same over restarts.
    pub name: CompactString,
    /// The address at which the peer accepts connections from other nodes.
    pub address: CompactString,
    /// The state of the connection to the peer: `new`, `up`, `silent`, `down` or `refused`.
    pub link: CompactString,
    /// Whether requests may be forwarded to the peer, by its connection and last load report.
    pub open: bool,
    /// Requests forwarded to the peer that have not ended.
    pub in_flight: u32,
    /// How many requests the peer's target may run at once, by the peer's last load report.
    pub limit: Option<u32>,
}

/// The value of a counter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// The name of the counter.
    pub name: CompactString,
    /// The value, counted since the node started.
    pub count: u64,
}

impl Status {
    /// The state of a node at a time of its clock.
    ///
    /// ```
    /// use mustardpin_wire::admin::status::Status;
    /// use mustardpin_world::{Identity, Millis, Options, World, id::NodeId, store::Announcement};
    ///
    /// let announcement = Announcement {
    ///     node: NodeId(1),
    ///     name: "north-1".into(),
    ///     data_centre: "north".into(),
    ///     service: "ledger".into(),
    ///     address: "127.0.0.1:7101".into(),
    /// };
    /// let world = World::new(Identity { announcement }, Options::default(), 42);
    /// assert_eq!(Status::of(&world, Millis(0)).data_centre, "north");
    /// ```
    pub fn of(world: &World, now: Millis) -> Status {
        let tables = world.tables();
        let identity = world.identity();
        Status {
            node: identity.node().to_compact_string(),
            name: identity.name().clone(),
            data_centre: identity.data_centre().clone(),
            service: identity.service().clone(),
            leaving: tables.leaving,
            view: View::of(world, now),
            target: Target::of(world),
            calls: tables.calls.len() as u64,
            peers: tables.peers.iter().map(|(_, peer)| Peer::from(peer)).collect(),
            refusals: refusals(&tables.counters),
            retries: retries(&tables.counters),
            work: work(&tables.counters),
        }
    }
}

impl View {
    fn of(world: &World, now: Millis) -> View {
        let tables = world.tables();
        let as_of = tables.freshness.configuration_as_of;
        View {
            revision: tables.configuration.revision.0,
            members: tables.roster.members.len() as u64,
            fresh: tables.freshness.fresh,
            store_age_ms: as_of.map(|as_of| (now - as_of).0),
        }
    }
}

impl Target {
    fn of(world: &World) -> Target {
        let target = &world.tables().target;
        Target {
            present: target.present,
            healthy: target.report.healthy,
            draining: target.report.draining,
            slots: target.report.slots,
            running: target.running,
            queued: target.queued,
            limit: target.limit,
            leaving: target.is_leaving,
            rate_limit: target.stated_rate().map(|rate| rate.to_compact_string()),
            latency_ms: target.latency.0,
        }
    }
}

impl From<&peer::Peer> for Peer {
    fn from(peer: &peer::Peer) -> Peer {
        Peer {
            node: peer.announcement.node.to_compact_string(),
            data_centre: peer.announcement.data_centre.clone(),
            service: peer.announcement.service.clone(),
            name: peer.announcement.name.clone(),
            address: peer.announcement.address.clone(),
            link: peer.link.name().into(),
            open: peer.is_open(),
            in_flight: peer.in_flight,
            limit: peer.load.map(|load| load.limit),
        }
    }
}

fn refusals(counters: &Counters) -> Vec<Count> {
    let counts = Reason::ALL.iter().map(|&reason| (reason, counters.refusals(reason)));
    counts.filter(|(_, count)| *count > 0).map(|(reason, count)| to_count(&reason, count)).collect()
}

fn retries(counters: &Counters) -> Vec<Count> {
    let counts = Retry::ALL.iter().map(|&retry| (retry, counters.retries(retry)));
    counts.filter(|(_, count)| *count > 0).map(|(retry, count)| to_count(&retry, count)).collect()
}

fn work(counters: &Counters) -> Vec<Count> {
    let counts = Work::ALL.iter().map(|&work| (work, counters.work_done(work)));
    counts.filter(|(_, count)| *count > 0).map(|(work, count)| to_count(&work, count)).collect()
}

fn to_count(name: &impl std::fmt::Display, count: u64) -> Count {
    Count { name: name.to_compact_string(), count }
}
