//! Connections between nodes: establishing, checking, losing and re-establishing them.

use mustardpin_world::{
    Event, Millis,
    id::NodeId,
    request::{ForwardEnd, Ticket},
    store::Announcement,
};

use crate::fleet::{Fleet, Requester, Site, Step, call::RETRANSMIT_INTERVAL, forward_ended};

/// The interval between two checks of a node's connections.
pub(super) const LINK_CHECK_INTERVAL: Millis = Millis(250);
/// The time between two attempts to establish a connection.
const RECONNECT_BACKOFF: Millis = Millis(400);
/// A peer that is unreachable for this long counts as silent.
const SILENCE_TIMEOUT: Millis = Millis(1_000);
/// The connection to a peer that is unreachable for this long is closed.
const LINK_TIMEOUT: Millis = Millis(2_000);

/// A connection that a node keeps to a peer.
#[derive(Debug)]
pub(super) struct Link {
    announcement: Announcement,
    /// The current connection; `None` if there is none.
    connection: Option<u64>,
    /// Since when the peer has been unreachable; `None` if it is reachable.
    silent_since: Option<Millis>,
    is_silent: bool,
}

impl Fleet {
    pub(super) fn open_link(&mut self, site: Site, announcement: Announcement) {
        let node = &mut self.nodes[site.0];
        let (epoch, to) = (node.epoch, announcement.node);
        let link = Link { announcement, connection: None, silent_since: None, is_silent: false };
        node.links.insert(to, link);
        self.schedule(site, self.now, Step::Connect { epoch, to });
    }

    pub(super) fn close_link(&mut self, site: Site, to: NodeId) {
        self.nodes[site.0].links.remove(&to);
        self.fail_forwards(site, to);
    }

    /// Whether a node has a connection to a peer.
    pub(super) fn is_linked(&self, site: Site, to: NodeId) -> bool {
        self.connection(site, to).is_some()
    }

    /// The number of a node's current connection to a peer.
    pub(super) fn connection(&self, site: Site, to: NodeId) -> Option<u64> {
        self.nodes[site.0].links.get(&to).and_then(|link| link.connection)
    }

    /// Returns the site of a process and the one-way delay to it; `None` if the process is
    /// unreachable, has ended or is frozen.
    pub(super) fn reach(&self, site: Site, to: NodeId) -> Option<(Site, Millis)> {
        let receiver = self.site_of(to)?;
        let node = &self.nodes[receiver.0];
        let delay = self.delay(site, receiver)?;
        (node.up && !node.frozen).then_some((receiver, delay))
    }

    /// Returns the site of a process, unless a later process has replaced it.
    pub(super) fn site_of(&self, node: NodeId) -> Option<Site> {
        let site = self.by_node.get(&node).copied()?;
        (self.nodes[site.0].world.identity().node() == node).then_some(site)
    }

    pub(super) fn delay(&self, one: Site, other: Site) -> Option<Millis> {
        if self.network.is_isolated(one.0) || self.network.is_isolated(other.0) {
            return None;
        }
        self.network.between(&self.nodes[one.0].data_centre, &self.nodes[other.0].data_centre)
    }

    pub(super) fn connect(&mut self, site: Site, epoch: u32, to: NodeId) {
        if self.nodes[site.0].epoch != epoch || !self.nodes[site.0].links.contains_key(&to) {
            return;
        }
        let Some((receiver, delay)) = self.reach(site, to) else {
            let refused = self.is_refused(site, to);
            self.deliver_later(site, Millis(1), Event::LinkDown { peer: to, refused });
            return self.schedule(site, self.now + RECONNECT_BACKOFF, Step::Connect { epoch, to });
        };
        let revision = self.nodes[receiver.0].world.tables().configuration.revision;
        let load = self.nodes[receiver.0].load;
        let own = self.nodes[site.0].world.identity().announcement.clone();
        let connection = Some(self.next_number());
        let Some(link) = self.nodes[site.0].links.get_mut(&to) else { return };
        (link.connection, link.silent_since, link.is_silent) = (connection, None, false);
        let peer = link.announcement.clone();
        let round_trip = delay + delay;
        self.deliver_later(receiver, delay, Event::PeerSeen(own));
        self.deliver_later(site, round_trip, Event::LinkUp { peer, revision });
        self.deliver_later(site, round_trip, Event::Load { from: to, load });
    }

    /// Whether a connection to a process is refused: its site is reachable, but the process has
    /// ended.
    fn is_refused(&self, site: Site, to: NodeId) -> bool {
        let Some(peer_site) = self.by_node.get(&to).copied() else { return true };
        let is_alive = self.nodes[peer_site.0].up && self.site_of(to).is_some();
        !is_alive && self.delay(site, peer_site).is_some()
    }

    /// Checks all open connections of a node.
    pub(super) fn check_links(&mut self, site: Site, epoch: u32) {
        if self.nodes[site.0].epoch != epoch || !self.nodes[site.0].up {
            return;
        }
        self.schedule(site, self.now + LINK_CHECK_INTERVAL, Step::CheckLinks { epoch });
        let up = self.nodes[site.0].links.iter().filter(|(_, link)| link.connection.is_some());
        let up: Vec<NodeId> = up.map(|(&to, _)| to).collect();
        for to in up {
            let is_reachable = self.reach(site, to).is_some();
            self.check_link(site, to, is_reachable);
        }
    }

    fn check_link(&mut self, site: Site, to: NodeId, is_reachable: bool) {
        let now = self.now;
        let Some(link) = self.nodes[site.0].links.get_mut(&to) else { return };
        if is_reachable {
            link.silent_since = None;
            if std::mem::take(&mut link.is_silent) {
                self.deliver_later(site, Millis(0), Event::LinkSilent { peer: to, silent: false });
            }
            return;
        }
        let since = *link.silent_since.get_or_insert(now);
        if now - since >= LINK_TIMEOUT {
            return self.lose_link(site, to, Millis(0));
        }
        if now - since >= SILENCE_TIMEOUT && !link.is_silent {
            link.is_silent = true;
            self.deliver_later(site, Millis(0), Event::LinkSilent { peer: to, silent: true });
        }
    }

    /// Ends a connection and fails all forwarded requests on it.
    fn lose_link(&mut self, site: Site, to: NodeId, delay: Millis) {
        let Some(link) = self.nodes[site.0].links.get_mut(&to) else { return };
        if link.connection.take().is_none() {
            return;
        }
        let epoch = self.nodes[site.0].epoch;
        self.fail_forwards(site, to);
        self.deliver_later(site, delay, Event::LinkDown { peer: to, refused: false });
        self.schedule(site, self.now + delay + RECONNECT_BACKOFF, Step::Connect { epoch, to });
    }

    fn fail_forwards(&mut self, site: Site, to: NodeId) {
        let forwarded = &mut self.nodes[site.0].forwarded;
        let lost: Vec<_> =
            forwarded.iter().filter(|(_, peer)| **peer == to).map(|(&ticket, _)| ticket).collect();
        for ticket in lost {
            self.nodes[site.0].forwarded.remove(&ticket);
            self.disconnect_forward(site, to, ticket);
            self.deliver_later(site, Millis(1), forward_ended(ticket, ForwardEnd::Broken));
        }
    }

    /// Tells a peer that this node no longer waits for a request: by a message, or as it closes the
    /// connection.
    pub(super) fn disconnect_forward(&mut self, site: Site, to: NodeId, ticket: Ticket) {
        let epoch = self.nodes[site.0].epoch;
        let Some(receiver) = self.site_of(to) else { return };
        let requester = Requester::Node { site, epoch, ticket };
        self.end_forward(site, receiver, requester);
    }

    /// Sends the end of a request, or tries again while the two nodes are cut off from each other.
    pub(super) fn end_forward(&mut self, from: Site, site: Site, requester: Requester) {
        let (delay, step) = match self.delay(from, site) {
            Some(delay) => (delay, Step::Disconnect { requester }),
            None => (RETRANSMIT_INTERVAL, Step::EndForward { from, requester }),
        };
        self.schedule(site, self.now + delay, step);
    }

    /// Ends the connections of all nodes that can reach the site of a process that has ended.
    pub(super) fn end_links_to(&mut self, site: Site) {
        let node = self.nodes[site.0].world.identity().node();
        let others: Vec<Site> = self.sites().filter(|&other| self.is_linked(other, node)).collect();
        for other in others {
            if let Some(delay) = self.delay(other, site) {
                self.lose_link(other, node, delay + Millis(1));
            }
        }
    }
}
