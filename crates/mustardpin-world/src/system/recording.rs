//! Lets a non-repeatable request run at most once.

use crate::{
    table::call::Stage,
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in world.tables.calls.take(Stage::Recording) {
        world.tables.calls.advance(call, Stage::Queued, tick.now);
    }
}
