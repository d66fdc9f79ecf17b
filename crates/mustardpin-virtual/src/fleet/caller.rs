//! Requests, and the responses that the callers of root requests receive.

use mustardpin_world::{Millis, refusal::Outcome, request::Verdict};

use crate::fleet::Site;

/// A request that a caller or a target sends to a node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path of the request.
    pub path: String,
    /// The tenant key, `ID.SECRET`; `None` in calls of targets.
    pub key: Option<String>,
    /// The digest of the request; a resent request has the same one.
    pub fingerprint: u64,
    /// The timeout that the caller sends with the request.
    pub timeout: Option<Millis>,
    /// How many times the caller sends the request again after a failure.
    pub resends: u32,
}

impl Request {
    /// Returns a GET request with fingerprint 0.
    pub fn get(path: &str, key: &str) -> Request {
        Request {
            method: "GET".to_owned(),
            path: path.to_owned(),
            key: Some(key.to_owned()),
            ..Request::default()
        }
    }

    /// Returns a POST request whose fingerprint is derived from the path and a name.
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

/// Returns the id of a tenant key, its part before the dot.
pub(super) fn key_id(key: &str) -> &str {
    key.split('.').next().unwrap_or(key)
}

/// The response that the caller of a root request received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// The number of the root request.
    pub root: u64,
    /// The node that the request was sent to.
    pub site: Site,
    /// When the request was first sent.
    pub sent: Millis,
    /// When the response arrived, or the connection broke.
    pub at: Millis,
    /// The verdict; `None` if the connection broke, or if the target responded with a server error.
    pub verdict: Option<Verdict>,
    /// The body of a complete response of a target.
    pub body: Option<Vec<u8>>,
}

impl Received {
    /// Whether a complete response of a target arrived.
    pub fn is_complete(&self) -> bool {
        matches!(self.verdict, Some(Verdict::Pass))
    }

    /// Whether the response reports that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.verdict.as_ref().is_some_and(|verdict| verdict.outcome() == Outcome::NotRun)
    }
}
