//! Prints the tables of the overload experiments.
//!
//! `cargo run --release -p mustardpin-virtual --example experiments [SCENARIO...]`; the seeds are
//! 1 to 3, or 1 to the value of the environment variable `MUSTARDPIN_SEEDS`.
//! `MUSTARDPIN_POLICIES` restricts the rows to those whose names contain its value, and
//! `MUSTARDPIN_COUNTERS` prints the counters of refusals and retries below each row.

use std::{
    collections::BTreeMap,
    env,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use mustardpin_virtual::experiment::{self, Deployment, IMPORTANCES, Outcome, Policy, Scenario};

const THREADS: usize = 4;
const SCENARIOS: [(&str, Scenario); 9] = [
    ("a", Scenario::Slow),
    ("b", Scenario::Flood),
    ("b-rated", Scenario::RatedFlood),
    ("c", Scenario::Halved),
    ("d-true", Scenario::TrueReports),
    ("d-late", Scenario::LateReports),
    ("d-false", Scenario::FalseReports),
    ("e", Scenario::Everything),
    ("e-out", Scenario::EverythingNoPlatform),
];

fn main() {
    let selected: Vec<String> = env::args().skip(1).collect();
    let seeds: u64 =
        env::var("MUSTARDPIN_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(3);
    let deployments = [Deployment::association(), Deployment::nestwell()];
    for (name, scenario) in SCENARIOS {
        if !selected.is_empty() && !selected.iter().any(|other| other == name) {
            continue;
        }
        for deployment in &deployments {
            println!("\n### {name}: {scenario:?}, {}, seeds 1 to {seeds}\n", deployment.name);
            print_table(deployment, scenario, seeds);
        }
    }
}

fn print_table(deployment: &Deployment, scenario: Scenario, seeds: u64) {
    let mut policies = vec![Policy::full()];
    policies.extend(Policy::baselines());
    policies.extend(Policy::ablations());
    if let Ok(selected) = env::var("MUSTARDPIN_POLICIES") {
        policies.retain(|policy| policy.name.contains(&selected));
    }
    let outcomes = run_all(deployment, &policies, scenario, seeds);
    println!(
        "| policy | goodput in cause /s | at rest /s | back after ms | critical | high | normal \
         | low | worst other team | others refused | worst fair share | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (index, policy) in policies.iter().enumerate() {
        let outcomes: Vec<&Outcome> =
            (0..seeds).filter_map(|seed| outcomes.get(&(index, seed))).collect();
        println!("| {} | {} |", policy.name, summary(&outcomes, deployment));
        if env::var("MUSTARDPIN_COUNTERS").is_ok() {
            for outcome in outcomes {
                println!("  {:?} {:?}", outcome.refusals, outcome.retries);
            }
        }
    }
}

/// Runs every policy with every seed on `THREADS` threads.
fn run_all(
    deployment: &Deployment,
    policies: &[Policy],
    scenario: Scenario,
    seeds: u64,
) -> BTreeMap<(usize, u64), Outcome> {
    let jobs: Vec<(usize, u64)> =
        (0..policies.len()).flat_map(|index| (0..seeds).map(move |seed| (index, seed))).collect();
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(&(index, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = experiment::run(deployment, &policies[index], scenario, seed + 1);
                    if let Ok(mut outcomes) = outcomes.lock() {
                        outcomes.insert((index, seed), outcome);
                    }
                }
            });
        }
    });
    outcomes.into_inner().unwrap_or_default()
}

/// Returns the cells of a row, each with the worst figure of all seeds.
fn summary(outcomes: &[&Outcome], deployment: &Deployment) -> String {
    let lowest = |figure: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(|outcome| figure(outcome)).fold(f64::INFINITY, f64::min)
    };
    let recovery = outcomes
        .iter()
        .map(|outcome| outcome.recovery_time())
        .max_by_key(|recovery| recovery.map_or(u64::MAX, |recovery| recovery.0));
    let recovery = recovery.flatten().map_or("never".to_owned(), |recovery| recovery.0.to_string());
    let mut cells = vec![
        format!("{:.0}", lowest(&Outcome::goodput_during_overload)),
        format!("{:.0}", lowest(&Outcome::goodput_at_rest)),
        recovery,
    ];
    for importance in IMPORTANCES {
        cells.push(format!("{:.4}", lowest(&|outcome| outcome.served_by_importance(importance))));
    }
    cells.push(format!("{:.4}", lowest(&|outcome| outcome.min_served_share_except(0))));
    cells.push(format!("{:.4}", -lowest(&|outcome| -outcome.unserved_share_except(0))));
    let fair = |outcome: &Outcome| outcome.worst_fair_share(&deployment.teams);
    cells.push(format!("{:.2}", lowest(&fair)));
    let latency = outcomes.iter().map(|outcome| outcome.latency(99.0).0).max().unwrap_or(0);
    cells.push(latency.to_string());
    cells.join(" | ")
}
