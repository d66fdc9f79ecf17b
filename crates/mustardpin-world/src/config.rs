//! The configuration that operators agree on: rows with revisions, and deltas between revisions.

use compact_str::CompactString;
use derive_more::{Display, Error};

use crate::{
    clock::Millis,
    id::{KeyDigest, Revision},
};

/// The importance of a request. Under overload, requests of higher importance are refused later.
///
/// Operators use the four named levels; a platform with a finer scale may use the values
/// between and above them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Importance(pub u8);

impl Importance {
    /// Low importance: refused first.
    pub const LOW: Importance = Importance(50);
    /// The default importance.
    pub const NORMAL: Importance = Importance(100);
    /// High importance: refused after normal requests.
    pub const HIGH: Importance = Importance(150);
    /// Bookings, cancellations, confirmations: refused last.
    pub const CRITICAL: Importance = Importance(200);

    /// Every named level, from the one refused first to the one refused last.
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
    /// The team's importance.
    pub team: Importance,
    /// The route's importance.
    pub route: Importance,
}

/// A team and its limits, which apply across all instances together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The name of the team.
    pub name: CompactString,
    /// Its rate limit in requests per second; zero means no limit.
    pub rate: u32,
    /// Requests allowed at once on top of the rate.
    pub burst: u32,
    /// Its weight in fair queueing between teams.
    pub weight: u32,
    /// The importance of its requests. Compared before the importance of their routes.
    pub importance: Importance,
}

/// A service that a route leads to, and the weight of its part of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The service whose targets run the requests.
    pub service: CompactString,
    /// Its share of the requests, in proportion to the weights of the route's other parts.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are sent to which services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub name: CompactString,
    /// The services that its requests are split between; most routes have one.
    pub parts: Vec<Part>,
    /// The host it matches, in lower case; `None` matches every host.
    pub host: Option<CompactString>,
    /// The HTTP method it matches; `None` matches every method.
    pub method: Option<CompactString>,
    /// The prefix of the paths that it matches; the longest match wins.
    pub path_prefix: CompactString,
    /// The importance of its requests.
    pub importance: Importance,
    /// Whether its requests are idempotent: running one twice does no harm.
    pub repeatable: bool,
    /// Whether it is open to all, without a key.
    pub open: bool,
    /// The time limit of a request.
    pub timeout: Millis,
    /// The latency objective: the time within which callers want the response; `None` means the
    /// timeout.
    pub objective: Option<Millis>,
    /// The maximum number of targets that one request is sent to, one after the other; `None`
    /// applies only the fleet's retry allowance.
    pub attempts: Option<u8>,
    /// The teams that may use it; empty means all.
    pub teams: Vec<CompactString>,
}

impl Route {
    /// A route to one service for all methods and hosts, of normal importance, that is not
    /// idempotent, needs a key and is open to all teams.
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
    /// The team that it belongs to.
    pub team: CompactString,
    /// The digest of the whole key.
    pub digest: KeyDigest,
    /// Whether operators have withdrawn it.
    pub withdrawn: bool,
}

/// The change that an exception makes to the defaults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Another rate and burst for a team.
    TeamRate {
        /// The team's name.
        team: CompactString,
        /// Requests per second.
        rate: u32,
        /// Requests allowed at once on top of the rate.
        burst: u32,
    },
    /// Another importance for one team on one route.
    Importance {
        /// The team's name.
        team: CompactString,
        /// The route's name.
        route: CompactString,
        /// The importance of the team's requests on the route.
        importance: Importance,
    },
    /// A node that is cut off from the store still serves a team, with the last known keys.
    ServeCutOff {
        /// The team's name.
        team: CompactString,
        /// For how long after the last update from the store.
        grace: Millis,
    },
}

/// An exception to the defaults, with its stated reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exception {
    /// The name of the exception.
    pub name: CompactString,
    /// The change that it makes.
    pub change: Change,
    /// Why operators made the exception.
    pub reason: CompactString,
}

/// What a node does with keyed requests while it has no recent updates from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CutOffPolicy {
    /// Refuse keyed requests.
    #[default]
    Refuse,
    /// Serve keyed requests with the last known keys and rate limits for this long after the last
    /// update.
    Serve(Millis),
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub header_size: u32,
    /// The maximum size of a request's body, in bytes.
    pub body_size: u64,
    /// The time within which a request's head must be complete.
    pub header_timeout: Millis,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Millis,
}

/// Defaults for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// What nodes do that are cut off from the store.
    pub cut_off: CutOffPolicy,
    /// How many retries one root request may cause, anywhere in its chain of calls.
    pub retry_allowance: u32,
    /// Limits on callers' requests; `None` leaves them to each node's settings.
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

/// The kind of a row.
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

/// Identifies a row among all rows.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{kind}/{name}")]
pub struct Path {
    /// The kind of the row.
    pub kind: Kind,
    /// Its name among rows of this kind.
    pub name: CompactString,
}

impl Row {
    /// The path of the row.
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

/// A row as of a revision. The record of a removed row is kept, without a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The path of the row.
    pub path: Path,
    /// The revision that last changed it.
    pub revision: Revision,
    /// The row, or `None` if it was removed.
    pub row: Option<Row>,
}

/// An update of the configuration that a node receives and applies as one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The complete configuration as of a revision, which replaces all previous rows.
    Whole {
        /// The revision of the configuration.
        revision: Revision,
        /// Every row.
        rows: Vec<Row>,
    },
    /// Rows that changed, each with its revision.
    Records(Vec<Record>),
}

/// Why a change was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ChangeError {
    /// Another change was accepted since the revision that this change is based on.
    #[display("the configuration changed from revision {expected} to {actual}: {}", changed.iter().map(Path::to_string).collect::<Vec<_>>().join(", "))]
    Conflict {
        /// The revision that the change is based on.
        expected: Revision,
        /// The current revision.
        actual: Revision,
        /// The paths of the rows that changed between the two revisions.
        changed: Vec<Path>,
    },
    /// The change refers to something that does not exist, or has a value out of range.
    #[display("{path}: {problem}")]
    Invalid {
        /// The path of the invalid row.
        path: Path,
        /// What is wrong and how to correct it.
        problem: CompactString,
    },
    /// The store did not reply in time, so whether the change took effect is unknown.
    #[display("the store does not respond; retry with the same change id")]
    StoreUnavailable,
    /// The platform's operators write the configuration directly, not through nodes.
    #[display("the configuration of this deployment is not changed through nodes")]
    ReadOnly,
}
