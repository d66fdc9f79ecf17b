//! What a courier keeps an eye on while it carries a request: its orders, its caller and the time.

use std::{sync::Arc, time::Duration};

use http::{Response, response::Parts};
use mustardpin_world::{Event, Millis, id::CallKey};
use tokio::{
    select,
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    exchange::Order,
    traffic::{
        answer::{self, Body, Piece},
        context::Context,
    },
};

/// How far the answer to a caller has come.
enum Caller {
    /// Nothing has been sent.
    Waiting(oneshot::Sender<Response<Body>>),
    /// The head has been sent.
    Streaming(answer::Sender),
    /// The answer is over, whole or not.
    Done,
}

/// Orders, caller and time of one request.
pub(super) struct Watch {
    context: Arc<Context>,
    orders: mpsc::UnboundedReceiver<Order>,
    /// An order that interrupted an attempt and has not been carried out.
    pending: Option<Order>,
    caller: Caller,
    call: Option<CallKey>,
    gone_reported: bool,
    /// The retries left to a call that a peer passed on.
    retries: Option<u32>,
}

impl Watch {
    pub(super) fn new(
        context: Arc<Context>,
        orders: mpsc::UnboundedReceiver<Order>,
        caller: oneshot::Sender<Response<Body>>,
        retries: Option<u32>,
    ) -> Watch {
        let caller = Caller::Waiting(caller);
        Watch { context, orders, pending: None, caller, call: None, gone_reported: false, retries }
    }

    /// The retries left to a call that a peer passed on.
    pub(super) fn retries(&self) -> Option<u32> {
        self.retries
    }

    /// From now on the call names the request.
    pub(super) fn accept(&mut self, call: CallKey) {
        self.call = Some(call);
    }

    /// The next order; `None` once the control thread has ended.
    pub(super) async fn next_order(&mut self) -> Option<Order> {
        if let Some(order) = self.pending.take() {
            return Some(order);
        }
        loop {
            select! {
                biased;
                order = self.orders.recv() => match order {
                    Some(Order::Retries(retries)) => self.retries = Some(retries),
                    order => return order,
                },
                () = self.caller.gone(), if self.may_report() => self.report_gone(),
            }
        }
    }

    /// Returns when an attempt has to stop: at its deadline, or by order.
    pub(super) async fn interrupted(&mut self, deadline: Millis) {
        let sleep = time::sleep(Duration::from_millis(self.context.until(deadline).0));
        tokio::pin!(sleep);
        loop {
            select! {
                () = &mut sleep => return,
                order = self.orders.recv() => {
                    if let Some(Order::Retries(retries)) = order {
                        self.retries = Some(retries);
                        continue;
                    }
                    self.pending = order.filter(|order| *order != Order::Cancel);
                    return;
                }
                () = self.caller.gone(), if self.may_report() => self.report_gone(),
            }
        }
    }

    /// Whether any byte of an answer has gone to the caller.
    pub(super) fn has_begun(&self) -> bool {
        !matches!(self.caller, Caller::Waiting(_))
    }

    /// Sends a whole answer.
    pub(super) fn answer(&mut self, response: Response<Body>) {
        if let Caller::Waiting(caller) = std::mem::replace(&mut self.caller, Caller::Done) {
            // The caller may have gone in the meantime.
            let _ = caller.send(response);
        }
    }

    /// Sends the head of an answer.
    pub(super) fn begin(&mut self, head: Parts) {
        let (sender, body) = answer::channel();
        if let Caller::Waiting(caller) =
            std::mem::replace(&mut self.caller, Caller::Streaming(sender))
        {
            // If the caller has gone, the body is dropped, and that is noticed and reported.
            let _ = caller.send(Response::from_parts(head, body));
        }
    }

    /// Sends a piece of an answer. Returns whether it was passed on, or the caller has gone,
    /// before the attempt was interrupted.
    pub(super) async fn pass(&mut self, piece: Piece, deadline: Millis) -> bool {
        let Caller::Streaming(sender) = &self.caller else { return true };
        let piece = match sender.try_send(piece) {
            Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => return true,
            Err(mpsc::error::TrySendError::Full(piece)) => piece,
        };
        let sender = sender.clone();
        select! {
            _ = sender.send(piece) => true,
            () = self.interrupted(deadline) => false,
        }
    }

    /// Ends an answer that is whole.
    pub(super) async fn complete(&mut self, deadline: Millis) {
        self.pass(Piece::End, deadline).await;
        self.caller = Caller::Done;
    }

    /// Breaks an answer that has begun, so that the caller sees it is not whole.
    pub(super) fn break_off(&mut self) {
        if let Caller::Streaming(_) = self.caller {
            self.caller = Caller::Done;
            self.report_gone();
        }
    }

    fn may_report(&self) -> bool {
        self.call.is_some() && !self.gone_reported
    }

    /// Tells the world once that nobody waits for the answer any more.
    fn report_gone(&mut self) {
        let Some(call) = self.call else { return };
        if !self.gone_reported {
            self.gone_reported = true;
            self.context.control.event(Event::CallerGone(call));
        }
    }
}

impl Caller {
    /// Returns when the caller's connection has ended.
    async fn gone(&mut self) {
        match self {
            Caller::Waiting(caller) => caller.closed().await,
            Caller::Streaming(sender) => sender.closed().await,
            Caller::Done => std::future::pending().await,
        }
    }
}
