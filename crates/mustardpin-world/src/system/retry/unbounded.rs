//! No limit on repeats, and none made by the system.

use crate::system::retry::{Budget, Policy};

/// What happens without any control: targets and callers repeat as they like.
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
