//! Hashes that are the same on every node, and rendezvous hashing with them.
//!
//! Rendezvous hashing: every candidate gets a score for a hash and the highest score wins. All
//! nodes with the same candidates agree, and adding or removing a candidate moves only the hashes
//! that it wins or had won.

use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// The seed of all hashes. It must never change, since nodes of different versions must compute the
/// same hashes.
const SECRETS: RapidSecrets = RapidSecrets::seed(0x6d75_7374_6172_6470);

/// The hash of a sequence of bytes.
///
/// ```
/// use mustardpin_world::hash;
/// assert_eq!(hash::of_bytes(b"garage-1"), hash::of_bytes(b"garage-1"));
/// ```
pub fn of_bytes(bytes: &[u8]) -> u64 {
    rapidhash_v3_seeded(bytes, &SECRETS)
}

/// The hash of a name that consists of several parts. Each part is hashed with its length, so that
/// the same bytes split differently give another hash.
///
/// ```
/// use mustardpin_world::hash;
///
/// assert_eq!(hash::of(&["garage-1", "book"]), hash::of(&["garage-1", "book"]));
/// assert_ne!(hash::of(&["garage-1", "book"]), hash::of(&["garage-", "1book"]));
/// ```
pub fn of(parts: &[&str]) -> u64 {
    let mut bytes = Vec::with_capacity(parts.iter().map(|part| part.len() + 8).sum());
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    of_bytes(&bytes)
}

/// The score of a candidate for a hash.
///
/// ```
/// use mustardpin_world::hash;
/// assert_ne!(hash::score("north-1", 7), hash::score("north-2", 7));
/// ```
pub fn score(candidate: &str, hash: u64) -> u64 {
    let mut bytes = Vec::with_capacity(candidate.len() + 8);
    bytes.extend_from_slice(&hash.to_le_bytes());
    bytes.extend_from_slice(candidate.as_bytes());
    of_bytes(&bytes)
}
