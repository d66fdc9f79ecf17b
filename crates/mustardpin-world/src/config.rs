//! The configuration operators agree on: rows with revisions, and deltas between revisions.

use compact_str::CompactString;
use derive_more::{Display, Error};

use crate::{
    clock::Millis,
    id::{KeyDigest, Revision},
};

/// How much it matters that a request is served. Higher is refused later.
///
/// The four named levels are what operators use; a platform with a finer scale may use the values
/// between and above them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Importance(pub u8);

impl Importance {
    /// Refused first.
    pub const LOW: Importance = Importance(50);
    /// The default.
    pub const NORMAL: Importance = Importance(100);
    /// Refused after normal requests.
    pub const HIGH: Importance = Importance(150);
    /// Bookings, cancellations, confirmations: refused last.
    pub const CRITICAL: Importance = Importance(200);

    /// Every named level, the one refused first at the front.
    pub const NAMED: [Importance; 4] =
        [Importance::LOW, Importance::NORMAL, Importance::HIGH, Importance::CRITICAL];
}

impl Default for Importance {
    fn default() -> Importance {
        Importance::NORMAL
    }
}

impl std::fmt::Display for Importance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match *self {
            Importance::LOW => f.write_str("low"),
            Importance::NORMAL => f.write_str("normal"),
            Importance::HIGH => f.write_str("high"),
            Importance::CRITICAL => f.write_str("critical"),
            Importance(level) => write!(f, "{level}"),
        }
    }
}

/// The order in which requests are refused: by the importance of the team, then of the route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{team}/{route}")]
pub struct Rank {
    /// How much the team's requests matter.
    pub team: Importance,
    /// How much the route's requests matter.
    pub route: Importance,
}

/// A team and its limits across all instances together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: CompactString,
    /// Requests a second. Zero stands for no limit.
    pub rate: u32,
    /// Requests at once on top of the rate.
    pub burst: u32,
    /// Its weight when teams compete for a queue.
    pub weight: u32,
    /// How much its requests matter, before the importance of their routes.
    pub importance: Importance,
}

/// A service that a route leads to, and its part of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The service whose targets run the requests.
    pub service: CompactString,
    /// Its part, in proportion to the weights of the route's other parts.
    pub weight: u32,
}

/// A route: which requests go to which services, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// The services that share its requests; most routes have one.
    pub parts: Vec<Part>,
    /// The host it matches, in lower case; `None` matches every host.
    pub host: Option<CompactString>,
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
    /// The time within which callers want the answer, if they have said so.
    pub objective: Option<Millis>,
    /// Targets that one request may be sent to, one after the other; `None` leaves it to the
    /// fleet's retry allowance.
    pub attempts: Option<u8>,
    /// The teams that may use it; empty means all.
    pub teams: Vec<CompactString>,
}

impl Route {
    /// A route to one service for all methods and hosts, of normal importance, that may not be
    /// repeated, needs a key and is open to all teams.
    ///
    /// ```
    /// use mustardpin_world::{Millis, config::Route};
    ///
    /// let route = Route::new("look", "/look", "ledger", Millis::from_secs(5));
    /// assert_eq!(route.parts[0].service, "ledger");
    /// ```
    pub fn new(name: &str, path_prefix: &str, service: &str, timeout: Millis) -> Route {
        Route {
            name: name.into(),
            parts: vec![Part { service: service.into(), weight: 1 }],
            host: None,
            method: None,
            path_prefix: path_prefix.into(),
            importance: Importance::NORMAL,
            repeatable: false,
            open: false,
            timeout,
            objective: None,
            attempts: None,
            teams: Vec::new(),
        }
    }
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
    /// A team goes on with the last known keys while a node is cut off.
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

/// What a node does with keyed requests while it has no recent news from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CutOffPolicy {
    /// Refuse them.
    #[default]
    Refuse,
    /// Serve them with the last known keys and shares for this long after the last news.
    Serve(Millis),
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The size of a request's head, in bytes.
    pub header_size: u32,
    /// The size of a request's body, in bytes.
    pub body_size: u64,
    /// How long a request's head may take to come in full.
    pub header_timeout: Millis,
    /// How long a connection may be idle.
    pub idle_timeout: Millis,
}

/// Defaults for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// What cut-off nodes do.
    pub cut_off: CutOffPolicy,
    /// Retries that one root request may cause, anywhere in its chain.
    pub retry_allowance: u32,
    /// What callers may send, where it is not left to each node's settings.
    pub callers: Option<CallerLimits>,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { cut_off: CutOffPolicy::Refuse, retry_allowance: 3, callers: None }
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

/// What a node learns of the configuration at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The whole configuration as of a revision, in place of all that was there.
    Whole {
        /// The revision.
        revision: Revision,
        /// Every row.
        rows: Vec<Row>,
    },
    /// Rows that changed, each with its revision.
    Records(Vec<Record>),
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
    /// The store did not answer; nothing is known to have changed.
    #[display("the store does not answer; ask again with the same change id")]
    StoreUnavailable,
    /// The configuration is written by the platform's operators, not through nodes.
    #[display("the configuration of this deployment is not changed through nodes")]
    ReadOnly,
}
