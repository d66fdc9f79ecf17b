//! The control thread: owns the world, and receives events through a channel.

mod thread;

use std::sync::{Arc, mpsc};

use derive_more::{Display, Error};
use mustardpin_world::{
    Options, World,
    event::{Event, Proposal},
    log::Entry,
};
use tokio::sync::oneshot;

use crate::{
    admin::ProposalResult,
    clock::Clock,
    log::{self, LogSink},
    store::Store,
    traffic::Traffic,
};

pub use self::thread::spawn;

/// The control thread has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the control thread has ended")]
pub struct Stopped;

/// A message to the control thread.
pub enum Input {
    /// Events, in the order in which they happened.
    Events(Vec<Event>),
    /// A log entry about something outside of the world.
    LogEntry(Entry),
    /// A change that an operator proposed, and the sender for its outcome.
    Proposed(Proposal, oneshot::Sender<ProposalResult>),
    /// A function that reads the tables between two ticks.
    Report(Box<dyn FnOnce(&World) + Send>),
    /// Changed settings.
    Reloaded(log::Options, Box<Options>),
    /// Ends the thread.
    Halt,
}

/// The components that the control thread uses.
pub struct Interfaces {
    /// The clock for ticks.
    pub clock: Arc<dyn Clock>,
    /// The client of the platform's store.
    pub store: Box<dyn Store>,
    /// The traffic side, which executes traffic commands.
    pub traffic: Box<dyn Traffic>,
    /// The receiver of log entries.
    pub log: Box<dyn LogSink>,
}

/// The sending end of the control thread's channel.
#[derive(Clone)]
pub struct Handle {
    sender: mpsc::Sender<Input>,
}

impl Handle {
    /// Creates a channel to a control thread that is spawned later.
    ///
    /// ```
    /// use mustardpin_node::control::{Handle, Input};
    /// use mustardpin_world::Event;
    ///
    /// let (handle, inputs) = Handle::channel();
    /// handle.event(Event::Stop);
    /// assert!(matches!(inputs.recv(), Ok(Input::Events(events)) if events == [Event::Stop]));
    /// ```
    pub fn channel() -> (Handle, mpsc::Receiver<Input>) {
        let (sender, receiver) = mpsc::channel();
        (Handle { sender }, receiver)
    }

    /// Sends an event to the world. It is lost if the thread has ended.
    pub fn event(&self, event: Event) {
        self.send(Input::Events(vec![event]));
    }

    /// Sends several events to the world at once. They are lost if the thread has ended.
    pub fn events(&self, events: Vec<Event>) {
        self.send(Input::Events(events));
    }

    /// Writes a log entry.
    pub fn write_log(&self, entry: Entry) {
        self.send(Input::LogEntry(entry));
    }

    /// Applies changed settings.
    pub fn reload(&self, log: log::Options, options: Options) {
        self.send(Input::Reloaded(log, Box::new(options)));
    }

    /// Reads the world's tables between two ticks and returns what `read` returns.
    ///
    /// # Errors
    ///
    /// If the control thread has ended.
    pub async fn report<T: Send + 'static>(
        &self,
        read: impl FnOnce(&World) -> T + Send + 'static,
    ) -> Result<T, Stopped> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::Report(Box::new(move |world| {
            // Fails if the querying task was dropped in the meantime.
            let _ = sender.send(read(world));
        })));
        receiver.await.map_err(|_| Stopped)
    }

    /// Proposes a change on behalf of an operator, and waits for the outcome.
    ///
    /// # Errors
    ///
    /// If the control thread has ended.
    pub async fn propose(&self, proposal: Proposal) -> Result<ProposalResult, Stopped> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::Proposed(proposal, sender));
        receiver.await.map_err(|_| Stopped)
    }

    /// Ends the control thread.
    pub fn halt(&self) {
        self.send(Input::Halt);
    }

    fn send(&self, input: Input) {
        // Fails only if the thread has ended; then there is no receiver for the input.
        let _ = self.sender.send(input);
    }
}
