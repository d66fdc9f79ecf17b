//! No limit on the retries of callers and targets; the system itself reroutes only calls that no
//! target has received.

use crate::system::retry::{Budget, Policy};

/// Admits every retry of a caller or target. A baseline for measurements.
#[derive(Debug)]
pub(super) struct Unbounded;

impl Policy for Unbounded {
    fn allow_retry(&self, _budget: Budget<'_>) -> bool {
        false
    }

    fn allow_nested_retry(&self, _budget: Budget<'_>) -> bool {
        true
    }

    fn max_resends(&self, _allowance: u32) -> Option<u32> {
        None
    }
}
