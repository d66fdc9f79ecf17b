//! Fakes and a builder for a small fleet.

mod caller;
mod fleet;
mod platform;
mod side;
mod target;

pub use self::{
    caller::{
        End, Http2, RawResponse, call, exchange, get, http2, read_all, read_response, try_http2,
    },
    fleet::{Fleet, KEY, launch},
    platform::Platform,
    side::{TrafficSide, run},
    target::{Script, Step, Target, text},
};

/// Waits until the condition is true, and panics after five seconds.
pub fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    panic!("the condition should be true within five seconds");
}
