//! The table of requests in progress, and what all connections share.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use compact_str::CompactString;
use mustardpin_wire::{dialect::Dialect, frame::LoadReport};
use mustardpin_world::{
    Event, Millis,
    config::Callers,
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
        exchange::{Attempt, Exchange, ExchangeKey, FinalResponse, Outbound, ResponseRecipient},
        link::{Credentials, Links},
        listener::Stage,
        outbox::Outbox,
        response::CallerResponse,
        target::Target,
    },
};

/// The time between two lag probes. Many pass before a caller gives up, and few of them cost
/// anything.
const LAG_PROBE_INTERVAL: Millis = Millis(100);

/// What the traffic side is told when it starts.
pub struct Setup {
    /// The way to the control thread.
    pub control: Handle,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// What the process may use.
    pub limits: Limits,
    /// What callers and targets say.
    pub dialect: Arc<dyn Dialect>,
    /// The service of the own target.
    pub service: CompactString,
    /// Who this node is, towards other nodes.
    pub credentials: Credentials,
}

/// The table of requests in progress, and what all connections share.
pub struct Exchanges {
    pub(super) outbox: Outbox,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) limits: Limits,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) service: CompactString,
    pub(super) target: Target,
    pub(super) links: Links,
    exchanges: Mutex<SlotMap<ExchangeKey, Exchange>>,
    callers: Mutex<Callers>,
    load: Mutex<Load>,
    ready: AtomicBool,
    kept_bytes: AtomicUsize,
    stage: watch::Sender<Stage>,
}

impl Exchanges {
    /// The state of a node that has not taken any request in.
    pub fn new(setup: Setup) -> Arc<Exchanges> {
        let Setup { control, clock, limits, dialect, service, credentials } = setup;
        Arc::new(Exchanges {
            outbox: Outbox::new(control),
            target: Target::new(),
            links: Links::new(credentials),
            exchanges: Mutex::default(),
            callers: Mutex::new(limits.callers()),
            load: Mutex::default(),
            ready: AtomicBool::new(false),
            kept_bytes: AtomicUsize::new(0),
            stage: watch::Sender::new(Stage::Serving),
            clock,
            limits,
            dialect,
            service,
        })
    }

    /// Tells of each change of stage.
    pub fn stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Hands events to the control thread until the runtime ends.
    pub async fn send_events(self: Arc<Exchanges>) {
        self.outbox.hand_over().await;
    }

    /// Sends lag probes until the runtime ends, by which the control thread sees how far the node
    /// is behind.
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

    pub(super) fn callers(&self) -> Callers {
        *self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_callers(&self, callers: Callers) {
        *self.callers.lock().unwrap_or_else(PoisonError::into_inner) = callers;
    }

    pub(super) fn load(&self) -> LoadReport {
        LoadReport::from(*self.load.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn set_load(&self, load: Load) {
        *self.load.lock().unwrap_or_else(PoisonError::into_inner) = load;
    }

    /// Takes room for the bytes of a request's body that is kept. Returns whether there was any.
    pub(super) fn keep_bytes(&self, count: usize) -> bool {
        let before = self.kept_bytes.fetch_add(count, Ordering::Relaxed);
        let has_room = before + count <= self.limits.kept_size;
        if !has_room {
            self.kept_bytes.fetch_sub(count, Ordering::Relaxed);
        }
        has_room
    }

    /// Gives room for kept bytes back.
    pub(super) fn release_bytes(&self, count: usize) {
        self.kept_bytes.fetch_sub(count, Ordering::Relaxed);
    }

    /// Puts a request on the board and tells the control thread. Returns `None` if there are too
    /// many.
    pub(super) fn open(
        &self,
        exchange: Exchange,
        request: impl FnOnce(Ticket) -> Request,
    ) -> Option<Ticket> {
        let mut exchanges = self.exchanges();
        if exchanges.len() >= self.limits.requests {
            return None;
        }
        let ticket = ticket_of(exchanges.insert(exchange));
        drop(exchanges);
        self.outbox.push(Event::Arrived(request(ticket)));
        Some(ticket)
    }

    /// The caller of a request has gone.
    pub(super) fn caller_gone(&self, ticket: Ticket) {
        self.outbox.push(Event::CallerGone(ticket));
    }

    /// Begins an attempt on a request. Returns the request, unless it is over.
    pub(super) fn begin(&self, ticket: Ticket, attempt: Attempt) -> Option<Arc<Outbound>> {
        let mut exchanges = self.exchanges();
        let exchange = exchanges.get_mut(key_of(ticket))?;
        exchange.attempt = attempt;
        exchange.held = None;
        Some(Arc::clone(&exchange.request))
    }

    /// A run on the own target has ended, with a whole answer or without.
    pub(super) fn run_ended(&self, ticket: Ticket, end: RunEnd, answer: Option<CallerResponse>) {
        let is_whole = matches!(end, RunEnd::Answered { .. });
        self.settle(ticket, answer, is_whole);
        self.outbox.push(Event::RunEnded(ticket, end));
    }

    /// A peer has ended a request that was passed to it.
    pub(super) fn forward_ended(
        &self,
        ticket: Ticket,
        end: ForwardEnd,
        retries: u32,
        answer: Option<CallerResponse>,
    ) {
        let is_whole = matches!(end, ForwardEnd::Answered { .. });
        self.settle(ticket, answer, is_whole);
        self.outbox.push(Event::ForwardEnded { ticket, end, retries });
    }

    /// An answer that is still coming begins to go to whoever waits for it.
    pub(super) fn pass_on(&self, ticket: Ticket, answer: CallerResponse) {
        let answer_to = {
            let mut exchanges = self.exchanges();
            exchanges.get_mut(key_of(ticket)).and_then(|exchange| exchange.answer_to.take())
        };
        if let Some(answer_to) = answer_to {
            self.tell(answer_to, FinalResponse::Response(answer), 0, None);
        }
    }

    /// Passes a whole answer on that needs no decision, or keeps it until there is one.
    fn settle(&self, ticket: Ticket, answer: Option<CallerResponse>, is_whole: bool) {
        let mut exchanges = self.exchanges();
        let key = key_of(ticket);
        let Some(exchange) = exchanges.get_mut(key) else { return };
        exchange.attempt = Attempt::None;
        let Some(answer) = answer else {
            let has_begun = exchange.answer_to.is_none();
            drop(exchanges);
            if has_begun && !is_whole {
                // Whoever waited has seen the answer break off, so nothing is to be tried again.
                self.outbox.push(Event::CallerGone(ticket));
            }
            return;
        };
        // The node that took the request from its caller decides on it.
        if !is_final_status(answer.status) && !exchange.request.is_from_peer {
            exchange.held = Some(answer);
            return;
        }
        let Some(exchange) = exchanges.remove(key) else { return };
        drop(exchanges);
        if let Some(answer_to) = exchange.answer_to {
            self.tell(answer_to, FinalResponse::Response(answer), 0, exchange.expires);
        }
    }

    /// Stops the attempt in progress on a request, and tells the control thread of its end.
    pub(super) fn cancel(&self, ticket: Ticket) {
        let attempt = {
            let mut exchanges = self.exchanges();
            let Some(exchange) = exchanges.get_mut(key_of(ticket)) else { return };
            std::mem::replace(&mut exchange.attempt, Attempt::None)
        };
        match attempt {
            // Its end follows, or has been told.
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

    /// Answers whoever waits for a request, for good.
    pub(super) fn finish(&self, ticket: Ticket, refusal: Option<Refusal>, retries: u32) {
        let Some(exchange) = self.exchanges().remove(key_of(ticket)) else { return };
        let Some(answer_to) = exchange.answer_to else { return };
        let word = match (refusal, exchange.held) {
            (Some(refusal), _) => FinalResponse::Refusal(refusal),
            (None, Some(answer)) => FinalResponse::Response(answer),
            (None, None) => return,
        };
        self.tell(answer_to, word, retries, exchange.expires);
    }

    fn tell(
        &self,
        answer_to: ResponseRecipient,
        word: FinalResponse,
        retries: u32,
        expires: Option<Millis>,
    ) {
        match (answer_to, word) {
            (ResponseRecipient::Caller(caller), word) => {
                let answer = match word {
                    FinalResponse::Response(answer) => answer,
                    FinalResponse::Refusal(refusal) => {
                        let left = expires.map(|expires| expires - self.clock.now());
                        CallerResponse::refusal(&*self.dialect, &refusal, left)
                    }
                };
                // The caller may have gone in the meantime.
                let _ = caller.send(answer);
            }
            (ResponseRecipient::Peer { sender, stream }, FinalResponse::Response(answer)) => {
                sender.answer(stream, answer, retries, self.load());
            }
            (ResponseRecipient::Peer { sender, stream }, FinalResponse::Refusal(refusal)) => {
                sender.refuse(stream, &refusal, retries, self.load());
            }
        }
    }

    fn exchanges(&self) -> MutexGuard<'_, SlotMap<ExchangeKey, Exchange>> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ticket_of(key: ExchangeKey) -> Ticket {
    Ticket(key.data().as_ffi())
}

fn key_of(ticket: Ticket) -> ExchangeKey {
    KeyData::from_ffi(ticket.0).into()
}
