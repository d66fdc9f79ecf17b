//! Charges requests to their team's rate.
//!
//! A team's rate is split into shards. The roster assigns each shard one owner, which keeps its
//! token bucket. The node where a request arrives leases tokens from shard owners, a little ahead
//! of demand, and spends one for each request it admits. Tokens leave the bucket before the grant
//! is sent, so a lost grant never adds to what is spent. A new owner starts with an empty bucket
//! once the previous owner has certainly stopped granting, or at once with the level that the
//! previous owner hands over.

mod leasing;
mod ownership;
mod policy;

use crate::{
    id::TeamKey,
    message::rate_limit as message,
    table::rate_limit::BucketParameters,
    world::{Tick, World},
};

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    leasing: leasing::State,
    ownership: ownership::State,
}

pub(super) use self::ownership::longest_roster_validity;

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    ownership::hand_over_lost_buckets(world, tick);
    ownership::reconcile(world, tick.now);
    for (from, message) in std::mem::take(&mut tick.inbox.rate_limits) {
        match message {
            message::Message::Request { number, requests } => {
                let grant = |request: &message::LeaseRequest| {
                    ownership::grant(world, tick.now, &request.team, request.shard, request.wanted)
                };
                let grants = requests.iter().map(grant).collect();
                world.send_to(tick, from, message::Message::Grant { number, grants });
            }
            message::Message::Grant { number, grants } => {
                leasing::handle_grants(world, tick.now, number, &grants);
            }
            message::Message::Handover { roster, team, shard, level } => {
                let handover = ownership::Handover { roster, team, shard, level };
                ownership::handle_handover(world, tick.now, handover);
            }
        }
    }
    leasing::run(world, tick);
}

/// A team's current bucket parameters; `None` if the team does not exist or has no limit.
fn parameters(world: &World, team: TeamKey) -> Option<BucketParameters> {
    let (rate, burst) = world.tables.rate_and_burst(team)?;
    let policy = policy::of(&world.options.rate_limit);
    Some(policy.parameters(rate, burst, &world.tables.roster.members))
}
