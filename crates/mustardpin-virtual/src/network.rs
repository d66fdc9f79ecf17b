//! Delays and cuts between data centres.

use std::collections::BTreeSet;

use mustardpin_world::{Millis, message::Message};

/// The one-way delays of a network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delay {
    /// Delay between nodes of one data centre.
    pub inside: Millis,
    /// Delay between data centres.
    pub between: Millis,
    /// Delay between a node and the platform.
    pub platform: Millis,
}

impl Default for Delay {
    fn default() -> Delay {
        Delay { inside: Millis(0), between: Millis(1), platform: Millis(2) }
    }
}

/// A simulated network: its delays, losses and the cuts that separate data centres.
#[derive(Debug, Default)]
pub struct Network {
    /// The one-way delays of messages.
    pub delay: Delay,
    /// The maximum random delay added to each message between worlds.
    pub jitter: Millis,
    /// The probability that a message between worlds is lost, from 0 to 1.
    pub loss: f64,
    /// The probability that a response from one node to another is lost, from 0 to 1.
    pub response_loss: f64,
    /// Selects messages between data centres that are lost, such as those too large for a path.
    pub drop_filter: Option<fn(&Message) -> bool>,
    cuts: BTreeSet<(String, String)>,
    platform_cuts: BTreeSet<String>,
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
        self.platform_cuts.insert(data_centre.to_owned());
    }

    /// Cuts one node, given by its index, off from all other nodes.
    pub(crate) fn isolate(&mut self, node: usize) {
        self.isolated.insert(node);
    }

    /// Whether a node is cut off from all other nodes by [`Network::isolate`].
    pub(crate) fn is_isolated(&self, node: usize) -> bool {
        self.isolated.contains(&node)
    }

    /// Ends all cuts between data centres, to the platform and of single nodes.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.platform_cuts.clear();
        self.isolated.clear();
    }

    /// Returns the one-way delay between two data centres, or `None` if they are cut off.
    pub fn between(&self, one: &str, other: &str) -> Option<Millis> {
        if one == other {
            return Some(self.delay.inside);
        }
        let cut = self.cuts.contains(&(one.to_owned(), other.to_owned()));
        (!cut).then_some(self.delay.between)
    }

    /// Returns the one-way delay between a data centre and the platform, or `None` if it is cut
    /// off.
    pub fn to_platform(&self, data_centre: &str) -> Option<Millis> {
        (!self.platform_cuts.contains(data_centre)).then_some(self.delay.platform)
    }
}
