//! Maintains the table of peers from rows in the store and from connections.
//!
//! Every node has a row in the store with its address. Rows never expire; instead, when peers
//! cannot reach a node any more, one of them removes its row. A node that finds its own row removed
//! writes it again, which shows its peers that it is running though they cannot reach it.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use rand::seq::IndexedRandom as _;

use crate::{
    clock::Millis,
    command::Command,
    id::{Epoch, NodeId, PeerKey, Revision, StoreVersion, TargetId},
    log::{Entry, Level},
    message::{self, fleet::Message},
    store::{Announcement, Area, Changes, Operation, Reply, Row, RowKey, Value},
    system::{LinkChange, departure, pacing},
    table::peer::{Link, Peer},
    world::{Tick, World},
};

/// Interval between two checks for unreachable peers.
const CHECK_INTERVAL: Millis = Millis(1_000);
/// Factor on the time before removal for a node that has written a removed row again.
const RETURNED_FACTOR: u64 = 40;
/// Maximum number of removed rows that are remembered to notice when one is written again.
const MAX_REMOVED: usize = 256;
/// Maximum number of peers that a new connection passes on. Several connections together pass on a
/// larger fleet.
const MAX_KNOWN: usize = 8;
/// How old a node's data may be when it first reads a restored store, in freshness windows, for it to
/// keep the buckets of its shards. An outage of the store adds to the age; a new owner grants no
/// tokens until a window after the roster that made it one.
const RESTORE_GAP_FACTOR: u64 = 2;
/// Range of the random delay before a removal, so that nodes don't remove the same row at once.
const REMOVAL_JITTER: Millis = Millis(3_000);

/// Connections to nodes that are not known any more are forgotten once there are this many times as
/// many connections as peers.
const MAX_ATTENDED_FACTOR: usize = 2;

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Store version up to which the node has read the rows of nodes.
    pub(super) read_up_to: Option<StoreVersion>,
    /// Node id and version of this node's row in the store.
    pub(super) own_row: Option<(NodeId, StoreVersion)>,
    next_check: Millis,
    /// Nodes whose rows were removed, the latest at the end.
    removed: VecDeque<NodeId>,
    /// Which processes of nodes this node has been connected to, by the name of the node.
    attended: BTreeMap<CompactString, Attendance>,
}

/// The connection to the latest process of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Attendance {
    node: NodeId,
    /// Whether everything that the process has sent so far, or until its end, has arrived.
    is_complete: bool,
    /// The same of the process before it, until its end.
    was_complete: bool,
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
        if world.systems.fleet.read_up_to.is_none_or(|read| read <= up_to) {
            let rows = rows.clone();
            apply_rows(world, tick, whole.then_some(up_to), &rows);
            departure::apply_rows(world, tick, whole.then_some(up_to), &rows);
        }
    }
    for change in std::mem::take(&mut tick.inbox.links) {
        match change {
            LinkChange::Seen(peer) => {
                if peer.name != *world.identity.name() {
                    add_peer(world, tick, peer);
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
        // Once the node has read the store, the store's rows take precedence.
        if world.systems.fleet.read_up_to.is_none() && world.tables.peers.by_node(from).is_some() {
            for announcement in announcements {
                if announcement.name != *world.identity.name() {
                    add_peer(world, tick, announcement);
                }
            }
        }
    }
    for (from, load) in std::mem::take(&mut tick.inbox.loads) {
        let Some(key) = world.tables.peers.by_node(from) else { continue };
        let Some(peer) = world.tables.peers.get_mut(key) else { continue };
        let name = &peer.announcement.name;
        world.tables.statements.record(name, &load, tick.now);
        peer.is_target_leaving = world.tables.statements.is_leaving(name, load.target)
            || world.tables.departures.behind(name).any(|process| process == load.target);
        peer.load = Some(load);
        peer.load_as_of = tick.now;
        peer.unreported = 0;
        peer.revision = peer.revision.max(load.revision);
    }
    remove_unreachable_rows(world, tick);
}

/// Whether the node has read the rows of nodes and has connected to each peer or failed to.
pub(super) fn all_peers_tried(world: &World) -> bool {
    let has_read = world.systems.fleet.read_up_to.is_some();
    has_read && world.tables.peers.iter().all(|(_, peer)| peer.link != Link::New)
}

/// Applies rows of nodes and the roster. `whole_at` is the version of a complete read.
fn apply_rows(world: &mut World, tick: &mut Tick, whole_at: Option<StoreVersion>, rows: &[Row]) {
    if let Some(version) = whole_at {
        drop_absent(world, tick, rows, version.epoch);
    }
    for row in rows {
        match (&row.key, &row.value) {
            (RowKey::Node(name), Some(Value::Node(announcement))) => {
                row_found(world, tick, name, announcement, row.version);
            }
            (RowKey::Node(name), Some(Value::Unreadable)) => row_spoilt(world, name, row.version),
            (RowKey::Node(name), None) => row_removed(world, tick, name, row.version.epoch),
            (RowKey::Roster, Some(Value::Roster(roster)))
                if row.version > world.tables.roster.version =>
            {
                let age = world.tables.freshness.fleet_age(tick.now);
                let is_recent = age < Millis(world.options.freshness.window.0 * RESTORE_GAP_FACTOR);
                world.tables.roster.replace(row.version, roster, is_recent, tick.now);
                let entry = Entry::new(Level::Info, "roster")
                    .with("position", row.version.number)
                    .with("members", world.tables.roster.members.len())
                    .with("settled", world.tables.roster.is_settled());
                tick.log(entry);
            }
            (RowKey::Roster, Some(Value::Unreadable)) => {
                world.tables.roster.mark_spoilt(row.version);
            }
            _ => {}
        }
    }
}

/// Handles rows that are missing from a complete read as removed.
fn drop_absent(world: &mut World, tick: &mut Tick, rows: &[Row], epoch: Epoch) {
    let exists =
        |name: &CompactString| rows.iter().any(|row| row.key == RowKey::Node(name.clone()));
    if !exists(world.identity.name()) {
        world.systems.fleet.own_row = None;
    }
    let peers = world.tables.peers.iter();
    let absent: Vec<CompactString> = peers
        .filter(|(_, peer)| peer.row.is_some() && !exists(&peer.announcement.name))
        .map(|(_, peer)| peer.announcement.name.clone())
        .collect();
    for name in absent {
        row_removed(world, tick, &name, epoch);
    }
    let has_roster = rows.iter().any(|row| row.key == RowKey::Roster);
    let roster = &mut world.tables.roster;
    if !has_roster && !roster.members.is_empty() && roster.version.epoch < epoch {
        // The restored store has no roster. This one stays in use until there is one.
        roster.version = StoreVersion::new(epoch, 0);
    }
}

/// Handles a node's row in the store.
fn row_found(
    world: &mut World,
    tick: &mut Tick,
    name: &CompactString,
    announcement: &Announcement,
    version: StoreVersion,
) {
    if name == world.identity.name() {
        world.systems.fleet.own_row = Some((announcement.node, version));
        return;
    }
    let known = world.tables.peers.by_name(name);
    if let Some(peer) = known.and_then(|known| world.tables.peers.get_mut(known)) {
        if peer.row.is_some_and(|row| row >= version) {
            return;
        }
        // The row of a restored store may name an earlier process of a node that is connected.
        let is_restored = peer.row.is_some_and(|row| row.epoch < version.epoch);
        if peer.announcement == *announcement || (is_restored && peer.link == Link::Up) {
            peer.row = Some(version);
            return;
        }
    }
    let has_returned = world.systems.fleet.removed.contains(&announcement.node);
    let key = add_peer(world, tick, announcement.clone());
    if let Some(peer) = world.tables.peers.get_mut(key) {
        peer.row = Some(version);
        peer.has_returned = has_returned;
    }
}

/// Handles a node's row whose content another program has overwritten: the node itself writes the row
/// again, and its peers keep what they know of it.
fn row_spoilt(world: &mut World, name: &CompactString, version: StoreVersion) {
    if name == world.identity.name() {
        world.systems.fleet.own_row = Some((NodeId::default(), version));
        return;
    }
    let known = world.tables.peers.by_name(name);
    if let Some(peer) = known.and_then(|known| world.tables.peers.get_mut(known)) {
        peer.row = peer.row.max(Some(version));
    }
}

/// Handles the removal of a node's row from the store in an epoch.
fn row_removed(world: &mut World, tick: &mut Tick, name: &CompactString, epoch: Epoch) {
    if name == world.identity.name() {
        world.systems.fleet.own_row = None;
        return;
    }
    let Some(key) = world.tables.peers.by_name(name) else { return };
    let Some(peer) = world.tables.peers.get_mut(key) else { return };
    let row = peer.row.take();
    let node = peer.announcement.node;
    let is_connected = matches!(peer.link, Link::Up | Link::Silent);
    // A row that a restore lost was not removed by a peer.
    if row.is_none_or(|row| row.epoch == epoch) {
        let removed = &mut world.systems.fleet.removed;
        removed.push_back(node);
        if removed.len() > MAX_REMOVED {
            removed.pop_front();
        }
    }
    if !is_connected {
        remove_peer(world, tick, key, "row_removed");
    }
}

/// Adds a peer, replacing an earlier process with the same node name.
fn add_peer(world: &mut World, tick: &mut Tick, announcement: Announcement) -> PeerKey {
    let tables = &mut world.tables;
    let mut row = None;
    if let Some(known) = tables.peers.by_name(&announcement.name) {
        if tables.peers.get(known).is_some_and(|peer| peer.announcement == announcement) {
            return known;
        }
        row = tables.peers.get(known).and_then(|peer| peer.row);
        remove_peer(world, tick, known, "replaced");
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

fn remove_peer(world: &mut World, tick: &mut Tick, key: PeerKey, why: &'static str) {
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
    let key = add_peer(world, tick, announcement);
    let has_attended = attend(world, key);
    set_link(world, tick, node, Link::Up);
    if let Some(peer) = world.tables.peers.get_mut(key) {
        peer.revision = revision;
        peer.health.record_success();
    }
    pacing::remind(world, tick, key);
    if has_attended {
        remember(world, tick, key);
    }
    let known = world.tables.peers.iter().filter(|(_, peer)| peer.link == Link::Up);
    let mut known: Vec<_> = known.map(|(key, _)| key).collect();
    if known.len() > MAX_KNOWN {
        known = known.sample(&mut world.rng, MAX_KNOWN).copied().collect();
    }
    let announcement = |key: PeerKey| Some(world.tables.peers.get(key)?.announcement.clone());
    let known = known.into_iter().filter_map(announcement).collect();
    world.send(tick, key, Message::Known(known));
}

/// Records the connection to a peer. Returns whether this node was connected to the process before it
/// until that ended.
fn attend(world: &mut World, key: PeerKey) -> bool {
    let Some(peer) = world.tables.peers.get(key) else { return false };
    let Announcement { node, name, .. } = peer.announcement.clone();
    let attended = &mut world.systems.fleet.attended;
    let was_complete = attended.get(&name).is_some_and(|before| match before.node == node {
        true => before.was_complete,
        false => before.is_complete,
    });
    attended.insert(name, Attendance { node, is_complete: true, was_complete });
    let peers = &world.tables.peers;
    if attended.len() > peers.len() * MAX_ATTENDED_FACTOR {
        attended.retain(|name, _| peers.by_name(name).is_some());
    }
    was_complete
}

/// Tells a peer that has just connected what this node knows of its predecessor's target.
fn remember(world: &mut World, tick: &mut Tick, key: PeerKey) {
    let Some(peer) = world.tables.peers.get(key) else { return };
    let name = &peer.announcement.name;
    let stated = world.tables.statements.get(name).filter(|known| known.leaving);
    let mut departed: Vec<TargetId> = world.tables.departures.behind(name).collect();
    departed.extend(stated.map(|known| known.target));
    world.send(tick, key, message::departure::Message::Remembered { departed });
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
    if let Some(attendance) = world.systems.fleet.attended.get_mut(&peer.announcement.name) {
        // What a silent peer has sent may never arrive.
        attendance.is_complete &= attendance.node != node || link != Link::Silent;
    }
    let has_row = peer.row.is_some();
    tick.log(entry);
    if is_end && !has_row && world.systems.fleet.read_up_to.is_some() {
        remove_peer(world, tick, key, "gone");
    }
}

/// Removes the row of a peer that has been unreachable for too long; at most one in each check.
fn remove_unreachable_rows(world: &mut World, tick: &mut Tick) {
    if tick.now < world.systems.fleet.next_check {
        return tick.wake(world.systems.fleet.next_check);
    }
    world.systems.fleet.next_check = tick.now + CHECK_INTERVAL;
    tick.wake(world.systems.fleet.next_check);
    let peers = &world.tables.peers;
    let up = peers.iter().filter(|(_, peer)| peer.link == Link::Up).count();
    // A node that reaches less than half of its peers is more likely to be cut off itself.
    let has_read = world.systems.fleet.read_up_to.is_some();
    if up * 2 < peers.len() || !has_read || !world.tables.freshness.fleet_fresh {
        return;
    }
    let after = world.options.fleet.forget_after + world.jitter(REMOVAL_JITTER);
    let unreachable = world.tables.peers.iter().find(|(_, peer)| {
        let factor = if peer.has_returned { RETURNED_FACTOR } else { 1 };
        let is_unreachable = peer.link != Link::Up && peer.row.is_some();
        is_unreachable && tick.now - peer.link_since >= Millis(after.0 * factor)
    });
    let Some((_, peer)) = unreachable else { return };
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
