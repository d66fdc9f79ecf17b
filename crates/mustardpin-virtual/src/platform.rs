//! A fake platform: its store in memory.

use std::collections::BTreeMap;

use mustardpin_world::{
    Millis, config,
    id::Position,
    store::{Area, Name, News, Operation, Refused, Reply, Row, Value},
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
    LoseAnswers,
    /// It refuses every operation.
    Refuse(Refused),
}

/// A question that waits for news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    area: Area,
    after: Position,
}

/// What becomes of an operation.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// It is answered at once.
    Reply(Reply),
    /// It is never answered.
    Silence,
    /// It is answered when there is news, or after this time.
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
    position: Position,
    /// The point of virtual time, as the store's clock shows it.
    pub(crate) clock: Millis,
    forgotten: Position,
    rows: BTreeMap<Name, Row>,
}

fn area_of(name: &Name) -> Area {
    match name {
        Name::Node(_) | Name::Roster => Area::Fleet,
        Name::Configuration(_) | Name::Head => Area::Configuration,
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
            PlatformMode::Up | PlatformMode::LoseAnswers => {}
        }
        match operation {
            Operation::Read(area) => Outcome::Reply(self.read(area)),
            Operation::Watch { area, after, wait } => {
                let waiting = Waiting { area, after };
                match self.news(waiting) {
                    Some(reply) => Outcome::Reply(reply),
                    None if wait == Millis::ZERO => Outcome::Reply(self.nothing_new(waiting)),
                    None => Outcome::Waits(waiting, wait),
                }
            }
            Operation::Write { expected, puts, removals } => {
                let reply = self.write(&expected, puts, removals);
                match self.mode {
                    PlatformMode::LoseAnswers => Outcome::Silence,
                    _ => Outcome::Reply(reply),
                }
            }
        }
    }

    /// Writes rows without any condition, as a test's own hand.
    pub fn put(&mut self, rows: Vec<(Name, Value)>) -> Position {
        self.position.0 += 1;
        for (name, value) in rows {
            self.keep(name, Some(value));
        }
        self.position
    }

    /// Writes rows of the configuration without any condition.
    pub fn put_configuration(&mut self, rows: Vec<config::Row>) -> Position {
        let rows = rows.into_iter();
        self.put(
            rows.map(|row| (Name::Configuration(row.path()), Value::Configuration(row))).collect(),
        )
    }

    /// The position of the last transaction.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The row of the configuration that stands at a path.
    pub fn configuration(&self, path: &config::Path) -> Option<&config::Row> {
        match &self.rows.get(&Name::Configuration(path.clone()))?.value {
            Some(Value::Configuration(row)) => Some(row),
            _ => None,
        }
    }

    /// The value of a row that is there.
    pub fn value(&self, name: &Name) -> Option<&Value> {
        self.rows.get(name)?.value.as_ref()
    }

    /// Forgets the history up to now: questions about news since then are told so.
    pub fn compact(&mut self) {
        self.forgotten = self.position;
        self.rows.retain(|_, row| row.value.is_some());
    }

    /// Whether answers reach those who ask.
    pub(crate) fn answers(&self) -> bool {
        self.mode != PlatformMode::Down
    }

    /// The answer to a question, if there is news.
    pub(crate) fn news(&self, waiting: Waiting) -> Option<Reply> {
        if waiting.after < self.forgotten {
            return Some(Reply::Forgotten);
        }
        let rows: Vec<Row> = self.of(waiting.area, waiting.after).cloned().collect();
        (!rows.is_empty()).then(|| self.reply(waiting.area, false, rows))
    }

    /// The answer to a question whose time is over.
    pub(crate) fn nothing_new(&self, waiting: Waiting) -> Reply {
        self.reply(waiting.area, false, Vec::new())
    }

    fn of(&self, area: Area, after: Position) -> impl Iterator<Item = &Row> {
        let rows = self.rows.values();
        rows.filter(move |row| area_of(&row.name) == area && row.position > after)
    }

    fn reply(&self, area: Area, whole: bool, rows: Vec<Row>) -> Reply {
        Reply::News {
            area,
            whole,
            upto: self.position,
            clock: Some(self.clock),
            news: News::Rows(rows),
        }
    }

    fn read(&self, area: Area) -> Reply {
        let rows = self.of(area, Position(0)).filter(|row| row.value.is_some());
        self.reply(area, true, rows.cloned().collect())
    }

    fn write(
        &mut self,
        expected: &[(Name, Position)],
        puts: Vec<(Name, Value)>,
        removals: Vec<Name>,
    ) -> Reply {
        let position_of = |name| {
            let row = self.rows.get(name).filter(|row| row.value.is_some());
            row.map_or(Position(0), |row| row.position)
        };
        if expected.iter().any(|(name, position)| position_of(name) != *position) {
            return Reply::Conflict;
        }
        self.position.0 += 1;
        for (name, value) in puts {
            self.keep(name, Some(value));
        }
        for name in removals {
            self.keep(name, None);
        }
        Reply::Written { position: self.position }
    }

    fn keep(&mut self, name: Name, value: Option<Value>) {
        let row = Row { name: name.clone(), position: self.position, value };
        self.rows.insert(name, row);
    }
}
