//! The tables of the platform's stand-in, and the operations on them.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::oneshot;

use crate::control::Control;

/// A row that must still be at a revision; zero means that it must not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// The row's path.
    pub path: CompactString,
    /// The revision that last changed it.
    pub revision: u64,
}

/// A row to write, or to remove with a null value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row's path.
    pub path: CompactString,
    /// Its value.
    pub value: Value,
}

/// Writes that take effect together, if all guards hold.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(default)]
    pub guards: Vec<Guard>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// A row with the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The row's path.
    pub path: CompactString,
    /// The revision.
    pub revision: u64,
    /// Its value; null once it is removed.
    pub value: Value,
}

/// All rows changed after some revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Changes {
    /// The revision of the whole table.
    pub upto: u64,
    /// The rows, in the order of their revisions.
    pub rows: Vec<Row>,
}

/// The revision a transaction was given, or the revision of the table at a conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The revision.
    pub revision: u64,
}

/// How the stand-in behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Behaviour {
    /// Answers at once.
    #[default]
    Up,
    /// Closes every connection without an answer.
    Down,
    /// Answers after a delay.
    Slow,
    /// Answers 503.
    Error,
    /// Writes take effect, and the connection is closed without an answer.
    LoseAnswer,
}

/// How the stand-in behaves, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Mode {
    /// How it behaves.
    pub mode: Behaviour,
    /// The delay of slow answers, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// How often the stand-in was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Reads of the table and of objects.
    pub reads: u64,
    /// Writes of the table and of objects.
    pub writes: u64,
    /// Transactions whose guards did not hold.
    pub conflicts: u64,
}

/// What the front asks of the tables.
#[derive(Debug)]
pub enum Event {
    /// All rows changed after a revision.
    Changes(u64, oneshot::Sender<Changes>),
    /// A transaction.
    Transact(Transaction, oneshot::Sender<Result<Revision, Revision>>),
    /// Reads an object.
    GetObject(CompactString, oneshot::Sender<Option<Bytes>>),
    /// Writes an object.
    PutObject(CompactString, Bytes, oneshot::Sender<()>),
    /// Changes the behaviour.
    SetMode(Mode, oneshot::Sender<()>),
    /// Asks for the behaviour.
    GetMode(oneshot::Sender<Mode>),
    /// Asks how often the stand-in was asked.
    Counts(oneshot::Sender<Counts>),
}

/// Everything the stand-in keeps.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    rows: BTreeMap<CompactString, (u64, Value)>,
    objects: BTreeMap<CompactString, Bytes>,
    mode: Mode,
    counts: Counts,
}

impl Store {
    /// All rows changed after a revision, in the order of their revisions.
    pub fn changes(&self, after: u64) -> Changes {
        let changed = self.rows.iter().filter(|(_, (revision, _))| *revision > after);
        let mut rows: Vec<Row> = changed
            .map(|(path, (revision, value))| Row {
                path: path.clone(),
                revision: *revision,
                value: value.clone(),
            })
            .collect();
        rows.sort_by_key(|row| row.revision);
        Changes { upto: self.revision, rows }
    }

    /// Writes all rows if all guards hold; else gives the revision of the table.
    ///
    /// ```
    /// use mustardpin_standin::platform::table::{Guard, Revision, Store, Transaction, Write};
    ///
    /// let mut store = Store::default();
    /// let transaction = Transaction {
    ///     guards: vec![Guard { path: "head".into(), revision: 0 }],
    ///     writes: vec![Write { path: "head".into(), value: 1.into() }],
    /// };
    /// assert_eq!(store.transact(transaction.clone()), Ok(Revision { revision: 1 }));
    /// assert_eq!(store.transact(transaction), Err(Revision { revision: 1 }));
    /// ```
    pub fn transact(&mut self, transaction: Transaction) -> Result<Revision, Revision> {
        let holds = |guard: &Guard| {
            let Some((revision, value)) = self.rows.get(&guard.path) else {
                return guard.revision == 0;
            };
            *revision == guard.revision || (value.is_null() && guard.revision == 0)
        };
        if !transaction.guards.iter().all(holds) {
            self.counts.conflicts += 1;
            return Err(Revision { revision: self.revision });
        }
        self.revision += 1;
        for write in transaction.writes {
            self.rows.insert(write.path, (self.revision, write.value));
        }
        Ok(Revision { revision: self.revision })
    }

    fn handle(&mut self, event: Event) {
        // A reply that nobody waits for any more is dropped.
        match event {
            Event::Changes(after, reply) => {
                self.counts.reads += 1;
                let _gone = reply.send(self.changes(after));
            }
            Event::Transact(transaction, reply) => {
                self.counts.writes += 1;
                let _gone = reply.send(self.transact(transaction));
            }
            Event::GetObject(name, reply) => {
                self.counts.reads += 1;
                let _gone = reply.send(self.objects.get(&name).cloned());
            }
            Event::PutObject(name, bytes, reply) => {
                self.counts.writes += 1;
                self.objects.insert(name, bytes);
                let _gone = reply.send(());
            }
            Event::SetMode(mode, reply) => {
                self.mode = mode;
                let _gone = reply.send(());
            }
            Event::GetMode(reply) => {
                let _gone = reply.send(self.mode);
            }
            Event::Counts(reply) => {
                let _gone = reply.send(self.counts);
            }
        }
    }
}

impl Control for Store {
    type Event = Event;

    fn tick(&mut self, events: Vec<Event>) {
        for event in events {
            self.handle(event);
        }
    }
}
