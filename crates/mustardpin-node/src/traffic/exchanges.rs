//! The table of requests in progress, and the state shared by all connections.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use compact_str::{CompactString, ToCompactString as _};
use mustardpin_wire::{dialect::Dialect, frame::LoadReport};
use mustardpin_world::{
    Event, Millis,
    config::CallerLimits,
    log::{Entry, Level},
    notice::Notice,
    refusal::Refusal,
    request::{ForwardEnd, Load, Request, RunEnd, Ticket, is_final_status},
};
use slotmap::{Key as _, KeyData, SlotMap};
use tokio::sync::watch;

use crate::{
    clock::Clock,
    control::Handle,
    launch::Limits,
    traffic::{
        backlog::{Account, Backlog},
        budget::Budget,
        exchange::{Attempt, Exchange, ExchangeKey, FinalResponse, Outbound, ResponseRecipient},
        link::{Credentials, Links},
        listener::Stage,
        outbox::Outbox,
        reports::Reports,
        response::CallerResponse,
        target::Target,
    },
};

/// The interval between two lag probes. Many fit into a caller's timeout, and at this rate their
/// cost is negligible.
const LAG_PROBE_INTERVAL: Millis = Millis(100);

/// The parameters of the traffic side.
pub struct Setup {
    /// The handle that sends events to the control thread.
    pub control: Handle,
    /// The clock for deadlines and timeouts.
    pub clock: Arc<dyn Clock>,
    /// The resource limits of the process.
    pub limits: Limits,
    /// The dialect that callers and targets use.
    pub dialect: Arc<dyn Dialect>,
    /// The service name of the local target.
    pub service: CompactString,
    /// The identity that this node presents to peers.
    pub credentials: Credentials,
}

/// The table of requests in progress, and the state shared by all connections.
pub struct Exchanges {
    pub(super) outbox: Outbox,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) limits: Limits,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) service: CompactString,
    pub(super) target: Target,
    pub(super) links: Links,
    pub(super) reports: Reports,
    /// The memory for request bodies, of callers and of peers.
    pub(super) body_budget: Arc<Budget>,
    /// The memory for responses: those of the target that are not complete, and those that callers
    /// have not read.
    pub(super) response_budget: Arc<Budget>,
    /// The responses that callers have not read.
    pub(super) backlog: Arc<Backlog>,
    table: Mutex<SlotMap<ExchangeKey, Exchange>>,
    callers: Mutex<CallerLimits>,
    load: Mutex<Load>,
    ready: AtomicBool,
    stage: watch::Sender<Stage>,
}

impl Exchanges {
    /// Creates an empty table.
    pub fn new(setup: Setup) -> Arc<Exchanges> {
        let Setup { control, clock, limits, dialect, service, credentials } = setup;
        let response_budget = Budget::new(limits.buffered_size);
        Arc::new(Exchanges {
            outbox: Outbox::new(control),
            target: Target::new(),
            links: Links::new(credentials),
            reports: Reports::default(),
            body_budget: Budget::new(limits.buffered_size),
            backlog: Backlog::new(Arc::clone(&response_budget)),
            response_budget,
            table: Mutex::default(),
            callers: Mutex::new(limits.caller_limits()),
            load: Mutex::default(),
            ready: AtomicBool::new(false),
            stage: watch::Sender::new(Stage::Serving),
            clock,
            limits,
            dialect,
            service,
        })
    }

    /// Subscribes to changes of the shutdown stage.
    pub fn stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Sends events to the control thread until the runtime ends.
    pub async fn send_events(self: Arc<Exchanges>) {
        self.outbox.send_batches().await;
    }

    /// Sends lag probes until the runtime ends. The control thread derives the node's lag from how
    /// late they are processed.
    pub async fn send_lag_probes(self: Arc<Exchanges>) {
        loop {
            let due = self.clock.now() + LAG_PROBE_INTERVAL;
            tokio::time::sleep(Duration::from_millis(LAG_PROBE_INTERVAL.0)).await;
            self.outbox.push(Event::LagProbe(due));
        }
    }

    pub(super) fn advance_stage(&self, to: Stage) {
        self.stage.send_if_modified(|stage| {
            let is_later = *stage < to;
            if is_later {
                *stage = to;
            }
            is_later
        });
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(super) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    pub(super) fn caller_limits(&self) -> CallerLimits {
        *self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_caller_limits(&self, callers: CallerLimits) {
        *self.callers.lock().unwrap_or_else(PoisonError::into_inner) = callers;
    }

    pub(super) fn load(&self) -> LoadReport {
        LoadReport::from(*self.load.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn set_load(&self, load: Load) {
        *self.load.lock().unwrap_or_else(PoisonError::into_inner) = load;
    }

    /// Inserts a request and notifies the control thread. Returns `None` if the limit of requests
    /// in progress is reached.
    pub(super) fn open(
        &self,
        exchange: Exchange,
        request: impl FnOnce(Ticket) -> Request,
    ) -> Option<Ticket> {
        let mut table = self.table();
        if table.len() >= self.limits.requests {
            return None;
        }
        let ticket = ticket_of(table.insert(exchange));
        drop(table);
        self.outbox.push(Event::Arrived(request(ticket)));
        Some(ticket)
    }

    /// Reports that the caller of a request has disconnected.
    pub(super) fn caller_gone(&self, ticket: Ticket) {
        self.outbox.push(Event::CallerGone(ticket));
    }

    /// Logs that a connection is closed because its caller reads too slowly.
    pub(super) fn log_slow_caller(&self, account: &Account) {
        let entry = Entry::new(Level::Warn, "caller_too_slow").with("unread", account.bytes());
        self.outbox.log(entry);
    }

    /// Begins an attempt on a request. Returns `None` if the request has already finished.
    pub(super) fn begin_attempt(&self, ticket: Ticket, attempt: Attempt) -> Option<Arc<Outbound>> {
        let mut table = self.table();
        let exchange = table.get_mut(key_of(ticket))?;
        exchange.attempt = attempt;
        exchange.undecided = None;
        Some(Arc::clone(&exchange.request))
    }

    /// Passes on what a response states about the target that sent it, over a connection of this
    /// generation. Must be called before the response is sent on.
    pub(super) fn record_notice(&self, ticket: Ticket, generation: u64, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        let Some(instance) = self.target.instance(generation) else { return };
        // Peers that pass the response on must not miss what it states if this process ends before
        // the control thread has published the change.
        self.load.lock().unwrap_or_else(PoisonError::into_inner).apply(notice);
        self.outbox.push(Event::TargetNotice { ticket, instance, notice });
    }

    /// Ends a run on the local target. `response` is the complete response, if there is one.
    pub(super) fn run_ended(&self, ticket: Ticket, end: RunEnd, response: Option<CallerResponse>) {
        let is_complete_response = matches!(end, RunEnd::Answered { .. });
        self.finish_attempt(ticket, response, is_complete_response);
        self.outbox.push(Event::RunEnded(ticket, end));
    }

    /// Ends an attempt that was forwarded to a peer. `response` is the complete response, if there
    /// is one.
    pub(super) fn forward_ended(
        &self,
        ticket: Ticket,
        end: ForwardEnd,
        retries: u32,
        response: Option<CallerResponse>,
    ) {
        let is_complete_response = matches!(end, ForwardEnd::Answered { .. });
        self.finish_attempt(ticket, response, is_complete_response);
        self.outbox.push(Event::ForwardEnded { ticket, end, retries });
    }

    /// Ends an attempt that was forwarded to a peer, and whose response cannot be passed on.
    pub(super) fn forward_unusable(
        &self,
        ticket: Ticket,
        peer: &CompactString,
        retries: u32,
        cause: mustardpin_http::Error,
    ) {
        let request =
            self.table().get(key_of(ticket)).map(|exchange| Arc::clone(&exchange.request));
        if let Some(request) = request {
            let entry = Entry::new(Level::Warn, "response_unusable")
                .on(&request.id)
                .with("peer", peer.clone())
                .with("cause", cause.to_compact_string());
            self.outbox.log(entry);
            self.outbox.push(Event::ResponseUnusable);
        }
        self.forward_ended(ticket, ForwardEnd::Broken, retries, None);
    }

    /// Starts sending a response whose body is still being received.
    pub(super) fn stream_response(&self, ticket: Ticket, response: CallerResponse) {
        let recipient = {
            let mut table = self.table();
            table.get_mut(key_of(ticket)).and_then(|exchange| exchange.recipient.take())
        };
        if let Some(recipient) = recipient {
            self.send_response(recipient, FinalResponse::Response(response), 0, None);
        }
    }

    /// Sends a complete response that needs no decision to its recipient, or keeps it until the
    /// control thread has decided.
    fn finish_attempt(
        &self,
        ticket: Ticket,
        response: Option<CallerResponse>,
        is_complete_response: bool,
    ) {
        let mut table = self.table();
        let key = key_of(ticket);
        let Some(exchange) = table.get_mut(key) else { return };
        exchange.attempt = Attempt::None;
        let Some(response) = response else {
            let has_begun = exchange.recipient.is_none();
            drop(table);
            if has_begun && !is_complete_response {
                // The recipient has received a truncated response, so the request must not be
                // retried.
                self.outbox.push(Event::CallerGone(ticket));
            }
            return;
        };
        // Whether to retry is decided by the node that received the request from its caller.
        if !is_final_status(response.status) && !exchange.request.is_from_peer {
            exchange.undecided = Some(response);
            return;
        }
        let Some(exchange) = table.remove(key) else { return };
        drop(table);
        if let Some(recipient) = exchange.recipient {
            self.send_response(recipient, FinalResponse::Response(response), 0, exchange.expires);
        }
    }

    /// Stops a request's attempt in progress and reports its end to the control thread.
    pub(super) fn cancel(&self, ticket: Ticket) {
        let attempt = {
            let mut table = self.table();
            let Some(exchange) = table.get_mut(key_of(ticket)) else { return };
            std::mem::replace(&mut exchange.attempt, Attempt::None)
        };
        match attempt {
            // The attempt's end is still to be reported, or has been reported.
            Attempt::None => {}
            Attempt::Running(stop) => drop(stop),
            Attempt::Forwarded { link, stream } => {
                if link.cancel(stream) {
                    let end = ForwardEnd::Cancelled;
                    self.outbox.push(Event::ForwardEnded { ticket, end, retries: 0 });
                }
            }
        }
    }

    /// Sends the final response to a request and removes the request.
    pub(super) fn finish(&self, ticket: Ticket, refusal: Option<Refusal>, retries: u32) {
        let Some(exchange) = self.table().remove(key_of(ticket)) else { return };
        let Some(recipient) = exchange.recipient else { return };
        let final_response = match (refusal, exchange.undecided) {
            (Some(refusal), _) => FinalResponse::Refusal(refusal),
            (None, Some(response)) => FinalResponse::Response(response),
            (None, None) => return,
        };
        self.send_response(recipient, final_response, retries, exchange.expires);
    }

    fn send_response(
        &self,
        recipient: ResponseRecipient,
        final_response: FinalResponse,
        retries: u32,
        expires: Option<Millis>,
    ) {
        match (recipient, final_response) {
            (ResponseRecipient::Caller { response: sender, holder }, final_response) => {
                let response = match final_response {
                    FinalResponse::Response(response) => response,
                    FinalResponse::Refusal(refusal) => {
                        let left = expires.map(|expires| expires - self.clock.now());
                        CallerResponse::refusal(&*self.dialect, &refusal, left)
                    }
                };
                // Fails if the caller has disconnected in the meantime.
                let _ = sender.send(holder.keep(response));
            }
            (ResponseRecipient::Peer { sender, stream }, FinalResponse::Response(response)) => {
                sender.respond(stream, response, retries, self.load());
            }
            (ResponseRecipient::Peer { sender, stream }, FinalResponse::Refusal(refusal)) => {
                sender.refuse(stream, &refusal, retries, self.load());
            }
        }
    }

    fn table(&self) -> MutexGuard<'_, SlotMap<ExchangeKey, Exchange>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ticket_of(key: ExchangeKey) -> Ticket {
    Ticket(key.data().as_ffi())
}

fn key_of(ticket: Ticket) -> ExchangeKey {
    KeyData::from_ffi(ticket.0).into()
}
