//! Messages of the recording system.

use std::sync::Arc;

use derive_more::Display;
use sha2::{Digest as _, Sha256};

use crate::{
    clock::Millis,
    id::NodeId,
    message::epoch::Member,
    request::{Answer, Fingerprint},
};

/// Names a non-repeatable request: the digest of its team, route and idempotency key.
///
/// 128 bits of SHA-256, so that no caller can choose a key that stands for another team's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{_0:032x}")]
pub struct Name(pub u128);

impl Name {
    /// The name of a request. The team is empty on routes open to all.
    ///
    /// ```
    /// use mustardpin_world::message::record::Name;
    ///
    /// assert_eq!(Name::of("garage", "book", "k1"), Name::of("garage", "book", "k1"));
    /// assert_ne!(Name::of("garage", "book", "k1"), Name::of("garage", "boo", "kk1"));
    /// ```
    pub fn of(team: &str, route: &str, idempotency_key: &str) -> Name {
        let mut digest = Sha256::new();
        for part in [team, route, idempotency_key] {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part.as_bytes());
        }
        let digest = digest.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Name(u128::from_le_bytes(bytes))
    }

    /// The hash that decides the home and the mirror.
    ///
    /// ```
    /// use mustardpin_world::message::record::Name;
    /// assert_eq!(Name(7).hash(), 7);
    /// ```
    pub fn hash(self) -> u64 {
        self.0 as u64
    }
}

/// How far a run has come, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// It may have begun.
    Started,
    /// It has ended; without the answer if that was too large.
    Ended(Option<Arc<Answer>>),
    /// No byte has reached a target, and none will under this serial number.
    Withdrawn,
}

/// A record as it travels.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Which request.
    pub name: Name,
    /// The digest of the request.
    pub fingerprint: Fingerprint,
    /// The node that runs it.
    pub runner: NodeId,
    /// Grows with each record that the runner opens.
    pub serial: u64,
    /// How far the run has come.
    pub state: State,
    /// The time since the state last changed.
    pub age: Millis,
}

/// A mirror's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It keeps the record.
    Kept,
    /// It knows the request already, by this record.
    Known(Entry),
}

/// Requests whose records went lost when an epoch changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// The members of the service before the change.
    pub members: Vec<Member>,
    /// Those of them that handed nothing over. A record is lost if both its home and its mirror
    /// are among them.
    pub lost: Vec<NodeId>,
    /// How long a lost record may still matter.
    pub left: Millis,
}

/// Some of the records that move to the receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The epoch in which they move.
    pub epoch: u64,
    /// The number of the batch, from zero.
    pub number: u32,
    /// The sender's epoch before; zero if it had none.
    pub from: u64,
    /// The epochs in which the sender knew all earlier runs that it had to know, but for the losses
    /// it names. Of other epochs it only knows those for which it was the home or the mirror.
    pub settled: Vec<u64>,
    /// Whether records are included that the receiver should have from the epoch before.
    pub full: bool,
    /// Set on the last batch: what the sender knows to be lost.
    pub complete: Option<Vec<Gap>>,
    /// The records.
    pub entries: Vec<Entry>,
}

/// A message of the recording system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// From the home to the mirror, before a run.
    Mirror {
        /// The sender's epoch.
        epoch: u64,
        /// The record.
        entry: Entry,
    },
    /// The reply of a mirror in the same epoch.
    Mirrored {
        /// The epoch of both.
        epoch: u64,
        /// Which request.
        name: Name,
        /// The serial number of the record it replies to.
        serial: u64,
        /// The reply.
        reply: Reply,
    },
    /// From the runner to the home and the mirror, after a run or in place of one.
    Settle(Entry),
    /// The receiver of a settled record has it.
    Settled {
        /// Which request.
        name: Name,
        /// Its serial number.
        serial: u64,
    },
    /// Records that move as the epoch changes.
    Handover(Batch),
    /// The receiver has a batch.
    HandedOver {
        /// The sender's epoch.
        epoch: u64,
        /// The number of the batch.
        number: u32,
        /// The receiver lacks records of the epoch before and wants them all.
        want_full: bool,
    },
    /// Asks who the members of the service were.
    WantMembers {
        /// In which epoch.
        epoch: u64,
    },
    /// The members of the service in an epoch.
    Members {
        /// Which epoch.
        epoch: u64,
        /// Its members of the sender's service.
        members: Vec<Member>,
    },
}
