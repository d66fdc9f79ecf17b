//! Charges requests to their team's rate.
//!
//! A team's rate is split into shards. Each shard has one keeper in an epoch, which holds its token
//! bucket. The node where a request arrives draws tokens from keepers, a little ahead of demand,
//! and spends one for each request it takes in. Tokens leave the bucket before they travel: what is
//! lost on the way is never spent. A new keeper starts empty after the fence, or at once with what
//! the one before it hands over.

mod drawing;
mod keeping;
mod policy;

use crate::{
    clock::Millis,
    id::TeamKey,
    message::share,
    table::share::Terms,
    world::{Tick, World},
};

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The epoch the buckets belong to.
    epoch: u64,
    /// The revision of the configuration the buckets belong to.
    revision: u64,
    /// The last draw sent.
    last_draw: u64,
    /// Buckets handed over for an epoch this node has not adopted yet.
    early: Vec<keeping::Handover>,
    /// When demand was last smoothed.
    smoothed: Millis,
    /// The first tick.
    started: Option<Millis>,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    world.systems.rating.started.get_or_insert(tick.now);
    keeping::hand_over_lost(world, tick);
    keeping::reconcile(world, tick.now);
    for (from, message) in std::mem::take(&mut tick.inbox.share) {
        match message {
            share::Message::Draw { draw, team, shard, wanted } => {
                let (tokens, next_in) = keeping::grant(world, tick.now, &team, shard, wanted);
                world.send_to(tick, from, share::Message::Grant { draw, tokens, next_in });
            }
            share::Message::Grant { draw, tokens, next_in } => {
                drawing::granted(world, tick.now, from, draw, tokens, next_in);
            }
            share::Message::Handover { epoch, team, shard, level } => {
                let handover = keeping::Handover { epoch, team, shard, level };
                keeping::handed_over(world, tick.now, handover);
            }
        }
    }
    drawing::run(world, tick);
}

/// How a team's rate is split at present.
fn terms(world: &World, team: TeamKey) -> Option<Terms> {
    let (rate, burst) = world.tables.limits(team)?;
    let policy = policy::of(&world.options.rating);
    Some(policy.terms(rate, burst, &world.tables.epoch.current))
}
