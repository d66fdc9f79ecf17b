//! The encoding of the store's rows.
//!
//! A row has a text key that identifies it and a JSON value, so that operators can read both.

use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};
use derive_more::{Display, Error, From};
use mustardpin_world::{
    config as world_config,
    id::{Epoch, NodeId, StoreVersion, TargetId},
    store::{self, Roster, RowKey, Value},
};
use serde::{Deserialize, Serialize};

use crate::config;

const NODE_PREFIX: &str = "node/";
const DEPARTURE_PREFIX: &str = "departure/";
const ROSTER: &str = "roster";
const HEAD: &str = "head";
const CONFIGURATION_PREFIX: &str = "row/";

/// Why a row can't be encoded or decoded.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Error {
    /// The key is not the key of any kind of row.
    #[display("the key {_0:?} names no row of the project")]
    #[from(skip)]
    Key(#[error(not(source))] CompactString),
    /// The value is not JSON, or doesn't have the fields of its kind of row.
    #[display("the value has the wrong shape")]
    Json(serde_json::Error),
    /// A row of the configuration can't be decoded.
    #[display("a row of the configuration cannot be read")]
    Config(config::Error),
    /// A node's announcement can't be decoded.
    #[display("the node's announcement cannot be read")]
    Announcement(AnnouncementError),
    /// The value belongs to the row of another key.
    #[display("the value belongs to another key")]
    OtherKey,
    /// The value stands for one that can't be decoded, so it has no encoding.
    #[display("the value has no encoding")]
    Unreadable,
}

/// Why a node's announcement can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error, From)]
pub enum AnnouncementError {
    /// The id is not a hexadecimal number.
    #[display("the node's id is not a hexadecimal number")]
    Node(std::num::ParseIntError),
    /// The address is not of the form `IP:port`, or its port is zero.
    #[display("the node's address is not of the form IP:port")]
    #[from(skip)]
    Address,
}

/// A node's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::store::Announcement")]
pub struct Announcement {
    pub node: CompactString,
    pub name: CompactString,
    pub data_centre: CompactString,
    pub service: CompactString,
    pub address: CompactString,
}

impl From<store::Announcement> for Announcement {
    fn from(announcement: store::Announcement) -> Announcement {
        Announcement {
            node: format_compact!("{}", announcement.node),
            name: announcement.name,
            data_centre: announcement.data_centre,
            service: announcement.service,
            address: announcement.address,
        }
    }
}

impl TryFrom<Announcement> for store::Announcement {
    type Error = AnnouncementError;

    fn try_from(announcement: Announcement) -> Result<store::Announcement, AnnouncementError> {
        let address: Result<SocketAddr, _> = announcement.address.parse();
        if !address.is_ok_and(|address| address.port() != 0) {
            return Err(AnnouncementError::Address);
        }
        Ok(store::Announcement {
            node: NodeId(u64::from_str_radix(&announcement.node, 16)?),
            name: announcement.name,
            data_centre: announcement.data_centre,
            service: announcement.service,
            address: announcement.address,
        })
    }
}

/// The departure of a process beside a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Departure {
    node: CompactString,
    /// The id of the process, in hexadecimal.
    process: CompactString,
}

impl From<&store::Departure> for Departure {
    fn from(departure: &store::Departure) -> Departure {
        let store::Departure { node, process } = departure;
        Departure { node: node.clone(), process: format_compact!("{process}") }
    }
}

/// A member of a roster: its data centre and node name.
type Member = (CompactString, CompactString);

/// How the members of an earlier roster differ from those of a roster.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Former {
    with: Vec<Member>,
    without: Vec<Member>,
}

/// A roster: its members, the epoch, the epoch and number of the version that it replaced, and the
/// earlier rosters that nodes may still use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Members {
    members: Vec<Member>,
    #[serde(default)]
    epoch: u32,
    #[serde(default)]
    previous: (u32, u64),
    #[serde(default)]
    former: Option<Vec<Former>>,
}

fn encode_member(member: &store::Member) -> Member {
    (member.data_centre.clone(), member.name.clone())
}

fn decode_member((data_centre, name): Member) -> store::Member {
    store::Member { name, data_centre }
}

impl Former {
    fn new(former: &[store::Member], members: &[store::Member]) -> Former {
        let difference = |of: &[store::Member], from: &[store::Member]| {
            of.iter().filter(|member| !from.contains(member)).map(encode_member).collect()
        };
        Former { with: difference(former, members), without: difference(members, former) }
    }

    fn members(self, members: &[store::Member]) -> Vec<store::Member> {
        let without: Vec<store::Member> = self.without.into_iter().map(decode_member).collect();
        let kept = members.iter().filter(|member| !without.contains(member)).cloned();
        kept.chain(self.with.into_iter().map(decode_member)).collect()
    }
}

/// The ids of the last accepted changes, and the epoch of the newest one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Head {
    recent: Vec<CompactString>,
    epoch: u32,
}

/// The value of a head row. Before rows had epochs, it was a list of ids only.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredHead {
    Head(Head),
    Recent(Vec<CompactString>),
}

/// Encodes the key of a row.
///
/// ```
/// use mustardpin_wire::store;
/// use mustardpin_world::store::RowKey;
/// assert_eq!(store::encode_key(&RowKey::Node("north-1".into())), "node/north-1");
/// ```
pub fn encode_key(key: &RowKey) -> CompactString {
    match key {
        RowKey::Node(name) => format_compact!("{NODE_PREFIX}{name}"),
        RowKey::Roster => ROSTER.into(),
        RowKey::Departure(store::Departure { node, process }) => {
            format_compact!("{DEPARTURE_PREFIX}{node}/{process}")
        }
        RowKey::Head => HEAD.into(),
        RowKey::Configuration(path) => format_compact!("{CONFIGURATION_PREFIX}{path}"),
    }
}

/// Decodes the key of a row.
///
/// # Errors
///
/// If it is not the key of any kind of row.
pub fn decode_key(key: &str) -> Result<RowKey, Error> {
    let unknown = || Error::Key(key.into());
    match key {
        ROSTER => Ok(RowKey::Roster),
        HEAD => Ok(RowKey::Head),
        _ => {
            if let Some(name) = key.strip_prefix(NODE_PREFIX) {
                return Ok(RowKey::Node(name.into()));
            }
            if let Some(departure) = key.strip_prefix(DEPARTURE_PREFIX) {
                return decode_departure(departure).map(RowKey::Departure).ok_or_else(unknown);
            }
            let path = key.strip_prefix(CONFIGURATION_PREFIX).ok_or_else(unknown)?;
            let (kind, name) = path.split_once('/').ok_or_else(unknown)?;
            let kind = config::Kind::try_from(kind)?.into();
            Ok(RowKey::Configuration(world_config::Path { kind, name: name.into() }))
        }
    }
}

/// Decodes the part of a departure's key after its prefix.
fn decode_departure(text: &str) -> Option<store::Departure> {
    let (node, id) = text.rsplit_once('/')?;
    let process = TargetId(u64::from_str_radix(id, 16).ok()?);
    // One process has one key.
    let is_canonical = format_compact!("{process}") == id;
    is_canonical.then(|| store::Departure { node: node.into(), process })
}

/// Encodes the value of a row.
///
/// # Errors
///
/// If the value is [`Value::Unreadable`]. JSON can represent all other values.
pub fn encode_value(value: &Value) -> Result<Vec<u8>, Error> {
    Ok(match value {
        Value::Node(announcement) => serde_json::to_vec(&Announcement::from(announcement.clone()))?,
        Value::Roster(roster) => {
            let members = roster.members.iter().map(encode_member).collect();
            let former = roster.former.as_ref().map(|former| {
                former.iter().map(|former| Former::new(former, &roster.members)).collect()
            });
            let previous = (roster.previous.epoch.0, roster.previous.number);
            serde_json::to_vec(&Members { members, epoch: roster.epoch.0, previous, former })?
        }
        Value::Departure(departure) => serde_json::to_vec(&Departure::from(departure))?,
        Value::Head(store::Head { recent, epoch }) => {
            serde_json::to_vec(&Head { recent: recent.clone(), epoch: epoch.0 })?
        }
        Value::Configuration(row) => serde_json::to_vec(&config::Row::from(row.clone()))?,
        Value::Unreadable => return Err(Error::Unreadable),
    })
}

/// Decodes the value of the row with this key.
///
/// # Errors
///
/// If the value is not valid for the kind of row.
///
/// ```
/// use mustardpin_wire::store;
/// use mustardpin_world::store::{RowKey, Roster, Value};
///
/// let value = Value::Roster(Roster::default());
/// let bytes = store::encode_value(&value)?;
/// assert_eq!(store::decode_value(&RowKey::Roster, &bytes)?, value);
/// # Ok::<(), mustardpin_wire::store::Error>(())
/// ```
pub fn decode_value(key: &RowKey, bytes: &[u8]) -> Result<Value, Error> {
    Ok(match key {
        RowKey::Node(name) => {
            let announcement: Announcement = serde_json::from_slice(bytes)?;
            if announcement.name != *name {
                return Err(Error::OtherKey);
            }
            Value::Node(announcement.try_into()?)
        }
        RowKey::Roster => {
            let Members { members, epoch, previous, former } = serde_json::from_slice(bytes)?;
            let members: Vec<_> = members.into_iter().map(decode_member).collect();
            let former = former
                .map(|former| former.into_iter().map(|former| former.members(&members)).collect());
            let previous = StoreVersion::new(Epoch(previous.0), previous.1);
            Value::Roster(Roster { members, epoch: Epoch(epoch), previous, former })
        }
        RowKey::Departure(departure) => {
            let stored: Departure = serde_json::from_slice(bytes)?;
            if stored != Departure::from(departure) {
                return Err(Error::OtherKey);
            }
            Value::Departure(departure.clone())
        }
        RowKey::Head => {
            let (recent, epoch) = match serde_json::from_slice(bytes)? {
                StoredHead::Head(Head { recent, epoch }) => (recent, epoch),
                StoredHead::Recent(recent) => (recent, 0),
            };
            Value::Head(store::Head { recent, epoch: Epoch(epoch) })
        }
        RowKey::Configuration(path) => {
            let row: config::Row = serde_json::from_slice(bytes)?;
            let row: world_config::Row = row.try_into()?;
            if row.path() != *path {
                return Err(Error::OtherKey);
            }
            Value::Configuration(row)
        }
    })
}
