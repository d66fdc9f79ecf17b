//! Rows of the configuration, as encoded in the store and in messages to peers.

mod digest;

use compact_str::{CompactString, ToCompactString as _};
use derive_more::{Display, Error};
use mustardpin_world::{Millis, config};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub use self::digest::{decode_digest, encode_digest};

/// Why a row can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The digest of a key is not 64 hexadecimal digits.
    #[display("the digest is not 64 hexadecimal digits")]
    Digest,
    /// The text is neither a named importance nor a number up to 255.
    #[display("`{_0}` is no importance; write low, normal, high, critical or a number up to 255")]
    Importance(#[error(not(source))] CompactString),
    /// No kind of row has this name.
    #[display("there is no kind of row named {_0:?}")]
    Kind(#[error(not(source))] CompactString),
}

/// The importance of requests. In text, the four levels that operators use are written as names and
/// all others as numbers; binary encodings always hold the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Importance(pub config::Importance);

impl Serialize for Importance {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(&self.0),
            false => serializer.serialize_u8(self.0.0),
        }
    }
}

impl<'de> Deserialize<'de> for Importance {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Importance, D::Error> {
        if !deserializer.is_human_readable() {
            return u8::deserialize(deserializer)
                .map(|level| Importance(config::Importance(level)));
        }
        let text = CompactString::deserialize(deserializer)?;
        Importance::try_from(text.as_str()).map_err(serde::de::Error::custom)
    }
}

impl TryFrom<&str> for Importance {
    type Error = Error;

    fn try_from(text: &str) -> Result<Importance, Error> {
        let named = config::Importance::NAMED.into_iter();
        let level = named.into_iter().find(|level| level.to_compact_string() == text);
        let level = level.or_else(|| text.parse().ok().map(config::Importance));
        level.map(Importance).ok_or_else(|| Error::Importance(text.into()))
    }
}

/// The kind of a row.
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

/// Identifies a row among all rows.
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

/// What a node that is cut off from the store does with keyed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::CutOffPolicy")]
pub enum CutOffPolicy {
    Refuse,
    ServeMs(u64),
}

/// The change that an exception makes to the defaults.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::Change")]
pub enum Change {
    TeamRate { team: CompactString, rate: u32, burst: u32 },
    Importance { team: CompactString, route: CompactString, importance: Importance },
    ServeCutOff { team: CompactString, grace_ms: u64 },
}

/// A service that a route leads to, and the weight of its part of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::Part")]
pub struct Part {
    pub service: CompactString,
    pub weight: u32,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::config::CallerLimits")]
pub struct Callers {
    pub header_size: u32,
    pub body_size: u64,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
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
        callers: Option<Callers>,
    },
    Team {
        name: CompactString,
        rate: u32,
        burst: u32,
        weight: u32,
        importance: Importance,
    },
    Route {
        name: CompactString,
        parts: Vec<Part>,
        host: Option<CompactString>,
        method: Option<CompactString>,
        path_prefix: CompactString,
        importance: Importance,
        repeatable: bool,
        open: bool,
        timeout_ms: u64,
        objective_ms: Option<u64>,
        attempts: Option<u8>,
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

impl From<config::Part> for Part {
    fn from(config::Part { service, weight }: config::Part) -> Part {
        Part { service, weight }
    }
}

impl From<Part> for config::Part {
    fn from(Part { service, weight }: Part) -> config::Part {
        config::Part { service, weight }
    }
}

impl From<config::CallerLimits> for Callers {
    fn from(callers: config::CallerLimits) -> Callers {
        Callers {
            header_size: callers.header_size,
            body_size: callers.body_size,
            header_timeout_ms: callers.header_timeout.0,
            idle_timeout_ms: callers.idle_timeout.0,
        }
    }
}

impl From<Callers> for config::CallerLimits {
    fn from(callers: Callers) -> config::CallerLimits {
        config::CallerLimits {
            header_size: callers.header_size,
            body_size: callers.body_size,
            header_timeout: Millis(callers.header_timeout_ms),
            idle_timeout: Millis(callers.idle_timeout_ms),
        }
    }
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
                Change::Importance { team, route, importance: Importance(importance) }
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
                config::Change::Importance { team, route, importance: importance.0 }
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
                callers: fleet.callers.map(Callers::from),
            },
            config::Row::Team(config::Team { name, rate, burst, weight, importance }) => {
                Row::Team { name, rate, burst, weight, importance: Importance(importance) }
            }
            config::Row::Route(route) => Row::Route {
                name: route.name,
                parts: route.parts.into_iter().map(Part::from).collect(),
                host: route.host,
                method: route.method,
                path_prefix: route.path_prefix,
                importance: Importance(route.importance),
                repeatable: route.repeatable,
                open: route.open,
                timeout_ms: route.timeout.0,
                objective_ms: route.objective.map(|objective| objective.0),
                attempts: route.attempts,
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
            Row::Fleet { cut_off, retry_allowance, callers } => config::Row::Fleet(config::Fleet {
                cut_off: cut_off.into(),
                retry_allowance,
                callers: callers.map(config::CallerLimits::from),
            }),
            Row::Team { name, rate, burst, weight, importance } => {
                config::Row::Team(config::Team {
                    name,
                    rate,
                    burst,
                    weight,
                    importance: importance.0,
                })
            }
            Row::Route {
                name,
                parts,
                host,
                method,
                path_prefix,
                importance,
                repeatable,
                open,
                timeout_ms,
                objective_ms,
                attempts,
                teams,
            } => config::Row::Route(config::Route {
                name,
                parts: parts.into_iter().map(config::Part::from).collect(),
                host,
                method,
                path_prefix,
                importance: importance.0,
                repeatable,
                open,
                timeout: Millis(timeout_ms),
                objective: objective_ms.map(Millis),
                attempts,
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
