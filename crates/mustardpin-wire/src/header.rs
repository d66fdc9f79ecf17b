//! Names of the headers that callers, targets and nodes use.

use http::header::HeaderName;

/// Identity of a non-repeatable request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How long the sender waits for the whole answer, in milliseconds.
pub const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("request-timeout-ms");
/// Links a target's own calls to the call it is running.
pub const CALL: HeaderName = HeaderName::from_static("mustardpin-call");
/// Whether the request ran: `not-run`, `unknown` or `run`. Only on answers of the system.
pub const OUTCOME: HeaderName = HeaderName::from_static("mustardpin-outcome");
/// Why the system refused: the name of the counter.
pub const REASON: HeaderName = HeaderName::from_static("mustardpin-reason");
/// By which a target declines a request; see [`crate::target`].
pub const TARGET_OUTCOME: HeaderName = HeaderName::from_static("target-outcome");

/// Every header with this prefix belongs to the system and is removed from what others send.
pub const PREFIX: &str = "mustardpin-";
/// The media type of the body of a refusal.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Whether a header concerns one connection only and must not be passed on.
///
/// ```
/// use mustardpin_wire::header;
/// assert!(header::is_hop_by_hop(&http::header::CONNECTION));
/// assert!(!header::is_hop_by_hop(&http::header::TRAILER));
/// ```
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "expect"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "transfer-encoding"
            | "upgrade"
    )
}

/// Whether a header belongs to the system.
///
/// ```
/// use mustardpin_wire::header;
/// assert!(header::is_internal(&header::OUTCOME));
/// assert!(header::is_internal(&header::TARGET_OUTCOME));
/// assert!(!header::is_internal(&header::IDEMPOTENCY_KEY));
/// ```
pub fn is_internal(name: &HeaderName) -> bool {
    name.as_str().starts_with(PREFIX) || name == TARGET_OUTCOME
}
