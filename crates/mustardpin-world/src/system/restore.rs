//! Notices that the store was restored from an older copy.
//!
//! A restored store has lost transactions that it had acknowledged, and assigns their versions
//! again. The node then reads everything again, and discards replies from before the restore.

use crate::{
    clock::Millis,
    id::Epoch,
    log::{Entry, Level},
    store::Reply,
    system::freshness,
    world::{Tick, World},
};

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The latest epoch in which the store replied; `None` before its first reply.
    epoch: Option<Epoch>,
    /// When this node first had a reply of that epoch.
    since: Millis,
}

impl State {
    /// The latest epoch in which the store replied, or the first one before its first reply.
    pub(super) fn epoch(&self) -> Epoch {
        self.epoch.unwrap_or_default()
    }

    /// When this node first had a reply of that epoch.
    pub(super) fn since(&self) -> Millis {
        self.since
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let replies = tick.inbox.store.iter();
    let before = world.systems.restore.epoch;
    let epoch = replies.filter_map(|(_, reply)| reply.epoch()).max().max(before);
    world.systems.restore.epoch = epoch;
    let Some(epoch) = epoch else { return };
    discard_earlier(tick, epoch);
    if before == Some(epoch) {
        return;
    }
    world.systems.restore.since = tick.now;
    if before.is_none() {
        freshness::handle_first_epoch(world, tick.now);
    }
    if let Some(before) = before {
        let known = world.tables.configuration.read.max(world.systems.fleet.read_up_to);
        let entry = Entry::new(Level::Warn, "store_restored")
            .with("epoch", epoch.0)
            .with("before", before.0)
            .with("known", known.unwrap_or_default().number)
            .with("position", position(tick, epoch))
            .with("revision", world.tables.configuration.revision.0);
        tick.log(entry);
        freshness::handle_restore(world, tick);
    }
}

/// The number of the latest version in the replies of an epoch.
fn position(tick: &Tick, epoch: Epoch) -> u64 {
    let versions = tick.inbox.store.iter().filter_map(|(_, reply)| reply.version());
    let numbers = versions.filter(|version| version.epoch == epoch).map(|version| version.number);
    numbers.max().unwrap_or_default()
}

/// Treats replies of earlier epochs as lost: what they report may not have lasted.
fn discard_earlier(tick: &mut Tick, epoch: Epoch) {
    for (_, reply) in &mut tick.inbox.store {
        if reply.version().is_some_and(|version| version.epoch < epoch) {
            *reply = Reply::Lost;
        }
    }
}
