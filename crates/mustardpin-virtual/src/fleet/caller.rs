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
    /// The idempotency key.
    pub idempotency_key: Option<String>,
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

    /// A POST request with an idempotency key, which also decides its fingerprint.
    pub fn post(path: &str, key: &str, idempotency_key: &str) -> Request {
        Request {
            method: "POST".to_owned(),
            path: path.to_owned(),
            key: Some(key.to_owned()),
            idempotency_key: Some(idempotency_key.to_owned()),
            fingerprint: mustardpin_world::home::hash_of(&[path, idempotency_key]),
            timeout: None,
            resends: 0,
        }
    }
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
    pub fn is_whole(&self) -> bool {
        matches!(self.verdict, Some(Verdict::Pass | Verdict::Replay(_)))
    }

    /// Whether the system said that the request has not run.
    pub fn is_not_run(&self) -> bool {
        self.verdict.as_ref().is_some_and(|verdict| verdict.outcome() == Outcome::NotRun)
    }
}
