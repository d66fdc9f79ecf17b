//! The report of a load: human-readable tables and the broken promises.

use std::{fmt, time::Duration};

use crate::load::{
    arguments::Arguments,
    inspect::Inspection,
    tally::{CUT_OFF, INVALID_RESPONSE, RAN_AFTER_WITHDRAWAL, Row, Tally},
};

/// The report of a load. Its `Display` output is what the load generator prints.
#[derive(Debug, Clone)]
pub struct Report {
    tally: Tally,
    inspection: Inspection,
    inspected: bool,
    elapsed: Duration,
    broken_promises: Vec<String>,
}

impl Report {
    /// Creates a report from the tables and the inspection of the targets.
    pub fn new(
        arguments: &Arguments,
        tally: Tally,
        inspection: Inspection,
        elapsed: Duration,
    ) -> Report {
        let broken_promises = find_broken_promises(arguments, &tally, &inspection);
        let inspected = !arguments.inspected.is_empty();
        Report { tally, inspection, inspected, elapsed, broken_promises }
    }

    /// The broken promises, one clause with its count for each.
    pub fn broken_promises(&self) -> &[String] {
        &self.broken_promises
    }

    /// The tables from which the report is printed.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }
}

fn find_broken_promises(
    arguments: &Arguments,
    tally: &Tally,
    inspection: &Inspection,
) -> Vec<String> {
    let mut broken_promises = Vec::new();
    let mut add = |count: u64, violation: &str| {
        if count > 0 {
            broken_promises.push(format!("{count} {violation}"));
        }
    };
    let invalid = tally.failures.iter().filter(|(kind, _)| kind.starts_with(INVALID_RESPONSE));
    add(invalid.map(|(_, count)| count).sum(), "responses were incomplete or not the right ones");
    add(
        tally.failures_of(RAN_AFTER_WITHDRAWAL),
        "requests ran more than 3 s after their key was withdrawn",
    );
    if arguments.strict_cuts {
        add(tally.failures_of(CUT_OFF), "requests were cut off");
    }
    add(inspection.keys_seen as u64, "headers showed a target a tenant key");
    add(inspection.run_twice.len() as u64, "non-repeatable requests ran more than once");
    add(
        inspection.run_despite_refusal as u64,
        "non-repeatable requests ran though they were refused as not run",
    );
    add(inspection.unresponsive.len() as u64, "targets did not report what they ran");
    broken_promises
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.elapsed.as_secs_f64().max(0.001);
        let due: u64 = self.tally.teams.iter().map(|row| row.due).sum();
        let complete: u64 = self.tally.teams.iter().map(|row| row.complete).sum();
        writeln!(
            f,
            "{due} requests due in {seconds:.1} s, sent {} times, {} not sent",
            self.tally.attempts, self.tally.not_sent
        )?;
        writeln!(f, "goodput {:.0} whole answers a second", complete as f64 / seconds)?;
        table(f, "team", &self.tally.teams)?;
        table(f, "route", &self.tally.routes)?;
        self.refusals(f)?;
        if self.inspected {
            writeln!(
                f,
                "\ntargets ran {}, declined {}, cancelled {}",
                self.inspection.ran, self.inspection.declined, self.inspection.cancelled
            )?;
        }
        writeln!(f)?;
        for promise in &self.broken_promises {
            writeln!(f, "BROKEN PROMISE: {promise}")?;
        }
        if self.broken_promises.is_empty() {
            writeln!(f, "no promise was broken")?;
        }
        Ok(())
    }
}

impl Report {
    fn refusals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{:<10}{:<26}{:<10}{:>8}", "status", "reason", "outcome", "count")?;
        for ((status, reason, outcome), count) in &self.tally.refusals {
            writeln!(f, "{status:<10}{reason:<26}{outcome:<10}{count:>8}")?;
        }
        for (kind, count) in &self.tally.failures {
            writeln!(f, "{:<10}{kind:<36}{count:>8}", "-")?;
        }
        Ok(())
    }
}

fn table(f: &mut fmt::Formatter<'_>, title: &str, rows: &[Row]) -> fmt::Result {
    writeln!(
        f,
        "\n{title:<24}{:>8}{:>8}{:>8}{:>8}{:>10}{:>10}{:>10}",
        "due", "whole", "refused", "failed", "p50 ms", "p99 ms", "p99.9 ms"
    )?;
    for row in rows {
        writeln!(
            f,
            "{:<24}{:>8}{:>8}{:>8}{:>8}{:>10.2}{:>10.2}{:>10.2}",
            row.name,
            row.due,
            row.complete,
            row.refused,
            row.failed,
            row.latency_ms(0.5),
            row.latency_ms(0.99),
            row.latency_ms(0.999)
        )?;
    }
    Ok(())
}
