//! Counters: one for each reason to refuse or to retry, and one for each kind of work.

use derive_more::Display;

use crate::refusal::Reason;

/// Why a request was retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Retry {
    /// No connection could be established.
    #[display("not_sent")]
    NotSent,
    /// The target declined the request, or was another one than expected.
    #[display("declined")]
    Declined,
    /// The peer refused the request, which had not run.
    #[display("refused")]
    Refused,
    /// The connection broke; the request is repeatable.
    #[display("broken")]
    Broken,
    /// The target responded with a server error; the request is repeatable.
    #[display("failed")]
    Failed,
    /// The target itself retried a nested call.
    #[display("nested")]
    Nested,
    /// The caller retried a failed root request.
    #[display("resent")]
    Resent,
}

impl Retry {
    /// Every reason to retry.
    pub const ALL: [Retry; 7] = [
        Retry::NotSent,
        Retry::Declined,
        Retry::Refused,
        Retry::Broken,
        Retry::Failed,
        Retry::Nested,
        Retry::Resent,
    ];
}

/// A kind of work that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Work {
    /// Requests that arrived, including those that the world then refused.
    #[display("accepted")]
    Accepted,
    /// Requests sent to the local target.
    #[display("run")]
    Run,
    /// Requests forwarded to a peer.
    #[display("forwarded")]
    Forwarded,
    /// Complete responses passed to callers.
    #[display("answered")]
    Answered,
    /// Attempts cancelled, on the local target or at a peer.
    #[display("cancelled")]
    Cancelled,
    /// Responses of the local target that began and could not be used, and malformed ones that
    /// peers passed on.
    #[display("unusable")]
    Unusable,
    /// Messages sent to peers.
    #[display("messages")]
    Messages,
}

impl Work {
    /// Every kind of work.
    pub const ALL: [Work; 7] = [
        Work::Accepted,
        Work::Run,
        Work::Forwarded,
        Work::Answered,
        Work::Cancelled,
        Work::Unusable,
        Work::Messages,
    ];
}

/// All counters, since the process started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counters {
    refusals: [u64; Reason::ALL.len()],
    retries: [u64; Retry::ALL.len()],
    work: [u64; Work::ALL.len()],
}

impl Default for Counters {
    fn default() -> Counters {
        Counters {
            refusals: [0; Reason::ALL.len()],
            retries: [0; Retry::ALL.len()],
            work: [0; Work::ALL.len()],
        }
    }
}

impl Counters {
    /// Counts a refusal.
    pub fn count_refusal(&mut self, reason: Reason) {
        self.refusals[reason as usize] += 1;
    }

    /// Counts a retry.
    pub fn count_retry(&mut self, retry: Retry) {
        self.retries[retry as usize] += 1;
    }

    /// Counts one unit of a kind of work.
    pub fn count_work(&mut self, work: Work) {
        self.work[work as usize] += 1;
    }

    /// The number of refusals for a reason.
    ///
    /// ```
    /// use mustardpin_world::{refusal::Reason, table::counter::Counters};
    /// let mut counters = Counters::default();
    /// counters.count_refusal(Reason::NoTarget);
    /// assert_eq!(counters.refusals(Reason::NoTarget), 1);
    /// ```
    pub fn refusals(&self, reason: Reason) -> u64 {
        self.refusals[reason as usize]
    }

    /// The number of retries for a reason.
    pub fn retries(&self, retry: Retry) -> u64 {
        self.retries[retry as usize]
    }

    /// The amount of work of a kind.
    pub fn work_done(&self, work: Work) -> u64 {
        self.work[work as usize]
    }
}
