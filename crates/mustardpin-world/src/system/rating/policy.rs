//! Ways to share a team's rate between nodes.

use crate::{
    home,
    id::NodeId,
    message::{epoch::Epoch, share::Shard},
    options::{Rating, Sharing},
    table::share::Terms,
};

/// A way to share a team's rate.
pub(super) trait Policy {
    /// How a rate, in tokens a second, and a burst, in tokens, are split.
    fn terms(&self, rate: u32, burst: u32, epoch: &Epoch) -> Terms;

    /// The member that keeps a shard, as seen from a node.
    fn keeper(&self, epoch: &Epoch, node: NodeId, team: &str, shard: Shard) -> Option<NodeId>;
}

/// The way that the options name.
pub(super) fn of(options: &Rating) -> Box<dyn Policy> {
    match options.sharing {
        Sharing::Keepers => Box::new(Keepers { max_shards: options.max_shards }),
        Sharing::Even => Box::new(Even),
    }
}

/// Shards with a keeper each, found by rendezvous hashing.
struct Keepers {
    max_shards: u8,
}

impl Policy for Keepers {
    fn terms(&self, rate: u32, burst: u32, _epoch: &Epoch) -> Terms {
        Terms::sharded(rate, burst, self.max_shards)
    }

    fn keeper(&self, epoch: &Epoch, _node: NodeId, team: &str, shard: Shard) -> Option<NodeId> {
        let hash = home::hash_of(&["share", team, &shard.0.to_string()]);
        home::home(epoch, None, hash).map(|member| member.node)
    }
}

/// Every member keeps its own equal part.
struct Even;

impl Policy for Even {
    fn terms(&self, rate: u32, burst: u32, epoch: &Epoch) -> Terms {
        Terms::even(rate, burst, epoch.members.len())
    }

    fn keeper(&self, epoch: &Epoch, node: NodeId, _team: &str, _shard: Shard) -> Option<NodeId> {
        epoch.members.iter().any(|member| member.node == node).then_some(node)
    }
}
