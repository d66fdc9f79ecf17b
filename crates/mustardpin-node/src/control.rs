//! The control thread: owns the world, and is told of events through a channel.

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

/// What the control thread is told.
pub enum Input {
    /// Things happened, in this order.
    Events(Vec<Event>),
    /// Something that the world has no part in is worth a log line.
    LogEntry(Entry),
    /// An operator proposed a change.
    Proposed(Proposal, oneshot::Sender<ProposalResult>),
    /// Reads the tables between two ticks.
    Report(Box<dyn FnOnce(&World) + Send>),
    /// The settings have changed.
    Reloaded(log::Options, Box<Options>),
    /// Ends the thread.
    Halt,
}

/// What stands at the borders of the control thread.
pub struct Interfaces {
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// The platform's store.
    pub store: Box<dyn Store>,
    /// The traffic side as a whole.
    pub traffic: Box<dyn Traffic>,
    /// Log lines.
    pub log: Box<dyn LogSink>,
}

/// The sending end of the control thread's channel.
#[derive(Clone)]
pub struct Handle {
    sender: mpsc::Sender<Input>,
}

impl Handle {
    /// A channel to a control thread that is yet to be spawned.
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

    /// Tells the world of an event. Lost once the thread has ended.
    pub fn event(&self, event: Event) {
        self.send(Input::Events(vec![event]));
    }

    /// Tells the world of several events at once.
    pub fn events(&self, events: Vec<Event>) {
        self.send(Input::Events(events));
    }

    /// Writes a log line.
    pub fn write_log(&self, entry: Entry) {
        self.send(Input::LogEntry(entry));
    }

    /// Puts other settings in force.
    pub fn reload(&self, log: log::Options, options: Options) {
        self.send(Input::Reloaded(log, Box::new(options)));
    }

    /// Reads the world's tables between two ticks.
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
            // The reader may have gone in the meantime.
            let _ = sender.send(read(world));
        })));
        receiver.await.map_err(|_| Stopped)
    }

    /// Proposes a change on behalf of an operator, and waits for the answer.
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
        // Fails only once the thread has ended; then nobody is left to tell.
        let _ = self.sender.send(input);
    }
}
