//! Writes again what a restore of the store has lost of the configuration, where nodes write it.
//!
//! Every node that has later rows than the restored store writes them again, on condition that the
//! head row has not changed. One of the nodes succeeds; the others then find nothing left to write,
//! or only what the first one did not have.

use crate::{
    clock::Millis,
    config::Path,
    id::{Epoch, Revision, StoreVersion},
    log::{Entry, Level},
    store::{Head, Operation, Row, RowKey, Ticket, Value},
    world::{Tick, World},
};

/// Range of the random delay before a write, so that nodes don't write the same rows at once.
const WRITE_JITTER: Millis = Millis(300);

/// Backoff before rows that are still missing are written another time.
const RETRY_BACKOFF: Millis = Millis(500);

/// Maximum number of rows in one transaction. Others follow in the next one.
const MAX_ROWS: usize = 90;

/// A row of which this node has a later state than the restored store.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Lost {
    path: Path,
    /// The number of the restored row's version; `None` if the row does not exist.
    restored: Option<u64>,
}

/// State of the system between ticks.
#[derive(Debug, Default)]
pub(super) struct State {
    lost: Vec<Lost>,
    due: Option<Millis>,
    pending: Option<Ticket>,
}

impl State {
    /// Whether rows are still to be written again.
    pub(super) fn is_needed(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Whether the stored row of this path is earlier than this node's.
    pub(super) fn is_lost(&self, path: &Path) -> bool {
        self.lost.iter().any(|lost| lost.path == *path)
    }
}

/// Compares a complete read with this node's rows, before it is applied. `written_in` is the epoch
/// of the last change that the read contains.
pub(super) fn compare(world: &mut World, rows: &[Row], up_to: StoreVersion, written_in: Epoch) {
    let stored =
        |path: &Path| rows.iter().find(|row| row.key == RowKey::Configuration(path.clone()));
    let number = |path: &Path| stored(path).map(|row| row.version.number);
    let records = &world.tables.configuration.records;
    let differs = |path: &Path| {
        let known = records.get(path).and_then(|record| record.row.as_ref());
        match stored(path).and_then(|row| row.value.as_ref()) {
            Some(Value::Configuration(row)) => known != Some(row),
            _ => known.is_some(),
        }
    };
    let lost: Vec<Lost> = if written_in < up_to.epoch {
        // Nothing was written since the restore.
        let is_later = |path: &Path, revision: Revision| {
            let number = number(path).unwrap_or(up_to.number);
            revision > Revision::from(StoreVersion::new(written_in, number))
        };
        let later = records.values().filter(|record| is_later(&record.path, record.revision));
        let later = later.map(|record| &record.path).filter(|path| differs(path));
        later.map(|path| Lost { path: path.clone(), restored: number(path) }).collect()
    } else {
        let state = &world.systems.configuration.rewrite;
        let is_unchanged = |lost: &&Lost| number(&lost.path) == lost.restored;
        let left = state.lost.iter().filter(is_unchanged).filter(|lost| differs(&lost.path));
        left.cloned().collect()
    };
    world.systems.configuration.rewrite.lost = lost;
}

/// Handles changes since the last read: a row that was written since the restore is not lost.
pub(super) fn handle_changes(world: &mut World, rows: &[Row]) {
    let is_written =
        |lost: &Lost| rows.iter().any(|row| row.key == RowKey::Configuration(lost.path.clone()));
    world.systems.configuration.rewrite.lost.retain(|lost| !is_written(lost));
}

/// Writes lost rows again once that is due.
pub(super) fn run(world: &mut World, tick: &mut Tick) {
    handle_reply(world, tick);
    let state = &mut world.systems.configuration.rewrite;
    if !state.is_needed() {
        state.due = None;
        return;
    }
    if state.pending.is_some() || world.tables.configuration.read.is_none() {
        return;
    }
    let due = match state.due {
        Some(due) => due,
        None => tick.now + world.jitter(WRITE_JITTER),
    };
    world.systems.configuration.rewrite.due = Some(due);
    if tick.now < due {
        return tick.wake(due);
    }
    let operation = transaction(world);
    let rows = world.systems.configuration.rewrite.lost.len().min(MAX_ROWS);
    let entry = Entry::new(Level::Warn, "configuration_written_again")
        .with("rows", rows)
        .with("revision", world.tables.configuration.revision.0);
    tick.log(entry);
    let ticket = world.call_store(tick, operation);
    let state = &mut world.systems.configuration.rewrite;
    (state.pending, state.due) = (Some(ticket), None);
}

fn transaction(world: &World) -> Operation {
    let configuration = &world.tables.configuration;
    let (recent, epoch) = (configuration.recent.clone(), world.systems.restore.epoch());
    let mut puts = vec![(RowKey::Head, Value::Head(Head { recent, epoch }))];
    let mut removals = Vec::new();
    for lost in world.systems.configuration.rewrite.lost.iter().take(MAX_ROWS) {
        let key = RowKey::Configuration(lost.path.clone());
        let record = configuration.records.get(&lost.path);
        match record.and_then(|record| record.row.clone()) {
            Some(row) => puts.push((key, Value::Configuration(row))),
            None => removals.push(key),
        }
    }
    Operation::Write { expected: vec![(RowKey::Head, configuration.head)], puts, removals }
}

/// Whatever the reply, the rows that were written arrive as changes. What is left is written again
/// on top of them.
fn handle_reply(world: &mut World, tick: &Tick) {
    let pending = world.systems.configuration.rewrite.pending;
    if tick.inbox.store.iter().any(|(ticket, _)| Some(*ticket) == pending) {
        let due = tick.now + RETRY_BACKOFF + world.jitter(WRITE_JITTER);
        let state = &mut world.systems.configuration.rewrite;
        (state.pending, state.due) = (None, Some(due));
    }
}
