//! Checks the values of rows that an operator proposes to write.

use std::ops::RangeInclusive;

use compact_str::{CompactString, ToCompactString as _, format_compact};
use mustardpin_world::{
    Millis,
    config::{Change, CutOffPolicy, Exception, Fleet, Key, Route, Row, Team},
};

use crate::admin::Error;

/// Requests per second of a rate, and requests of a burst.
const RATES: RangeInclusive<u32> = 1..=10_000_000;
const WEIGHTS: RangeInclusive<u32> = 1..=1_000;
const ATTEMPTS: RangeInclusive<u8> = 1..=100;
const ALLOWANCES: RangeInclusive<u32> = 0..=100;
const TIMEOUTS: RangeInclusive<Millis> = Millis(1)..=Millis::from_secs(3_600);
const GRACES: RangeInclusive<Millis> = Millis::from_secs(1)..=Millis::from_secs(86_400);
/// Lengths in bytes, without surrounding white space.
const REASON_LENGTHS: RangeInclusive<usize> = 3..=500;
/// Lengths in bytes.
const NAME_LENGTHS: RangeInclusive<usize> = 1..=64;

type Problem = Option<CompactString>;

/// Whether a text is valid as the name of a row or as a change id.
pub(super) fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    NAME_LENGTHS.contains(&text.len()) && text.bytes().all(allowed)
}

/// Checks the values of one row. The world checks whether the rows that it refers to exist.
pub(super) fn check(row: &Row) -> Result<(), Error> {
    let path = row.path();
    let problem = check_name("name", &path.name).or_else(|| match row {
        Row::Fleet(fleet) => check_fleet(fleet),
        Row::Team(team) => check_team(team),
        Row::Route(route) => check_route(route),
        Row::Key(key) => check_key(key),
        Row::Exception(exception) => check_exception(exception),
    });
    match problem {
        None => Ok(()),
        Some(problem) => Err(Error::Value { path: path.to_compact_string(), problem }),
    }
}

fn check_fleet(fleet: &Fleet) -> Problem {
    let grace = match fleet.cut_off {
        CutOffPolicy::Refuse => None,
        CutOffPolicy::Serve(grace) => check_range("cut-off", grace, GRACES),
    };
    grace.or_else(|| check_range("retry-allowance", fleet.retry_allowance, ALLOWANCES))
}

fn check_team(team: &Team) -> Problem {
    check_range("rate", team.rate, RATES)
        .or_else(|| check_range("burst", team.burst, RATES))
        .or_else(|| check_range("weight", team.weight, WEIGHTS))
}

fn check_route(route: &Route) -> Problem {
    if !route.path_prefix.starts_with('/') || route.path_prefix.contains(['?', '#', ' ']) {
        return Some(format_compact!(
            "path: `{}` is not a path; write it from its first slash, without a query",
            route.path_prefix
        ));
    }
    if let Some(method) = &route.method
        && !method.bytes().all(|byte| byte.is_ascii_uppercase())
    {
        return Some(format_compact!("method: `{method}` is not a method; write GET or POST"));
    }
    let parts = route.parts.iter();
    parts
        .map(|part| {
            check_name("service", &part.service)
                .or_else(|| check_range("weight", part.weight, WEIGHTS))
        })
        .find_map(|problem| problem)
        .or_else(|| route.teams.iter().find_map(|team| check_name("teams", team)))
        .or_else(|| check_range("timeout", route.timeout, TIMEOUTS))
        .or_else(|| check_range("objective", route.objective?, TIMEOUTS))
        .or_else(|| check_range("attempts", route.attempts?, ATTEMPTS))
}

fn check_key(key: &Key) -> Problem {
    check_name("team", &key.team)
}

fn check_exception(exception: &Exception) -> Problem {
    let length = exception.reason.trim().len();
    if !REASON_LENGTHS.contains(&length) {
        return Some(format_compact!(
            "reason: `{}` is not a reason; say why in {} to {} characters",
            exception.reason,
            REASON_LENGTHS.start(),
            REASON_LENGTHS.end()
        ));
    }
    match &exception.change {
        Change::TeamRate { team, rate, burst } => check_name("team", team)
            .or_else(|| check_range("rate", *rate, RATES))
            .or_else(|| check_range("burst", *burst, RATES)),
        Change::Importance { team, route, .. } => {
            check_name("team", team).or_else(|| check_name("route", route))
        }
        Change::ServeCutOff { team, grace } => {
            check_name("team", team).or_else(|| check_range("grace", *grace, GRACES))
        }
    }
}

fn check_name(key: &str, text: &str) -> Problem {
    if is_valid_name(text) {
        return None;
    }
    Some(format_compact!(
        "{key}: `{text}` is not a name; choose 1 to 64 letters, digits, hyphens or underscores"
    ))
}

fn check_range<T: PartialOrd + std::fmt::Display>(
    key: &str,
    value: T,
    range: RangeInclusive<T>,
) -> Problem {
    if range.contains(&value) {
        return None;
    }
    let (min, max) = range.into_inner();
    Some(format_compact!("{key}: `{value}` is out of range; choose from {min} to {max}"))
}
