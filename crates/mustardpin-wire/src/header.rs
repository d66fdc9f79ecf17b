//! Names of the headers that callers, targets and nodes use.

/// Names a request in logs.
pub const REQUEST_ID: &str = "request-id";
/// How long the sender waits for the whole answer, in milliseconds.
pub const REQUEST_TIMEOUT_MS: &str = "request-timeout-ms";
/// Links a target's own calls to the call it is running.
pub const CALL: &str = "mustardpin-call";
/// Whether the request ran: `not-run`, `unknown` or `run`. Only on answers of the system.
pub const OUTCOME: &str = "mustardpin-outcome";
/// Why the system refused: the name of the counter.
pub const REASON: &str = "mustardpin-reason";
/// By which a target declines a request; see [`crate::target`].
pub const TARGET_OUTCOME: &str = "target-outcome";

/// Every header with this prefix belongs to the system and is removed from what others send.
pub const PREFIX: &str = "mustardpin-";
/// The media type of the body of a refusal.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Headers that concern one connection only and are not passed on.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header concerns one connection only and must not be passed on.
///
/// ```
/// use mustardpin_wire::header;
/// assert!(header::is_hop_by_hop("Connection"));
/// assert!(!header::is_hop_by_hop("Accept"));
/// ```
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|other| other.eq_ignore_ascii_case(name))
}

/// Whether a header belongs to the system.
///
/// ```
/// use mustardpin_wire::header;
/// assert!(header::is_internal("Mustardpin-Outcome"));
/// assert!(header::is_internal(header::TARGET_OUTCOME));
/// assert!(!header::is_internal(header::REQUEST_ID));
/// ```
pub fn is_internal(name: &str) -> bool {
    let prefix = name.as_bytes().get(..PREFIX.len());
    prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(PREFIX.as_bytes()))
        || name.eq_ignore_ascii_case(TARGET_OUTCOME)
}
