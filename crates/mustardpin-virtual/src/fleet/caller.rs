//! Root requests as tests send them, and what their callers receive.

use mustardpin_world::{Millis, refusal::Outcome, request::Verdict};

use crate::fleet::Site;

/// A request as a test sends it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The tenant key, `ID.SECRET`.
    pub key: Option<String>,
    /// The digest of the request; the same for a resent one.
    pub fingerprint: u64,
    /// The time the caller is willing to wait.
    pub timeout: Option<Millis>,
    /// How often the caller sends the request again after a failure.
    pub resends: u32,
}

impl Request {
    /// A GET request.
    pub fn get(path: &str, key: &str) -> Request {
        Request {
            method: "GET".to_owned(),
            path: path.to_owned(),
            key: Some(key.to_owned()),
            ..Request::default()
        }
    }

    /// A POST request of a name, which decides its fingerprint.
    pub fn post(path: &str, key: &str, name: &str) -> Request {
        Request {
            method: "POST".to_owned(),
            path: path.to_owned(),
            key: Some(key.to_owned()),
            fingerprint: mustardpin_world::hash::of(&[path, name]),
            ..Request::default()
        }
    }
}

/// The public part of a tenant key.
pub(super) fn id_of(key: &str) -> &str {
    key.split('.').next().unwrap_or(key)
}

/// What the caller of a root request received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// The number of the root request.
    pub root: u64,
    /// Where it was sent.
    pub site: Site,
    /// When it was sent.
    pub sent: Millis,
    /// When the answer came.
    pub at: Millis,
    /// The answer; `None` if the connection broke.
    pub verdict: Option<Verdict>,
    /// The body of a whole answer.
    pub body: Option<Vec<u8>>,
}

impl Received {
    /// Whether a whole answer of a target came.
    pub fn is_complete(&self) -> bool {
        matches!(self.verdict, Some(Verdict::Pass))
    }

    /// Whether the system said that the request has not run.
    pub fn is_not_run(&self) -> bool {
        self.verdict.as_ref().is_some_and(|verdict| verdict.outcome() == Outcome::NotRun)
    }
}
