//! Checks calls against requests known to crash targets.

use crate::{
    table::call::Stage,
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in world.tables.calls.take(Stage::Screening) {
        world.tables.calls.advance(call, Stage::Recording, tick.now);
    }
}
