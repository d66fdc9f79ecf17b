//! Suspects: requests that were in flight as a target crashed.

use std::collections::BTreeMap;

use crate::{clock::Millis, message::quarantine::Mark};

/// What is known of a request that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// Whether it was alone, and so is known to crash targets.
    pub quarantined: bool,
    /// When it is forgotten.
    pub until: Millis,
}

/// The table of suspects.
#[derive(Debug, Default)]
pub struct Suspects {
    rows: BTreeMap<Mark, Suspect>,
}

impl Suspects {
    /// Adds a suspect. A request in quarantine stays there. At the limit, the suspect that would be
    /// forgotten first makes room, one in quarantine last.
    pub fn insert(&mut self, mark: Mark, suspect: Suspect, limit: usize) {
        if self.rows.get(&mark).is_some_and(|known| known.quarantined && !suspect.quarantined) {
            return;
        }
        self.rows.insert(mark, suspect);
        while self.rows.len() > limit {
            let first = self.rows.iter().min_by_key(|(_, row)| (row.quarantined, row.until));
            let Some(first) = first.map(|(&mark, _)| mark) else { return };
            self.rows.remove(&first);
        }
    }

    /// The suspect with this mark, unless it is to be forgotten.
    pub fn get(&self, mark: Mark, now: Millis) -> Option<Suspect> {
        self.rows.get(&mark).copied().filter(|suspect| now < suspect.until)
    }

    /// Forgets a suspect that is not in quarantine.
    pub fn clear(&mut self, mark: Mark) {
        if self.rows.get(&mark).is_some_and(|suspect| !suspect.quarantined) {
            self.rows.remove(&mark);
        }
    }

    /// Forgets suspects whose time is over.
    pub fn expire(&mut self, now: Millis) {
        self.rows.retain(|_, suspect| now < suspect.until);
    }

    /// All suspects.
    pub fn iter(&self) -> impl Iterator<Item = (Mark, Suspect)> {
        self.rows.iter().map(|(&mark, &suspect)| (mark, suspect))
    }

    /// How many suspects there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
