//! The names of the headers that callers, targets and nodes use.

/// The id of a request in log entries.
pub const REQUEST_ID: &str = "request-id";
/// The time that the sender waits for the complete response, in milliseconds.
pub const REQUEST_TIMEOUT_MS: &str = "request-timeout-ms";
/// The call token, which links a target's own calls to the call that it is running.
pub const CALL: &str = "mustardpin-call";
/// Whether the request ran: `not-run`, `unknown` or `run`. Only on the system's own responses.
pub const OUTCOME: &str = "mustardpin-outcome";
/// The reason of a refusal, which is also the name of its counter.
pub const REASON: &str = "mustardpin-reason";
/// Marks a response by which a target declines a request; see [`crate::target`].
pub const TARGET_OUTCOME: &str = "target-outcome";
/// The requests per second that a target takes from all nodes together; see [`crate::target`].
pub const TARGET_RATE_LIMIT: &str = "target-rate-limit";
/// `1` on the responses of a target that is leaving.
pub const TARGET_LEAVING: &str = "target-leaving";

/// The prefix of the system's own headers, which are removed from callers' and targets' messages.
pub const PREFIX: &str = "mustardpin-";
/// The media type of the body of a refusal.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Headers by which targets state something to their node.
const TARGET_HEADERS: &[&str] = &[TARGET_OUTCOME, TARGET_RATE_LIMIT, TARGET_LEAVING];

/// Headers that concern one connection only and are not forwarded.
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

/// Whether a header concerns one connection only and must not be forwarded.
///
/// ```
/// use mustardpin_wire::header;
/// assert!(header::is_hop_by_hop("Connection"));
/// assert!(!header::is_hop_by_hop("Accept"));
/// ```
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|other| other.eq_ignore_ascii_case(name))
}

/// Whether a header is one of the system's own.
///
/// ```
/// use mustardpin_wire::header;
/// assert!(header::is_internal("Mustardpin-Outcome"));
/// assert!(header::is_internal(header::TARGET_OUTCOME));
/// assert!(header::is_internal(header::TARGET_RATE_LIMIT));
/// assert!(!header::is_internal(header::REQUEST_ID));
/// ```
pub fn is_internal(name: &str) -> bool {
    let prefix = name.as_bytes().get(..PREFIX.len());
    prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(PREFIX.as_bytes()))
        || TARGET_HEADERS.iter().any(|other| name.eq_ignore_ascii_case(other))
}
