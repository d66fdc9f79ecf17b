//! The platform's table service: JSON over HTTP/1.1.
//!
//! `GET /table/changes?after=REVISION` answers 200 with [`Changes`]. `POST /table/transact` with
//! [`Transaction`] answers 200 with [`Acceptance`], or 409 when a guard does not hold.

use compact_str::{CompactString, format_compact};
use derive_more::{Display, Error, From};
use mustardpin_world::{
    id::{NodeId, Revision},
    message, platform,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{config, peer::epoch::Epoch};

/// Where the rows changed after a revision are asked for, with the query `after=REVISION`.
pub const CHANGES_PATH: &str = "/table/changes";
/// Where a transaction is sent.
pub const TRANSACT_PATH: &str = "/table/transact";

const CONFIGURATION_PREFIX: &str = "configuration/";
const NODE_PREFIX: &str = "node/";
const HEAD: &str = "head";
const EPOCH: &str = "epoch";

/// Why a row of the table could not be read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The path names no row that a node knows.
    #[display("there is no row at {_0:?}")]
    #[from(skip)]
    Path(#[error(not(source))] CompactString),
    /// The value has the wrong shape.
    #[display("the value has the wrong shape")]
    Value(serde_json::Error),
    /// A row of the configuration could not be read.
    #[display("a row of the configuration could not be read")]
    Config(config::Error),
}

/// Rows changed after a revision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Changes {
    /// The revision of the whole table.
    pub upto: u64,
    /// The rows, in the order of their revisions.
    pub rows: Vec<Row>,
}

/// A row with the revision that last changed it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Names the row.
    pub path: CompactString,
    /// The revision that last changed it.
    pub revision: u64,
    /// The value; null once the row is removed.
    pub value: Value,
}

/// Writes that take effect together, or not at all.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// What must still hold.
    pub guards: Vec<Guard>,
    /// What to write.
    pub writes: Vec<Write>,
}

/// A row that must still be at a revision; zero means that it must not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Guard {
    /// Names the row.
    pub path: CompactString,
    /// The revision it must be at.
    pub revision: u64,
}

/// A row to write.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// Names the row.
    pub path: CompactString,
    /// The value; null removes the row.
    pub value: Value,
}

/// The answer to a transaction that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Acceptance {
    /// The revision of all rows written.
    pub revision: u64,
}

/// A node's announcement of itself, as it stands in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::platform::Announcement")]
pub struct Announcement {
    pub data_centre: CompactString,
    pub service: CompactString,
    pub control_address: CompactString,
    pub traffic_address: CompactString,
}

impl TryFrom<Changes> for platform::Reply {
    type Error = Error;

    /// Rows at paths that no node knows are left out.
    fn try_from(changes: Changes) -> Result<platform::Reply, Error> {
        let mut rows = Vec::with_capacity(changes.rows.len());
        for row in changes.rows {
            match platform::Versioned::try_from(row) {
                Ok(row) => rows.push(row),
                Err(Error::Path(_)) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(platform::Reply::Changes { upto: Revision(changes.upto), rows })
    }
}

impl From<Acceptance> for platform::Reply {
    fn from(acceptance: Acceptance) -> platform::Reply {
        platform::Reply::Accepted { revision: Revision(acceptance.revision) }
    }
}

impl TryFrom<Row> for platform::Versioned {
    type Error = Error;

    fn try_from(row: Row) -> Result<platform::Versioned, Error> {
        let revision = Revision(row.revision);
        Ok(platform::Versioned { revision, row: decode(&row.path, row.value, row.revision)? })
    }
}

impl From<platform::Row> for Write {
    fn from(row: platform::Row) -> Write {
        match row {
            platform::Row::Configuration(path, row) => Write {
                path: format_compact!("{CONFIGURATION_PREFIX}{path}"),
                value: row.map_or(Value::Null, |row| encode(config::Row::from(row))),
            },
            platform::Row::Head(changes) => Write { path: HEAD.into(), value: encode(changes) },
            platform::Row::Epoch(epoch) => {
                Write { path: EPOCH.into(), value: encode(Epoch::from(epoch)) }
            }
            platform::Row::Node(node, announcement) => Write {
                path: format_compact!("{NODE_PREFIX}{node}"),
                value: announcement.map_or(Value::Null, |row| encode(Announcement::from(row))),
            },
        }
    }
}

impl From<(platform::Guard, Revision)> for Guard {
    fn from((guard, revision): (platform::Guard, Revision)) -> Guard {
        let path = match guard {
            platform::Guard::Head => HEAD,
            platform::Guard::Epoch => EPOCH,
        };
        Guard { path: path.into(), revision: revision.0 }
    }
}

impl Transaction {
    /// A transaction on the rows that the world names.
    pub fn new(guards: Vec<(platform::Guard, Revision)>, rows: Vec<platform::Row>) -> Transaction {
        Transaction {
            guards: guards.into_iter().map(Guard::from).collect(),
            writes: rows.into_iter().map(Write::from).collect(),
        }
    }
}

impl From<platform::Announcement> for Announcement {
    fn from(announcement: platform::Announcement) -> Announcement {
        Announcement {
            data_centre: announcement.data_centre,
            service: announcement.service,
            control_address: announcement.control_address,
            traffic_address: announcement.traffic_address,
        }
    }
}

impl Announcement {
    /// The announcement as that of a node.
    pub fn of(self, node: NodeId) -> platform::Announcement {
        platform::Announcement {
            node,
            data_centre: self.data_centre,
            service: self.service,
            control_address: self.control_address,
            traffic_address: self.traffic_address,
        }
    }
}

/// None of the types written to the table can fail to become JSON.
fn encode(value: impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

fn decode(path: &str, value: Value, revision: u64) -> Result<platform::Row, Error> {
    if let Some(rest) = path.strip_prefix(CONFIGURATION_PREFIX) {
        return decode_configuration(path, rest, value);
    }
    if let Some(digits) = path.strip_prefix(NODE_PREFIX) {
        let node = decode_node(digits).ok_or_else(|| Error::Path(path.into()))?;
        let announcement: Option<Announcement> = serde_json::from_value(value)?;
        return Ok(platform::Row::Node(node, announcement.map(|row| row.of(node))));
    }
    match path {
        HEAD => {
            let changes: Option<Vec<CompactString>> = serde_json::from_value(value)?;
            Ok(platform::Row::Head(changes.unwrap_or_default()))
        }
        EPOCH => {
            let epoch: Option<Epoch> = serde_json::from_value(value)?;
            let epoch = epoch.map(message::epoch::Epoch::from).unwrap_or_default();
            let revision = Revision(revision);
            Ok(platform::Row::Epoch(message::epoch::Epoch { revision, ..epoch }))
        }
        _ => Err(Error::Path(path.into())),
    }
}

fn decode_configuration(path: &str, rest: &str, value: Value) -> Result<platform::Row, Error> {
    let (kind, name) = rest.split_once('/').ok_or_else(|| Error::Path(path.into()))?;
    let path = config::Path { kind: config::Kind::try_from(kind)?, name: name.into() };
    let row: Option<config::Row> = serde_json::from_value(value)?;
    let row = row.map(mustardpin_world::config::Row::try_from).transpose()?;
    Ok(platform::Row::Configuration(path.into(), row))
}

fn decode_node(digits: &str) -> Option<NodeId> {
    if digits.len() != 16 {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().map(NodeId)
}
