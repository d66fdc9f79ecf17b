//! Follows the own target's state and lets the node leave without cutting off a request.

use crate::{
    clock::Millis,
    command::{Change, Command},
    system::membership,
    world::{Tick, World},
};

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    leaving_since: Millis,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for report in std::mem::take(&mut tick.inbox.reports) {
        if !world.tables.target.present {
            world.tables.target.present = true;
            tick.commands.push(Command::Log(Change::Target("present")));
        }
        world.tables.target.report = report;
    }
    if tick.inbox.target_lost && world.tables.target.present {
        world.tables.target.present = false;
        tick.commands.push(Command::Log(Change::Target("lost")));
    }
    if tick.inbox.stop && !world.tables.leaving {
        world.tables.leaving = true;
        world.systems.drain.leaving_since = tick.now;
        membership::announce_leaving(world, tick);
        tick.commands.push(Command::Log(Change::Leaving(world.tables.calls.len())));
        tick.commands.push(Command::CloseIdle);
    }
}

/// Lets a leaving node go once it has finished everything and its peers know.
pub(super) fn leave(world: &mut World, tick: &mut Tick) {
    if !world.tables.leaving {
        return;
    }
    let earliest = world.systems.drain.leaving_since + world.options.membership.leave_time;
    if tick.now < earliest {
        return tick.wake(earliest);
    }
    if world.tables.calls.is_empty() {
        tick.commands.push(Command::Exit);
    }
}
