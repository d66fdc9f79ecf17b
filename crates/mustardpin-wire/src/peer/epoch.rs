//! Messages that spread the epoch, and the epoch's row in the platform's table.

use compact_str::CompactString;
use mustardpin_world::{
    id::{NodeId, Revision},
    message::epoch,
};
use serde::{Deserialize, Serialize};

use crate::peer::Error;

/// A node that holds shares and homes in an epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::epoch::Member")]
pub struct Member {
    pub node: u64,
    pub data_centre: CompactString,
    pub service: CompactString,
}

/// Who holds shares and homes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::epoch::Epoch")]
pub struct Epoch {
    pub number: u64,
    pub revision: u64,
    pub members: Vec<Member>,
}

/// What one epoch changed in the epoch before it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::epoch::Step")]
pub struct Step {
    pub number: u64,
    pub revision: u64,
    pub removed: Vec<u64>,
    pub added: Vec<Member>,
}

/// A message about the epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::epoch::Message")]
pub enum Message {
    Want { number: u64 },
    Have(Epoch),
    Steps(Vec<Step>),
}

impl From<epoch::Member> for Member {
    fn from(member: epoch::Member) -> Member {
        let epoch::Member { node, data_centre, service } = member;
        Member { node: node.0, data_centre, service }
    }
}

impl From<Member> for epoch::Member {
    fn from(member: Member) -> epoch::Member {
        let Member { node, data_centre, service } = member;
        epoch::Member { node: NodeId(node), data_centre, service }
    }
}

impl From<epoch::Epoch> for Epoch {
    fn from(epoch: epoch::Epoch) -> Epoch {
        Epoch {
            number: epoch.number,
            revision: epoch.revision.0,
            members: epoch.members.into_iter().map(Member::from).collect(),
        }
    }
}

impl From<Epoch> for epoch::Epoch {
    fn from(epoch: Epoch) -> epoch::Epoch {
        epoch::Epoch {
            number: epoch.number,
            revision: Revision(epoch.revision),
            members: epoch.members.into_iter().map(epoch::Member::from).collect(),
        }
    }
}

impl From<epoch::Step> for Step {
    fn from(step: epoch::Step) -> Step {
        Step {
            number: step.number,
            revision: step.revision.0,
            removed: step.removed.into_iter().map(|node| node.0).collect(),
            added: step.added.into_iter().map(Member::from).collect(),
        }
    }
}

impl From<Step> for epoch::Step {
    fn from(step: Step) -> epoch::Step {
        epoch::Step {
            number: step.number,
            revision: Revision(step.revision),
            removed: step.removed.into_iter().map(NodeId).collect(),
            added: step.added.into_iter().map(epoch::Member::from).collect(),
        }
    }
}

impl From<epoch::Message> for Message {
    fn from(message: epoch::Message) -> Message {
        match message {
            epoch::Message::Want { number } => Message::Want { number },
            epoch::Message::Have(epoch) => Message::Have(epoch.into()),
            epoch::Message::Steps(steps) => {
                Message::Steps(steps.into_iter().map(Step::from).collect())
            }
        }
    }
}

impl TryFrom<Message> for epoch::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<epoch::Message, Error> {
        Ok(match message {
            Message::Want { number } => epoch::Message::Want { number },
            Message::Have(epoch) => epoch::Message::Have(epoch.into()),
            Message::Steps(steps) => {
                epoch::Message::Steps(steps.into_iter().map(epoch::Step::from).collect())
            }
        })
    }
}
