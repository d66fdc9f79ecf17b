//! Rows of the configuration, as they stand in the platform's table and in messages to peers.

use compact_str::{CompactString, format_compact};
use derive_more::{Display, Error};
use mustardpin_world::{
    Millis, config,
    id::{KeyDigest, Revision},
};
use serde::{Deserialize, Serialize};

/// Why a row could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The digest of a key is not 64 hexadecimal digits.
    #[display("the digest is not 64 hexadecimal digits")]
    Digest,
    /// There is no such kind of row.
    #[display("there is no kind of row named {_0:?}")]
    Kind(#[error(not(source))] CompactString),
}

/// How much it matters that a request is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::Importance")]
pub enum Importance {
    Low,
    Normal,
    High,
    Critical,
}

impl From<config::Importance> for Importance {
    fn from(importance: config::Importance) -> Importance {
        match importance {
            config::Importance::Low => Importance::Low,
            config::Importance::Normal => Importance::Normal,
            config::Importance::High => Importance::High,
            config::Importance::Critical => Importance::Critical,
        }
    }
}

impl From<Importance> for config::Importance {
    fn from(importance: Importance) -> config::Importance {
        match importance {
            Importance::Low => config::Importance::Low,
            Importance::Normal => config::Importance::Normal,
            Importance::High => config::Importance::High,
            Importance::Critical => config::Importance::Critical,
        }
    }
}

/// Which kind of row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::Kind")]
pub enum Kind {
    Fleet,
    Team,
    Route,
    Key,
    Exception,
}

impl From<config::Kind> for Kind {
    fn from(kind: config::Kind) -> Kind {
        match kind {
            config::Kind::Fleet => Kind::Fleet,
            config::Kind::Team => Kind::Team,
            config::Kind::Route => Kind::Route,
            config::Kind::Key => Kind::Key,
            config::Kind::Exception => Kind::Exception,
        }
    }
}

impl From<Kind> for config::Kind {
    fn from(kind: Kind) -> config::Kind {
        match kind {
            Kind::Fleet => config::Kind::Fleet,
            Kind::Team => config::Kind::Team,
            Kind::Route => config::Kind::Route,
            Kind::Key => config::Kind::Key,
            Kind::Exception => config::Kind::Exception,
        }
    }
}

impl TryFrom<&str> for Kind {
    type Error = Error;

    fn try_from(text: &str) -> Result<Kind, Error> {
        match text {
            "fleet" => Ok(Kind::Fleet),
            "team" => Ok(Kind::Team),
            "route" => Ok(Kind::Route),
            "key" => Ok(Kind::Key),
            "exception" => Ok(Kind::Exception),
            _ => Err(Error::Kind(text.into())),
        }
    }
}

/// Names a row among all rows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::Path")]
pub struct Path {
    pub kind: Kind,
    pub name: CompactString,
}

impl From<config::Path> for Path {
    fn from(path: config::Path) -> Path {
        Path { kind: path.kind.into(), name: path.name }
    }
}

impl From<Path> for config::Path {
    fn from(path: Path) -> config::Path {
        config::Path { kind: path.kind.into(), name: path.name }
    }
}

/// What cut-off data centres do with keyed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::CutOffPolicy")]
pub enum CutOffPolicy {
    Refuse,
    ServeMs(u64),
}

/// What an exception changes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::Change")]
pub enum Change {
    TeamRate { team: CompactString, rate: u32, burst: u32 },
    Importance { team: CompactString, route: CompactString, importance: Importance },
    ServeCutOff { team: CompactString, grace_ms: u64 },
}

/// A row of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::Row")]
pub enum Row {
    Fleet {
        cut_off: CutOffPolicy,
        retry_allowance: u32,
        record_retention_ms: u64,
    },
    Team {
        name: CompactString,
        rate: u32,
        burst: u32,
        weight: u32,
    },
    Route {
        name: CompactString,
        service: CompactString,
        method: Option<CompactString>,
        path_prefix: CompactString,
        importance: Importance,
        repeatable: bool,
        open: bool,
        timeout_ms: u64,
        teams: Vec<CompactString>,
    },
    Key {
        id: CompactString,
        team: CompactString,
        digest: CompactString,
        withdrawn: bool,
    },
    Exception {
        name: CompactString,
        change: Change,
        reason: CompactString,
    },
}

impl From<config::CutOffPolicy> for CutOffPolicy {
    fn from(policy: config::CutOffPolicy) -> CutOffPolicy {
        match policy {
            config::CutOffPolicy::Refuse => CutOffPolicy::Refuse,
            config::CutOffPolicy::Serve(grace) => CutOffPolicy::ServeMs(grace.0),
        }
    }
}

impl From<CutOffPolicy> for config::CutOffPolicy {
    fn from(policy: CutOffPolicy) -> config::CutOffPolicy {
        match policy {
            CutOffPolicy::Refuse => config::CutOffPolicy::Refuse,
            CutOffPolicy::ServeMs(grace) => config::CutOffPolicy::Serve(Millis(grace)),
        }
    }
}

impl From<config::Change> for Change {
    fn from(change: config::Change) -> Change {
        match change {
            config::Change::TeamRate { team, rate, burst } => {
                Change::TeamRate { team, rate, burst }
            }
            config::Change::Importance { team, route, importance } => {
                Change::Importance { team, route, importance: importance.into() }
            }
            config::Change::ServeCutOff { team, grace } => {
                Change::ServeCutOff { team, grace_ms: grace.0 }
            }
        }
    }
}

impl From<Change> for config::Change {
    fn from(change: Change) -> config::Change {
        match change {
            Change::TeamRate { team, rate, burst } => {
                config::Change::TeamRate { team, rate, burst }
            }
            Change::Importance { team, route, importance } => {
                config::Change::Importance { team, route, importance: importance.into() }
            }
            Change::ServeCutOff { team, grace_ms } => {
                config::Change::ServeCutOff { team, grace: Millis(grace_ms) }
            }
        }
    }
}

impl From<config::Row> for Row {
    fn from(row: config::Row) -> Row {
        match row {
            config::Row::Fleet(fleet) => Row::Fleet {
                cut_off: fleet.cut_off.into(),
                retry_allowance: fleet.retry_allowance,
                record_retention_ms: fleet.record_retention.0,
            },
            config::Row::Team(config::Team { name, rate, burst, weight }) => {
                Row::Team { name, rate, burst, weight }
            }
            config::Row::Route(route) => Row::Route {
                name: route.name,
                service: route.service,
                method: route.method,
                path_prefix: route.path_prefix,
                importance: route.importance.into(),
                repeatable: route.repeatable,
                open: route.open,
                timeout_ms: route.timeout.0,
                teams: route.teams,
            },
            config::Row::Key(key) => Row::Key {
                id: key.id,
                team: key.team,
                digest: encode_digest(key.digest),
                withdrawn: key.withdrawn,
            },
            config::Row::Exception(config::Exception { name, change, reason }) => {
                Row::Exception { name, change: change.into(), reason }
            }
        }
    }
}

impl TryFrom<Row> for config::Row {
    type Error = Error;

    fn try_from(row: Row) -> Result<config::Row, Error> {
        Ok(match row {
            Row::Fleet { cut_off, retry_allowance, record_retention_ms } => {
                config::Row::Fleet(config::Fleet {
                    cut_off: cut_off.into(),
                    retry_allowance,
                    record_retention: Millis(record_retention_ms),
                })
            }
            Row::Team { name, rate, burst, weight } => {
                config::Row::Team(config::Team { name, rate, burst, weight })
            }
            Row::Route {
                name,
                service,
                method,
                path_prefix,
                importance,
                repeatable,
                open,
                timeout_ms,
                teams,
            } => config::Row::Route(config::Route {
                name,
                service,
                method,
                path_prefix,
                importance: importance.into(),
                repeatable,
                open,
                timeout: Millis(timeout_ms),
                teams,
            }),
            Row::Key { id, team, digest, withdrawn } => config::Row::Key(config::Key {
                id,
                team,
                digest: decode_digest(&digest)?,
                withdrawn,
            }),
            Row::Exception { name, change, reason } => {
                config::Row::Exception(config::Exception { name, change: change.into(), reason })
            }
        })
    }
}

/// A row, or its removal, as of a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::Record")]
pub struct Record {
    pub path: Path,
    pub revision: u64,
    pub row: Option<Row>,
}

impl From<config::Record> for Record {
    fn from(record: config::Record) -> Record {
        Record {
            path: record.path.into(),
            revision: record.revision.0,
            row: record.row.map(Row::from),
        }
    }
}

impl TryFrom<Record> for config::Record {
    type Error = Error;

    fn try_from(record: Record) -> Result<config::Record, Error> {
        Ok(config::Record {
            path: record.path.into(),
            revision: Revision(record.revision),
            row: record.row.map(config::Row::try_from).transpose()?,
        })
    }
}

/// All records changed between two revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::Delta")]
pub struct Delta {
    pub after: u64,
    pub upto: u64,
    pub records: Vec<Record>,
}

impl From<config::Delta> for Delta {
    fn from(delta: config::Delta) -> Delta {
        Delta {
            after: delta.after.0,
            upto: delta.upto.0,
            records: delta.records.into_iter().map(Record::from).collect(),
        }
    }
}

impl TryFrom<Delta> for config::Delta {
    type Error = Error;

    fn try_from(delta: Delta) -> Result<config::Delta, Error> {
        let records: Result<Vec<_>, _> =
            delta.records.into_iter().map(config::Record::try_from).collect();
        Ok(config::Delta {
            after: Revision(delta.after),
            upto: Revision(delta.upto),
            records: records?,
        })
    }
}

/// The digest of a key as hexadecimal digits.
///
/// ```
/// use mustardpin_wire::config::{decode_digest, encode_digest};
/// use mustardpin_world::id::KeyDigest;
///
/// let digest = KeyDigest::of("garage-1.s3cret");
/// assert!(decode_digest(&encode_digest(digest))? == digest);
/// # Ok::<(), mustardpin_wire::config::Error>(())
/// ```
pub fn encode_digest(digest: KeyDigest) -> CompactString {
    digest.0.iter().fold(CompactString::default(), |text, byte| format_compact!("{text}{byte:02x}"))
}

/// The digest of a key from 64 hexadecimal digits.
///
/// # Errors
///
/// [`Error::Digest`] for any other text.
pub fn decode_digest(text: &str) -> Result<KeyDigest, Error> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Error::Digest);
    }
    let mut digest = [0; 32];
    for (index, byte) in digest.iter_mut().enumerate() {
        let pair = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(pair, 16).map_err(|_| Error::Digest)?;
    }
    Ok(KeyDigest(digest))
}
