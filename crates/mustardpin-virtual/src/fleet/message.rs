//! Messages between worlds, and operations of the platform's store.

use mustardpin_world::{
    Event, Millis, config,
    id::{NodeId, Revision},
    message::Message,
    request::Load,
    store::{self, Operation, Reply},
};
use rand::RngExt as _;

use crate::{
    fleet::{Fleet, Site, Step},
    platform::{Snapshot, StoreOutcome},
    size,
};

/// The time after which a node treats a store operation without a reply as lost.
const STORE_TIMEOUT: Millis = Millis(1_000);

impl Fleet {
    pub(super) fn send_message(&mut self, site: Site, to: NodeId, message: Message) {
        self.messages += 1;
        self.message_bytes += size::network_bytes(&message);
        if !self.is_linked(site, to) {
            return;
        }
        let Some((receiver, delay)) = self.reach(site, to) else { return };
        if self.network.loss > 0.0 && self.rng.random_bool(self.network.loss) {
            return;
        }
        let jitter = match self.network.jitter.0 {
            0 => Millis(0),
            jitter => Millis(self.rng.random_range(0..=jitter)),
        };
        let is_remote = self.nodes[receiver.0].data_centre != self.nodes[site.0].data_centre;
        if is_remote && self.network.drop_filter.is_some_and(|is_lost| is_lost(&message)) {
            return;
        }
        let from = self.nodes[site.0].world.identity().node();
        self.deliver_later(receiver, delay + jitter, Event::Peer { from, message });
    }

    /// Stores a node's load and, if it is urgent, sends it to all nodes with a connection to the
    /// node.
    pub(super) fn publish(&mut self, site: Site, load: Load, urgent: bool) {
        self.nodes[site.0].load = load;
        if !urgent {
            return;
        }
        let from = self.nodes[site.0].world.identity().node();
        let others: Vec<Site> = self.sites().filter(|&other| self.is_linked(other, from)).collect();
        for other in others {
            if let Some(delay) = self.delay(other, site) {
                self.deliver_later(other, delay, Event::Load { from, load });
            }
        }
    }

    pub(super) fn call_store(&mut self, site: Site, ticket: store::Ticket, operation: Operation) {
        let Some(delay) = self.network.to_platform(&self.nodes[site.0].data_centre) else {
            return self.deliver_later(site, STORE_TIMEOUT, Event::Store(ticket, Reply::Lost));
        };
        let epoch = self.nodes[site.0].epoch;
        let round_trip = delay + delay;
        self.platform.clock = self.now + delay;
        match self.platform.apply(operation) {
            StoreOutcome::Reply(reply) => {
                self.deliver_later(site, round_trip, Event::Store(ticket, reply));
            }
            StoreOutcome::NoReply => {
                self.deliver_later(site, STORE_TIMEOUT, Event::Store(ticket, Reply::Lost));
            }
            StoreOutcome::Deferred(long_poll, wait) => {
                self.long_polls.push((site, epoch, ticket, long_poll));
                let step = Step::LongPollTimeout { epoch, ticket };
                self.schedule(site, self.now + round_trip + wait, step);
            }
        }
        self.reply_to_long_polls();
    }

    /// Restores the platform's store from a snapshot. All long polls are lost.
    pub fn restore_platform(&mut self, snapshot: Snapshot) {
        self.platform.restore(snapshot);
        for (site, epoch, ticket, _) in std::mem::take(&mut self.long_polls) {
            if self.nodes[site.0].epoch == epoch {
                self.deliver_later(site, STORE_TIMEOUT, Event::Store(ticket, Reply::Lost));
            }
        }
    }

    /// Writes the configuration as one document, of which nodes that watch it hear at once.
    pub fn write_document(&mut self, revision: Revision, rows: Vec<config::Row>) {
        self.platform.put_document(revision, rows);
        self.reply_to_long_polls();
    }

    /// Replies to the long polls whose areas have changed.
    pub(super) fn reply_to_long_polls(&mut self) {
        self.platform.clock = self.now;
        for (site, epoch, ticket, long_poll) in std::mem::take(&mut self.long_polls) {
            match self.platform.changes(long_poll) {
                None => self.long_polls.push((site, epoch, ticket, long_poll)),
                Some(reply) => self.reply_to_long_poll(site, epoch, ticket, reply),
            }
        }
    }

    /// Replies to a long poll that timed out. It has changes only if the test has just put them.
    pub(super) fn long_poll_timeout(&mut self, site: Site, epoch: u32, ticket: store::Ticket) {
        let is_this = |(in_site, in_epoch, in_ticket, _): &(Site, u32, store::Ticket, _)| {
            (*in_site, *in_epoch, *in_ticket) == (site, epoch, ticket)
        };
        let Some(index) = self.long_polls.iter().position(is_this) else { return };
        let (_, _, _, long_poll) = self.long_polls.swap_remove(index);
        self.platform.clock = self.now;
        let changes = self.platform.changes(long_poll);
        let reply = changes.unwrap_or_else(|| self.platform.unchanged_reply(long_poll));
        self.reply_to_long_poll(site, epoch, ticket, reply);
    }

    fn reply_to_long_poll(&mut self, site: Site, epoch: u32, ticket: store::Ticket, reply: Reply) {
        if self.nodes[site.0].epoch != epoch {
            return;
        }
        match self.network.to_platform(&self.nodes[site.0].data_centre) {
            Some(delay) if self.platform.sends_replies() => {
                self.deliver_later(site, delay, Event::Store(ticket, reply));
            }
            _ => self.deliver_later(site, STORE_TIMEOUT, Event::Store(ticket, Reply::Lost)),
        }
    }
}
