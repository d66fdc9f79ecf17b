//! Keeps the node's own row in the platform, by which others find it.
//!
//! The row is written when the node starts and removed when it leaves. It is written again when
//! someone removed it, and now and then while the node can't reach others, as a sign of life.

use crate::{
    clock::Millis,
    platform::{Operation, Reply, Row, Ticket},
    system::{epoch, freshness},
    world::{Tick, World},
};

/// The time before a write that failed is tried again, and the same again by chance.
const RETRY: Millis = Millis(1_000);
/// The time between two signs of life, and the same again by chance.
const SIGN_PERIOD: Millis = Millis::from_secs(2);

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The state of the row that was last written: there, or removed.
    written: Option<bool>,
    asked: Option<(Ticket, bool)>,
    next_try: Millis,
    next_sign: Millis,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    read_platform(world, tick);
    if shows_life(world, tick) {
        world.systems.registration.written = None;
        world.systems.registration.next_sign = tick.now + SIGN_PERIOD + world.jitter(SIGN_PERIOD);
    }
    let present = !world.tables.leaving;
    let state = &world.systems.registration;
    if state.written == Some(present) || state.asked.is_some() {
        return;
    }
    if tick.now < state.next_try {
        return tick.wake(state.next_try);
    }
    let announcement = present.then(|| world.identity.announcement.clone());
    let rows = vec![Row::Node(world.identity.node(), announcement)];
    let ticket = world.ask_platform(tick, Operation::Transact { guards: Vec::new(), rows });
    world.systems.registration.asked = Some((ticket, present));
}

fn read_platform(world: &mut World, tick: &mut Tick) {
    let own = world.identity.node();
    for index in 0..tick.inbox.platform.len() {
        let (ticket, reply) = &tick.inbox.platform[index];
        if let Reply::Changes { rows, .. } = reply {
            let is_removed = rows.iter().any(|row| row.row == Row::Node(own, None));
            if is_removed && !world.tables.leaving {
                world.systems.registration.written = None;
            }
            continue;
        }
        let state = &mut world.systems.registration;
        let Some((_, present)) = state.asked.take_if(|(asked, _)| asked == ticket) else {
            continue;
        };
        match reply {
            Reply::Accepted { .. } => state.written = Some(present),
            _ => {
                let pause = RETRY + world.jitter(RETRY);
                world.systems.registration.next_try = tick.now + pause;
            }
        }
    }
}

/// Whether the platform should see that the node is alive, since others may not.
fn shows_life(world: &World, tick: &Tick) -> bool {
    let now = tick.now;
    let window = world.options.freshness.window;
    let is_in_contact = world.tables.freshness.platform_age(now) < window;
    if now < world.systems.registration.next_sign || !is_in_contact || world.tables.leaving {
        return false;
    }
    if !epoch::has_own_majority(world) {
        return true;
    }
    let data_centres = &world.tables.data_centres;
    let own = data_centres.by_name(world.identity.data_centre());
    let own = own.and_then(|own| data_centres.get(own));
    if own.is_some_and(|own| now - own.seen < SIGN_PERIOD) {
        return false;
    }
    freshness::required(world).iter().any(|name| data_centres.quiet(name, now) >= window + window)
}
