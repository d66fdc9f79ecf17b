//! Homes: which member of an epoch keeps the state that belongs to a hash.
//!
//! Rendezvous hashing: every member gets a score for the hash and the highest score wins. All nodes
//! in one epoch agree, and a member that comes or goes moves only the state that it wins or held.

use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

use crate::{
    id::NodeId,
    message::epoch::{Epoch, Member},
};

/// Fixed for all versions, since nodes of two versions must agree.
const SECRETS: RapidSecrets = RapidSecrets::seed(0x6d75_7374_6172_6470);

/// The hash of the parts that name a piece of state.
///
/// ```
/// use mustardpin_world::home::hash_of;
///
/// assert_eq!(hash_of(&["garage-1", "book"]), hash_of(&["garage-1", "book"]));
/// assert_ne!(hash_of(&["garage-1", "book"]), hash_of(&["garage-", "1book"]));
/// ```
pub fn hash_of(parts: &[&str]) -> u64 {
    let mut bytes = Vec::with_capacity(parts.iter().map(|part| part.len() + 8).sum());
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    rapidhash_v3_seeded(&bytes, &SECRETS)
}

/// The score of a member for a hash.
fn score(node: NodeId, hash: u64) -> (u64, NodeId) {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&node.0.to_le_bytes());
    bytes[8..].copy_from_slice(&hash.to_le_bytes());
    (rapidhash_v3_seeded(&bytes, &SECRETS), node)
}

/// The home of a hash among an epoch's members of one service, or among all with `None`.
///
/// ```
/// use mustardpin_world::{home::home, message::epoch::Epoch};
/// assert!(home(&Epoch::default(), None, 7).is_none());
/// ```
pub fn home<'a>(epoch: &'a Epoch, service: Option<&str>, hash: u64) -> Option<&'a Member> {
    of_service(epoch, service).max_by_key(|member| score(member.node, hash))
}

/// The member that mirrors the home's state: the best in another data centre than the home's, or
/// the best of the rest if the service has only one data centre.
///
/// Once the home is gone, either the mirror is the new home, or it is the new home's mirror.
///
/// ```
/// use mustardpin_world::{home::mirror, message::epoch::Epoch};
/// assert!(mirror(&Epoch::default(), None, 7).is_none());
/// ```
pub fn mirror<'a>(epoch: &'a Epoch, service: Option<&str>, hash: u64) -> Option<&'a Member> {
    let home = home(epoch, service, hash)?;
    of_service(epoch, service)
        .filter(|member| member.node != home.node)
        .max_by_key(|member| (member.data_centre != home.data_centre, score(member.node, hash)))
}

fn of_service<'a>(epoch: &'a Epoch, service: Option<&str>) -> impl Iterator<Item = &'a Member> {
    epoch.members.iter().filter(move |member| service.is_none_or(|name| member.service == name))
}
