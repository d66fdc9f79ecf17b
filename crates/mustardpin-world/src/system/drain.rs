//! Follows the own target's state and lets the node leave without cutting off a request.

use crate::{
    command::{Change, Command},
    world::{Tick, World},
};

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
        tick.commands.push(Command::Log(Change::Leaving(world.tables.calls.len())));
        tick.commands.push(Command::CloseIdle);
    }
    if world.tables.leaving && world.tables.calls.is_empty() {
        tick.commands.push(Command::Exit);
    }
}
