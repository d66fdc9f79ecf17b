//! Charges requests to their team's rate.
//!
//! A team's rate is split into shards. Each shard has one keeper by the roster, which holds its
//! token bucket. The node where a request arrives draws tokens from keepers, a little ahead of
//! demand, and spends one for each request it takes in. Tokens leave the bucket before they travel:
//! what is lost on the way is never spent. A new keeper starts empty after the fence, or at once
//! with what the one before it hands over.

mod leasing;
mod ownership;
mod policy;

use crate::{
    id::TeamKey,
    message::rate_limit as message,
    table::rate_limit::BucketParameters,
    world::{Tick, World},
};

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    leasing: leasing::State,
    ownership: ownership::State,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    ownership::hand_over_lost(world, tick);
    ownership::reconcile(world, tick.now);
    for (from, message) in std::mem::take(&mut tick.inbox.rate_limits) {
        match message {
            message::Message::Request { number, requests } => {
                let grant = |draw: &message::LeaseRequest| {
                    ownership::grant(world, tick.now, &draw.team, draw.shard, draw.wanted)
                };
                let grants = requests.iter().map(grant).collect();
                world.send_to(tick, from, message::Message::Grant { number, grants });
            }
            message::Message::Grant { number, grants } => {
                leasing::granted(world, tick.now, number, &grants);
            }
            message::Message::Handover { roster, team, shard, level } => {
                let handover = ownership::Handover { roster, team, shard, level };
                ownership::handed_over(world, tick.now, handover);
            }
        }
    }
    leasing::run(world, tick);
}

/// How a team's rate is split at present; `None` if the team is gone or has no limit.
fn terms(world: &World, team: TeamKey) -> Option<BucketParameters> {
    let (rate, burst) = world.tables.limits(team)?;
    let policy = policy::of(&world.options.rate_limit);
    Some(policy.terms(rate, burst, &world.tables.roster))
}
