//! The state of a node and what it knows of the others, for operators.

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
    /// Its id.
    pub node: CompactString,
    /// The name of its place.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// The service of its target.
    pub service: CompactString,
    /// Whether it is leaving.
    pub leaving: bool,
    /// What it knows of the configuration, and how well.
    pub view: View,
    /// Its target.
    pub target: Target,
    /// Calls taken in and not yet answered.
    pub calls: u64,
    /// The other nodes it knows.
    pub peers: Vec<Peer>,
    /// Refusals by reason, without those that are zero.
    pub refusals: Vec<Count>,
    /// Retries by reason, without those that are zero.
    pub retries: Vec<Count>,
    /// Work done by kind, without what is zero.
    pub work: Vec<Count>,
}

/// What a node knows of the configuration, and how well.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct View {
    /// The revision of the configuration.
    pub revision: u64,
    /// Places in the roster, among which rates are dealt out.
    pub members: u64,
    /// Whether keyed requests may be served.
    pub fresh: bool,
    /// How old the news from the store is, in milliseconds.
    pub store_age_ms: Option<u64>,
}

/// A node's target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Target {
    /// Whether it has announced itself and is connected.
    pub present: bool,
    /// Whether it says it is healthy.
    pub healthy: bool,
    /// Whether it says it is draining.
    pub draining: bool,
    /// How many requests it can run at once, by its own account.
    pub slots: Option<u32>,
    /// Requests running on it, by the node's count.
    pub running: u32,
    /// Requests waiting for it.
    pub queued: u32,
    /// How many requests may run on it at once, as the node measures.
    pub limit: u32,
    /// How long a run takes, as measured, in milliseconds.
    pub latency_ms: u64,
}

/// Another node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Peer {
    /// Its id.
    pub node: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// The service of its target.
    pub service: CompactString,
    /// The name of its place.
    pub name: CompactString,
    /// Where its peers reach it.
    pub address: CompactString,
    /// The connection to it: `new`, `up`, `silent`, `down` or `refused`.
    pub link: CompactString,
    /// Whether it takes requests, as it last said.
    pub open: bool,
    /// Calls passed to it that have not ended.
    pub in_flight: u32,
    /// The most requests its target may run at once, as it last said.
    pub limit: Option<u32>,
}

/// How often something happened.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// The name of the counter.
    pub name: CompactString,
    /// How often.
    pub count: u64,
}

impl Status {
    /// The state of a node at a point in time of its clock.
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
            members: tables.roster.len() as u64,
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
    counts.filter(|(_, count)| *count > 0).map(|(reason, count)| named(&reason, count)).collect()
}

fn retries(counters: &Counters) -> Vec<Count> {
    let counts = Retry::ALL.iter().map(|&retry| (retry, counters.retries(retry)));
    counts.filter(|(_, count)| *count > 0).map(|(retry, count)| named(&retry, count)).collect()
}

fn work(counters: &Counters) -> Vec<Count> {
    let counts = Work::ALL.iter().map(|&work| (work, counters.work_done(work)));
    counts.filter(|(_, count)| *count > 0).map(|(work, count)| named(&work, count)).collect()
}

fn named(name: &impl std::fmt::Display, count: u64) -> Count {
    Count { name: name.to_compact_string(), count }
}
