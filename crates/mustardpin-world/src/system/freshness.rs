//! Keeps the age of the node's knowledge, and asks the platform for news when it grows old.

use crate::{
    clock::Millis,
    command::{Change, Command},
    platform::{self, Operation, Ticket},
    world::{Tick, World},
};

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The question to the platform that has no reply yet, and when it was sent.
    poll: Option<(Ticket, Millis)>,
    /// When the next question may be sent.
    next_poll: Millis,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for (ticket, reply) in &tick.inbox.platform {
        let Some((asked, sent)) = world.systems.freshness.poll else { continue };
        if asked != *ticket {
            continue;
        }
        world.systems.freshness.poll = None;
        if let platform::Reply::Changes { .. } = reply {
            world.tables.freshness.platform_as_of = Some(sent);
        }
    }
    poll(world, tick);
    judge(world, tick);
}

fn poll(world: &mut World, tick: &mut Tick) {
    let state = &world.systems.freshness;
    let due = state.next_poll;
    if state.poll.is_some() || tick.now < due {
        tick.wake(due.max(tick.now + Millis(1)));
        return;
    }
    let after = world.tables.configuration.revision;
    let ticket = world.ask_platform(tick, Operation::Changes { after });
    let next_poll = tick.now + world.options.freshness.poll_age;
    world.systems.freshness = State { poll: Some((ticket, tick.now)), next_poll };
    tick.wake(next_poll);
}

fn judge(world: &mut World, tick: &mut Tick) {
    let window = world.options.freshness.window;
    let fresh =
        world.tables.freshness.platform_as_of.is_some_and(|as_of| tick.now - as_of < window);
    if fresh != world.tables.freshness.fresh {
        world.tables.freshness.fresh = fresh;
        tick.commands.push(Command::Log(Change::Fresh(fresh)));
    }
}
