//! Suspects: requests that were running when a target crashed.

use std::collections::BTreeMap;

use crate::{clock::Millis, request::Fingerprint};

/// A request that was running when a target crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// The number of crashes during which it was running. Only a crash in a trial raises it to the
    /// number at which the request is refused.
    pub crashes: u32,
    /// When the suspect expires.
    pub until: Millis,
}

/// The table of suspects, by fingerprint.
#[derive(Debug, Default)]
pub struct Suspects {
    rows: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Records a crash of a request and returns the request's number of crashes, which this call
    /// raises to `max_crashes` at most. While there are more than `limit` suspects, removes the one
    /// with the fewest crashes; among equals, the one that expires first.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        until: Millis,
        max_crashes: u32,
        limit: usize,
    ) -> u32 {
        let row = self.rows.entry(fingerprint).or_insert(Suspect { crashes: 0, until });
        row.crashes = row.crashes.max((row.crashes + 1).min(max_crashes));
        row.until = until;
        let crashes = row.crashes;
        while self.rows.len() > limit {
            let first = self.rows.iter().min_by_key(|(_, row)| (row.crashes, row.until));
            let Some(first) = first.map(|(&fingerprint, _)| fingerprint) else { break };
            self.rows.remove(&first);
        }
        crashes
    }

    /// The suspect with this fingerprint, unless it has expired.
    pub fn get(&self, fingerprint: Fingerprint, now: Millis) -> Option<Suspect> {
        self.rows.get(&fingerprint).copied().filter(|suspect| now < suspect.until)
    }

    /// Removes a suspect that has fewer than this number of crashes.
    pub fn clear(&mut self, fingerprint: Fingerprint, crashes: u32) {
        if self.rows.get(&fingerprint).is_some_and(|suspect| suspect.crashes < crashes) {
            self.rows.remove(&fingerprint);
        }
    }

    /// Removes expired suspects.
    pub fn expire(&mut self, now: Millis) {
        self.rows.retain(|_, suspect| now < suspect.until);
    }

    /// All suspects, also expired ones that have not been removed yet.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, Suspect)> {
        self.rows.iter().map(|(&fingerprint, &suspect)| (fingerprint, suspect))
    }

    /// The number of suspects.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
