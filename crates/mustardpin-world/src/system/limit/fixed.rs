//! A constant limit.

use crate::system::limit::Algorithm;

/// A limit that never changes.
#[derive(Debug)]
pub(super) struct Fixed(pub(super) u32);

impl Algorithm for Fixed {
    fn limit(&self) -> u32 {
        self.0
    }
}
