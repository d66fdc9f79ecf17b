//! Connects the administration API to the control thread.

use std::sync::Arc;

use futures::future::BoxFuture;
use mustardpin_wire::admin::{Configuration, status::Status};
use mustardpin_world::event::Proposal;

use crate::{
    admin::{Control, ProposalResult, Stopping},
    clock::Clock,
    control::Handle,
};

/// Implements [`Control`] by queries to the control thread.
pub struct Bridge {
    control: Handle,
    clock: Arc<dyn Clock>,
}

impl Bridge {
    /// Creates a bridge to the control thread that uses this clock.
    pub fn new(control: Handle, clock: Arc<dyn Clock>) -> Bridge {
        Bridge { control, clock }
    }
}

impl Control for Bridge {
    fn propose(&self, proposal: Proposal) -> BoxFuture<'_, Result<ProposalResult, Stopping>> {
        Box::pin(async { self.control.propose(proposal).await.map_err(|_| Stopping) })
    }

    fn status(&self) -> BoxFuture<'_, Result<Status, Stopping>> {
        let clock = Arc::clone(&self.clock);
        let read = move |world: &_| Status::of(world, clock.now());
        Box::pin(async { self.control.report(read).await.map_err(|_| Stopping) })
    }

    fn configuration(&self) -> BoxFuture<'_, Result<Configuration, Stopping>> {
        Box::pin(async {
            self.control.report(|world| Configuration::from(world)).await.map_err(|_| Stopping)
        })
    }
}
