//! Tests of a node's traffic side: real sockets on the loopback interface, with small fakes in
//! place of the platform and the targets.

mod admin;
mod fake;
mod key;
mod path;
mod run;
mod whole;
