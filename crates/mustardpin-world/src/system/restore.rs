//! Notices that the store was restored from an older copy.
//!
//! A restored store has lost transactions that it had acknowledged, and assigns their versions
//! again. The node then reads everything again, and discards replies from before the restore.

use crate::{
    clock::Millis,
    id::{Epoch, StoreVersion},
    log::{Entry, Level},
    store::Reply,
    system::freshness,
    world::{Tick, World},
};

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The latest version in any reply of the store; `None` before its first one.
    latest: Option<StoreVersion>,
    /// When this node first had a reply of that epoch.
    since: Millis,
}

impl State {
    /// The latest epoch in which the store replied, or the first one before its first reply.
    pub(super) fn epoch(&self) -> Epoch {
        self.latest.unwrap_or_default().epoch
    }

    /// When this node first had a reply of that epoch.
    pub(super) fn since(&self) -> Millis {
        self.since
    }
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    let versions = tick.inbox.store.iter().filter_map(|(_, reply)| reply.version());
    let before = world.systems.restore.latest;
    let Some(latest) = versions.max().max(before) else { return };
    world.systems.restore.latest = Some(latest);
    discard_earlier(tick, latest.epoch);
    if before.is_some_and(|before| before.epoch == latest.epoch) {
        return;
    }
    world.systems.restore.since = tick.now;
    let Some(before) = before else {
        return freshness::handle_first_epoch(world, tick.now);
    };
    let entry = Entry::new(Level::Warn, "store_restored")
        .with("epoch", latest.epoch.0)
        .with("before", before.epoch.0)
        .with("known", before.number)
        .with("position", latest.number)
        .with("revision", world.tables.configuration.revision.0);
    tick.log(entry);
    freshness::handle_restore(world, tick);
}

/// Treats replies of earlier epochs as lost: what they report may not have lasted.
fn discard_earlier(tick: &mut Tick, epoch: Epoch) {
    for (_, reply) in &mut tick.inbox.store {
        if reply.version().is_some_and(|version| version.epoch < epoch) {
            *reply = Reply::Lost;
        }
    }
}
