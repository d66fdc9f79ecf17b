//! The control thread: owns the tables of a program and applies events to them.

use std::{sync::mpsc, thread};

/// The tables of a program and the system that runs over them each tick.
pub trait Control: Send + 'static {
    /// An event or a query from the traffic tasks.
    type Event: Send + 'static;

    /// Handles all events since the last tick, in the order of their arrival.
    fn tick(&mut self, events: Vec<Self::Event>);
}

/// Sends events to the control thread.
#[derive(Debug)]
pub struct Handle<E> {
    events: mpsc::Sender<E>,
}

impl<E> Clone for Handle<E> {
    fn clone(&self) -> Handle<E> {
        Handle { events: self.events.clone() }
    }
}

impl<E> Handle<E> {
    /// Sends an event. It is dropped if the control thread has ended.
    pub fn send(&self, event: E) {
        let _ended = self.events.send(event);
    }
}

/// Starts the control thread. It ends when the last handle is dropped, and returns the tables.
///
/// ```
/// use mustardpin_standin::control::{self, Control};
///
/// struct Sum(u64);
///
/// impl Control for Sum {
///     type Event = u64;
///
///     fn tick(&mut self, events: Vec<u64>) {
///         self.0 += events.iter().sum::<u64>();
///     }
/// }
///
/// let (handle, thread) = control::start(Sum(0));
/// handle.send(2);
/// handle.send(3);
/// drop(handle);
/// assert_eq!(thread.join().unwrap().0, 5);
/// ```
pub fn start<C: Control>(mut control: C) -> (Handle<C::Event>, thread::JoinHandle<C>) {
    let (sender, receiver) = mpsc::channel();
    let thread = thread::spawn(move || {
        while let Ok(first) = receiver.recv() {
            let mut events = vec![first];
            events.extend(receiver.try_iter());
            control.tick(events);
        }
        control
    });
    (Handle { events: sender }, thread)
}
