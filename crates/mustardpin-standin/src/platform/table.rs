//! The table of rows of the platform's stand-in, and the operations on it.

use std::collections::BTreeMap;

use compact_str::CompactString;
use mustardpin_platform::store::call::{Query, Row, RowName, Rows, Transaction, Written};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::control::Control;

/// How the stand-in responds to operations of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Behaviour {
    /// Responds at once.
    #[default]
    Up,
    /// Closes the connection of every request without a response.
    Down,
    /// Keeps connections open and never responds.
    Silent,
    /// Responds after a delay.
    Slow,
    /// Responds with status 503 and executes nothing.
    Error,
    /// Responds with status 429 and executes nothing.
    Busy,
    /// Executes writes, then closes the connection without a response. Serves reads.
    LoseAnswer,
}

/// The mode of the stand-in, as set by `POST /standin/mode`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Mode {
    /// How it responds.
    pub mode: Behaviour,
    /// The delay of responses in mode `slow`, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// How many operations the stand-in executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Reads of rows and long polls for changes.
    pub reads: u64,
    /// Transactions, including those with conflicts.
    pub writes: u64,
    /// Transactions whose conditions did not hold.
    pub conflicts: u64,
}

/// The changes that a long poll asks for were dropped by a compaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryDropped;

/// The outcome of an operation, and the epoch in which the stand-in executed it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer<T> {
    /// How often the store had been restored.
    pub epoch: u32,
    /// The outcome.
    pub outcome: T,
}

/// Takes the reply to a long poll.
type FeedReply = oneshot::Sender<Answer<Result<Rows, HistoryDropped>>>;

/// The rows at one version.
#[derive(Debug, Clone, Default)]
struct Snapshot {
    version: u64,
    rows: Table,
}

/// The value of each row, and the version that wrote or removed it.
type Table = BTreeMap<RowName, (u64, Option<CompactString>)>;

/// Queries and commands from the HTTP handler. The sender carries the reply.
#[derive(Debug)]
pub enum Event {
    /// Reads rows of a table in the order of their keys.
    Get(Query, oneshot::Sender<Answer<Rows>>),
    /// Long poll: replies with the rows of a table that changed after a version, once there are
    /// any.
    Feed(Query, FeedReply),
    /// Reads the newest version, without rows.
    Newest(oneshot::Sender<Answer<Rows>>),
    /// Executes a transaction. If its conditions do not hold, replies with the rows that they name.
    Transact(Transaction, oneshot::Sender<Answer<Result<Written, Rows>>>),
    /// Drops the history of changes.
    Compact(oneshot::Sender<()>),
    /// Copies the rows, for a later restore.
    Copy(oneshot::Sender<()>),
    /// Replaces the rows by the last copy, and closes the connections of long polls.
    Restore(oneshot::Sender<()>),
    /// Changes the mode.
    SetMode(Mode, oneshot::Sender<()>),
    /// Reads the mode.
    GetMode(oneshot::Sender<Mode>),
    /// Reads the counts of operations.
    Counts(oneshot::Sender<Counts>),
}

/// The state of the stand-in: rows, pending long polls, mode and counts.
#[derive(Debug, Default)]
pub struct Store {
    version: u64,
    /// The history of changes up to this version was dropped by a compaction.
    compacted_to: u64,
    rows: Table,
    /// The copy from which the rows are restored.
    copy: Snapshot,
    /// How often they were restored.
    epoch: u32,
    long_polls: Vec<(Query, FeedReply)>,
    mode: Mode,
    counts: Counts,
}

impl Store {
    /// Returns rows of a table in the order of their keys. A limit of 0 means no limit.
    ///
    /// ```
    /// use mustardpin_platform::store::call::Query;
    /// use mustardpin_standin::platform::table::Store;
    /// assert!(Store::default().get(&Query::default()).rows.is_empty());
    /// ```
    pub fn get(&self, query: &Query) -> Rows {
        let limit = if query.limit == 0 { usize::MAX } else { query.limit as usize };
        let rows = self.rows.iter().filter(|(name, (_, value))| {
            name.table == query.table
                && name.part == query.part
                && name.key >= query.from
                && value.is_some()
        });
        let mut rows: Vec<Row> = rows.map(|(name, row)| to_row(name, row)).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        Rows { rows, has_more, ..self.newest() }
    }

    /// Returns the rows of a table that changed after a version, in the order of their versions.
    ///
    /// # Errors
    ///
    /// [`HistoryDropped`] if changes after that version were dropped by a compaction, or if the
    /// store was restored and has not reached that version again.
    pub fn feed(&self, query: &Query) -> Result<Rows, HistoryDropped> {
        if query.after < self.compacted_to || query.after > self.version {
            return Err(HistoryDropped);
        }
        let changed = self
            .rows
            .iter()
            .filter(|(name, (version, _))| name.table == query.table && *version > query.after);
        let mut rows: Vec<Row> = changed.map(|(name, row)| to_row(name, row)).collect();
        rows.sort_by_key(|row| row.version_number);
        Ok(Rows { rows, ..self.newest() })
    }

    /// Writes all rows if all conditions hold. Otherwise writes none and returns the rows that the
    /// conditions name.
    ///
    /// ```
    /// use mustardpin_platform::store::call::{Condition, RowName, Transaction};
    /// use mustardpin_standin::platform::table::Store;
    ///
    /// let row = RowName { table: "fleet".into(), part: "".into(), key: "roster".into() };
    /// let transaction = Transaction {
    ///     expected: vec![Condition { row: row.clone(), version_number: 1 }],
    ///     puts: vec![],
    ///     deletes: vec![row],
    /// };
    /// assert!(Store::default().transact(transaction).is_err(), "there is no such row");
    /// ```
    pub fn transact(&mut self, transaction: Transaction) -> Result<Written, Rows> {
        let present = |name: &RowName| self.rows.get(name).filter(|(_, value)| value.is_some());
        let conditions_hold = transaction.expected.iter().all(|condition| {
            present(&condition.row).map_or(0, |(version, _)| *version) == condition.version_number
        });
        if !conditions_hold {
            let names = transaction.expected.iter().map(|condition| &condition.row);
            let rows = names.filter_map(|name| Some(to_row(name, present(name)?))).collect();
            self.counts.conflicts += 1;
            return Err(Rows { rows, ..self.newest() });
        }
        self.version += 1;
        for put in transaction.puts {
            self.rows.insert(put.row, (self.version, Some(put.value)));
        }
        for name in transaction.deletes {
            self.rows.insert(name, (self.version, None));
        }
        Ok(Written { version_number: self.version, now_s: 0.0 })
    }

    /// Replaces the rows by the last copy. Transactions since the copy are lost, and their versions
    /// are assigned again.
    fn restore(&mut self) {
        let Snapshot { version, rows } = self.copy.clone();
        (self.version, self.rows) = (version, rows);
        self.compacted_to = self.compacted_to.min(version);
        self.epoch += 1;
        // Dropping a sender closes the connection of its request.
        self.long_polls.clear();
    }

    fn answer<T>(&self, outcome: T) -> Answer<T> {
        Answer { epoch: self.epoch, outcome }
    }

    fn newest(&self) -> Rows {
        Rows { rows: Vec::new(), has_more: false, version_number: self.version, now_s: 0.0 }
    }

    /// Replies to the long polls whose table has changed since their version.
    fn reply_to_long_polls(&mut self) {
        for (query, reply) in std::mem::take(&mut self.long_polls) {
            match self.feed(&query) {
                Ok(rows) if rows.rows.is_empty() => {
                    if !reply.is_closed() {
                        self.long_polls.push((query, reply));
                    }
                }
                result => {
                    let _receiver_dropped = reply.send(self.answer(result));
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        // A reply is dropped if its request has ended in the meantime.
        match event {
            Event::Get(query, reply) => {
                self.counts.reads += 1;
                let _receiver_dropped = reply.send(self.answer(self.get(&query)));
            }
            Event::Feed(query, reply) => {
                self.counts.reads += 1;
                self.long_polls.push((query, reply));
            }
            Event::Newest(reply) => {
                let _receiver_dropped = reply.send(self.answer(self.newest()));
            }
            Event::Transact(transaction, reply) => {
                self.counts.writes += 1;
                let outcome = self.transact(transaction);
                let _receiver_dropped = reply.send(self.answer(outcome));
            }
            Event::Compact(reply) => {
                self.compacted_to = self.version;
                let _receiver_dropped = reply.send(());
            }
            Event::Copy(reply) => {
                self.copy = Snapshot { version: self.version, rows: self.rows.clone() };
                let _receiver_dropped = reply.send(());
            }
            Event::Restore(reply) => {
                self.restore();
                let _receiver_dropped = reply.send(());
            }
            Event::SetMode(mode, reply) => {
                self.mode = mode;
                let _receiver_dropped = reply.send(());
            }
            Event::GetMode(reply) => {
                let _receiver_dropped = reply.send(self.mode);
            }
            Event::Counts(reply) => {
                let _receiver_dropped = reply.send(self.counts);
            }
        }
    }
}

fn to_row(name: &RowName, (version, value): &(u64, Option<CompactString>)) -> Row {
    Row {
        table: name.table.clone(),
        part: name.part.clone(),
        key: name.key.clone(),
        value: value.clone().unwrap_or_default().into(),
        version_number: *version,
        deleted: value.is_none(),
    }
}

impl Control for Store {
    type Event = Event;

    fn tick(&mut self, events: Vec<Event>) {
        for event in events {
            self.handle(event);
        }
        self.reply_to_long_polls();
    }
}
