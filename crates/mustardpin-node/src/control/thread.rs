//! The loop of the control thread.

use std::{
    collections::HashMap,
    io,
    sync::mpsc::{Receiver, RecvTimeoutError},
    thread::{Builder, JoinHandle},
    time::Duration,
};

use mustardpin_world::{Command, Event, Millis, World, event::ProposalTicket};
use tokio::sync::oneshot;

use crate::{
    admin::ProposalResult,
    control::{Input, Interfaces},
    traffic::TrafficCommand,
};

/// Events taken in at most before a tick.
const MAX_BATCH: usize = 1_024;
/// The thread waits for input at least this long, however soon the world wants to be woken.
const MIN_WAIT: Millis = Millis(1);
/// The thread waits for input at most this long.
const LONGEST_WAIT: Millis = Millis::from_secs(60);
/// The size of the thread's stack, in bytes. Decisions do not nest deeply.
const STACK_BYTES: usize = 512 * 1024;

/// Starts the control thread.
///
/// # Errors
///
/// If the machine gives no thread.
pub fn spawn(
    world: World,
    interfaces: Interfaces,
    inputs: Receiver<Input>,
) -> io::Result<JoinHandle<()>> {
    let thread = Thread {
        world,
        interfaces,
        orders: Vec::new(),
        proposals: HashMap::new(),
        last_proposal: ProposalTicket(0),
        wake: Millis::ZERO,
    };
    let builder = Builder::new().name("control".into()).stack_size(STACK_BYTES);
    builder.spawn(move || thread.run(&inputs))
}

struct Thread {
    world: World,
    interfaces: Interfaces,
    /// Orders of the present tick for the traffic side.
    orders: Vec<TrafficCommand>,
    proposals: HashMap<ProposalTicket, oneshot::Sender<ProposalResult>>,
    last_proposal: ProposalTicket,
    wake: Millis,
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
        let wait = (self.wake - self.interfaces.clock.now()).clamp(MIN_WAIT, LONGEST_WAIT);
        Duration::from_millis(wait.0)
    }

    fn take(&mut self, input: Input, events: &mut Vec<Event>) {
        match input {
            Input::Events(batch) if events.is_empty() => *events = batch,
            Input::Events(batch) => events.extend(batch),
            Input::Proposed(proposal, answer) => {
                self.last_proposal.0 += 1;
                self.proposals.insert(self.last_proposal, answer);
                events.push(Event::Proposed(self.last_proposal, proposal));
            }
            Input::LogEntry(entry) => self.interfaces.log.write(entry),
            Input::Reloaded(log, options) => {
                self.interfaces.log.reload(log);
                events.push(Event::Reloaded(*options));
            }
            Input::Report(read) => read(&self.world),
            // The loop ends on it before it gets here.
            Input::Halt => {}
        }
    }

    fn tick(&mut self, events: Vec<Event>) {
        let now = self.interfaces.clock.now();
        for command in self.world.tick(now, events) {
            self.carry_out(command);
        }
        if !self.orders.is_empty() {
            self.interfaces.traffic.execute(std::mem::take(&mut self.orders));
        }
    }

    fn carry_out(&mut self, command: Command) {
        let order = match command {
            Command::Run(run) => TrafficCommand::Run(run),
            Command::Forward(forward) => TrafficCommand::Forward(forward),
            Command::Finish { ticket, verdict, retries } => {
                TrafficCommand::Finish { ticket, verdict, retries }
            }
            Command::Cancel(ticket) => TrafficCommand::Cancel(ticket),
            Command::Send { to, message } => TrafficCommand::Send { to, message },
            Command::Link(announcement) => TrafficCommand::Link(announcement),
            Command::Unlink(node) => TrafficCommand::Unlink(node),
            Command::Target(place) => TrafficCommand::Target(place),
            Command::Publish { load, urgent } => TrafficCommand::Publish { load, urgent },
            Command::Callers(callers) => TrafficCommand::Callers(callers),
            Command::Ready(ready) => TrafficCommand::Ready(ready),
            Command::CloseIdle => TrafficCommand::CloseIdle,
            Command::Exit => TrafficCommand::Exit,
            Command::Store(ticket, operation) => {
                return self.interfaces.store.submit(ticket, operation);
            }
            Command::Answer(ticket, answer) => return self.answer(ticket, answer),
            Command::Log(entry) => return self.interfaces.log.write(entry),
            Command::Wake(at) => {
                self.wake = at;
                return;
            }
        };
        self.orders.push(order);
    }

    fn answer(&mut self, ticket: ProposalTicket, answer: ProposalResult) {
        if let Some(sender) = self.proposals.remove(&ticket) {
            // The operator may have gone in the meantime.
            let _ = sender.send(answer);
        }
    }
}
