//! Messages of the records of non-repeatable requests.

use std::sync::Arc;

use compact_str::CompactString;
use mustardpin_world::{
    Millis,
    id::NodeId,
    message::record::{self, Name},
    request::{self, Fingerprint},
};
use serde::{Deserialize, Serialize};

use crate::peer::{Error, epoch::Member};

/// An answer kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::request::Answer")]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(CompactString, Vec<u8>)>,
    pub body: Vec<u8>,
}

/// How far a run has come.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::record::State")]
pub enum State {
    Started,
    Ended(Option<Arc<Answer>>),
    Withdrawn,
}

/// A record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::record::Entry")]
pub struct Entry {
    pub name: u128,
    pub fingerprint: u64,
    pub runner: u64,
    pub serial: u64,
    pub state: State,
    pub age_ms: u64,
}

/// A mirror's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::record::Reply")]
pub enum Reply {
    Kept,
    Known(Entry),
}

/// Requests whose records went lost.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::record::Gap")]
pub struct Gap {
    pub members: Vec<Member>,
    pub lost: Vec<u64>,
    pub left_ms: u64,
}

/// Some of the records that move to the receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::record::Batch")]
pub struct Batch {
    pub epoch: u64,
    pub number: u32,
    pub from: u64,
    pub settled: Vec<u64>,
    pub full: bool,
    pub complete: Option<Vec<Gap>>,
    pub entries: Vec<Entry>,
}

/// A message of the records of non-repeatable requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::record::Message")]
pub enum Message {
    Mirror { epoch: u64, entry: Entry },
    Mirrored { epoch: u64, name: u128, serial: u64, reply: Reply },
    Settle(Entry),
    Settled { name: u128, serial: u64 },
    Handover(Batch),
    HandedOver { epoch: u64, number: u32, want_full: bool },
    WantMembers { epoch: u64 },
    Members { epoch: u64, members: Vec<Member> },
}

impl From<&request::Answer> for Answer {
    fn from(answer: &request::Answer) -> Answer {
        let request::Answer { status, headers, body } = answer.clone();
        Answer { status, headers, body }
    }
}

impl From<&Answer> for request::Answer {
    fn from(answer: &Answer) -> request::Answer {
        let Answer { status, headers, body } = answer.clone();
        request::Answer { status, headers, body }
    }
}

impl From<record::Entry> for Entry {
    fn from(entry: record::Entry) -> Entry {
        let state = match entry.state {
            record::State::Started => State::Started,
            record::State::Ended(answer) => {
                State::Ended(answer.map(|answer| Arc::new(Answer::from(&*answer))))
            }
            record::State::Withdrawn => State::Withdrawn,
        };
        Entry {
            name: entry.name.0,
            fingerprint: entry.fingerprint.0,
            runner: entry.runner.0,
            serial: entry.serial,
            state,
            age_ms: entry.age.0,
        }
    }
}

impl From<Entry> for record::Entry {
    fn from(entry: Entry) -> record::Entry {
        let state = match entry.state {
            State::Started => record::State::Started,
            State::Ended(answer) => {
                record::State::Ended(answer.map(|answer| Arc::new((&*answer).into())))
            }
            State::Withdrawn => record::State::Withdrawn,
        };
        record::Entry {
            name: Name(entry.name),
            fingerprint: Fingerprint(entry.fingerprint),
            runner: NodeId(entry.runner),
            serial: entry.serial,
            state,
            age: Millis(entry.age_ms),
        }
    }
}

impl From<record::Gap> for Gap {
    fn from(gap: record::Gap) -> Gap {
        Gap {
            members: gap.members.into_iter().map(Member::from).collect(),
            lost: gap.lost.into_iter().map(|node| node.0).collect(),
            left_ms: gap.left.0,
        }
    }
}

impl From<Gap> for record::Gap {
    fn from(gap: Gap) -> record::Gap {
        record::Gap {
            members: gap.members.into_iter().map(Into::into).collect(),
            lost: gap.lost.into_iter().map(NodeId).collect(),
            left: Millis(gap.left_ms),
        }
    }
}

impl From<record::Batch> for Batch {
    fn from(batch: record::Batch) -> Batch {
        Batch {
            epoch: batch.epoch,
            number: batch.number,
            from: batch.from,
            settled: batch.settled,
            full: batch.full,
            complete: batch.complete.map(|gaps| gaps.into_iter().map(Gap::from).collect()),
            entries: batch.entries.into_iter().map(Entry::from).collect(),
        }
    }
}

impl From<Batch> for record::Batch {
    fn from(batch: Batch) -> record::Batch {
        record::Batch {
            epoch: batch.epoch,
            number: batch.number,
            from: batch.from,
            settled: batch.settled,
            full: batch.full,
            complete: batch.complete.map(|gaps| gaps.into_iter().map(Into::into).collect()),
            entries: batch.entries.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<record::Message> for Message {
    fn from(message: record::Message) -> Message {
        use record::Message as World;

        match message {
            World::Mirror { epoch, entry } => Message::Mirror { epoch, entry: entry.into() },
            World::Mirrored { epoch, name, serial, reply } => {
                let reply = match reply {
                    record::Reply::Kept => Reply::Kept,
                    record::Reply::Known(entry) => Reply::Known(entry.into()),
                };
                Message::Mirrored { epoch, name: name.0, serial, reply }
            }
            World::Settle(entry) => Message::Settle(entry.into()),
            World::Settled { name, serial } => Message::Settled { name: name.0, serial },
            World::Handover(batch) => Message::Handover(batch.into()),
            World::HandedOver { epoch, number, want_full } => {
                Message::HandedOver { epoch, number, want_full }
            }
            World::WantMembers { epoch } => Message::WantMembers { epoch },
            World::Members { epoch, members } => {
                let members = members.into_iter().map(Member::from).collect();
                Message::Members { epoch, members }
            }
        }
    }
}

impl TryFrom<Message> for record::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<record::Message, Error> {
        use record::Message as World;

        Ok(match message {
            Message::Mirror { epoch, entry } => World::Mirror { epoch, entry: entry.into() },
            Message::Mirrored { epoch, name, serial, reply } => {
                let reply = match reply {
                    Reply::Kept => record::Reply::Kept,
                    Reply::Known(entry) => record::Reply::Known(entry.into()),
                };
                World::Mirrored { epoch, name: Name(name), serial, reply }
            }
            Message::Settle(entry) => World::Settle(entry.into()),
            Message::Settled { name, serial } => World::Settled { name: Name(name), serial },
            Message::Handover(batch) => World::Handover(batch.into()),
            Message::HandedOver { epoch, number, want_full } => {
                World::HandedOver { epoch, number, want_full }
            }
            Message::WantMembers { epoch } => World::WantMembers { epoch },
            Message::Members { epoch, members } => {
                let members = members.into_iter().map(Into::into).collect();
                World::Members { epoch, members }
            }
        })
    }
}
