//! A fake platform: its store in memory.

use std::collections::BTreeMap;

use mustardpin_world::{
    Millis, config,
    id::StoreVersion,
    store::{Area, Changes, Operation, Refused, Reply, Row, RowKey, Value},
};

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlatformMode {
    /// It answers.
    #[default]
    Up,
    /// It answers nothing and changes nothing.
    Down,
    /// It carries writes out, but their answers are lost.
    LoseReplies,
    /// It refuses every operation.
    Refuse(Refused),
}

/// A question that waits for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    area: Area,
    after: StoreVersion,
}

/// What becomes of an operation.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// It is answered at once.
    Reply(Reply),
    /// It is never answered.
    Silence,
    /// It is answered when there are changes, or after this time.
    Waits(Waiting, Millis),
}

/// A store in memory.
#[derive(Debug, Default)]
pub struct Platform {
    /// How it behaves.
    pub mode: PlatformMode,
    /// Operations that only read.
    pub reads: u64,
    /// Transactions, accepted or not.
    pub writes: u64,
    version: StoreVersion,
    /// The point of virtual time, as the store's clock shows it.
    pub(crate) clock: Millis,
    forgotten: StoreVersion,
    rows: BTreeMap<RowKey, Row>,
}

fn area_of(key: &RowKey) -> Area {
    match key {
        RowKey::Node(_) | RowKey::Roster => Area::Fleet,
        RowKey::Configuration(_) | RowKey::Head => Area::Configuration,
    }
}

impl Platform {
    /// Carries out an operation.
    pub(crate) fn apply(&mut self, operation: Operation) -> Outcome {
        match &operation {
            Operation::Write { .. } => self.writes += 1,
            Operation::Read(_) | Operation::Watch { .. } => self.reads += 1,
        }
        match self.mode {
            PlatformMode::Down => return Outcome::Silence,
            PlatformMode::Refuse(refused) => return Outcome::Reply(Reply::Refused(refused)),
            PlatformMode::Up | PlatformMode::LoseReplies => {}
        }
        match operation {
            Operation::Read(area) => Outcome::Reply(self.read(area)),
            Operation::Watch { area, after, wait } => {
                let waiting = Waiting { area, after };
                match self.changes(waiting) {
                    Some(reply) => Outcome::Reply(reply),
                    None if wait == Millis::ZERO => Outcome::Reply(self.nothing_new(waiting)),
                    None => Outcome::Waits(waiting, wait),
                }
            }
            Operation::Write { expected, puts, removals } => {
                let reply = self.write(&expected, puts, removals);
                match self.mode {
                    PlatformMode::LoseReplies => Outcome::Silence,
                    _ => Outcome::Reply(reply),
                }
            }
        }
    }

    /// Writes rows without any condition, as a test's own hand.
    pub fn put(&mut self, rows: Vec<(RowKey, Value)>) -> StoreVersion {
        self.version.0 += 1;
        for (key, value) in rows {
            self.keep(key, Some(value));
        }
        self.version
    }

    /// Writes rows of the configuration without any condition.
    pub fn put_configuration(&mut self, rows: Vec<config::Row>) -> StoreVersion {
        let rows = rows.into_iter();
        self.put(
            rows.map(|row| (RowKey::Configuration(row.path()), Value::Configuration(row)))
                .collect(),
        )
    }

    /// The version of the last transaction.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// The row of the configuration that stands at a path.
    pub fn configuration(&self, path: &config::Path) -> Option<&config::Row> {
        match &self.rows.get(&RowKey::Configuration(path.clone()))?.value {
            Some(Value::Configuration(row)) => Some(row),
            _ => None,
        }
    }

    /// The value of a row that is there.
    pub fn value(&self, key: &RowKey) -> Option<&Value> {
        self.rows.get(key)?.value.as_ref()
    }

    /// Forgets the history up to now: questions about changes since then are told so.
    pub fn compact(&mut self) {
        self.forgotten = self.version;
        self.rows.retain(|_, row| row.value.is_some());
    }

    /// Whether answers reach those who ask.
    pub(crate) fn answers(&self) -> bool {
        self.mode != PlatformMode::Down
    }

    /// The answer to a question, if there are changes.
    pub(crate) fn changes(&self, waiting: Waiting) -> Option<Reply> {
        if waiting.after < self.forgotten {
            return Some(Reply::HistoryGone);
        }
        let rows: Vec<Row> = self.of(waiting.area, waiting.after).cloned().collect();
        (!rows.is_empty()).then(|| self.reply(waiting.area, false, rows))
    }

    /// The answer to a question whose time is over.
    pub(crate) fn nothing_new(&self, waiting: Waiting) -> Reply {
        self.reply(waiting.area, false, Vec::new())
    }

    fn of(&self, area: Area, after: StoreVersion) -> impl Iterator<Item = &Row> {
        let rows = self.rows.values();
        rows.filter(move |row| area_of(&row.key) == area && row.version > after)
    }

    fn reply(&self, area: Area, whole: bool, rows: Vec<Row>) -> Reply {
        Reply::Changes {
            area,
            whole,
            up_to: self.version,
            clock: Some(self.clock),
            changes: Changes::Rows(rows),
        }
    }

    fn read(&self, area: Area) -> Reply {
        let rows = self.of(area, StoreVersion(0)).filter(|row| row.value.is_some());
        self.reply(area, true, rows.cloned().collect())
    }

    fn write(
        &mut self,
        expected: &[(RowKey, StoreVersion)],
        puts: Vec<(RowKey, Value)>,
        removals: Vec<RowKey>,
    ) -> Reply {
        let version_of = |key| {
            let row = self.rows.get(key).filter(|row| row.value.is_some());
            row.map_or(StoreVersion(0), |row| row.version)
        };
        if expected.iter().any(|(key, version)| version_of(key) != *version) {
            return Reply::Conflict;
        }
        self.version.0 += 1;
        for (key, value) in puts {
            self.keep(key, Some(value));
        }
        for key in removals {
            self.keep(key, None);
        }
        Reply::Written { version: self.version }
    }

    fn keep(&mut self, key: RowKey, value: Option<Value>) {
        let row = Row { key: key.clone(), version: self.version, value };
        self.rows.insert(key, row);
    }
}
