//! The loop of the control thread.

use std::{
    collections::HashMap,
    io,
    sync::mpsc::{Receiver, RecvTimeoutError},
    thread::{Builder, JoinHandle},
    time::Duration,
};

use mustardpin_world::{
    Command, Event, Millis, World, event::ProposalTicket, id::CallKey, request::Ticket,
};
use tokio::sync::oneshot;

use crate::{
    admin::Answer,
    control::{Borders, Input},
    exchange::{Exchange, Order},
};

/// Inputs taken in at most before a tick.
const MAX_BATCH: usize = 1_024;
/// The thread waits for input at least this long, however soon the world wants to be woken.
const MIN_WAIT: Millis = Millis(1);
/// The time between two flushes of the counters.
const FLUSH_PERIOD: Millis = Millis(1_000);

/// Starts the control thread.
///
/// # Errors
///
/// If the machine gives no thread.
pub fn spawn(
    world: World,
    borders: Borders,
    inputs: Receiver<Input>,
) -> io::Result<JoinHandle<()>> {
    let thread = Thread {
        world,
        borders,
        arrived: HashMap::new(),
        calls: HashMap::new(),
        proposals: HashMap::new(),
        last_proposal: ProposalTicket(0),
        wake: Millis::ZERO,
        next_flush: Millis::ZERO,
    };
    Builder::new().name("control".into()).spawn(move || thread.run(&inputs))
}

struct Thread {
    world: World,
    borders: Borders,
    arrived: HashMap<Ticket, Box<dyn Exchange>>,
    calls: HashMap<CallKey, Box<dyn Exchange>>,
    proposals: HashMap<ProposalTicket, oneshot::Sender<Answer>>,
    last_proposal: ProposalTicket,
    wake: Millis,
    next_flush: Millis,
}

impl Thread {
    fn run(mut self, inputs: &Receiver<Input>) {
        loop {
            let mut events = Vec::new();
            match inputs.recv_timeout(self.wait()) {
                Ok(Input::Halt) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.take(input, &mut events),
                Err(RecvTimeoutError::Timeout) => {}
            }
            while events.len() < MAX_BATCH
                && let Ok(input) = inputs.try_recv()
            {
                if let Input::Halt = input {
                    return;
                }
                self.take(input, &mut events);
            }
            self.tick(events);
        }
    }

    /// How long to wait for input.
    fn wait(&self) -> Duration {
        let until = self.wake.min(self.next_flush);
        let wait = (until - self.borders.clock.now()).max(MIN_WAIT);
        Duration::from_millis(wait.0)
    }

    fn take(&mut self, input: Input, events: &mut Vec<Event>) {
        match input {
            Input::Event(event) => events.push(event),
            Input::Arrived(request, exchange) => {
                self.arrived.insert(request.ticket, exchange);
                events.push(Event::Arrived(request));
            }
            Input::Proposed(proposal, answer) => {
                self.last_proposal.0 += 1;
                self.proposals.insert(self.last_proposal, answer);
                events.push(Event::Proposed(self.last_proposal, proposal));
            }
            Input::Report(read) => read(&self.world),
            // The loop ends on it before it gets here.
            Input::Halt => {}
        }
    }

    fn tick(&mut self, events: Vec<Event>) {
        let now = self.borders.clock.now();
        for command in self.world.tick(now, events) {
            self.carry_out(command);
        }
        if now >= self.next_flush {
            self.next_flush = now + FLUSH_PERIOD;
            self.borders.meter.flush(&self.world.tables().counters);
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Accepted(ticket, call) => self.accept(ticket, call),
            Command::Reject(ticket, refusal) => {
                if let Some(mut exchange) = self.arrived.remove(&ticket) {
                    exchange.order(Order::Reject(refusal));
                }
            }
            Command::Run(run) => self.order(run.call, Order::Run(run)),
            Command::Forward(forward) => self.order(forward.call, Order::Forward(forward)),
            Command::Cancel(call) => self.order(call, Order::Cancel),
            Command::ReturnRetries { call, retries } => self.order(call, Order::Retries(retries)),
            Command::Finish(call, verdict) => {
                self.order(call, Order::Finish(verdict));
                self.calls.remove(&call);
            }
            Command::Send { to, address, message } => {
                self.borders.link.send(to, &address, message);
            }
            Command::Platform(ticket, operation) => self.borders.store.ask(ticket, operation),
            Command::Answer(ticket, answer) => self.answer(ticket, answer),
            Command::Publish(pressure) => self.borders.traffic.publish(pressure),
            Command::Log(change) => self.borders.journal.write(&change),
            Command::CloseIdle => self.borders.traffic.close_idle(),
            Command::Exit => self.borders.traffic.exit(),
            Command::Wake(at) => self.wake = at,
        }
    }

    fn accept(&mut self, ticket: Ticket, call: CallKey) {
        let Some(mut exchange) = self.arrived.remove(&ticket) else { return };
        exchange.order(Order::Accept(call));
        self.calls.insert(call, exchange);
    }

    fn order(&mut self, call: CallKey, order: Order) {
        if let Some(exchange) = self.calls.get_mut(&call) {
            exchange.order(order);
        }
    }

    fn answer(&mut self, ticket: ProposalTicket, answer: Answer) {
        if let Some(sender) = self.proposals.remove(&ticket) {
            // The operator may have gone in the meantime.
            let _ = sender.send(answer);
        }
    }
}
