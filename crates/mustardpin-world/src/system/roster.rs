//! Keeps the roster in step with the nodes that are there.
//!
//! Any node may propose a roster; the store lets one through. A node that comes or goes for a
//! moment changes nothing: it keeps its row, and so its place in the roster.

use crate::{
    clock::Millis,
    log::{Entry, Level},
    store::{Member, Operation, Reply, Roster, RowKey, Ticket, Value},
    world::{Tick, World},
};

/// The time between two looks at who is there.
const LOOK_PERIOD: Millis = Millis(250);

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    next_look: Millis,
    /// When the node proposes, if the difference lasts until then.
    due: Option<Millis>,
    asked: Option<Ticket>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    read_store(world, tick);
    if tick.now < world.systems.roster.next_look {
        return tick.wake(world.systems.roster.next_look);
    }
    world.systems.roster.next_look = tick.now + LOOK_PERIOD;
    tick.wake(world.systems.roster.next_look);
    if world.systems.roster.asked.is_some() || !world.tables.freshness.fleet_fresh {
        return;
    }
    let present = present(world);
    let current: Vec<Member> = world.tables.roster.members().collect();
    if present == current || present.is_empty() {
        world.systems.roster.due = None;
        return;
    }
    let due = match world.systems.roster.due {
        Some(due) => due,
        None => {
            let options = &world.options.roster;
            let (patience, spread) = (options.patience, options.spread);
            tick.now + patience + world.jitter(spread)
        }
    };
    world.systems.roster.due = Some(due);
    if tick.now < due {
        return;
    }
    propose(world, tick, present);
}

/// The nodes that have rows in the store.
fn present(world: &World) -> Vec<Member> {
    let peers = world.tables.peers.iter().filter(|(_, peer)| peer.row.is_some());
    let peers = peers.map(|(_, peer)| &peer.announcement);
    let own = world.systems.fleet.own.is_some().then_some(&world.identity.announcement);
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

fn propose(world: &mut World, tick: &mut Tick, members: Vec<Member>) {
    let version = world.tables.roster.version;
    let entry = Entry::new(Level::Info, "roster_proposed")
        .with("members", members.len())
        .with("after", version.0);
    tick.log(entry);
    let expected = vec![(RowKey::Roster, version)];
    let puts = vec![(RowKey::Roster, Value::Roster(Roster { members }))];
    let operation = Operation::Write { expected, puts, removals: Vec::new() };
    world.systems.roster.asked = Some(world.call_store(tick, operation));
    world.systems.roster.due = None;
}

fn read_store(world: &mut World, tick: &Tick) {
    let asked = world.systems.roster.asked;
    let replies = tick.inbox.store.iter().filter(|(ticket, _)| Some(*ticket) == asked);
    for (_, reply) in replies {
        world.systems.roster.asked = None;
        // Whatever the outcome, the row itself comes as a change.
        if !matches!(reply, Reply::Written { .. }) {
            world.systems.roster.due = None;
        }
    }
}
