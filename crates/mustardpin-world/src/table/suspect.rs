//! Suspects: requests that were running as a target crashed.

use std::collections::BTreeMap;

use crate::{clock::Millis, request::Fingerprint};

/// What is known of a request that was running at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// At how many crashes it was running. The last one that counts is one at which it was tried
    /// alone.
    pub crashes: u32,
    /// When it is forgotten.
    pub until: Millis,
}

/// The table of suspects.
#[derive(Debug, Default)]
pub struct Suspects {
    rows: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Counts a crash against a request, up to a number of crashes. At the limit, the request that
    /// would be forgotten first makes room. Returns the number.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        until: Millis,
        most: u32,
        limit: usize,
    ) -> u32 {
        let row = self.rows.entry(fingerprint).or_insert(Suspect { crashes: 0, until });
        row.crashes = row.crashes.max((row.crashes + 1).min(most));
        row.until = until;
        let crashes = row.crashes;
        while self.rows.len() > limit {
            let first = self.rows.iter().min_by_key(|(_, row)| (row.crashes, row.until));
            let Some(first) = first.map(|(&fingerprint, _)| fingerprint) else { break };
            self.rows.remove(&first);
        }
        crashes
    }

    /// The suspect with this fingerprint, unless it is to be forgotten.
    pub fn get(&self, fingerprint: Fingerprint, now: Millis) -> Option<Suspect> {
        self.rows.get(&fingerprint).copied().filter(|suspect| now < suspect.until)
    }

    /// Forgets a suspect, unless it was running at this many crashes.
    pub fn clear(&mut self, fingerprint: Fingerprint, crashes: u32) {
        if self.rows.get(&fingerprint).is_some_and(|suspect| suspect.crashes < crashes) {
            self.rows.remove(&fingerprint);
        }
    }

    /// Forgets suspects whose time is over.
    pub fn expire(&mut self, now: Millis) {
        self.rows.retain(|_, suspect| now < suspect.until);
    }

    /// All suspects.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, Suspect)> {
        self.rows.iter().map(|(&fingerprint, &suspect)| (fingerprint, suspect))
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
