//! A retry allowance for each root request, and retry tokens for each service.

use crate::system::retry::{Budget, Policy};

/// A retry costs one of the call's allowance and one retry token of the service.
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
