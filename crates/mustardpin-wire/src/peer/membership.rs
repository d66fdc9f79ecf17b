//! Messages of the membership system.

use compact_str::CompactString;
use mustardpin_world::{
    Millis,
    id::{NodeId, Revision},
    message::membership,
    platform,
    table::peer,
};
use serde::{Deserialize, Serialize};

use crate::peer::{Announcement, Error};

/// What a node believes of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::table::peer::State")]
pub enum State {
    Alive,
    Suspect,
    Leaving,
    Dead,
}

/// What one node believes of another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::membership::Update")]
pub struct Update {
    pub node: u64,
    pub incarnation: u32,
    pub state: State,
    pub announcement: Option<Announcement>,
}

/// What the sender knows, and how old it is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::membership::Digest")]
pub struct Digest {
    pub revision: u64,
    pub epoch: u64,
    pub platform_age_ms: Option<u64>,
    pub ages_ms: Vec<(CompactString, u64)>,
}

/// A part of the sender's list of peers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::membership::Page")]
pub struct Page {
    pub updates: Vec<Update>,
    pub next: Option<u64>,
}

/// A message of the membership system.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::message::membership::Message")]
pub enum Message {
    Ask {
        number: u64,
        introduction: Option<Announcement>,
        digest: Digest,
        updates: Vec<Update>,
        page_after: Option<u64>,
    },
    Reply {
        number: u64,
        digest: Digest,
        updates: Vec<Update>,
        page: Option<Page>,
    },
    Probe {
        number: u64,
        node: u64,
    },
    Probed {
        number: u64,
    },
    Push(Vec<Update>),
}

impl From<peer::State> for State {
    fn from(state: peer::State) -> State {
        match state {
            peer::State::Alive => State::Alive,
            peer::State::Suspect => State::Suspect,
            peer::State::Leaving => State::Leaving,
            peer::State::Dead => State::Dead,
        }
    }
}

impl From<State> for peer::State {
    fn from(state: State) -> peer::State {
        match state {
            State::Alive => peer::State::Alive,
            State::Suspect => peer::State::Suspect,
            State::Leaving => peer::State::Leaving,
            State::Dead => peer::State::Dead,
        }
    }
}

impl From<membership::Update> for Update {
    fn from(update: membership::Update) -> Update {
        Update {
            node: update.node.0,
            incarnation: update.incarnation,
            state: update.state.into(),
            announcement: update.announcement.map(Announcement::from),
        }
    }
}

impl From<Update> for membership::Update {
    fn from(update: Update) -> membership::Update {
        membership::Update {
            node: NodeId(update.node),
            incarnation: update.incarnation,
            state: update.state.into(),
            announcement: update.announcement.map(platform::Announcement::from),
        }
    }
}

impl From<membership::Digest> for Digest {
    fn from(digest: membership::Digest) -> Digest {
        Digest {
            revision: digest.revision.0,
            epoch: digest.epoch,
            platform_age_ms: digest.platform_age.map(|age| age.0),
            ages_ms: digest.ages.into_iter().map(|(name, age)| (name, age.0)).collect(),
        }
    }
}

impl From<Digest> for membership::Digest {
    fn from(digest: Digest) -> membership::Digest {
        membership::Digest {
            revision: Revision(digest.revision),
            epoch: digest.epoch,
            platform_age: digest.platform_age_ms.map(Millis),
            ages: digest.ages_ms.into_iter().map(|(name, age)| (name, Millis(age))).collect(),
        }
    }
}

impl From<membership::Page> for Page {
    fn from(page: membership::Page) -> Page {
        Page { updates: convert(page.updates), next: page.next.map(|node| node.0) }
    }
}

impl From<Page> for membership::Page {
    fn from(page: Page) -> membership::Page {
        membership::Page { updates: convert(page.updates), next: page.next.map(NodeId) }
    }
}

impl From<membership::Message> for Message {
    fn from(message: membership::Message) -> Message {
        match message {
            membership::Message::Ask { number, introduction, digest, updates, page_after } => {
                Message::Ask {
                    number,
                    introduction: introduction.map(Announcement::from),
                    digest: digest.into(),
                    updates: convert(updates),
                    page_after: page_after.map(|node| node.0),
                }
            }
            membership::Message::Reply { number, digest, updates, page } => Message::Reply {
                number,
                digest: digest.into(),
                updates: convert(updates),
                page: page.map(Page::from),
            },
            membership::Message::Probe { number, node } => Message::Probe { number, node: node.0 },
            membership::Message::Probed { number } => Message::Probed { number },
            membership::Message::Push(updates) => Message::Push(convert(updates)),
        }
    }
}

impl TryFrom<Message> for membership::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<membership::Message, Error> {
        Ok(match message {
            Message::Ask { number, introduction, digest, updates, page_after } => {
                membership::Message::Ask {
                    number,
                    introduction: introduction.map(platform::Announcement::from),
                    digest: digest.into(),
                    updates: convert(updates),
                    page_after: page_after.map(NodeId),
                }
            }
            Message::Reply { number, digest, updates, page } => membership::Message::Reply {
                number,
                digest: digest.into(),
                updates: convert(updates),
                page: page.map(membership::Page::from),
            },
            Message::Probe { number, node } => {
                membership::Message::Probe { number, node: NodeId(node) }
            }
            Message::Probed { number } => membership::Message::Probed { number },
            Message::Push(updates) => membership::Message::Push(convert(updates)),
        })
    }
}

fn convert<T, U: From<T>>(items: Vec<T>) -> Vec<U> {
    items.into_iter().map(U::from).collect()
}
