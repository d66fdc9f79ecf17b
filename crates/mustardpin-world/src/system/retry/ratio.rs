//! A ratio of retries to requests for each service, applied by each node for itself.

use crate::system::retry::{Budget, Policy};

/// A retry costs one retry token of the service. There is no limit for a whole chain of calls.
#[derive(Debug)]
pub(super) struct Ratio;

fn pay(budget: Budget<'_>) -> bool {
    if *budget.tokens < 1.0 {
        return false;
    }
    *budget.tokens -= 1.0;
    true
}

impl Policy for Ratio {
    fn allow_retry(&self, budget: Budget<'_>) -> bool {
        pay(budget)
    }

    fn allow_nested_retry(&self, budget: Budget<'_>) -> bool {
        pay(budget)
    }

    fn max_resends(&self, _allowance: u32) -> Option<u32> {
        Some(u32::MAX)
    }
}
