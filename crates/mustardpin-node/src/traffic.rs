//! The traffic side: takes HTTP requests in, carries them to targets and peers, and streams whole
//! answers back.
//!
//! A connection's task reads a request and hands it to a courier, a task of its own, which takes
//! the control thread's orders about it. So a run goes on when its caller has gone, until the
//! control thread says otherwise.

mod announce;
mod answer;
mod context;
mod courier;
mod gate;
mod listener;
mod outbound;
mod payload;
mod peers;
mod service;
mod target;
mod watch;

use std::time::Duration;

use mustardpin_world::request::Pressure;

pub use self::{
    context::{Context, Setup},
    listener::{Side, Stage, Stages, serve},
};

/// The pause after a connection could not be accepted, mostly for want of file descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The traffic side as a whole, as the control thread sees it.
pub trait Traffic: Send {
    /// Says what the node tells its peers with each answer.
    fn publish(&mut self, pressure: Pressure);
    /// Lets callers on idle connections know that the node is leaving.
    fn close_idle(&mut self);
    /// Ends the process once all connections have ended.
    fn exit(&mut self);
}
