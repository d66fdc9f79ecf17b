//! The configuration as agreed, and the tables derived from it.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{
    config::{CutOffPolicy, Fleet, Kind, Path, Rank, Record, Row, Update},
    id::{Revision, RouteKey, StoreVersion, TeamKey},
    table::Tables,
};

/// The configuration as agreed.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The revision the node is at. Never falls.
    pub revision: Revision,
    /// How far the node has read the store's area.
    pub read: Option<StoreVersion>,
    /// The version of the head row, as the store last gave it.
    pub head: StoreVersion,
    /// The ids of the last changes, newest last, as the store last gave them.
    pub recent: Vec<CompactString>,
    /// Every row, and every removal that the node has seen, by path.
    pub records: BTreeMap<Path, Record>,
    /// The fleet's defaults.
    pub fleet: Fleet,
}

impl Configuration {
    /// Every row that is there.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.records.values().filter_map(|record| record.row.as_ref())
    }
}

impl Tables {
    /// A team's rate and burst, with exceptions; `None` if it is gone or has no limit.
    pub fn rate_and_burst(&self, team: TeamKey) -> Option<(u32, u32)> {
        let team = self.teams.get(team)?;
        let limits = self.exceptions.rate(&team.name).unwrap_or((team.rate, team.burst));
        Some(limits).filter(|(rate, _)| *rate > 0)
    }

    /// How much a request of a team on a route matters, with exceptions.
    pub fn rank(&self, team: Option<TeamKey>, route: RouteKey) -> Rank {
        let Some(route) = self.routes.get(route) else { return Rank::default() };
        let Some(team) = team.and_then(|team| self.teams.get(team)) else {
            return Rank { route: route.config.importance, ..Rank::default() };
        };
        let exception = self.exceptions.importance(&team.name, &route.config.name);
        Rank { team: team.importance, route: exception.unwrap_or(route.config.importance) }
    }

    /// What a cut-off node does with requests of a team, with exceptions.
    pub fn cut_off_policy(&self, team: TeamKey) -> CutOffPolicy {
        let grace = self.teams.get(team).and_then(|team| self.exceptions.grace(&team.name));
        grace.map_or(self.configuration.fleet.cut_off, CutOffPolicy::Serve)
    }

    /// Takes an update in. What is not later than what the node has changes nothing.
    pub(crate) fn apply(&mut self, update: Update) {
        match update {
            Update::Whole { revision, rows } => self.replace(revision, rows),
            Update::Records(records) => {
                for record in records {
                    self.apply_record(record);
                }
            }
        }
    }

    /// Puts a whole configuration in place of the one that is there.
    fn replace(&mut self, revision: Revision, rows: Vec<Row>) {
        if revision <= self.configuration.revision {
            return;
        }
        let mut gone: Vec<Path> = self.configuration.records.keys().cloned().collect();
        for row in rows {
            let path = row.path();
            if let Ok(index) = gone.binary_search(&path) {
                gone.remove(index);
            }
            let known = self.configuration.records.get(&path);
            if known.is_some_and(|known| known.row.as_ref() == Some(&row)) {
                continue;
            }
            self.apply_record(Record { path, revision, row: Some(row) });
        }
        for path in gone {
            self.apply_record(Record { path, revision, row: None });
        }
        self.configuration.revision = revision;
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
        let configuration = &mut self.configuration;
        configuration.revision = configuration.revision.max(record.revision);
        configuration.records.insert(record.path.clone(), record);
    }

    fn derive(&mut self, row: Row) {
        match row {
            Row::Fleet(fleet) => self.configuration.fleet = fleet,
            Row::Team(team) => {
                self.teams.put(team);
            }
            Row::Route(route) => {
                self.routes.put(route, &mut self.services);
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
