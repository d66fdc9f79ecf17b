//! Connections between nodes: made, watched, lost and made again.

use mustardpin_world::{Event, Millis, id::NodeId, request::ForwardEnd, store::Announcement};

use crate::fleet::{Fleet, Site, Step, forward_ended};

/// The time between two looks at a node's connections.
pub(super) const WATCH_PERIOD: Millis = Millis(250);
/// The pause between two attempts to make a connection.
const RETRY: Millis = Millis(400);
/// A peer counts as silent once nothing has come from it for this long.
const SILENT: Millis = Millis(1_000);
/// A connection over which nothing has come for this long is given up.
const LOST: Millis = Millis(2_000);

/// A connection that a node keeps to a peer.
#[derive(Debug)]
pub(super) struct Link {
    announcement: Announcement,
    is_up: bool,
    /// Since when the peer has not been reached.
    silent_since: Option<Millis>,
    is_silent: bool,
}

impl Fleet {
    pub(super) fn keep_link(&mut self, site: Site, announcement: Announcement) {
        let node = &mut self.nodes[site.0];
        let (life, to) = (node.life, announcement.node);
        let link = Link { announcement, is_up: false, silent_since: None, is_silent: false };
        node.links.insert(to, link);
        self.schedule(site, self.now, Step::Connect { life, to });
    }

    pub(super) fn drop_link(&mut self, site: Site, to: NodeId) {
        self.nodes[site.0].links.remove(&to);
        self.fail_forwards(site, to);
    }

    /// Whether a node has a connection to a peer.
    pub(super) fn is_linked(&self, site: Site, to: NodeId) -> bool {
        self.nodes[site.0].links.get(&to).is_some_and(|link| link.is_up)
    }

    /// The site of a process that is there, and how long the way to it is; `None` if it does not
    /// answer.
    pub(super) fn reach(&self, site: Site, to: NodeId) -> Option<(Site, Millis)> {
        let receiver = self.site_of(to)?;
        let node = &self.nodes[receiver.0];
        let delay = self.delay(site, receiver)?;
        (node.up && !node.frozen).then_some((receiver, delay))
    }

    /// The site of a process, if it is still the one there.
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

    pub(super) fn connect(&mut self, site: Site, life: u32, to: NodeId) {
        if self.nodes[site.0].life != life || !self.nodes[site.0].links.contains_key(&to) {
            return;
        }
        let Some((receiver, delay)) = self.reach(site, to) else {
            let refused = self.is_refused(site, to);
            self.deliver_later(site, Millis(1), Event::LinkDown { peer: to, refused });
            return self.schedule(site, self.now + RETRY, Step::Connect { life, to });
        };
        let revision = self.nodes[receiver.0].world.tables().configuration.revision;
        let load = self.nodes[receiver.0].load;
        let own = self.nodes[site.0].world.identity().announcement.clone();
        let Some(link) = self.nodes[site.0].links.get_mut(&to) else { return };
        (link.is_up, link.silent_since, link.is_silent) = (true, None, false);
        let peer = link.announcement.clone();
        let both_ways = delay + delay;
        self.deliver_later(receiver, delay, Event::PeerSeen(own));
        self.deliver_later(site, both_ways, Event::LinkUp { peer, revision });
        self.deliver_later(site, both_ways, Event::Load { from: to, load });
    }

    /// Whether the place where a process was says that it is not there.
    fn is_refused(&self, site: Site, to: NodeId) -> bool {
        let Some(place) = self.by_node.get(&to).copied() else { return true };
        let is_there = self.nodes[place.0].up && self.site_of(to).is_some();
        !is_there && self.delay(site, place).is_some()
    }

    /// Looks at all connections of a node.
    pub(super) fn watch_links(&mut self, site: Site, life: u32) {
        if self.nodes[site.0].life != life || !self.nodes[site.0].up {
            return;
        }
        self.schedule(site, self.now + WATCH_PERIOD, Step::Watch { life });
        let up = self.nodes[site.0].links.iter().filter(|(_, link)| link.is_up);
        let up: Vec<NodeId> = up.map(|(&to, _)| to).collect();
        for to in up {
            let is_reached = self.reach(site, to).is_some();
            self.watch_link(site, to, is_reached);
        }
    }

    fn watch_link(&mut self, site: Site, to: NodeId, is_reached: bool) {
        let now = self.now;
        let Some(link) = self.nodes[site.0].links.get_mut(&to) else { return };
        if is_reached {
            link.silent_since = None;
            if std::mem::take(&mut link.is_silent) {
                self.deliver_later(site, Millis(0), Event::LinkSilent { peer: to, silent: false });
            }
            return;
        }
        let since = *link.silent_since.get_or_insert(now);
        if now - since >= LOST {
            return self.lose_link(site, to, Millis(0));
        }
        if now - since >= SILENT && !link.is_silent {
            link.is_silent = true;
            self.deliver_later(site, Millis(0), Event::LinkSilent { peer: to, silent: true });
        }
    }

    /// A connection has ended, with all requests under way on it.
    fn lose_link(&mut self, site: Site, to: NodeId, delay: Millis) {
        let Some(link) = self.nodes[site.0].links.get_mut(&to) else { return };
        if !std::mem::take(&mut link.is_up) {
            return;
        }
        let life = self.nodes[site.0].life;
        self.fail_forwards(site, to);
        self.deliver_later(site, delay, Event::LinkDown { peer: to, refused: false });
        self.schedule(site, self.now + delay + RETRY, Step::Connect { life, to });
    }

    fn fail_forwards(&mut self, site: Site, to: NodeId) {
        let forwarded = &mut self.nodes[site.0].forwarded;
        let lost: Vec<_> =
            forwarded.iter().filter(|(_, peer)| **peer == to).map(|(&ticket, _)| ticket).collect();
        for ticket in lost {
            self.nodes[site.0].forwarded.remove(&ticket);
            self.deliver_later(site, Millis(1), forward_ended(ticket, ForwardEnd::Broken));
        }
    }

    /// A process has ended: whoever reaches its place sees its connections end.
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
