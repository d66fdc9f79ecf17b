//! Fakes and a builder for a small fleet.

mod caller;
mod fleet;
mod platform;
mod side;
mod target;

pub use self::{
    caller::{Answer, call, exchange, get, http2, read_all},
    fleet::{Fleet, KEY},
    platform::Platform,
    side::{TrafficSide, run},
    target::{Script, Step, Target, text},
};
