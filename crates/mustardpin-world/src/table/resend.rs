//! Root requests that failed a short time ago, to recognise when their callers send them again.

use std::collections::{HashMap, VecDeque};

use rapidhash::fast::RandomState;
use slotmap::SecondaryMap;

use crate::{clock::Millis, id::TeamKey};

/// The table never holds more rows than this; the oldest go first.
const MOST_ROWS: usize = 16_384;

/// A root request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedRequest {
    /// When it last failed.
    pub at: Millis,
    /// How often it was sent again.
    pub resends: u32,
}

/// The table of failed root requests, by the hash of what makes two requests the same.
#[derive(Debug, Default)]
pub struct FailedRequests {
    rows: HashMap<u64, FailedRequest, RandomState>,
    order: VecDeque<(Millis, u64)>,
    tokens: SecondaryMap<TeamKey, f64>,
}

impl FailedRequests {
    /// Adds a failure.
    pub fn put(&mut self, identity: u64, at: Millis) {
        self.rows.entry(identity).or_insert(FailedRequest { at, resends: 0 }).at = at;
        self.order.push_back((at, identity));
    }

    /// Removes a request that has succeeded.
    pub fn remove(&mut self, identity: u64) {
        self.rows.remove(&identity);
    }

    /// The failed request, if it is remembered.
    pub fn get_mut(&mut self, identity: u64) -> Option<&mut FailedRequest> {
        self.rows.get_mut(&identity)
    }

    /// Forgets requests that failed before a point, and the oldest if there are too many.
    pub fn forget(&mut self, before: Millis) {
        while let Some(&(at, identity)) = self.order.front() {
            if at >= before && self.order.len() <= MOST_ROWS {
                return;
            }
            self.order.pop_front();
            if self.rows.get(&identity).is_some_and(|row| row.at <= at) {
                self.rows.remove(&identity);
            }
        }
    }

    /// What is left of a team's resend budget; a team starts with `burst`.
    pub fn tokens(&mut self, team: TeamKey, burst: f64) -> Option<&mut f64> {
        Some(self.tokens.entry(team)?.or_insert(burst))
    }

    /// How many requests are remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
