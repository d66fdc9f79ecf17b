//! Keeps the roster equal to the nodes that have rows in the store.
//!
//! Any node may propose a roster; of concurrent proposals, the store accepts one. A node that is
//! down for a short time does not change the roster: it keeps its row, and so its membership.
//!
//! A roster lists the earlier ones that nodes may still use, so that a process that starts knows which
//! other nodes may grant tokens of its shards. Once all of them have expired, the roster is written
//! again as settled, without the list.

use crate::{
    clock::Millis,
    id::{Epoch, StoreVersion},
    log::{Entry, Level},
    store::{Member, Operation, Reply, Roster, RowKey, Ticket, Value},
    system::rate_limit,
    world::{Tick, World},
};

/// Interval between two comparisons of the roster with the rows of nodes.
const CHECK_INTERVAL: Millis = Millis(250);

/// How long another node than the roster's author waits for the author to write it as settled.
const SETTLE_DELAY: Millis = Millis(4_000);
/// The maximum jitter added to that time, so that few nodes write at once.
const SETTLE_SPREAD: Millis = Millis(10_000);

/// The maximum number of earlier rosters that a roster lists. Beyond it, they count as unknown.
const MAX_FORMER: usize = 8;

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    next_check: Millis,
    /// When the node proposes a roster, if the current one still differs then.
    due: Option<Millis>,
    /// When the node writes the roster of this version as settled, if no other node has by then.
    settle_at: Option<(StoreVersion, Millis)>,
    /// The version that this node wrote last.
    written: Option<StoreVersion>,
    pending: Option<Ticket>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    handle_replies(world, tick);
    if tick.now < world.systems.roster.next_check {
        return tick.wake(world.systems.roster.next_check);
    }
    world.systems.roster.next_check = tick.now + CHECK_INTERVAL;
    tick.wake(world.systems.roster.next_check);
    let has_read = world.systems.fleet.read_up_to.is_some();
    if world.systems.roster.pending.is_some() || !has_read || !world.tables.freshness.fleet_fresh {
        return;
    }
    let registered = registered(world);
    let current: Vec<Member> = world.tables.roster.members.iter().collect();
    let is_current = registered == current
        && world.tables.roster.epoch >= epoch(world, tick.now)
        && !world.tables.roster.is_spoilt;
    if is_current || registered.is_empty() {
        world.systems.roster.due = None;
        return settle(world, tick, current);
    }
    let due = match world.systems.roster.due {
        Some(due) => due,
        None => {
            let options = &world.options.roster;
            let (delay, spread) = (options.patience, options.spread);
            tick.now + delay + world.jitter(spread)
        }
    };
    world.systems.roster.due = Some(due);
    if tick.now < due {
        return;
    }
    let former = former(world, tick.now);
    propose(world, tick, registered, former);
}

/// The members of the rosters that nodes may use, besides a new one. `None` if they are not known.
fn former(world: &World, now: Millis) -> Option<Vec<Vec<Member>>> {
    let roster = &world.tables.roster;
    let current: Vec<Member> = roster.members.iter().collect();
    if roster.version == StoreVersion::default() {
        // Before the first roster, no node has used one. A restore may have lost earlier ones.
        return (world.systems.restore.epoch() == Epoch::default()).then(Vec::new);
    }
    if epoch(world, now) > roster.epoch {
        return Some(vec![current]);
    }
    let mut former: Vec<Vec<Member>> =
        roster.former.as_ref()?.iter().map(|members| members.iter().collect()).collect();
    if !former.contains(&current) {
        former.push(current);
    }
    (former.len() <= MAX_FORMER).then_some(former)
}

/// Writes the current roster as settled once all rosters before it have expired.
fn settle(world: &mut World, tick: &mut Tick, members: Vec<Member>) {
    let roster = &world.tables.roster;
    if roster.is_settled() || roster.members.is_empty() {
        return;
    }
    let (version, learned_at) = (roster.version, roster.learned_at);
    let settle_at = match world.systems.roster.settle_at {
        Some((planned, at)) if planned == version => at,
        _ => {
            let is_author = world.systems.roster.written == Some(version);
            let delay =
                if is_author { Millis::ZERO } else { SETTLE_DELAY + world.jitter(SETTLE_SPREAD) };
            learned_at + rate_limit::longest_roster_validity(world) + delay
        }
    };
    world.systems.roster.settle_at = Some((version, settle_at));
    if tick.now >= settle_at {
        propose(world, tick, members, Some(Vec::new()));
    }
}

/// The latest epoch before which no node uses a roster any more: the current one, if this node knows
/// no roster or once all rosters from before the restore have expired.
fn epoch(world: &World, now: Millis) -> Epoch {
    let restore = &world.systems.restore;
    let validity = rate_limit::longest_roster_validity(world);
    let roster = &world.tables.roster;
    let are_expired = roster.members.is_empty() || now - restore.since() >= validity;
    if are_expired { restore.epoch() } else { roster.epoch }
}

/// The nodes that have rows in the store.
fn registered(world: &World) -> Vec<Member> {
    let peers = world.tables.peers.iter().filter(|(_, peer)| peer.row.is_some());
    let peers = peers.map(|(_, peer)| &peer.announcement);
    let own = world.systems.fleet.own_row.is_some().then_some(&world.identity.announcement);
    let members = peers.chain(own).map(|announcement| Member {
        name: announcement.name.clone(),
        data_centre: announcement.data_centre.clone(),
    });
    let mut members: Vec<Member> = members.collect();
    members.sort_by(|one, other| {
        (&one.data_centre, &one.name).cmp(&(&other.data_centre, &other.name))
    });
    members
}

fn propose(
    world: &mut World,
    tick: &mut Tick,
    members: Vec<Member>,
    former: Option<Vec<Vec<Member>>>,
) {
    let version = world.tables.roster.version;
    let entry = Entry::new(Level::Info, "roster_proposed")
        .with("members", members.len())
        .with("after", version.number)
        .with("settled", former.as_ref().is_some_and(Vec::is_empty));
    tick.log(entry);
    let epoch = epoch(world, tick.now);
    let expected = vec![(RowKey::Roster, version)];
    let roster = Roster { members, epoch, previous: version, former };
    let puts = vec![(RowKey::Roster, Value::Roster(roster))];
    let operation = Operation::Write { expected, puts, removals: Vec::new() };
    world.systems.roster.pending = Some(world.call_store(tick, operation));
    world.systems.roster.due = None;
}

fn handle_replies(world: &mut World, tick: &Tick) {
    let pending = world.systems.roster.pending;
    let replies = tick.inbox.store.iter().filter(|(ticket, _)| Some(*ticket) == pending);
    for (_, reply) in replies {
        world.systems.roster.pending = None;
        // Whether or not the write succeeded, the roster's row arrives as a change.
        match reply {
            Reply::Written { version } => world.systems.roster.written = Some(*version),
            _ => {
                world.systems.roster.due = None;
                if let Some((_, settle_at)) = &mut world.systems.roster.settle_at {
                    *settle_at = tick.now + SETTLE_DELAY;
                }
            }
        }
    }
}
