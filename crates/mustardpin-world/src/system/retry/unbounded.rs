//! No limit on repeats, and none made by the system.

use crate::system::retry::{Budget, Policy};

/// What happens without any control: targets and callers repeat as they like.
#[derive(Debug)]
pub(super) struct Unbounded;

impl Policy for Unbounded {
    fn repeat(&self, _budget: Budget<'_>) -> bool {
        false
    }

    fn nested(&self, _budget: Budget<'_>) -> bool {
        true
    }

    fn resends(&self, _allowance: u32) -> Option<u32> {
        None
    }
}
