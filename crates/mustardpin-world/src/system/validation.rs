//! Validates an operator's change against the current configuration.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};

use crate::{
    clock::Millis,
    config::{
        Change, ChangeError, CutOffPolicy, Exception, Fleet, Key, Kind, Path, Route, Row, Team,
    },
    event::Proposal,
    table::Tables,
};

/// The maximum rate of a team in requests per second, and its maximum burst in requests.
const MAX_RATE: u32 = 1_000_000;
/// The minimum burst of a team, in requests.
const MIN_BURST: u32 = 2;
/// The maximum ratio of the rate (requests per second) to the burst (requests). With it, half of
/// the burst allows leases of 50 ms.
const MAX_RATE_PER_BURST: u32 = 10;
/// The maximum weight of a team, or of a service in a route.
const MAX_WEIGHT: u32 = 1_000;
/// The maximum timeout and objective of a route.
const MAX_TIMEOUT: Millis = Millis::from_secs(3_600);
/// The maximum time for which a cut-off node may serve requests.
const MAX_GRACE: Millis = Millis::from_secs(86_400);
/// The maximum number of retries that one root request may cause.
const MAX_RETRIES: u32 = 100;

/// The rows after the change, by path.
type Rows<'a> = BTreeMap<Path, &'a Row>;

/// Checks whether a change may be written. One invalid row refuses the whole change.
pub(super) fn check(tables: &Tables, proposal: &Proposal) -> Result<(), ChangeError> {
    check_paths(tables, proposal)?;
    let rows = rows_after(tables, proposal);
    for row in &proposal.rows {
        let path = row.path();
        check_name(&path)?;
        check_withdrawal(tables, &path, row)?;
    }
    // A removal may leave a dangling reference, so all rows are checked, not only the new ones.
    for (path, row) in &rows {
        check_row(&rows, row).map_err(|problem| invalid(path, problem))?;
    }
    Ok(())
}

fn invalid(path: &Path, problem: impl Into<CompactString>) -> ChangeError {
    ChangeError::Invalid { path: path.clone(), problem: problem.into() }
}

fn check_paths(tables: &Tables, proposal: &Proposal) -> Result<(), ChangeError> {
    let mut paths = BTreeSet::new();
    let written = proposal.rows.iter().map(Row::path);
    for path in written.chain(proposal.removals.iter().cloned()) {
        if !paths.insert(path.clone()) {
            return Err(invalid(&path, "stands twice in the change: leave one out"));
        }
    }
    for path in &proposal.removals {
        let record = tables.configuration.records.get(path);
        let row = record.and_then(|record| record.row.as_ref());
        match row {
            None => return Err(invalid(path, "does not exist: it can't be removed")),
            Some(Row::Key(_)) => {
                return Err(invalid(path, "keys stay on record: withdraw it instead"));
            }
            Some(_) => {}
        }
    }
    Ok(())
}

fn check_name(path: &Path) -> Result<(), ChangeError> {
    if path.name.trim().is_empty() {
        return Err(invalid(path, "has no name"));
    }
    Ok(())
}

/// Refuses to restore a withdrawn key.
fn check_withdrawal(tables: &Tables, path: &Path, row: &Row) -> Result<(), ChangeError> {
    let Row::Key(key) = row else { return Ok(()) };
    let known = tables.tenants.by_id(&key.id).and_then(|tenant| tables.tenants.get(tenant));
    if known.is_some_and(|known| known.withdrawn && !key.withdrawn) {
        return Err(invalid(path, "was withdrawn for good: issue a new key"));
    }
    Ok(())
}

fn rows_after<'a>(tables: &'a Tables, proposal: &'a Proposal) -> Rows<'a> {
    let records = tables.configuration.records.values();
    let mut rows: Rows<'a> = records
        .filter_map(|record| record.row.as_ref().map(|row| (record.path.clone(), row)))
        .collect();
    for path in &proposal.removals {
        rows.remove(path);
    }
    rows.extend(proposal.rows.iter().map(|row| (row.path(), row)));
    rows
}

fn check_row(rows: &Rows<'_>, row: &Row) -> Result<(), CompactString> {
    match row {
        Row::Fleet(fleet) => check_fleet(fleet),
        Row::Team(team) => check_team(team),
        Row::Route(route) => check_route(rows, route),
        Row::Key(key) => check_key(rows, key),
        Row::Exception(exception) => check_exception(rows, exception),
    }
}

fn check_fleet(fleet: &Fleet) -> Result<(), CompactString> {
    if let CutOffPolicy::Serve(grace) = fleet.cut_off {
        check_duration("cut-off grace", grace, MAX_GRACE)?;
    }
    if fleet.retry_allowance > MAX_RETRIES {
        return Err(format_compact!("retry allowance is above {MAX_RETRIES}"));
    }
    Ok(())
}

fn check_team(team: &Team) -> Result<(), CompactString> {
    check_rate(team.rate, team.burst)?;
    check_count("weight", team.weight, MAX_WEIGHT)
}

/// Checks a rate and a burst. Part of the burst is reserved for tokens that are leased to other
/// nodes; with a burst too small for the rate, leases would expire before they can be used.
fn check_rate(rate: u32, burst: u32) -> Result<(), CompactString> {
    check_count("rate", rate, MAX_RATE)?;
    check_count("burst", burst, MAX_RATE)?;
    let min_burst = rate.div_ceil(MAX_RATE_PER_BURST).max(MIN_BURST);
    if burst < min_burst {
        return Err(format_compact!(
            "burst {burst} is too small for rate {rate}: choose at least {min_burst}"
        ));
    }
    Ok(())
}

fn check_route(rows: &Rows<'_>, route: &Route) -> Result<(), CompactString> {
    if route.parts.is_empty() || route.parts.iter().any(|part| part.service.trim().is_empty()) {
        return Err("has no service".into());
    }
    for part in &route.parts {
        check_count("the weight of a service", part.weight, MAX_WEIGHT)?;
    }
    if route.attempts == Some(0) {
        return Err("attempts is 0: give at least 1".into());
    }
    if let Some(objective) = route.objective {
        check_duration("objective", objective, MAX_TIMEOUT)?;
    }
    if !route.path_prefix.starts_with('/') {
        return Err("path prefix does not start with a slash".into());
    }
    check_duration("timeout", route.timeout, MAX_TIMEOUT)?;
    route.teams.iter().try_for_each(|team| check_reference(rows, Kind::Team, team))
}

fn check_key(rows: &Rows<'_>, key: &Key) -> Result<(), CompactString> {
    if key.withdrawn {
        return Ok(());
    }
    check_reference(rows, Kind::Team, &key.team)
}

fn check_exception(rows: &Rows<'_>, exception: &Exception) -> Result<(), CompactString> {
    if exception.reason.trim().is_empty() {
        return Err("has no reason: state why it is wanted".into());
    }
    match &exception.change {
        Change::TeamRate { team, rate, burst } => {
            check_rate(*rate, *burst)?;
            check_reference(rows, Kind::Team, team)
        }
        Change::Importance { team, route, .. } => {
            check_reference(rows, Kind::Team, team)?;
            check_reference(rows, Kind::Route, route)
        }
        Change::ServeCutOff { team, grace } => {
            check_duration("grace", *grace, MAX_GRACE)?;
            check_reference(rows, Kind::Team, team)
        }
    }
}

fn check_reference(rows: &Rows<'_>, kind: Kind, name: &CompactString) -> Result<(), CompactString> {
    let path = Path { kind, name: name.clone() };
    if !rows.contains_key(&path) {
        return Err(format_compact!("refers to {path}, which does not exist"));
    }
    Ok(())
}

fn check_count(name: &str, value: u32, max: u32) -> Result<(), CompactString> {
    if value == 0 || value > max {
        return Err(format_compact!("{name} is {value}: give 1 to {max}"));
    }
    Ok(())
}

fn check_duration(name: &str, value: Millis, max: Millis) -> Result<(), CompactString> {
    if value == Millis::ZERO || value > max {
        return Err(format_compact!("{name} is {value}: give 1 ms to {max}"));
    }
    Ok(())
}
