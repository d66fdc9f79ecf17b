//! Root requests that failed recently, to recognise when their callers retry them.

use std::collections::{HashMap, VecDeque};

use rapidhash::fast::RandomState;
use slotmap::SecondaryMap;

use crate::{clock::Millis, id::TeamKey};

/// Maximum number of failures in the table; beyond it, the oldest are removed.
const MAX_ROWS: usize = 16_384;

/// A root request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedRequest {
    /// When it last failed.
    pub at: Millis,
    /// How often its caller has retried it.
    pub resends: u32,
}

/// The table of failed root requests, by the hash of their identity, and the teams' budgets for
/// client retries.
#[derive(Debug, Default)]
pub struct FailedRequests {
    rows: HashMap<u64, FailedRequest, RandomState>,
    order: VecDeque<(Millis, u64)>,
    tokens: SecondaryMap<TeamKey, f64>,
}

impl FailedRequests {
    /// Records a failure of a request.
    pub fn put(&mut self, identity: u64, at: Millis) {
        self.rows.entry(identity).or_insert(FailedRequest { at, resends: 0 }).at = at;
        self.order.push_back((at, identity));
    }

    /// Removes a request that has succeeded.
    pub fn remove(&mut self, identity: u64) {
        self.rows.remove(&identity);
    }

    /// The failed request, if the table has it.
    pub fn get_mut(&mut self, identity: u64) -> Option<&mut FailedRequest> {
        self.rows.get_mut(&identity)
    }

    /// Removes requests that last failed before a point in time, and the oldest beyond the limit.
    pub fn forget(&mut self, before: Millis) {
        while let Some(&(at, identity)) = self.order.front() {
            if at >= before && self.order.len() <= MAX_ROWS {
                return;
            }
            self.order.pop_front();
            if self.rows.get(&identity).is_some_and(|row| row.at <= at) {
                self.rows.remove(&identity);
            }
        }
    }

    /// Remaining tokens of a team's budget for client retries; a team starts with `burst`.
    pub fn tokens(&mut self, team: TeamKey, burst: f64) -> Option<&mut f64> {
        Some(self.tokens.entry(team)?.or_insert(burst))
    }

    /// Number of failed requests in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
