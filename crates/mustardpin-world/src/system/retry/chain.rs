//! One allowance for each root request, with a ratio of successes on top.

use crate::system::retry::{Budget, Policy};

/// Repeats cost one of the allowance and one that successes have earned.
#[derive(Debug)]
pub(super) struct Chain;

fn pay(budget: Budget<'_>) -> bool {
    if *budget.allowance == 0 || *budget.tokens < 1.0 {
        return false;
    }
    *budget.allowance -= 1;
    *budget.tokens -= 1.0;
    true
}

impl Policy for Chain {
    fn allow_retry(&self, budget: Budget<'_>) -> bool {
        pay(budget)
    }

    fn allow_nested_retry(&self, budget: Budget<'_>) -> bool {
        pay(budget)
    }

    fn max_resends(&self, allowance: u32) -> Option<u32> {
        Some(allowance)
    }
}
