//! One request and its answer, as the control thread sees them.

use mustardpin_world::{
    id::CallKey,
    refusal::Refusal,
    request::{Forward, Run, Verdict},
};

/// What the control thread wants done with one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// From now on the call names the request.
    Accept(CallKey),
    /// Answer with the refusal. No further order follows.
    Reject(Refusal),
    /// Send the request to the own target.
    Run(Run),
    /// Pass the request to a peer.
    Forward(Forward),
    /// Say on the answer to a peer that so many retries are left.
    Retries(u32),
    /// Stop the run or the forwarded request in progress.
    Cancel,
    /// Answer the caller. No further order follows.
    Finish(Verdict),
}

/// The traffic side of one request.
pub trait Exchange: Send {
    /// Takes an order without waiting. The result comes as an event.
    fn order(&mut self, order: Order);
}
