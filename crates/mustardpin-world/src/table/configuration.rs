//! The configuration that operators agreed on, and the tables derived from it.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{
    config::{CutOffPolicy, Fleet, Kind, Path, Rank, Record, Row, Update},
    id::{Revision, RouteKey, StoreVersion, TeamKey},
    table::Tables,
};

/// The configuration that operators agreed on.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The node's revision. Never decreases.
    pub revision: Revision,
    /// The store version up to which the node knows the configuration area; `None` while it needs a
    /// complete read.
    pub read: Option<StoreVersion>,
    /// The version of the head row that the node last read or wrote.
    pub head: StoreVersion,
    /// The ids of the latest changes, oldest first, as in the head row.
    pub recent: Vec<CompactString>,
    /// Every row, and every removal known to the node, by path.
    pub records: BTreeMap<Path, Record>,
    /// The fleet's defaults.
    pub fleet: Fleet,
}

impl Configuration {
    /// Every row that is not removed.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.records.values().filter_map(|record| record.row.as_ref())
    }
}

impl Tables {
    /// A team's rate in requests per second and burst in requests, with exceptions applied; `None`
    /// if the team does not exist or has no limit.
    pub fn rate_and_burst(&self, team: TeamKey) -> Option<(u32, u32)> {
        let team = self.teams.get(team)?;
        let limits = self.exceptions.rate(&team.name).unwrap_or((team.rate, team.burst));
        Some(limits).filter(|(rate, _)| *rate > 0)
    }

    /// The rank of a team's requests on a route, with exceptions applied.
    pub fn rank(&self, team: Option<TeamKey>, route: RouteKey) -> Rank {
        let Some(route) = self.routes.get(route) else { return Rank::default() };
        let Some(team) = team.and_then(|team| self.teams.get(team)) else {
            return Rank { route: route.config.importance, ..Rank::default() };
        };
        let exception = self.exceptions.importance(&team.name, &route.config.name);
        Rank { team: team.importance, route: exception.unwrap_or(route.config.importance) }
    }

    /// What a cut-off node does with requests of a team, with exceptions applied.
    pub fn cut_off_policy(&self, team: TeamKey) -> CutOffPolicy {
        let grace = self.teams.get(team).and_then(|team| self.exceptions.grace(&team.name));
        grace.map_or(self.configuration.fleet.cut_off, CutOffPolicy::Serve)
    }

    /// Applies an update. Parts that are not later than what the node has are ignored.
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

    /// Replaces the configuration, unless the node has this revision or a later one.
    fn replace(&mut self, revision: Revision, rows: Vec<Row>) {
        if revision <= self.configuration.revision {
            return;
        }
        let mut absent: Vec<Path> = self.configuration.records.keys().cloned().collect();
        for row in rows {
            let path = row.path();
            if let Ok(index) = absent.binary_search(&path) {
                absent.remove(index);
            }
            let known = self.configuration.records.get(&path);
            if known.is_some_and(|known| known.row.as_ref() == Some(&row)) {
                continue;
            }
            self.apply_record(Record { path, revision, row: Some(row) });
        }
        for path in absent {
            self.apply_record(Record { path, revision, row: None });
        }
        self.configuration.revision = revision;
    }

    /// Applies a record, unless the node has one of the same path that is at least as late.
    pub(crate) fn apply_record(&mut self, record: Record) {
        let known = self.configuration.records.get(&record.path);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return;
        }
        match &record.row {
            Some(row) => self.apply_row(row.clone()),
            None => self.remove_row(&record.path),
        }
        let configuration = &mut self.configuration;
        configuration.revision = configuration.revision.max(record.revision);
        configuration.records.insert(record.path.clone(), record);
    }

    fn apply_row(&mut self, row: Row) {
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

    fn remove_row(&mut self, path: &Path) {
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
