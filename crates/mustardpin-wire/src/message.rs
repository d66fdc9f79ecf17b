//! The encoding of messages between the worlds of two nodes.

use compact_str::CompactString;
use derive_more::{Display, Error, From};
use mustardpin_world::{
    Millis,
    id::{self, Revision, TargetId},
    message::{self, rate_limit::Shard},
    notice::Rate,
    request::Fingerprint,
};
use serde::{Deserialize, Serialize};

use crate::{config, store::Announcement};

/// Why a message can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error, From)]
pub enum Error {
    /// A row of the configuration can't be decoded.
    #[display("a row of the configuration could not be read")]
    Config(config::Error),
}

/// A message between two nodes. Durations are in milliseconds.
///
/// `AskFreshness` and `TellFreshness` are a freshness query and its reply. `Draw` holds lease
/// requests as (team, shard, wanted tokens), and `Grant` the lease grants as (tokens, time until the
/// next token). `RecallTarget` reminds a restarted node of what its target has stated, with a rate in
/// thousandths of a request per second. `WriteDeparture`, `DepartureWritten` and `RememberedDepartures` name
/// processes of targets.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors the messages of mustardpin_world::message")]
pub enum Message {
    Known(Vec<Announcement>),
    WantConfiguration { after: u64 },
    HaveConfiguration { revision: u64, rows: Vec<config::Row> },
    AskFreshness { number: u64 },
    TellFreshness { number: u64, age: u64, revision: u64, fleet_age: u64, roster: StoreVersion },
    Draw { number: u64, draws: Vec<(CompactString, u8, u32)> },
    Grant { number: u64, grants: Vec<(u32, u64)> },
    Handover { roster: StoreVersion, team: CompactString, shard: u8, level: u64 },
    Costs(Vec<Cost>),
    Crashed { crash: u64, requests: Vec<u64>, tried: Option<u64> },
    Cleared(u64),
    RecallTarget { target: u64, leaving: bool, rate: Option<u64>, age: u64 },
    WriteDeparture(u64),
    DepartureWritten { process: u64, epoch: u32 },
    RememberedDepartures(Vec<u64>),
}

/// A version of the store's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::id::StoreVersion")]
pub struct StoreVersion {
    pub epoch: u32,
    pub number: u64,
}

impl From<id::StoreVersion> for StoreVersion {
    fn from(version: id::StoreVersion) -> StoreVersion {
        StoreVersion { epoch: version.epoch.0, number: version.number }
    }
}

impl From<StoreVersion> for id::StoreVersion {
    fn from(version: StoreVersion) -> id::StoreVersion {
        id::StoreVersion::new(id::Epoch(version.epoch), version.number)
    }
}

/// The cost of a run of one route.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::shedding")]
pub struct Cost {
    pub route: CompactString,
    /// The slot time, in milliseconds.
    pub hold: u64,
    pub calls: Vec<(CompactString, f32)>,
}

impl From<message::shedding::Cost> for Cost {
    fn from(cost: message::shedding::Cost) -> Cost {
        let message::shedding::Cost { route, slot_time, calls } = cost;
        Cost { route, hold: slot_time.0, calls }
    }
}

impl From<Cost> for message::shedding::Cost {
    fn from(cost: Cost) -> message::shedding::Cost {
        let Cost { route, hold, calls } = cost;
        message::shedding::Cost { route, slot_time: Millis(hold), calls }
    }
}

impl From<message::Message> for Message {
    fn from(message: message::Message) -> Message {
        match message {
            message::Message::Fleet(message::fleet::Message::Known(known)) => {
                Message::Known(known.into_iter().map(Announcement::from).collect())
            }
            message::Message::Configuration(message) => message.into(),
            message::Message::Freshness(message) => message.into(),
            message::Message::RateLimit(message) => message.into(),
            message::Message::Shedding(message::shedding::Message::Costs(costs)) => {
                let costs = costs.into_iter();
                Message::Costs(costs.map(Cost::from).collect())
            }
            message::Message::Quarantine(message) => message.into(),
            message::Message::Target(message) => message.into(),
            message::Message::Departure(message) => message.into(),
        }
    }
}

impl From<message::configuration::Message> for Message {
    fn from(message: message::configuration::Message) -> Message {
        match message {
            message::configuration::Message::Want { after } => {
                Message::WantConfiguration { after: after.0 }
            }
            message::configuration::Message::Have { revision, rows } => {
                Message::HaveConfiguration {
                    revision: revision.0,
                    rows: rows.into_iter().map(config::Row::from).collect(),
                }
            }
        }
    }
}

impl From<message::freshness::Message> for Message {
    fn from(message: message::freshness::Message) -> Message {
        match message {
            message::freshness::Message::Query { number } => Message::AskFreshness { number },
            message::freshness::Message::Reply { number, age, revision, fleet_age, roster } => {
                Message::TellFreshness {
                    number,
                    age: age.0,
                    revision: revision.0,
                    fleet_age: fleet_age.0,
                    roster: roster.into(),
                }
            }
        }
    }
}

impl From<message::rate_limit::Message> for Message {
    fn from(message: message::rate_limit::Message) -> Message {
        match message {
            message::rate_limit::Message::Request { number, requests } => {
                let requests = requests.into_iter();
                let draws = requests
                    .map(|request| (request.team, request.shard.0, request.wanted))
                    .collect();
                Message::Draw { number, draws }
            }
            message::rate_limit::Message::Grant { number, grants } => {
                let grants = grants.into_iter();
                let grants = grants.map(|grant| (grant.tokens, grant.next_in.0)).collect();
                Message::Grant { number, grants }
            }
            message::rate_limit::Message::Handover { roster, team, shard, level } => {
                Message::Handover { roster: roster.into(), team, shard: shard.0, level }
            }
        }
    }
}

impl From<message::quarantine::Message> for Message {
    fn from(message: message::quarantine::Message) -> Message {
        match message {
            message::quarantine::Message::Crashed { crash, requests, tried } => {
                let requests = requests.into_iter().map(|request| request.0).collect();
                Message::Crashed { crash, requests, tried: tried.map(|tried| tried.0) }
            }
            message::quarantine::Message::Cleared(request) => Message::Cleared(request.0),
        }
    }
}

impl From<message::target::Message> for Message {
    fn from(message: message::target::Message) -> Message {
        let message::target::Message { target, leaving, rate, age } = message;
        let rate = rate.map(|rate| rate.0);
        Message::RecallTarget { target: target.0, leaving, rate, age: age.0 }
    }
}

impl From<message::departure::Message> for Message {
    fn from(message: message::departure::Message) -> Message {
        match message {
            message::departure::Message::Write(process) => Message::WriteDeparture(process.0),
            message::departure::Message::Written { process, epoch } => {
                Message::DepartureWritten { process: process.0, epoch: epoch.0 }
            }
            message::departure::Message::Remembered { departed } => {
                let departed = departed.into_iter().map(|process| process.0);
                Message::RememberedDepartures(departed.collect())
            }
        }
    }
}

impl TryFrom<Message> for message::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<message::Message, Error> {
        Ok(match message {
            Message::Known(known) => {
                // One that can't be decoded must not end the connection, and with it requests.
                let known = known.into_iter().filter_map(|known| known.try_into().ok());
                message::fleet::Message::Known(known.collect()).into()
            }
            Message::WantConfiguration { after } => {
                message::configuration::Message::Want { after: Revision(after) }.into()
            }
            Message::HaveConfiguration { revision, rows } => {
                let rows: Result<_, config::Error> =
                    rows.into_iter().map(TryInto::try_into).collect();
                let revision = Revision(revision);
                message::configuration::Message::Have { revision, rows: rows? }.into()
            }
            Message::AskFreshness { number } => {
                message::freshness::Message::Query { number }.into()
            }
            Message::TellFreshness { number, age, revision, fleet_age, roster } => {
                message::freshness::Message::Reply {
                    number,
                    age: Millis(age),
                    revision: Revision(revision),
                    fleet_age: Millis(fleet_age),
                    roster: roster.into(),
                }
                .into()
            }
            Message::Draw { number, draws } => {
                let request = |(team, shard, wanted)| message::rate_limit::LeaseRequest {
                    team,
                    shard: Shard(shard),
                    wanted,
                };
                let requests = draws.into_iter().map(request).collect();
                message::rate_limit::Message::Request { number, requests }.into()
            }
            Message::Grant { number, grants } => {
                let grant = |(tokens, next_in)| message::rate_limit::LeaseGrant {
                    tokens,
                    next_in: Millis(next_in),
                };
                let grants = grants.into_iter().map(grant).collect();
                message::rate_limit::Message::Grant { number, grants }.into()
            }
            Message::Handover { roster, team, shard, level } => {
                let (roster, shard) = (roster.into(), Shard(shard));
                message::rate_limit::Message::Handover { roster, team, shard, level }.into()
            }
            Message::Costs(costs) => {
                let costs = costs.into_iter().map(message::shedding::Cost::from).collect();
                message::shedding::Message::Costs(costs).into()
            }
            Message::Crashed { crash, requests, tried } => {
                let requests = requests.into_iter().map(Fingerprint).collect();
                let tried = tried.map(Fingerprint);
                message::quarantine::Message::Crashed { crash, requests, tried }.into()
            }
            Message::RecallTarget { target, leaving, rate, age } => message::target::Message {
                target: TargetId(target),
                leaving,
                rate: rate.map(|rate| Rate(rate).min(Rate::MAX)),
                age: Millis(age),
            }
            .into(),
            Message::Cleared(request) => {
                message::quarantine::Message::Cleared(Fingerprint(request)).into()
            }
            Message::WriteDeparture(process) => {
                message::departure::Message::Write(TargetId(process)).into()
            }
            Message::DepartureWritten { process, epoch } => {
                let (process, epoch) = (TargetId(process), id::Epoch(epoch));
                message::departure::Message::Written { process, epoch }.into()
            }
            Message::RememberedDepartures(departed) => {
                let departed = departed.into_iter().map(TargetId).collect();
                message::departure::Message::Remembered { departed }.into()
            }
        })
    }
}
