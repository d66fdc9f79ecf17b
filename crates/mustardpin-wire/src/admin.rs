//! The administration API: JSON over HTTP, for operators.
//!
//! `GET /admin/status` returns a [`status::Status`], and `GET /admin/configuration` a
//! [`Configuration`]. `POST /admin/changes` takes a [`Proposal`] and returns status 200 with an
//! [`Acceptance`], or another status with a [`Rejection`]. Every request carries the operator
//! credential as `Authorization: Bearer CREDENTIAL`.

pub mod status;
mod validation;

use compact_str::{CompactString, ToCompactString as _, format_compact};
use derive_more::{Display, Error, From};
use http::StatusCode;
use mustardpin_world::{World, config as world_config, event, id};
use serde::{Deserialize, Serialize};

use crate::config::{self, Path, Row};

/// The path of the node's status.
pub const STATUS_PATH: &str = "/admin/status";
/// The path of the configuration.
pub const CONFIGURATION_PATH: &str = "/admin/configuration";
/// The path to which changes are posted.
pub const CHANGES_PATH: &str = "/admin/changes";

/// The maximum number of rows and removals in one change.
pub const CHANGE_SIZE_LIMIT: usize = 1_000;

/// Why a proposal can't be parsed, or is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum Error {
    /// A row can't be parsed.
    #[display("a row could not be read")]
    Config(config::Error),
    /// The change id is missing or malformed.
    #[display(
        "id: `{_0}` is not a change id; choose 1 to 64 letters, digits, hyphens or underscores"
    )]
    #[from(skip)]
    ChangeId(#[error(not(source))] CompactString),
    /// The change has no rows, or more than [`CHANGE_SIZE_LIMIT`].
    #[display("rows: a change has 1 to {CHANGE_SIZE_LIMIT} rows and removals, not {_0}")]
    #[from(skip)]
    Size(#[error(not(source))] usize),
    /// A row has an invalid value.
    #[display("{path}: {problem}")]
    Value {
        /// The path of the invalid row, as `kind/name`.
        path: CompactString,
        /// What is wrong and how to correct it.
        problem: CompactString,
    },
}

/// A change of the configuration that an operator proposes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The change id. Chosen by the operator's command and kept when it retries the change.
    pub id: CompactString,
    /// The revision that the change is based on.
    pub expected: u64,
    /// Rows to write.
    #[serde(default)]
    pub rows: Vec<Row>,
    /// The paths of the rows to remove.
    #[serde(default)]
    pub removals: Vec<Path>,
}

impl TryFrom<Proposal> for event::Proposal {
    type Error = Error;

    fn try_from(proposal: Proposal) -> Result<event::Proposal, Error> {
        if !validation::is_valid_name(&proposal.id) {
            return Err(Error::ChangeId(proposal.id));
        }
        let size = proposal.rows.len() + proposal.removals.len();
        if size == 0 || size > CHANGE_SIZE_LIMIT {
            return Err(Error::Size(size));
        }
        let rows: Result<Vec<_>, _> =
            proposal.rows.into_iter().map(world_config::Row::try_from).collect();
        let rows = rows?;
        rows.iter().try_for_each(validation::check)?;
        Ok(event::Proposal {
            id: proposal.id,
            expected: id::Revision(proposal.expected),
            rows,
            removals: proposal.removals.into_iter().map(world_config::Path::from).collect(),
        })
    }
}

/// A change that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Acceptance {
    /// The revision at which the change was written.
    pub revision: u64,
}

/// Why a request to the administration API failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum Rejection {
    /// Another change was accepted since the revision that this change is based on.
    #[display("another change came first: the configuration is at revision {actual}, not {expected}; changed since: {}", changed.join(", "))]
    Conflict {
        /// The revision that the change is based on.
        expected: u64,
        /// The current revision.
        actual: u64,
        /// The rows changed in between, as `kind/name`.
        changed: Vec<CompactString>,
    },
    /// A row refers to something that does not exist, or has an invalid value.
    #[display("{path}: {problem}")]
    Invalid {
        /// The path of the invalid row, as `kind/name`.
        path: CompactString,
        /// What is wrong and how to correct it.
        problem: CompactString,
    },
    /// The request can't be parsed.
    #[display("{problem}")]
    Malformed {
        /// What is wrong and how to correct it.
        problem: CompactString,
    },
    /// The operator credential is missing or wrong.
    #[display(
        "the operator credential is missing or wrong; use the operator-credential of the nodes' settings"
    )]
    Unauthorized,
    /// The API has no operation with this method and path.
    #[display("there is no such operation")]
    NotFound,
    /// The store did not reply in time, so whether the change took effect is unknown.
    #[display("the store does not answer; send the change again with the same change id")]
    Unavailable,
    /// The platform's operators write the configuration directly, not through nodes.
    #[display("the configuration of this deployment is not changed through nodes")]
    ReadOnly,
}

impl Rejection {
    /// The HTTP status code of the response.
    ///
    /// ```
    /// assert_eq!(mustardpin_wire::admin::Rejection::Unavailable.status(), 503);
    /// ```
    pub fn status(&self) -> StatusCode {
        match self {
            Rejection::Conflict { .. } => StatusCode::CONFLICT,
            Rejection::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Rejection::Malformed { .. } => StatusCode::BAD_REQUEST,
            Rejection::Unauthorized => StatusCode::UNAUTHORIZED,
            Rejection::NotFound => StatusCode::NOT_FOUND,
            Rejection::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::ReadOnly => StatusCode::METHOD_NOT_ALLOWED,
        }
    }
}

impl From<world_config::ChangeError> for Rejection {
    fn from(error: world_config::ChangeError) -> Rejection {
        match error {
            world_config::ChangeError::Conflict { expected, actual, changed } => {
                Rejection::Conflict {
                    expected: expected.0,
                    actual: actual.0,
                    changed: changed.iter().map(|path| path.to_compact_string()).collect(),
                }
            }
            world_config::ChangeError::Invalid { path, problem } => {
                Rejection::Invalid { path: path.to_compact_string(), problem }
            }
            world_config::ChangeError::StoreUnavailable => Rejection::Unavailable,
            world_config::ChangeError::ReadOnly => Rejection::ReadOnly,
        }
    }
}

impl From<Error> for Rejection {
    fn from(error: Error) -> Rejection {
        match error {
            Error::Value { path, problem } => Rejection::Invalid { path, problem },
            Error::Config(ref cause) => {
                Rejection::Malformed { problem: format_compact!("{error}: {cause}") }
            }
            error => Rejection::Malformed { problem: error.to_compact_string() },
        }
    }
}

/// The configuration as one node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Configuration {
    /// The revision of the configuration.
    pub revision: u64,
    /// All rows, in the order of their paths.
    pub rows: Vec<Row>,
}

impl From<&World> for Configuration {
    fn from(world: &World) -> Configuration {
        let configuration = &world.tables().configuration;
        let rows = configuration.rows().cloned().map(Row::from).collect();
        Configuration { revision: configuration.revision.0, rows }
    }
}
