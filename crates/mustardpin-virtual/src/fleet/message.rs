//! Messages between worlds, and questions to the platform.

use mustardpin_world::{
    Event, Millis,
    id::NodeId,
    message::Message,
    request::Load,
    store::{self, Operation, Reply},
};
use rand::RngExt as _;

use crate::{
    fleet::{Fleet, Site, Step},
    platform::Outcome,
    size,
};

/// How long a node waits for an answer of the platform that does not come.
const STORE_TIMEOUT: Millis = Millis(1_000);

impl Fleet {
    pub(super) fn message(&mut self, site: Site, to: NodeId, message: Message) {
        self.messages += 1;
        self.message_bytes += size::of(&message);
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

    /// Tells all nodes with a connection to a node what its target has to do.
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
        let life = self.nodes[site.0].life;
        let both_ways = delay + delay;
        self.platform.clock = self.now + delay;
        match self.platform.apply(operation) {
            Outcome::Reply(reply) => {
                self.deliver_later(site, both_ways, Event::Store(ticket, reply));
            }
            Outcome::Silence => {
                self.deliver_later(site, STORE_TIMEOUT, Event::Store(ticket, Reply::Lost));
            }
            Outcome::Waits(waiting, wait) => {
                self.waiting.push((site, life, ticket, waiting));
                let step = Step::StoreWatchOver { life, ticket };
                self.schedule(site, self.now + both_ways + wait, step);
            }
        }
        self.answer_watches();
    }

    /// Answers the questions that something new was written for.
    pub(super) fn answer_watches(&mut self) {
        self.platform.clock = self.now;
        for (site, life, ticket, waiting) in std::mem::take(&mut self.waiting) {
            match self.platform.changes(waiting) {
                None => self.waiting.push((site, life, ticket, waiting)),
                Some(reply) => self.answer_watch(site, life, ticket, reply),
            }
        }
    }

    /// The time of a question without changes is over.
    pub(super) fn store_watch_over(&mut self, site: Site, life: u32, ticket: store::Ticket) {
        let is_this = |(at, in_life, asked, _): &(Site, u32, store::Ticket, _)| {
            (*at, *in_life, *asked) == (site, life, ticket)
        };
        let Some(index) = self.waiting.iter().position(is_this) else { return };
        let (_, _, _, waiting) = self.waiting.swap_remove(index);
        self.platform.clock = self.now;
        let reply = self.platform.nothing_new(waiting);
        self.answer_watch(site, life, ticket, reply);
    }

    fn answer_watch(&mut self, site: Site, life: u32, ticket: store::Ticket, reply: Reply) {
        if self.nodes[site.0].life != life {
            return;
        }
        match self.network.to_platform(&self.nodes[site.0].data_centre) {
            Some(delay) if self.platform.answers() => {
                self.deliver_later(site, delay, Event::Store(ticket, reply));
            }
            _ => self.deliver_later(site, STORE_TIMEOUT, Event::Store(ticket, Reply::Lost)),
        }
    }
}
