//! The state of a node and what it knows of the others, for operators.

use compact_str::{CompactString, ToCompactString as _};
use mustardpin_world::{
    Millis, World,
    refusal::Reason,
    table::{
        counter::{Counters, Retry, Work},
        data_centre, peer,
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
    /// The number of the epoch.
    pub epoch: u64,
    /// Nodes in the epoch.
    pub members: u64,
    /// Whether keyed requests may be served.
    pub fresh: bool,
    /// How old the news from the platform is, in milliseconds.
    pub platform_age_ms: Option<u64>,
    /// How old the news from each data centre is.
    pub data_centres: Vec<DataCentre>,
}

/// A data centre that a node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DataCentre {
    /// Its name.
    pub name: CompactString,
    /// How old the news from it is, in milliseconds.
    pub age_ms: Option<u64>,
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
    /// Where it takes control messages.
    pub control_address: CompactString,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: CompactString,
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
    pub fn of(world: &World, now: Millis) -> Status {
        let tables = world.tables();
        let identity = world.identity();
        Status {
            node: identity.node().to_compact_string(),
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
        let data_centre = |(_, row): (_, &data_centre::DataCentre)| DataCentre {
            name: row.name.clone(),
            age_ms: row.as_of.map(|as_of| (now - as_of).0),
        };
        View {
            revision: tables.configuration.revision.0,
            epoch: tables.epoch.current.number,
            members: tables.epoch.current.members.len() as u64,
            fresh: tables.freshness.fresh,
            platform_age_ms: tables.freshness.platform_as_of.map(|as_of| (now - as_of).0),
            data_centres: tables.data_centres.iter().map(data_centre).collect(),
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
        }
    }
}

impl From<&peer::Peer> for Peer {
    fn from(peer: &peer::Peer) -> Peer {
        let state = match peer.state {
            peer::State::Alive => "alive",
            peer::State::Suspect => "suspect",
            peer::State::Leaving => "leaving",
            peer::State::Dead => "dead",
        };
        Peer {
            node: peer.announcement.node.to_compact_string(),
            data_centre: peer.announcement.data_centre.clone(),
            service: peer.announcement.service.clone(),
            control_address: peer.announcement.control_address.clone(),
            state: state.into(),
            in_flight: peer.in_flight,
            limit: peer.pressure.map(|pressure| pressure.limit),
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
    let counts = Work::ALL.iter().map(|&work| (work, counters.worked(work)));
    counts.filter(|(_, count)| *count > 0).map(|(work, count)| named(&work, count)).collect()
}

fn named(name: &impl std::fmt::Display, count: u64) -> Count {
    Count { name: name.to_compact_string(), count }
}
