//! Keeps the table of peers: from rows in the store, and from connections.
//!
//! Every node has a row in the store that says where it is. Rows never expire, so a node whose
//! peers cannot reach it any more is forgotten by them: one of them removes its row. A node that
//! finds its own row removed writes it again, and that shows its peers that it is there though
//! they do not reach it.

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::{
    clock::Millis,
    command::Command,
    id::{NodeId, PeerKey, Revision, StoreVersion},
    log::{Entry, Level},
    message::fleet::Message,
    store::{Announcement, Area, Changes, Operation, Reply, Row, RowKey, Value},
    system::LinkChange,
    table::peer::{Link, Peer},
    world::{Tick, World},
};

/// The time between two looks for peers that cannot be reached.
const LOOK_PERIOD: Millis = Millis(1_000);
/// The row of a node that has written it again is removed only after so many times as long.
const RETURNED_FACTOR: u64 = 40;
/// Removed rows that are remembered, so that their return is noticed.
const MOST_REMOVED: usize = 256;
/// Two nodes that would forget the same peer do so at different times within this one.
const FORGET_SPREAD: Millis = Millis(3_000);

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// How far the node has read the store's area.
    pub(super) read: Option<StoreVersion>,
    /// The own row as the store has it, and its version.
    pub(super) own: Option<(NodeId, StoreVersion)>,
    next_look: Millis,
    /// Nodes whose rows were removed, the last one at the end.
    removed: VecDeque<NodeId>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for index in 0..tick.inbox.store.len() {
        let Reply::Changes {
            area: Area::Fleet, whole, up_to, changes: Changes::Rows(rows), ..
        } = &tick.inbox.store[index].1
        else {
            continue;
        };
        let (whole, up_to) = (*whole, *up_to);
        if world.systems.fleet.read.is_none_or(|read| read <= up_to) {
            let rows = rows.clone();
            take_rows(world, tick, whole, &rows);
        }
    }
    for change in std::mem::take(&mut tick.inbox.links) {
        match change {
            LinkChange::Seen(peer) => {
                if peer.name != *world.identity.name() {
                    meet(world, tick, peer);
                }
            }
            LinkChange::Up { peer, revision } => link_up(world, tick, peer, revision),
            LinkChange::Silent { peer, silent } => {
                set_link(world, tick, peer, if silent { Link::Silent } else { Link::Up });
            }
            LinkChange::Down { peer, refused } => {
                set_link(world, tick, peer, if refused { Link::Refused } else { Link::Down });
            }
        }
    }
    for (from, message) in std::mem::take(&mut tick.inbox.fleet) {
        let Message::Known(announcements) = message;
        // The store's word goes first.
        if world.systems.fleet.read.is_none() && world.tables.peers.by_node(from).is_some() {
            for announcement in announcements {
                if announcement.name != *world.identity.name() {
                    meet(world, tick, announcement);
                }
            }
        }
    }
    for (from, load) in std::mem::take(&mut tick.inbox.loads) {
        let Some(key) = world.tables.peers.by_node(from) else { continue };
        let Some(peer) = world.tables.peers.get_mut(key) else { continue };
        peer.load = Some(load);
        peer.load_as_of = tick.now;
        peer.unreported = 0;
        peer.revision = peer.revision.max(load.revision);
    }
    forget_unreachable(world, tick);
}

/// Whether the node has a connection to each of its peers, or knows that it cannot have one.
pub(super) fn has_met(world: &World) -> bool {
    let has_read = world.systems.fleet.read.is_some();
    has_read && world.tables.peers.iter().all(|(_, peer)| peer.link != Link::New)
}

fn take_rows(world: &mut World, tick: &mut Tick, whole: bool, rows: &[Row]) {
    if whole {
        drop_absent(world, tick, rows);
    }
    for row in rows {
        match (&row.key, &row.value) {
            (RowKey::Node(name), Some(Value::Node(announcement))) => {
                found(world, tick, name, announcement, row.version);
            }
            (RowKey::Node(name), None) => removed(world, tick, name),
            (RowKey::Roster, Some(Value::Roster(roster)))
                if row.version > world.tables.roster.version =>
            {
                world.tables.roster.replace(row.version, roster, tick.now);
                let entry = Entry::new(Level::Info, "roster")
                    .with("position", row.version.0)
                    .with("members", world.tables.roster.len())
                    .with("settled", world.tables.roster.is_settled);
                tick.log(entry);
            }
            _ => {}
        }
    }
}

/// Forgets the rows that a whole reading does not have.
fn drop_absent(world: &mut World, tick: &mut Tick, rows: &[Row]) {
    let is_there =
        |name: &CompactString| rows.iter().any(|row| row.key == RowKey::Node(name.clone()));
    if !is_there(world.identity.name()) {
        world.systems.fleet.own = None;
    }
    let peers = world.tables.peers.iter();
    let absent: Vec<CompactString> = peers
        .filter(|(_, peer)| peer.row.is_some() && !is_there(&peer.announcement.name))
        .map(|(_, peer)| peer.announcement.name.clone())
        .collect();
    for name in absent {
        removed(world, tick, &name);
    }
}

/// The store has a row of a node.
fn found(
    world: &mut World,
    tick: &mut Tick,
    name: &CompactString,
    announcement: &Announcement,
    version: StoreVersion,
) {
    if name == world.identity.name() {
        world.systems.fleet.own = Some((announcement.node, version));
        return;
    }
    let known = world.tables.peers.by_name(name);
    if let Some(peer) = known.and_then(|known| world.tables.peers.get_mut(known)) {
        if peer.row.is_some_and(|row| row >= version) {
            return;
        }
        if peer.announcement == *announcement {
            peer.row = Some(version);
            return;
        }
    }
    let has_returned = world.systems.fleet.removed.contains(&announcement.node);
    let key = meet(world, tick, announcement.clone());
    if let Some(peer) = world.tables.peers.get_mut(key) {
        peer.row = Some(version);
        peer.has_returned = has_returned;
    }
}

/// The store has no row of a node any more.
fn removed(world: &mut World, tick: &mut Tick, name: &CompactString) {
    if name == world.identity.name() {
        world.systems.fleet.own = None;
        return;
    }
    let Some(key) = world.tables.peers.by_name(name) else { return };
    let Some(peer) = world.tables.peers.get_mut(key) else { return };
    peer.row = None;
    let node = peer.announcement.node;
    let is_up = peer.link == Link::Up;
    let removed = &mut world.systems.fleet.removed;
    removed.push_back(node);
    if removed.len() > MOST_REMOVED {
        removed.pop_front();
    }
    if !is_up {
        forget(world, tick, key, "row_removed");
    }
}

/// Adds a peer, in place of another process in the same place.
fn meet(world: &mut World, tick: &mut Tick, announcement: Announcement) -> PeerKey {
    let tables = &mut world.tables;
    let mut row = None;
    if let Some(known) = tables.peers.by_name(&announcement.name) {
        if tables.peers.get(known).is_some_and(|peer| peer.announcement == announcement) {
            return known;
        }
        row = tables.peers.get(known).and_then(|peer| peer.row);
        forget(world, tick, known, "replaced");
    }
    let tables = &mut world.tables;
    let service = tables.services.get_or_insert(&announcement.service);
    let is_local = announcement.data_centre == *world.identity.data_centre();
    let mut peer = Peer::new(announcement.clone(), service, is_local, tick.now);
    peer.row = row;
    let key = tables.peers.insert(peer);
    if let Some(service) = tables.services.get_mut(service) {
        service.peers.push(key);
    }
    let entry = Entry::new(Level::Info, "peer_found")
        .with("peer", announcement.name.clone())
        .with("node", announcement.node)
        .with("service", announcement.service.clone())
        .with("address", announcement.address.clone());
    tick.log(entry);
    tick.commands.push(Command::OpenLink(announcement));
    key
}

fn forget(world: &mut World, tick: &mut Tick, key: PeerKey, why: &'static str) {
    let Some(peer) = world.tables.peers.remove(key) else { return };
    if let Some(service) = world.tables.services.get_mut(peer.service) {
        service.peers.retain(|other| *other != key);
    }
    let entry = Entry::new(Level::Info, "peer_forgotten")
        .with("peer", peer.announcement.name)
        .with("node", peer.announcement.node)
        .with("why", why);
    tick.log(entry);
    tick.commands.push(Command::CloseLink(peer.announcement.node));
}

fn link_up(world: &mut World, tick: &mut Tick, announcement: Announcement, revision: Revision) {
    if announcement.name == *world.identity.name() {
        return;
    }
    let node = announcement.node;
    let key = meet(world, tick, announcement);
    set_link(world, tick, node, Link::Up);
    if let Some(peer) = world.tables.peers.get_mut(key) {
        peer.revision = revision;
        peer.health.record_success();
    }
    let known = world.tables.peers.iter().filter(|(_, peer)| peer.link == Link::Up);
    let known = known.map(|(_, peer)| peer.announcement.clone()).collect();
    world.send(tick, key, Message::Known(known));
}

fn set_link(world: &mut World, tick: &mut Tick, node: NodeId, link: Link) {
    let Some(key) = world.tables.peers.by_node(node) else { return };
    let Some(peer) = world.tables.peers.get_mut(key) else { return };
    if peer.link == link {
        return;
    }
    let level = if link == Link::Up { Level::Info } else { Level::Warn };
    let entry = Entry::new(level, "peer_link")
        .with("peer", peer.announcement.name.clone())
        .with("node", node)
        .with("state", link.name())
        .with("before", peer.link.name())
        .with("lasted", tick.now - peer.link_since);
    let is_end = matches!(link, Link::Down | Link::Refused);
    let was_end = matches!(peer.link, Link::Down | Link::Refused);
    if !(is_end && was_end) {
        peer.link_since = tick.now;
    }
    peer.link = link;
    if link != Link::Up {
        peer.load = None;
    }
    let has_row = peer.row.is_some();
    tick.log(entry);
    if is_end && !has_row && world.systems.fleet.read.is_some() {
        forget(world, tick, key, "gone");
    }
}

/// Removes the rows of peers that cannot be reached any more.
fn forget_unreachable(world: &mut World, tick: &mut Tick) {
    if tick.now < world.systems.fleet.next_look {
        return tick.wake(world.systems.fleet.next_look);
    }
    world.systems.fleet.next_look = tick.now + LOOK_PERIOD;
    tick.wake(world.systems.fleet.next_look);
    let peers = &world.tables.peers;
    let up = peers.iter().filter(|(_, peer)| peer.link == Link::Up).count();
    // A node that reaches few others is more likely to be cut off itself.
    if up * 2 < peers.len() || !world.tables.freshness.fleet_fresh {
        return;
    }
    let after = world.options.fleet.forget_after + world.jitter(FORGET_SPREAD);
    let lost = world.tables.peers.iter().find(|(_, peer)| {
        let factor = if peer.has_returned { RETURNED_FACTOR } else { 1 };
        let is_lost = peer.link != Link::Up && peer.row.is_some();
        is_lost && tick.now - peer.link_since >= Millis(after.0 * factor)
    });
    let Some((_, peer)) = lost else { return };
    let Some(version) = peer.row else { return };
    let entry = Entry::new(Level::Info, "peer_unreachable")
        .with("peer", peer.announcement.name.clone())
        .with("silent", tick.now - peer.link_since);
    let key = RowKey::Node(peer.announcement.name.clone());
    tick.log(entry);
    let expected = vec![(key.clone(), version)];
    let operation = Operation::Write { expected, puts: Vec::new(), removals: vec![key] };
    world.call_store(tick, operation);
}
