//! The configuration operators agree on: rows with revisions, and deltas between revisions.

use compact_str::CompactString;
use derive_more::{Display, Error};

use crate::{
    clock::Millis,
    id::{KeyDigest, Revision},
};

/// How much it matters that a request is served. Higher is refused later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
pub enum Importance {
    /// Refused first.
    #[display("low")]
    Low,
    /// The default.
    #[default]
    #[display("normal")]
    Normal,
    /// Refused after normal requests.
    #[display("high")]
    High,
    /// Bookings, cancellations, confirmations: refused last.
    #[display("critical")]
    Critical,
}

impl Importance {
    /// Every level, the one refused first at the front.
    pub const ALL: [Importance; 4] =
        [Importance::Low, Importance::Normal, Importance::High, Importance::Critical];
}

/// A team and its limits across all instances together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: CompactString,
    /// Requests a second.
    pub rate: u32,
    /// Requests at once on top of the rate.
    pub burst: u32,
    /// Its weight when teams compete for a queue.
    pub weight: u32,
}

/// A route: which requests go to which service, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// The service whose targets run it.
    pub service: CompactString,
    /// The HTTP method it matches; `None` matches every method.
    pub method: Option<CompactString>,
    /// Requests whose path starts with this match; the longest match wins.
    pub path_prefix: CompactString,
    /// How much it matters.
    pub importance: Importance,
    /// Whether running a request twice does no harm.
    pub repeatable: bool,
    /// Whether it is open to all, without a key.
    pub open: bool,
    /// The longest time a request may take.
    pub timeout: Millis,
    /// The teams that may use it; empty means all.
    pub teams: Vec<CompactString>,
}

/// A tenant key. Only its digest is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The public part of the key, before the first full stop.
    pub id: CompactString,
    /// The team it stands for.
    pub team: CompactString,
    /// The digest of the whole key.
    pub digest: KeyDigest,
    /// Whether operators withdrew it.
    pub withdrawn: bool,
}

/// What an exception changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Another rate and burst for a team.
    TeamRate {
        /// The team's name.
        team: CompactString,
        /// Requests a second.
        rate: u32,
        /// Requests at once on top of the rate.
        burst: u32,
    },
    /// Another importance for one team on one route.
    Importance {
        /// The team's name.
        team: CompactString,
        /// The route's name.
        route: CompactString,
        /// How much it matters.
        importance: Importance,
    },
    /// A team goes on with the last known keys and shares while its data centre is cut off.
    ServeCutOff {
        /// The team's name.
        team: CompactString,
        /// For how long after the last news.
        grace: Millis,
    },
}

/// A departure from the defaults, with its stated reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exception {
    /// Its name.
    pub name: CompactString,
    /// What it changes.
    pub change: Change,
    /// Why the operators want it.
    pub reason: CompactString,
}

/// What a data centre does with keyed requests while it is cut off from all others and from the
/// platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CutOffPolicy {
    /// Refuse them.
    #[default]
    Refuse,
    /// Serve them with the last known keys and shares for this long after the last news.
    Serve(Millis),
}

/// Defaults for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// What cut-off data centres do.
    pub cut_off: CutOffPolicy,
    /// Retries that one root request may cause, anywhere in its chain.
    pub retry_allowance: u32,
    /// How long records of non-repeatable requests are kept.
    pub record_retention: Millis,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            cut_off: CutOffPolicy::Refuse,
            retry_allowance: 3,
            record_retention: Millis::from_secs(600),
        }
    }
}

/// One row of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Row {
    /// Defaults for the whole fleet.
    Fleet(Fleet),
    /// A team.
    Team(Team),
    /// A route.
    Route(Route),
    /// A tenant key.
    Key(Key),
    /// An exception.
    Exception(Exception),
}

/// Which kind of row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Kind {
    /// Defaults for the whole fleet.
    #[display("fleet")]
    Fleet,
    /// A team.
    #[display("team")]
    Team,
    /// A route.
    #[display("route")]
    Route,
    /// A tenant key.
    #[display("key")]
    Key,
    /// An exception.
    #[display("exception")]
    Exception,
}

/// Names a row among all rows.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{kind}/{name}")]
pub struct Path {
    /// Which kind of row.
    pub kind: Kind,
    /// Its name among rows of this kind.
    pub name: CompactString,
}

impl Row {
    /// The path under which the row stands.
    ///
    /// ```
    /// use mustardpin_world::config::{Fleet, Row};
    /// assert_eq!(Row::Fleet(Fleet::default()).path().to_string(), "fleet/defaults");
    /// ```
    pub fn path(&self) -> Path {
        let (kind, name) = match self {
            Row::Fleet(_) => (Kind::Fleet, CompactString::const_new("defaults")),
            Row::Team(team) => (Kind::Team, team.name.clone()),
            Row::Route(route) => (Kind::Route, route.name.clone()),
            Row::Key(key) => (Kind::Key, key.id.clone()),
            Row::Exception(exception) => (Kind::Exception, exception.name.clone()),
        };
        Path { kind, name }
    }
}

/// A row as of a revision. A removed row stays as a record without a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Where the row stands.
    pub path: Path,
    /// The revision that last changed it.
    pub revision: Revision,
    /// The row, or `None` once it is removed.
    pub row: Option<Row>,
}

/// All records changed after one revision, up to another.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Delta {
    /// The receiver must be at this revision or a later one.
    pub after: Revision,
    /// The receiver is at this revision once it has applied the delta.
    pub upto: Revision,
    /// The records, in the order of their revisions.
    pub records: Vec<Record>,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ChangeError {
    /// Another operator's change came first.
    #[display("the configuration moved on from revision {expected} to {actual}: {}", changed.iter().map(Path::to_string).collect::<Vec<_>>().join(", "))]
    Conflict {
        /// The revision the operator had seen.
        expected: Revision,
        /// The revision now.
        actual: Revision,
        /// The rows changed in between.
        changed: Vec<Path>,
    },
    /// The change refers to something that does not exist, or has a value out of range.
    #[display("{path}: {problem}")]
    Invalid {
        /// The row at fault.
        path: Path,
        /// What is wrong and how to mend it.
        problem: CompactString,
    },
    /// The platform did not answer; nothing is known to have changed.
    #[display("the platform does not answer; ask again with the same change id")]
    PlatformUnavailable,
}
