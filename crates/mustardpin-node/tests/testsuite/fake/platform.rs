//! An in-memory store of the platform.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mustardpin_node::{control::Handle, store::Store};
use mustardpin_world::{
    Event, config,
    id::StoreVersion,
    store::{Area, Changes, Operation, Reply, Row, RowKey, Ticket, Value},
};
use tokio::{runtime, sync::watch, time};

/// A store that replies at once, and to a long poll as soon as a row changes.
#[derive(Clone)]
pub struct Platform {
    table: Arc<Mutex<Table>>,
    version: watch::Sender<u64>,
}

#[derive(Default)]
struct Table {
    version: StoreVersion,
    rows: BTreeMap<RowKey, Row>,
}

impl Platform {
    /// Creates a store with these rows of the configuration.
    pub fn new(rows: Vec<config::Row>) -> Platform {
        let platform = Platform { table: Arc::default(), version: watch::Sender::new(0) };
        platform.write(rows);
        platform
    }

    /// Writes rows of the configuration, as an operator's change would.
    pub fn write(&self, rows: Vec<config::Row>) {
        let puts = rows
            .into_iter()
            .map(|row| (RowKey::Configuration(row.path()), Value::Configuration(row)));
        self.transact(&[], puts.collect(), Vec::new());
    }

    /// Creates a client for one node.
    pub fn client(&self, control: Handle) -> Box<dyn Store> {
        let runtime = runtime::Handle::current();
        Box::new(Client { platform: self.clone(), control, runtime })
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("the lock is not poisoned")
    }

    fn transact(
        &self,
        expected: &[(RowKey, StoreVersion)],
        puts: Vec<(RowKey, Value)>,
        removals: Vec<RowKey>,
    ) -> Reply {
        let mut table = self.table();
        let holds = |(key, version): &(RowKey, StoreVersion)| {
            let row = table.rows.get(key).filter(|row| row.value.is_some());
            row.map_or(StoreVersion::default(), |row| row.version) == *version
        };
        if !expected.iter().all(holds) {
            return Reply::Conflict;
        }
        table.version.number += 1;
        let version = table.version;
        let puts = puts.into_iter().map(|(key, value)| (key, Some(value)));
        for (key, value) in puts.chain(removals.into_iter().map(|key| (key, None))) {
            table.rows.insert(key.clone(), Row { key, version, value });
        }
        drop(table);
        self.version.send_replace(version.number);
        Reply::Written { version }
    }

    fn changes(&self, area: Area, after: StoreVersion, whole: bool) -> Reply {
        let table = self.table();
        let is_wanted = |row: &&Row| {
            let is_fleet =
                matches!(row.key, RowKey::Node(_) | RowKey::Roster | RowKey::Departure(_));
            let exists = !whole || row.value.is_some();
            exists && is_fleet == (area == Area::Fleet) && row.version > after
        };
        let rows = table.rows.values().filter(is_wanted).cloned().collect();
        let up_to = table.version;
        Reply::Changes { area, whole, up_to, clock: None, changes: Changes::Rows(rows) }
    }

    /// Waits for changes in an area.
    async fn watch(&self, area: Area, after: StoreVersion) -> Reply {
        let mut version = self.version.subscribe();
        loop {
            version.mark_unchanged();
            let reply = self.changes(area, after, false);
            if matches!(&reply, Reply::Changes { changes: Changes::Rows(rows), .. } if !rows.is_empty())
            {
                return reply;
            }
            version.changed().await.expect("the platform holds the sender");
        }
    }
}

struct Client {
    platform: Platform,
    control: Handle,
    runtime: runtime::Handle,
}

impl Store for Client {
    fn submit(&mut self, ticket: Ticket, operation: Operation) {
        let (platform, control) = (self.platform.clone(), self.control.clone());
        self.runtime.spawn(async move {
            let reply = match operation {
                Operation::Read(area) => platform.changes(area, StoreVersion::default(), true),
                Operation::Write { expected, puts, removals } => {
                    platform.transact(&expected, puts, removals)
                }
                Operation::Watch { area, after, wait } => {
                    let wait = Duration::from_millis(wait.0);
                    let changes = time::timeout(wait, platform.watch(area, after)).await;
                    changes.unwrap_or_else(|_| platform.changes(area, after, false))
                }
            };
            control.event(Event::Store(ticket, reply));
        });
    }
}
