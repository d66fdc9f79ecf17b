//! Messages between worlds, and questions to the platform.

use mustardpin_world::{
    Event, Millis,
    id::NodeId,
    message::Message,
    platform::{self},
};
use rand::RngExt as _;

use crate::{
    fleet::{Fleet, Site},
    size,
};

impl Fleet {
    pub(super) fn message(&mut self, site: Site, to: NodeId, address: &str, message: Message) {
        self.messages += 1;
        self.message_bytes += size::of(&message);
        let receiver = self.site_of(address).filter(|&receiver| {
            self.nodes[receiver.0].up && self.nodes[receiver.0].world.identity().node() == to
        });
        let delay = receiver.and_then(|receiver| self.delay(site, receiver));
        let (Some(receiver), Some(delay)) = (receiver, delay) else {
            return self.deliver_later(site, Millis(500), Event::Undelivered { to });
        };
        if self.network.loss > 0.0 && self.rng.random_bool(self.network.loss) {
            return;
        }
        let jitter = match self.network.jitter.0 {
            0 => Millis(0),
            jitter => Millis(self.rng.random_range(0..=jitter)),
        };
        let is_remote = self.nodes[receiver.0].data_centre != self.nodes[site.0].data_centre;
        if is_remote && self.network.lose.is_some_and(|is_lost| is_lost(&message)) {
            return;
        }
        let from = self.nodes[site.0].world.identity().node();
        self.deliver_later(receiver, delay + jitter, Event::Peer { from, message });
    }

    pub(super) fn ask_platform(
        &mut self,
        site: Site,
        ticket: platform::Ticket,
        operation: platform::Operation,
    ) {
        let delay = self.network.to_platform(&self.nodes[site.0].data_centre);
        let (reply, delay) = match delay {
            None => (platform::Reply::Failed, Millis(1_000)),
            Some(delay) => (self.platform.apply(operation), delay + delay),
        };
        self.deliver_later(site, delay, Event::Platform(ticket, reply));
    }

    pub(super) fn delay(&self, one: Site, other: Site) -> Option<Millis> {
        if self.network.is_isolated(one.0) || self.network.is_isolated(other.0) {
            return None;
        }
        self.network.between(&self.nodes[one.0].data_centre, &self.nodes[other.0].data_centre)
    }

    pub(super) fn site_of(&self, address: &str) -> Option<Site> {
        let site: usize = address.split(':').next()?.parse().ok()?;
        (site < self.nodes.len()
            && self.nodes[site].world.identity().announcement.control_address == address)
            .then_some(Site(site))
    }
}
