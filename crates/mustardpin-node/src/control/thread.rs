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

/// A tick starts once this many events have been received, even if more are waiting.
const MAX_BATCH: usize = 1_024;
/// The minimum time of one wait for input, however soon the world's next wake-up is due.
const MIN_WAIT: Millis = Millis(1);
/// The maximum time of one wait for input.
const MAX_WAIT: Millis = Millis::from_secs(60);
/// The size of the thread's stack, in bytes. Decisions do not nest deeply.
const STACK_BYTES: usize = 512 * 1024;

/// Starts the control thread.
///
/// # Errors
///
/// If the thread cannot be created.
pub fn spawn(
    world: World,
    interfaces: Interfaces,
    inputs: Receiver<Input>,
) -> io::Result<JoinHandle<()>> {
    let thread = Thread {
        world,
        interfaces,
        traffic_commands: Vec::new(),
        proposals: HashMap::new(),
        last_proposal: ProposalTicket(0),
        next_wake: Millis::ZERO,
    };
    let builder = Builder::new().name("control".into()).stack_size(STACK_BYTES);
    builder.spawn(move || thread.run(&inputs))
}

struct Thread {
    world: World,
    interfaces: Interfaces,
    /// The current tick's commands to the traffic side.
    traffic_commands: Vec<TrafficCommand>,
    proposals: HashMap<ProposalTicket, oneshot::Sender<ProposalResult>>,
    last_proposal: ProposalTicket,
    next_wake: Millis,
}

impl Thread {
    fn run(mut self, inputs: &Receiver<Input>) {
        loop {
            let mut events = Vec::new();
            match inputs.recv_timeout(self.timeout()) {
                Ok(Input::Halt) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.process(input, &mut events),
                Err(RecvTimeoutError::Timeout) => {}
            }
            while events.len() < MAX_BATCH
                && let Ok(input) = inputs.try_recv()
            {
                if let Input::Halt = input {
                    return;
                }
                self.process(input, &mut events);
            }
            self.tick(events);
        }
    }

    /// Returns how long to wait for input.
    fn timeout(&self) -> Duration {
        let wait = (self.next_wake - self.interfaces.clock.now()).clamp(MIN_WAIT, MAX_WAIT);
        Duration::from_millis(wait.0)
    }

    fn process(&mut self, input: Input, events: &mut Vec<Event>) {
        match input {
            Input::Events(batch) if events.is_empty() => *events = batch,
            Input::Events(batch) => events.extend(batch),
            Input::Proposed(proposal, sender) => {
                self.last_proposal.0 += 1;
                self.proposals.insert(self.last_proposal, sender);
                events.push(Event::Proposed(self.last_proposal, proposal));
            }
            Input::LogEntry(entry) => self.interfaces.log.write(entry),
            Input::Reloaded(log, options) => {
                self.interfaces.log.reload(log);
                events.push(Event::Reloaded(*options));
            }
            Input::Report(read) => read(&self.world),
            // `run` returns on `Halt` before it calls this function.
            Input::Halt => {}
        }
    }

    fn tick(&mut self, events: Vec<Event>) {
        let now = self.interfaces.clock.now();
        for command in self.world.tick(now, events) {
            self.execute(command);
        }
        if !self.traffic_commands.is_empty() {
            self.interfaces.traffic.execute(std::mem::take(&mut self.traffic_commands));
        }
    }

    fn execute(&mut self, command: Command) {
        let traffic_command = match command {
            Command::Run(run) => TrafficCommand::Run(run),
            Command::Forward(forward) => TrafficCommand::Forward(forward),
            Command::Finish { ticket, verdict, retries } => {
                TrafficCommand::Finish { ticket, verdict, retries }
            }
            Command::Cancel(ticket) => TrafficCommand::Cancel(ticket),
            Command::Send { to, message } => TrafficCommand::Send { to, message },
            Command::OpenLink(announcement) => TrafficCommand::OpenLink(announcement),
            Command::CloseLink(node) => TrafficCommand::CloseLink(node),
            Command::AnswerReport { report, is_recorded } => {
                TrafficCommand::AnswerReport { report, is_recorded }
            }
            Command::Target(address) => TrafficCommand::Target(address),
            Command::Publish { load, urgent } => TrafficCommand::Publish { load, urgent },
            Command::CallerLimits(callers) => TrafficCommand::CallerLimits(callers),
            Command::Ready(ready) => TrafficCommand::Ready(ready),
            Command::CloseIdle => TrafficCommand::CloseIdle,
            Command::Exit { by } => TrafficCommand::Exit { by },
            Command::Store(ticket, operation) => {
                return self.interfaces.store.submit(ticket, operation);
            }
            Command::ReplyToProposal(ticket, result) => return self.send_result(ticket, result),
            Command::Log(entry) => return self.interfaces.log.write(entry),
            Command::Wake(at) => {
                self.next_wake = at;
                return;
            }
        };
        self.traffic_commands.push(traffic_command);
    }

    fn send_result(&mut self, ticket: ProposalTicket, result: ProposalResult) {
        if let Some(sender) = self.proposals.remove(&ticket) {
            // Fails if the operator's request was dropped in the meantime.
            let _ = sender.send(result);
        }
    }
}
