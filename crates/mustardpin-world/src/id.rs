//! Identifiers that are valid in every process, and the `Copy` keys of this node's arenas.

use compact_str::ToCompactString as _;
use derive_more::Display;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

use crate::{clock::Millis, hash};

/// The id of one incarnation of a node: a random number chosen when its process starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{_0:016x}")]
pub struct NodeId(pub u64);

/// Identifies a process of a target, by its instance id and its start: the same on every node. The
/// default value stands for a target that reports neither.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{_0:016x}")]
pub struct TargetId(pub u64);

impl TargetId {
    /// The id of the process with this instance id that started at this time, by its own clock.
    ///
    /// ```
    /// use mustardpin_world::{Millis, id::TargetId};
    ///
    /// assert_ne!(TargetId::of("ledger-1", Millis(1)), TargetId::of("ledger-1", Millis(2)));
    /// assert_eq!(TargetId::of("", Millis(0)), TargetId::default());
    /// ```
    pub fn of(instance: &str, started: Millis) -> TargetId {
        if instance.is_empty() && started == Millis::ZERO {
            return TargetId::default();
        }
        TargetId(hash::of(&[instance, &started.0.to_compact_string()]))
    }
}

/// A revision of the configuration. Grows with every accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
pub struct Revision(pub u64);

/// Counts the restores of the store from an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
pub struct Epoch(pub u32);

/// The version of the store's content. Grows with every transaction, in any table.
///
/// A restored store assigns numbers again that it had assigned before, so versions are ordered by
/// epoch first.
///
/// ```
/// use mustardpin_world::id::{Epoch, StoreVersion};
///
/// assert!(StoreVersion::new(Epoch(1), 40) > StoreVersion::new(Epoch(0), 52));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{epoch}.{number}")]
pub struct StoreVersion {
    /// The epoch in which the store reported the version.
    pub epoch: Epoch,
    /// The number of the transaction; zero for a row that does not exist.
    pub number: u64,
}

impl StoreVersion {
    /// The version with this number in an epoch.
    pub const fn new(epoch: Epoch, number: u64) -> StoreVersion {
        StoreVersion { epoch, number }
    }
}

/// The number of low bits of a revision that hold the number of a store version.
const REVISION_NUMBER_BITS: u32 = 40;

impl From<StoreVersion> for Revision {
    /// The revision that a transaction of nodes gives the configuration.
    fn from(version: StoreVersion) -> Revision {
        Revision(u64::from(version.epoch.0) << REVISION_NUMBER_BITS | version.number)
    }
}

/// The SHA-256 digest of a tenant key. The key itself never enters the world.
///
/// A comparison takes the same time wherever the digests differ.
#[derive(Clone, Copy)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// The digest of a key's text.
    ///
    /// ```
    /// use mustardpin_world::id::KeyDigest;
    ///
    /// assert!(KeyDigest::of("garage-1.s3cret") == KeyDigest::of("garage-1.s3cret"));
    /// assert!(KeyDigest::of("garage-1.s3cret") != KeyDigest::of("garage-1.other"));
    /// ```
    pub fn of(text: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(text.as_bytes()).into())
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl std::hash::Hash for KeyDigest {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

slotmap::new_key_type! {
    /// Identifies a row of the team table.
    pub struct TeamKey;
    /// Identifies a row of the service table.
    pub struct ServiceKey;
    /// Identifies a row of the route table.
    pub struct RouteKey;
    /// Identifies a row of the table of tenant keys.
    pub struct TenantKey;
    /// Identifies a row of the exception table.
    pub struct ExceptionKey;
    /// Identifies a row of the peer table: another node.
    pub struct PeerKey;
    /// Identifies a row of the call table: a request that this node has accepted.
    pub struct CallKey;
}
