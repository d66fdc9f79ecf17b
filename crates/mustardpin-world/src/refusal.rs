//! Refusals: responses that the system sends in place of a target's.

use derive_more::Display;

use crate::clock::Millis;

/// Whether a request has run on a target, as far as the system can prove.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Outcome {
    /// No target has seen any byte of the request, and none will.
    #[display("not-run")]
    NotRun,
    /// A target may have seen the request.
    #[display("unknown")]
    Unknown,
    /// A target has run the request.
    #[display("run")]
    Run,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Why a request was refused. Each reason has a counter of the same name.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Display)]
        pub enum Reason { $($(#[$doc])* #[display($text)] $name,)* }

        impl Reason {
            /// Every reason, in the order of declaration.
            pub const ALL: &[Reason] = &[$(Reason::$name,)*];

            /// The HTTP status code that callers receive for this reason.
            ///
            /// ```
            /// assert_eq!(mustardpin_world::refusal::Reason::KeyWithdrawn.status(), 401);
            /// ```
            pub const fn status(self) -> u16 {
                match self { $(Reason::$name => $status,)* }
            }

            /// The reason with this name, or `None` if there is no such reason.
            ///
            /// ```
            /// use mustardpin_world::refusal::Reason;
            /// assert_eq!(Reason::from_name("cut_off"), Some(Reason::CutOff));
            /// ```
            pub fn from_name(name: &str) -> Option<Reason> {
                match name { $($text => Some(Reason::$name),)* _ => None }
            }
        }
    };
}

reasons! {
    /// The request came without a key on a route that needs one.
    KeyMissing = "key_missing", 401;
    /// The node knows no key with this digest, or doesn't know the key's team.
    KeyUnknown = "key_unknown", 401;
    /// Operators have withdrawn the key.
    KeyWithdrawn = "key_withdrawn", 401;
    /// The route is not open to the key's team.
    RouteForbidden = "route_forbidden", 403;
    /// No route matches the request's host, method and path.
    RouteUnknown = "route_unknown", 404;
    /// The call token is not one that this node issued for a call in progress.
    CallTokenInvalid = "call_token_invalid", 403;
    /// The request can't be parsed.
    RequestMalformed = "request_malformed", 400;
    /// The request wasn't complete within the time limit.
    BodyTimeout = "body_timeout", 408;
    /// The request's head is larger than the limit.
    HeadTooLarge = "head_too_large", 431;
    /// The request body is larger than the limit.
    BodyTooLarge = "body_too_large", 413;
    /// The team has used up its rate and burst.
    RateExceeded = "rate_exceeded", 429;
    /// No shard owner of the team's rate can be reached.
    RateUnavailable = "rate_unavailable", 503;
    /// The caller retries more often than its retry budget allows.
    ResendBudget = "resend_budget", 429;
    /// The retry allowance of the root request is used up.
    RetryAllowance = "retry_allowance", 503;
    /// The queue is full of requests of no lower importance.
    QueueFull = "queue_full", 503;
    /// The target has got as many requests as the rate limit that it states allows.
    TargetRateLimit = "target_rate_limit", 503;
    /// A service that the request leads to is overloaded.
    Shed = "shed", 503;
    /// No target that serves the route can be reached.
    NoTarget = "no_target", 503;
    /// The node has reached its limit of requests in progress.
    InProgressLimit = "in_progress_limit", 503;
    /// The node has reached its limit of connections, and none of them is idle.
    ConnectionLimit = "connection_limit", 503;
    /// The node is cut off from the store, so its keys and configuration may be out of date.
    CutOff = "cut_off", 503;
    /// The node has no configuration yet.
    Starting = "starting", 503;
    /// The node is draining before it stops.
    Leaving = "leaving", 503;
    /// The configuration has another team or route for the request than the one by which a peer
    /// forwarded it. The peer may check it again.
    ConfigurationChanged = "configuration_changed", 503;
    /// The request was running when several targets crashed.
    Quarantined = "quarantined", 503;
    /// The target failed or the connection to it broke.
    TargetFailed = "target_failed", 503;
    /// The peer that the request was forwarded to failed, or the connection to it broke.
    PeerFailed = "peer_failed", 503;
    /// The deadline passed before the request could run, or left too little time for it.
    DeadlineBeforeRun = "deadline_before_run", 503;
    /// The deadline passed during the run.
    DeadlineDuringRun = "deadline_during_run", 504;
    /// The caller disconnected.
    CallerGone = "caller_gone", 499;
}

/// A response that the system sends in place of a target's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Whether the request has run.
    pub outcome: Outcome,
    /// How long the caller should wait before a retry, where waiting helps.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal of a request that has not run, without advice on when to retry.
    ///
    /// ```
    /// use mustardpin_world::refusal::{Outcome, Reason, Refusal};
    /// assert_eq!(Refusal::not_run(Reason::NoTarget).outcome, Outcome::NotRun);
    /// ```
    pub const fn not_run(reason: Reason) -> Refusal {
        Refusal { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// A refusal of a request that may have run, without advice on when to retry.
    ///
    /// ```
    /// use mustardpin_world::refusal::{Outcome, Reason, Refusal};
    /// assert_eq!(Refusal::unknown(Reason::PeerFailed).outcome, Outcome::Unknown);
    /// ```
    pub const fn unknown(reason: Reason) -> Refusal {
        Refusal { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// The HTTP status code that callers receive.
    ///
    /// Some codes promise that the request has not run. A refusal with another outcome gets 502 in
    /// their place.
    ///
    /// ```
    /// use mustardpin_world::refusal::{Reason, Refusal};
    /// assert_eq!(Refusal::not_run(Reason::Leaving).status(), 503);
    /// assert_eq!(Refusal::unknown(Reason::Leaving).status(), 502);
    /// ```
    pub const fn status(self) -> u16 {
        match (self.outcome, self.reason.status()) {
            (Outcome::NotRun, status) => status,
            (_, 408 | 421 | 429 | 503) => 502,
            (_, status) => status,
        }
    }

    /// The same refusal, with advice on how long to wait before a retry.
    ///
    /// ```
    /// use mustardpin_world::{Millis, refusal::{Reason, Refusal}};
    /// let refusal = Refusal::not_run(Reason::RateExceeded).after(Millis(500));
    /// assert_eq!(refusal.retry_after, Some(Millis(500)));
    /// ```
    pub const fn after(self, wait: Millis) -> Refusal {
        Refusal { retry_after: Some(wait), ..self }
    }
}
