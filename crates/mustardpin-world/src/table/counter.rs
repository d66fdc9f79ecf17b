//! Counters: one for each reason to refuse or to retry, and some for work done.

use derive_more::Display;

use crate::refusal::Reason;

/// Why a request was tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Retry {
    /// No connection could be made.
    #[display("not_sent")]
    NotSent,
    /// The target declined, or was another one than expected.
    #[display("declined")]
    Declined,
    /// The peer refused and said that the request had not run.
    #[display("refused")]
    Refused,
    /// The connection broke; the request is repeatable.
    #[display("broken")]
    Broken,
    /// The target answered with a server error; the request is repeatable.
    #[display("failed")]
    Failed,
    /// The target's code made the same call again.
    #[display("nested")]
    Nested,
    /// The caller sent a failed root request again.
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

/// Work done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Work {
    /// Requests taken in.
    #[display("accepted")]
    Accepted,
    /// Requests run on the own target.
    #[display("run")]
    Run,
    /// Requests passed to a peer.
    #[display("forwarded")]
    Forwarded,
    /// Whole answers given.
    #[display("answered")]
    Answered,
    /// Runs cancelled.
    #[display("cancelled")]
    Cancelled,
    /// Messages sent to peers.
    #[display("messages")]
    Messages,
}

impl Work {
    /// Every kind of work.
    pub const ALL: [Work; 6] = [
        Work::Accepted,
        Work::Run,
        Work::Forwarded,
        Work::Answered,
        Work::Cancelled,
        Work::Messages,
    ];
}

/// What has been counted since the process started.
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

    /// Counts work.
    pub fn count_work(&mut self, work: Work) {
        self.work[work as usize] += 1;
    }

    /// Refusals for a reason.
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

    /// Retries for a reason.
    pub fn retries(&self, retry: Retry) -> u64 {
        self.retries[retry as usize]
    }

    /// Work of a kind.
    pub fn work_done(&self, work: Work) -> u64 {
        self.work[work as usize]
    }
}
