//! Delays and cuts between data centres.

use std::collections::BTreeSet;

use mustardpin_world::{Millis, message::Message};

/// The one-way delays of a network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delay {
    /// Between nodes of one data centre.
    pub inside: Millis,
    /// Between data centres.
    pub between: Millis,
    /// Between a node and the platform.
    pub platform: Millis,
}

impl Default for Delay {
    fn default() -> Delay {
        Delay { inside: Millis(0), between: Millis(1), platform: Millis(2) }
    }
}

/// Which data centres reach each other and the platform.
#[derive(Debug, Default)]
pub struct Network {
    /// How long messages take.
    pub delay: Delay,
    /// Messages between worlds come up to this much later than the delay says, each by itself.
    pub jitter: Millis,
    /// The share of messages between worlds that get lost, from 0 to 1.
    pub loss: f64,
    /// The share of answers between nodes that get lost, from 0 to 1.
    pub response_loss: f64,
    /// Messages between data centres that get lost, such as those too large for a path.
    pub drop_filter: Option<fn(&Message) -> bool>,
    cuts: BTreeSet<(String, String)>,
    from_platform: BTreeSet<String>,
    isolated: BTreeSet<usize>,
}

impl Network {
    /// Cuts two data centres off from each other.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cuts.insert((one.to_owned(), other.to_owned()));
        self.cuts.insert((other.to_owned(), one.to_owned()));
    }

    /// Cuts a data centre off from the platform.
    pub fn cut_platform(&mut self, data_centre: &str) {
        self.from_platform.insert(data_centre.to_owned());
    }

    /// Cuts a single node off from all others, by its index.
    pub(crate) fn isolate(&mut self, node: usize) {
        self.isolated.insert(node);
    }

    /// Whether a single node is cut off from all others.
    pub(crate) fn is_isolated(&self, node: usize) -> bool {
        self.isolated.contains(&node)
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.from_platform.clear();
        self.isolated.clear();
    }

    /// The delay from one data centre to another, or `None` if they are cut off.
    pub fn between(&self, one: &str, other: &str) -> Option<Millis> {
        if one == other {
            return Some(self.delay.inside);
        }
        let cut = self.cuts.contains(&(one.to_owned(), other.to_owned()));
        (!cut).then_some(self.delay.between)
    }

    /// The delay from a data centre to the platform, or `None` if it is cut off.
    pub fn to_platform(&self, data_centre: &str) -> Option<Millis> {
        (!self.from_platform.contains(data_centre)).then_some(self.delay.platform)
    }
}
