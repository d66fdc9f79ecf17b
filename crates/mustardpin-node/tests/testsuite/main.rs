//! Tests of the node library: real sockets on the loopback interface, with small fakes of the
//! platform and the targets.

mod abandoned;
mod admin;
mod broken;
mod connections;
mod control;
mod drain;
mod endless;
mod fake;
mod input;
mod key;
mod leave;
mod link;
mod log;
mod metrics;
mod notice;
mod path;
mod pipeline;
mod prefix;
mod reload;
mod run;
mod sequence;
mod stray;
mod stream;
mod unread;
mod upload;
mod whole;
