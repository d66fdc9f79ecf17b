//! Finds peers and follows whether they are alive, in the manner of SWIM.
//!
//! Every node starts an exchange with a random peer once in a period. A peer that does not reply
//! is asked through others, then suspected, then dead. A live node that hears of its own death
//! refutes it with a higher incarnation. Changes travel as short updates on the exchanges.

mod exchange;
mod probe;
mod update;

use crate::{
    clock::Millis,
    command::{Change, Command},
    id::PeerKey,
    message::membership::{Digest, Message, Update},
    platform::{Announcement, Reply, Row},
    table::peer::{Peer, State as PeerState},
    world::{Tick, World},
};

/// How many peers a leaving node tells at once.
const LEAVING_FAN_OUT: usize = 16;

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    incarnation: u32,
    last_tick: Millis,
    exchanges: exchange::Exchanges,
    updates: update::Updates,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    exchange::forgive_after_pause(world, tick);
    read_platform(world, tick);
    for announcement in std::mem::take(&mut tick.inbox.seeds) {
        discover(world, tick, announcement);
    }
    heed_refusals(world, tick);
    for (from, message) in std::mem::take(&mut tick.inbox.membership) {
        match message {
            Message::Ask { number, introduction, digest, updates, page_after } => {
                if let Some(announcement) = introduction {
                    discover(world, tick, announcement);
                }
                merge(world, tick, updates);
                exchange::reply(world, tick, from, number, page_after);
                notice(world, tick, from, &digest);
            }
            Message::Reply { number, digest, updates, page } => {
                merge(world, tick, updates);
                notice(world, tick, from, &digest);
                exchange::replied(world, tick, from, number, digest, page);
            }
            Message::Probe { number, node } => probe::relay(world, tick, from, number, node),
            Message::Probed { number } => exchange::probed(world, number),
            Message::Push(updates) => merge(world, tick, updates),
        }
    }
    probe::run(world, tick);
    exchange::run(world, tick);
    world.systems.membership.last_tick = tick.now;
}

/// Tells peers that this node is leaving, before anything else is done about it.
pub(super) fn announce_leaving(world: &mut World, tick: &mut Tick) {
    let update = own_update(world);
    update::spread(world, update.clone());
    for peer in world.sample(LEAVING_FAN_OUT, |peer| peer.state == PeerState::Alive) {
        world.send(tick, peer, Message::Push(vec![update.clone()]));
    }
}

/// What the node says of itself.
fn own_update(world: &World) -> Update {
    let state = if world.tables.leaving { PeerState::Leaving } else { PeerState::Alive };
    Update {
        node: world.identity.node(),
        incarnation: world.systems.membership.incarnation,
        state,
        announcement: Some(world.identity.announcement.clone()),
    }
}

fn read_platform(world: &mut World, tick: &mut Tick) {
    let mut announcements = Vec::new();
    for (_, reply) in &tick.inbox.platform {
        let Reply::Changes { rows, .. } = reply else { continue };
        for versioned in rows {
            if let Row::Node(_, Some(announcement)) = &versioned.row {
                announcements.push(announcement.clone());
            }
        }
    }
    for announcement in announcements {
        let data_centres = &mut world.tables.data_centres;
        let data_centre = data_centres.intern(&announcement.data_centre, tick.now);
        if let Some(data_centre) = data_centres.get_mut(data_centre) {
            data_centre.seen = tick.now;
        }
        let Some(key) = discover(world, tick, announcement) else { continue };
        let Some(peer) = world.tables.peers.get_mut(key) else { continue };
        peer.row_seen = Some(tick.now);
        if peer.state == PeerState::Dead {
            exchange::ask(world, tick, key, None);
        }
    }
}

/// Adds a peer, unless it is known or the node itself.
fn discover(world: &mut World, tick: &mut Tick, announcement: Announcement) -> Option<PeerKey> {
    if announcement.node == world.identity.node() {
        return None;
    }
    if let Some(key) = world.tables.peers.by_node(announcement.node) {
        return Some(key);
    }
    let update = Update {
        node: announcement.node,
        incarnation: 0,
        state: PeerState::Alive,
        announcement: Some(announcement.clone()),
    };
    update::spread(world, update);
    world.tables.data_centres.intern(&announcement.data_centre, tick.now);
    Some(world.tables.peers.insert(Peer::new(announcement, tick.now)))
}

/// Notes peers that refused a forwarded call because they are leaving.
fn heed_refusals(world: &mut World, tick: &mut Tick) {
    use crate::{refusal::Reason, request::ForwardEnd};

    let mut leaving = Vec::new();
    for (call, end, _) in &tick.inbox.forwards_ended {
        let ForwardEnd::Refused(refusal) = end else { continue };
        if refusal.reason == Reason::Leaving {
            leaving.extend(world.tables.calls.get(*call).and_then(|call| call.peer));
        }
    }
    for key in leaving {
        set_state(world, tick, key, PeerState::Leaving);
    }
}

/// Passes on to the systems concerned what a peer says of its knowledge.
fn notice(world: &mut World, tick: &mut Tick, from: crate::id::NodeId, digest: &Digest) {
    super::configuration::notice(world, tick, from, digest.revision);
    super::epoch::notice(world, tick, from, digest.epoch);
}

/// Takes in what another node believes.
fn merge(world: &mut World, tick: &mut Tick, updates: Vec<Update>) {
    for update in updates {
        if update.node == world.identity.node() {
            refute(world, &update);
            continue;
        }
        let Some(key) = world.tables.peers.by_node(update.node) else {
            merge_new(world, tick, update);
            continue;
        };
        let Some(peer) = world.tables.peers.get_mut(key) else { continue };
        if (update.incarnation, update.state) <= (peer.incarnation, peer.state) {
            continue;
        }
        peer.incarnation = update.incarnation;
        if peer.state == update.state {
            continue;
        }
        set_state(world, tick, key, update.state);
    }
}

fn merge_new(world: &mut World, tick: &mut Tick, update: Update) {
    if update.state == PeerState::Dead {
        return;
    }
    let Some(announcement) = update.announcement else { return };
    let Some(key) = discover(world, tick, announcement) else { return };
    if let Some(peer) = world.tables.peers.get_mut(key) {
        peer.incarnation = update.incarnation;
    }
    set_state(world, tick, key, update.state);
}

/// Answers a claim that this node is gone with a higher incarnation.
fn refute(world: &mut World, update: &Update) {
    let own = own_update(world);
    if (update.incarnation, update.state) <= (own.incarnation, own.state) {
        return;
    }
    world.systems.membership.incarnation = update.incarnation + 1;
    let own = own_update(world);
    update::spread(world, own);
}

/// Changes what the node believes of a peer, and tells others.
fn set_state(world: &mut World, tick: &mut Tick, key: PeerKey, state: PeerState) {
    let Some(peer) = world.tables.peers.get_mut(key) else { return };
    if peer.state == state {
        return;
    }
    peer.state = state;
    peer.since = tick.now;
    let update = update_of(peer, state == PeerState::Alive);
    tick.commands.push(Command::Log(Change::Peer {
        node: update.node,
        data_centre: peer.announcement.data_centre.clone(),
        state: state.name(),
    }));
    update::spread(world, update);
}

/// What the node believes of a peer, with its announcement or without.
fn update_of(peer: &Peer, with_announcement: bool) -> Update {
    Update {
        node: peer.announcement.node,
        incarnation: peer.incarnation,
        state: peer.state,
        announcement: with_announcement.then(|| peer.announcement.clone()),
    }
}
