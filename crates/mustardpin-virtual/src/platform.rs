//! A fake platform that keeps its store in memory.

use std::collections::BTreeMap;

use mustardpin_world::{
    Millis, config,
    id::{Epoch, Revision, StoreVersion},
    store::{Area, Changes, Operation, Refused, Reply, Row, RowKey, Value},
};

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlatformMode {
    /// It replies to every operation.
    #[default]
    Up,
    /// It executes nothing and sends no replies.
    Down,
    /// It executes writes, but the replies to them are lost.
    LoseReplies,
    /// It refuses every operation.
    Refuse(Refused),
}

/// A long poll: a watch that the store holds until its area changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LongPoll {
    area: Area,
    after: StoreVersion,
}

/// How the store handles an operation.
#[derive(Debug)]
pub(crate) enum StoreOutcome {
    /// It replies at once.
    Reply(Reply),
    /// It never replies.
    NoReply,
    /// It replies when there are changes, or after this time.
    Deferred(LongPoll, Millis),
}

/// The content of the store at one version.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    version: StoreVersion,
    rows: BTreeMap<RowKey, Row>,
    document: Option<(StoreVersion, config::Update)>,
}

/// A store in memory.
#[derive(Debug, Default)]
pub struct Platform {
    /// How it responds to operations.
    pub mode: PlatformMode,
    /// The number of reads and watches.
    pub reads: u64,
    /// The number of transactions, accepted or not.
    pub writes: u64,
    version: StoreVersion,
    /// The time of the store's clock, in virtual time.
    pub(crate) clock: Millis,
    /// The version up to which the history of changes is dropped.
    compacted_to: StoreVersion,
    rows: BTreeMap<RowKey, Row>,
    /// The configuration, with the version that wrote it, if operators keep it as one document.
    document: Option<(StoreVersion, config::Update)>,
}

fn area_of(key: &RowKey) -> Area {
    match key {
        RowKey::Node(_) | RowKey::Roster | RowKey::Departure(_) => Area::Fleet,
        RowKey::Configuration(_) | RowKey::Head => Area::Configuration,
    }
}

impl Platform {
    /// Executes an operation.
    pub(crate) fn apply(&mut self, operation: Operation) -> StoreOutcome {
        match &operation {
            Operation::Write { .. } => self.writes += 1,
            Operation::Read(_) | Operation::Watch { .. } => self.reads += 1,
        }
        match self.mode {
            PlatformMode::Down => return StoreOutcome::NoReply,
            PlatformMode::Refuse(refused) => return StoreOutcome::Reply(Reply::Refused(refused)),
            PlatformMode::Up | PlatformMode::LoseReplies => {}
        }
        match operation {
            Operation::Read(area) => StoreOutcome::Reply(self.read(area)),
            Operation::Watch { area, after, wait } => {
                let poll = LongPoll { area, after };
                match self.changes(poll) {
                    Some(reply) => StoreOutcome::Reply(reply),
                    None if wait == Millis::ZERO => StoreOutcome::Reply(self.unchanged_reply(poll)),
                    None => StoreOutcome::Deferred(poll, wait),
                }
            }
            Operation::Write { expected, puts, removals } => {
                let reply = self.write(&expected, puts, removals);
                match self.mode {
                    PlatformMode::LoseReplies => StoreOutcome::NoReply,
                    _ => StoreOutcome::Reply(reply),
                }
            }
        }
    }

    /// Writes rows unconditionally, for the set-up of a test.
    pub fn put(&mut self, rows: Vec<(RowKey, Value)>) -> StoreVersion {
        self.version.number += 1;
        for (key, value) in rows {
            self.set_row(key, Some(value));
        }
        self.version
    }

    /// Writes configuration rows unconditionally.
    pub fn put_configuration(&mut self, rows: Vec<config::Row>) -> StoreVersion {
        let rows = rows.into_iter();
        self.put(
            rows.map(|row| (RowKey::Configuration(row.path()), Value::Configuration(row)))
                .collect(),
        )
    }

    /// Writes the configuration as one document, which replaces the rows of the configuration.
    pub fn put_document(&mut self, revision: Revision, rows: Vec<config::Row>) -> StoreVersion {
        self.version.number += 1;
        self.document = Some((self.version, config::Update::Whole { revision, rows }));
        self.version
    }

    /// Returns a copy of the store's content.
    pub fn snapshot(&self) -> Snapshot {
        let (version, rows, document) = (self.version, self.rows.clone(), self.document.clone());
        Snapshot { version, rows, document }
    }

    /// Replaces the store's content by a copy. Transactions since the copy are lost, and their
    /// versions are assigned again.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        let epoch = Epoch(self.version.epoch.0 + 1);
        let in_epoch = |version: StoreVersion| StoreVersion::new(epoch, version.number);
        let compacted_to = self.compacted_to.number.min(snapshot.version.number);
        self.compacted_to = StoreVersion::new(epoch, compacted_to);
        self.version = in_epoch(snapshot.version);
        self.rows = snapshot.rows;
        for row in self.rows.values_mut() {
            row.version = in_epoch(row.version);
        }
        self.document = snapshot.document.map(|(version, update)| (in_epoch(version), update));
    }

    /// Returns the store version of the last transaction.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the configuration row at a path.
    pub fn configuration(&self, path: &config::Path) -> Option<&config::Row> {
        match &self.rows.get(&RowKey::Configuration(path.clone()))?.value {
            Some(Value::Configuration(row)) => Some(row),
            _ => None,
        }
    }

    /// Returns the value of a row, or `None` if it doesn't exist or was removed.
    pub fn value(&self, key: &RowKey) -> Option<&Value> {
        self.rows.get(key)?.value.as_ref()
    }

    /// Drops the history up to the current version: a watch from an earlier version gets
    /// [`Reply::HistoryGone`].
    pub fn compact(&mut self) {
        self.compacted_to = self.version;
        self.rows.retain(|_, row| row.value.is_some());
    }

    /// Whether the platform sends replies to long polls.
    pub(crate) fn sends_replies(&self) -> bool {
        self.mode != PlatformMode::Down
    }

    /// Returns the reply to a long poll if there are changes, or if the history was dropped.
    pub(crate) fn changes(&self, poll: LongPoll) -> Option<Reply> {
        let is_known = poll.after.epoch == self.version.epoch && poll.after <= self.version;
        if !is_known || poll.after < self.compacted_to {
            return Some(Reply::HistoryGone);
        }
        if let Some(update) = self.document_since(poll.area, poll.after) {
            return Some(self.reply(poll.area, false, Changes::Document(update.clone())));
        }
        let rows: Vec<Row> = self.rows_since(poll.area, poll.after).cloned().collect();
        (!rows.is_empty()).then(|| self.reply(poll.area, false, Changes::Rows(rows)))
    }

    /// Returns the reply to a long poll without changes.
    pub(crate) fn unchanged_reply(&self, poll: LongPoll) -> Reply {
        self.reply(poll.area, false, Changes::Rows(Vec::new()))
    }

    fn document_since(&self, area: Area, after: StoreVersion) -> Option<&config::Update> {
        let (version, update) = self.document.as_ref()?;
        (area == Area::Configuration && *version > after).then_some(update)
    }

    fn rows_since(&self, area: Area, after: StoreVersion) -> impl Iterator<Item = &Row> {
        let rows = self.rows.values();
        rows.filter(move |row| area_of(&row.key) == area && row.version > after)
    }

    fn reply(&self, area: Area, whole: bool, changes: Changes) -> Reply {
        Reply::Changes { area, whole, up_to: self.version, clock: Some(self.clock), changes }
    }

    fn read(&self, area: Area) -> Reply {
        if let Some(update) = self.document_since(area, StoreVersion::default()) {
            return self.reply(area, true, Changes::Document(update.clone()));
        }
        let rows = self.rows_since(area, StoreVersion::default()).filter(|row| row.value.is_some());
        self.reply(area, true, Changes::Rows(rows.cloned().collect()))
    }

    fn write(
        &mut self,
        expected: &[(RowKey, StoreVersion)],
        puts: Vec<(RowKey, Value)>,
        removals: Vec<RowKey>,
    ) -> Reply {
        let version_of = |key| {
            let row = self.rows.get(key).filter(|row| row.value.is_some());
            row.map_or(StoreVersion::default(), |row| row.version)
        };
        // The store compares numbers only: it doesn't know in which epoch a caller read them.
        if expected.iter().any(|(key, version)| version_of(key).number != version.number) {
            return Reply::Conflict;
        }
        self.version.number += 1;
        for (key, value) in puts {
            self.set_row(key, Some(value));
        }
        for key in removals {
            self.set_row(key, None);
        }
        Reply::Written { version: self.version }
    }

    fn set_row(&mut self, key: RowKey, value: Option<Value>) {
        let row = Row { key: key.clone(), version: self.version, value };
        self.rows.insert(key, row);
    }
}
