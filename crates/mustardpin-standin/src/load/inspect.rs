//! Queries target stand-ins for the requests they ran and checks these against the promises.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
};

use compact_str::CompactString;

use crate::{
    http::{self, CallError, Caller},
    load::arguments::Arguments,
    target::run::{Report, Run},
};

/// The results of querying all target stand-ins.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Inspection {
    /// The number of requests that the targets ran.
    pub ran: usize,
    /// The number of requests that the targets declined.
    pub declined: u64,
    /// The number of runs whose caller disconnected before the end.
    pub cancelled: u64,
    /// The number of headers in which a target received a tenant key.
    pub keys_seen: usize,
    /// The idempotency keys of non-repeatable requests that ran more than once.
    pub run_twice: Vec<CompactString>,
    /// The number of non-repeatable requests that ran although they were refused as not run.
    pub run_despite_refusal: usize,
    /// The targets that did not respond.
    pub unresponsive: Vec<SocketAddr>,
}

/// Queries all targets named in the arguments. `not_run` holds the idempotency keys of requests
/// that were refused as not run.
pub async fn inspect(arguments: &Arguments, not_run: &[CompactString]) -> Inspection {
    let caller = http::caller(false);
    let mut inspection = Inspection::default();
    let mut runs = Vec::new();
    for &address in &arguments.inspected {
        match report(&caller, address).await {
            Ok(report) => {
                inspection.declined += report.declined;
                inspection.cancelled += report.cancelled;
                runs.extend(report.ran);
            }
            Err(_) => inspection.unresponsive.push(address),
        }
    }
    let keys: Vec<_> = arguments.teams.iter().filter_map(|team| team.key.as_deref()).collect();
    inspection.ran = runs.len();
    inspection.keys_seen = keys_seen(&runs, &keys);
    inspection.run_twice = run_twice(&runs);
    inspection.run_despite_refusal = count_used_keys(&runs, not_run);
    inspection
}

/// Queries one target for the requests it ran.
pub async fn report(caller: &Caller, address: SocketAddr) -> Result<Report, CallError> {
    http::call(caller, "GET", address, "/standin/ran", None::<&()>).await
}

/// Counts the headers that contain one of the keys, or its secret part.
///
/// ```
/// assert_eq!(mustardpin_standin::load::inspect::keys_seen(&[], &["garage-1.s3cret"]), 0);
/// ```
pub fn keys_seen(runs: &[Run], keys: &[&str]) -> usize {
    let secrets: Vec<_> =
        keys.iter().map(|key| key.split_once('.').map_or(*key, |(_, secret)| secret)).collect();
    let headers = runs.iter().flat_map(|run| &run.headers);
    headers.filter(|header| secrets.iter().any(|secret| header.value.contains(secret))).count()
}

/// Counts the given idempotency keys under which at least one request ran.
///
/// ```
/// assert_eq!(mustardpin_standin::load::inspect::count_used_keys(&[], &["booking-1".into()]), 0);
/// ```
pub fn count_used_keys(runs: &[Run], keys: &[CompactString]) -> usize {
    let ran: HashSet<&CompactString> =
        runs.iter().filter_map(|run| run.idempotency_key.as_ref()).collect();
    keys.iter().filter(|key| ran.contains(key)).count()
}

/// Returns the idempotency keys under which more than one request ran on the same path.
///
/// ```
/// assert!(mustardpin_standin::load::inspect::run_twice(&[]).is_empty());
/// ```
pub fn run_twice(runs: &[Run]) -> Vec<CompactString> {
    let mut counts: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for run in runs {
        let Some(key) = &run.idempotency_key else { continue };
        *counts.entry((&run.path, key)).or_default() += 1;
    }
    let twice = counts.into_iter().filter(|(_, count)| *count > 1);
    twice.map(|((_, key), _)| key.into()).collect()
}
