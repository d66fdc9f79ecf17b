//! What operators ask of the control thread.

use std::sync::Arc;

use futures::future::BoxFuture;
use mustardpin_wire::admin::{Configuration, status::Status};
use mustardpin_world::event::Proposal;

use crate::{
    admin::{Answer, Control, Stopping},
    clock::Clock,
    control::{Handle, Stopped},
};

/// Asks the control thread on behalf of operators.
pub struct Operator {
    /// The way to the control thread.
    pub control: Handle,
    /// The time.
    pub clock: Arc<dyn Clock>,
}

impl Control for Operator {
    fn propose(&self, proposal: Proposal) -> BoxFuture<'_, Result<Answer, Stopping>> {
        Box::pin(async { Ok(self.control.propose(proposal).await?) })
    }

    fn status(&self) -> BoxFuture<'_, Result<Status, Stopping>> {
        let clock = Arc::clone(&self.clock);
        let report = self.control.report(move |world| Status::of(world, clock.now()));
        Box::pin(async { Ok(report.await?) })
    }

    fn configuration(&self) -> BoxFuture<'_, Result<Configuration, Stopping>> {
        let report = self.control.report(|world| Configuration::from(world));
        Box::pin(async { Ok(report.await?) })
    }
}

impl From<Stopped> for Stopping {
    fn from(_: Stopped) -> Stopping {
        Stopping
    }
}
