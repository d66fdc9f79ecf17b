//! Messages of the membership system.

use compact_str::CompactString;
use mustardpin_world::{
    Millis,
    id::{NodeId, Revision},
    message::membership,
    table::peer,
};
use serde::{Deserialize, Serialize};

use crate::peer::{Announcement, Error};

/// What a node believes of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::table::peer::State")]
pub enum State {
    Alive,
    Suspect,
    Leaving,
    Dead,
}

/// What one node says of another.
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
        let membership::Update { node, incarnation, state, announcement } = update;
        let announcement = announcement.map(Announcement::from);
        Update { node: node.0, incarnation, state: state.into(), announcement }
    }
}

impl From<Update> for membership::Update {
    fn from(update: Update) -> membership::Update {
        let Update { node, incarnation, state, announcement } = update;
        let announcement = announcement.map(Into::into);
        membership::Update { node: NodeId(node), incarnation, state: state.into(), announcement }
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
        Page { updates: to_wire(page.updates), next: page.next.map(|node| node.0) }
    }
}

impl From<Page> for membership::Page {
    fn from(page: Page) -> membership::Page {
        membership::Page { updates: to_world(page.updates), next: page.next.map(NodeId) }
    }
}

impl From<membership::Message> for Message {
    fn from(message: membership::Message) -> Message {
        use membership::Message as World;

        match message {
            World::Ask { number, introduction, digest, updates, page_after } => Message::Ask {
                number,
                introduction: introduction.map(Announcement::from),
                digest: digest.into(),
                updates: to_wire(updates),
                page_after: page_after.map(|node| node.0),
            },
            World::Reply { number, digest, updates, page } => Message::Reply {
                number,
                digest: digest.into(),
                updates: to_wire(updates),
                page: page.map(Page::from),
            },
            World::Probe { number, node } => Message::Probe { number, node: node.0 },
            World::Probed { number } => Message::Probed { number },
            World::Push(updates) => Message::Push(to_wire(updates)),
        }
    }
}

impl TryFrom<Message> for membership::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<membership::Message, Error> {
        use membership::Message as World;

        Ok(match message {
            Message::Ask { number, introduction, digest, updates, page_after } => World::Ask {
                number,
                introduction: introduction.map(Into::into),
                digest: digest.into(),
                updates: to_world(updates),
                page_after: page_after.map(NodeId),
            },
            Message::Reply { number, digest, updates, page } => World::Reply {
                number,
                digest: digest.into(),
                updates: to_world(updates),
                page: page.map(Into::into),
            },
            Message::Probe { number, node } => World::Probe { number, node: NodeId(node) },
            Message::Probed { number } => World::Probed { number },
            Message::Push(updates) => World::Push(to_world(updates)),
        })
    }
}

fn to_wire(updates: Vec<membership::Update>) -> Vec<Update> {
    updates.into_iter().map(Update::from).collect()
}

fn to_world(updates: Vec<Update>) -> Vec<membership::Update> {
    updates.into_iter().map(membership::Update::from).collect()
}
