//! Estimates the size of control messages on the network.
//!
//! Every integer and every length counts as eight bytes, which bincode stays below. A fixed
//! overhead for each message covers the call and its reply in tarpc and the headers of TCP/IP.

use mustardpin_world::{
    message::{
        Message, configuration,
        epoch::{self, Member},
        membership::{self, Digest, Update},
    },
    platform::Announcement,
};

/// Bytes of each message beside its content: frames of the call and its reply (80), and two
/// TCP/IP headers with options each way (2 × 52).
const OVERHEAD: usize = 184;
/// Bytes of an integer, a length or a variant at most.
const INTEGER: usize = 8;
/// Bytes of a record of the configuration, taken as a constant.
const RECORD: usize = 200;

/// The estimated size of a message, in bytes.
pub(crate) fn of(message: &Message) -> u64 {
    let content = match message {
        Message::Membership(message) => membership(message),
        Message::Configuration(configuration::Message::Have(delta)) => {
            3 * INTEGER + delta.records.len() * RECORD
        }
        Message::Configuration(configuration::Message::Want { .. }) => INTEGER,
        Message::Epoch(message) => epoch(message),
        Message::Share(_) => 6 * INTEGER,
        Message::Record(_) | Message::Quarantine(_) => INTEGER,
    };
    (OVERHEAD + 2 * INTEGER + content) as u64
}

fn membership(message: &membership::Message) -> usize {
    match message {
        membership::Message::Ask { introduction, digest, updates, .. } => {
            let introduction = introduction.as_ref().map_or(0, announcement);
            3 * INTEGER + introduction + self::digest(digest) + self::updates(updates)
        }
        membership::Message::Reply { digest, updates, page, .. } => {
            let page = page.as_ref().map_or(0, |page| self::updates(&page.updates));
            3 * INTEGER + self::digest(digest) + self::updates(updates) + page
        }
        membership::Message::Probe { .. } | membership::Message::Probed { .. } => 2 * INTEGER,
        membership::Message::Push(updates) => self::updates(updates),
    }
}

fn digest(digest: &Digest) -> usize {
    let ages = digest.ages.iter().map(|(name, _)| 2 * INTEGER + name.len());
    4 * INTEGER + ages.sum::<usize>()
}

fn updates(updates: &[Update]) -> usize {
    let sizes = updates
        .iter()
        .map(|update| 4 * INTEGER + update.announcement.as_ref().map_or(0, announcement));
    INTEGER + sizes.sum::<usize>()
}

fn announcement(announcement: &Announcement) -> usize {
    let Announcement { data_centre, service, control_address, traffic_address, .. } = announcement;
    let texts = [data_centre, service, control_address, traffic_address];
    INTEGER + texts.iter().map(|text| INTEGER + text.len()).sum::<usize>()
}

fn epoch(message: &epoch::Message) -> usize {
    match message {
        epoch::Message::Want { .. } => INTEGER,
        epoch::Message::Have(epoch) => 3 * INTEGER + members(&epoch.members),
        epoch::Message::Steps(steps) => {
            let sizes =
                steps.iter().map(|step| (4 + step.removed.len()) * INTEGER + members(&step.added));
            INTEGER + sizes.sum::<usize>()
        }
    }
}

fn members(members: &[Member]) -> usize {
    let size = |member: &Member| 3 * INTEGER + member.data_centre.len() + member.service.len();
    members.iter().map(size).sum()
}
