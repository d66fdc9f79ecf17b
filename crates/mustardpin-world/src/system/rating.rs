//! Charges requests to their team's rate.

use crate::{
    table::call::Stage,
    world::{Tick, World},
};

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    for call in world.tables.calls.take(Stage::Rating) {
        world.tables.calls.advance(call, Stage::Routing, tick.now);
    }
}
