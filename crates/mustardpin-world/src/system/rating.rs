//! Charges requests to their team's rate.
//!
//! A team's rate is split into shards. Each shard has one keeper by the roster, which holds its
//! token bucket. The node where a request arrives draws tokens from keepers, a little ahead of
//! demand, and spends one for each request it takes in. Tokens leave the bucket before they travel:
//! what is lost on the way is never spent. A new keeper starts empty after the fence, or at once
//! with what the one before it hands over.

mod drawing;
mod keeping;
mod policy;

use crate::{
    id::TeamKey,
    message::share,
    table::share::Terms,
    world::{Tick, World},
};

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    drawing: drawing::State,
    keeping: keeping::State,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    keeping::hand_over_lost(world, tick);
    keeping::reconcile(world, tick.now);
    for (from, message) in std::mem::take(&mut tick.inbox.share) {
        match message {
            share::Message::Draw { number, draws } => {
                let grant = |draw: &share::Draw| {
                    keeping::grant(world, tick.now, &draw.team, draw.shard, draw.wanted)
                };
                let grants = draws.iter().map(grant).collect();
                world.send_to(tick, from, share::Message::Grant { number, grants });
            }
            share::Message::Grant { number, grants } => {
                drawing::granted(world, tick.now, number, &grants);
            }
            share::Message::Handover { roster, team, shard, level } => {
                let handover = keeping::Handover { roster, team, shard, level };
                keeping::handed_over(world, tick.now, handover);
            }
        }
    }
    drawing::run(world, tick);
}

/// How a team's rate is split at present; `None` if the team is gone or has no limit.
fn terms(world: &World, team: TeamKey) -> Option<Terms> {
    let (rate, burst) = world.tables.rate_and_burst(team)?;
    let policy = policy::of(&world.options.rating);
    Some(policy.terms(rate, burst, &world.tables.roster))
}
