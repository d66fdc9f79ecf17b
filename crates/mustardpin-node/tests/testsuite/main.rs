//! Tests of the node library: real sockets on the loopback interface, with small fakes in place of
//! the platform and the targets.

mod admin;
mod control;
mod fake;
mod input;
mod key;
mod leave;
mod link;
mod path;
mod run;
mod store;
mod whole;
