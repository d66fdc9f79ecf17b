//! Messages between worlds. Each system has its own; any of them may get lost or come late.

pub mod configuration;
pub mod epoch;
pub mod membership;
pub mod quarantine;
pub mod record;
pub mod share;

use derive_more::From;

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum Message {
    /// Who is there, and how old their knowledge is.
    Membership(membership::Message),
    /// What operators agreed on.
    Configuration(configuration::Message),
    /// Who holds shares and homes.
    Epoch(epoch::Message),
    /// Rate tokens.
    Share(share::Message),
    /// Records of non-repeatable requests.
    Record(record::Message),
    /// Requests that crash targets.
    Quarantine(quarantine::Message),
}
