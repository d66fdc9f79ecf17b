//! The report of a load: tables for people, and the promises that were broken.

use std::{fmt, time::Duration};

use crate::load::{
    arguments::Arguments,
    inspect::Inspection,
    tally::{CUT_OFF, FLAWED, RAN_AFTER_WITHDRAWAL, Row, Tally},
};

/// The report of a load.
#[derive(Debug, Clone)]
pub struct Report {
    tally: Tally,
    inspection: Inspection,
    inspected: bool,
    elapsed: Duration,
    broken: Vec<String>,
}

impl Report {
    /// A report on these tables.
    pub fn new(
        arguments: &Arguments,
        tally: Tally,
        inspection: Inspection,
        elapsed: Duration,
    ) -> Report {
        let broken = find_broken_promises(arguments, &tally, &inspection);
        let inspected = !arguments.inspected.is_empty();
        Report { tally, inspection, inspected, elapsed, broken }
    }

    /// The promises that were broken, a sentence each.
    pub fn broken_promises(&self) -> &[String] {
        &self.broken
    }

    /// The tables behind the report.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }
}

fn find_broken_promises(
    arguments: &Arguments,
    tally: &Tally,
    inspection: &Inspection,
) -> Vec<String> {
    let mut broken = Vec::new();
    let mut judge = |count: u64, what: &str| {
        if count > 0 {
            broken.push(format!("{count} {what}"));
        }
    };
    let flawed = tally.failures.iter().filter(|(kind, _)| kind.starts_with(FLAWED));
    judge(flawed.map(|(_, count)| count).sum(), "answers were not whole or not the right ones");
    judge(
        tally.failures_of(RAN_AFTER_WITHDRAWAL),
        "requests ran more than 3 s after their key was withdrawn",
    );
    if arguments.strict_cuts {
        judge(tally.failures_of(CUT_OFF), "requests were cut off");
    }
    judge(inspection.keys_seen as u64, "headers showed a target a tenant key");
    judge(inspection.run_twice.len() as u64, "non-repeatable requests ran more than once");
    judge(
        inspection.run_though_refused as u64,
        "non-repeatable requests ran though they were refused as not run",
    );
    judge(inspection.silent.len() as u64, "targets did not say what they ran");
    broken
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.elapsed.as_secs_f64().max(0.001);
        let due: u64 = self.tally.teams.iter().map(|row| row.due).sum();
        let whole: u64 = self.tally.teams.iter().map(|row| row.whole).sum();
        writeln!(
            f,
            "{due} requests due in {seconds:.1} s, sent {} times, {} not sent",
            self.tally.attempts, self.tally.unsent
        )?;
        writeln!(f, "goodput {:.0} whole answers a second", whole as f64 / seconds)?;
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
        for promise in &self.broken {
            writeln!(f, "BROKEN PROMISE: {promise}")?;
        }
        if self.broken.is_empty() {
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
            row.whole,
            row.refused,
            row.failed,
            row.latency_ms(0.5),
            row.latency_ms(0.99),
            row.latency_ms(0.999)
        )?;
    }
    Ok(())
}
