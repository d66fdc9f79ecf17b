//! A fake of the platform's table.

use std::collections::BTreeMap;

use mustardpin_world::{
    config,
    id::{NodeId, Revision},
    platform::{Guard, Operation, Reply, Row, Versioned},
};

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlatformMode {
    /// It answers.
    #[default]
    Up,
    /// It does not answer.
    Down,
    /// Writes take effect and their answers are lost.
    LoseAnswers,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    Configuration(config::Path),
    Head,
    Epoch,
    Node(NodeId),
}

/// A transactional table in memory.
#[derive(Debug, Default)]
pub struct Platform {
    /// How it behaves.
    pub mode: PlatformMode,
    /// Operations that only read.
    pub reads: u64,
    /// Transactions, accepted or not.
    pub writes: u64,
    revision: Revision,
    rows: BTreeMap<Place, Versioned>,
}

impl Platform {
    /// Carries out an operation at once.
    pub fn apply(&mut self, operation: Operation) -> Reply {
        if self.mode == PlatformMode::Down {
            return Reply::Failed;
        }
        match operation {
            Operation::Changes { after } => {
                self.reads += 1;
                self.changes(after)
            }
            Operation::Transact { guards, rows } => {
                self.writes += 1;
                let reply = self.transact(&guards, rows);
                if self.mode == PlatformMode::LoseAnswers { Reply::Failed } else { reply }
            }
        }
    }

    /// Writes rows without any guard, as a test's own hand.
    pub fn put(&mut self, rows: Vec<Row>) -> Revision {
        self.write(rows)
    }

    /// The revision of the whole table.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The row of the configuration that stands at a path.
    pub fn configuration(&self, path: &config::Path) -> Option<&config::Row> {
        match &self.rows.get(&Place::Configuration(path.clone()))?.row {
            Row::Configuration(_, row) => row.as_ref(),
            _ => None,
        }
    }

    fn changes(&self, after: Revision) -> Reply {
        let mut rows: Vec<Versioned> =
            self.rows.values().filter(|row| row.revision > after).cloned().collect();
        rows.sort_by_key(|row| row.revision);
        Reply::Changes { upto: self.revision, rows }
    }

    fn transact(&mut self, guards: &[(Guard, Revision)], rows: Vec<Row>) -> Reply {
        let holds = guards.iter().all(|(guard, revision)| {
            let place = match guard {
                Guard::Head => Place::Head,
                Guard::Epoch => Place::Epoch,
            };
            self.rows.get(&place).map_or(Revision(0), |row| row.revision) == *revision
        });
        if !holds {
            return Reply::Conflict;
        }
        Reply::Accepted { revision: self.write(rows) }
    }

    fn write(&mut self, rows: Vec<Row>) -> Revision {
        self.revision.0 += 1;
        for mut row in rows {
            let place = match &mut row {
                Row::Configuration(path, _) => Place::Configuration(path.clone()),
                Row::Head(_) => Place::Head,
                Row::Epoch(epoch) => {
                    epoch.revision = self.revision;
                    Place::Epoch
                }
                Row::Node(node, _) => Place::Node(*node),
            };
            self.rows.insert(place, Versioned { revision: self.revision, row });
        }
        self.revision
    }
}
