//! The configuration as agreed, and the tables derived from it.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{
    config::{CutOffPolicy, Delta, Fleet, Importance, Kind, Path, Record, Row},
    id::{Revision, RouteKey, TeamKey},
    table::Tables,
};

/// The configuration as agreed.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The revision the node is at. Never falls.
    pub revision: Revision,
    /// The revision of the platform's table that the node has read.
    pub polled: Revision,
    /// The revision of the head row, as the platform last gave it.
    pub head: Revision,
    /// The ids of the last changes, newest last, as the platform last gave them.
    pub recent: Vec<CompactString>,
    /// Every row and every removal, by path.
    pub records: BTreeMap<Path, Record>,
    /// The fleet's defaults.
    pub fleet: Fleet,
}

impl Configuration {
    /// What a node at an earlier revision lacks, up to about `limit` records.
    ///
    /// ```
    /// use mustardpin_world::{id::Revision, table::configuration::Configuration};
    /// assert!(Configuration::default().delta(Revision(0), 10).records.is_empty());
    /// ```
    pub fn delta(&self, after: Revision, limit: usize) -> Delta {
        let mut records: Vec<Record> =
            self.records.values().filter(|record| record.revision > after).cloned().collect();
        records.sort_by_key(|record| record.revision);
        let mut upto = self.revision;
        if let Some(last) = records.get(limit) {
            // A revision is passed on whole, so the page ends before or after one.
            let whole = records.iter().take(limit).rev().map(|record| record.revision);
            upto =
                whole.clone().find(|&revision| revision < last.revision).unwrap_or(last.revision);
            records.retain(|record| record.revision <= upto);
        }
        Delta { after, upto, records }
    }
}

impl Tables {
    /// A team's rate and burst, with exceptions.
    pub fn limits(&self, team: TeamKey) -> Option<(u32, u32)> {
        let team = self.teams.get(team)?;
        Some(self.exceptions.rate(&team.name).unwrap_or((team.rate, team.burst)))
    }

    /// How much a request of a team on a route matters, with exceptions.
    pub fn importance(&self, team: Option<TeamKey>, route: RouteKey) -> Importance {
        let Some(route) = self.routes.get(route) else { return Importance::default() };
        let team = team.and_then(|team| self.teams.get(team));
        team.and_then(|team| self.exceptions.importance(&team.name, &route.name))
            .unwrap_or(route.importance)
    }

    /// What a cut-off node does with requests of a team, with exceptions.
    pub fn cut_off_policy(&self, team: TeamKey) -> CutOffPolicy {
        let grace = self.teams.get(team).and_then(|team| self.exceptions.grace(&team.name));
        grace.map_or(self.configuration.fleet.cut_off, CutOffPolicy::Serve)
    }

    /// Takes a delta in. Returns `false`, and changes nothing, if it does not reach further than
    /// the node's revision, or starts after it: there may be changes in between.
    pub(crate) fn apply_delta(&mut self, delta: Delta) -> bool {
        if delta.after > self.configuration.revision || delta.upto <= self.configuration.revision {
            return false;
        }
        for record in delta.records {
            self.apply_record(record);
        }
        self.configuration.revision = delta.upto;
        true
    }

    /// Takes a record in, unless the node has one of the same path that is as late.
    pub(crate) fn apply_record(&mut self, record: Record) {
        let known = self.configuration.records.get(&record.path);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return;
        }
        match &record.row {
            Some(row) => self.derive(row.clone()),
            None => self.withdraw(&record.path),
        }
        self.configuration.records.insert(record.path.clone(), record);
    }

    fn derive(&mut self, row: Row) {
        match row {
            Row::Fleet(fleet) => self.configuration.fleet = fleet,
            Row::Team(team) => {
                self.teams.put(team);
            }
            Row::Route(route) => {
                self.routes.put(route);
            }
            Row::Key(key) => {
                self.tenants.put(key);
            }
            Row::Exception(exception) => {
                self.exceptions.put(exception);
            }
        }
    }

    fn withdraw(&mut self, path: &Path) {
        let name = path.name.as_str();
        match path.kind {
            Kind::Fleet => self.configuration.fleet = Fleet::default(),
            Kind::Team => self.teams.remove(name),
            Kind::Route => self.routes.remove(name),
            Kind::Key => self.tenants.remove(name),
            Kind::Exception => self.exceptions.remove(name),
        }
    }
}
