//! Adopts the epoch that the platform holds.

use crate::{
    command::{Change, Command},
    platform,
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (_, reply) in &tick.inbox.platform {
        let platform::Reply::Changes { rows, .. } = reply else { continue };
        for versioned in rows {
            let platform::Row::Epoch(epoch) = &versioned.row else { continue };
            let standing = &mut world.tables.epoch;
            if epoch.number <= standing.current.number {
                continue;
            }
            standing.previous = std::mem::replace(&mut standing.current, epoch.clone());
            standing.adopted = Some(tick.now);
            let (number, members) = (epoch.number, epoch.members.len());
            tick.commands.push(Command::Log(Change::Epoch { number, members }));
        }
    }
}
