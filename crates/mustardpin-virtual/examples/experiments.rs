//! Prints the tables of the overload experiments.
//!
//! `cargo run --release -p mustardpin-virtual --example experiments [SCENARIO...]`; the seeds are
//! 1, 2 and 3, or as many as the environment variable `MUSTARDPIN_SEEDS` says.
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
    let wanted: Vec<String> = env::args().skip(1).collect();
    let seeds: u64 =
        env::var("MUSTARDPIN_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(3);
    let deployments = [Deployment::association(), Deployment::nestwell()];
    for (name, scenario) in SCENARIOS {
        if !wanted.is_empty() && !wanted.iter().any(|other| other == name) {
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
    if let Ok(wanted) = env::var("MUSTARDPIN_POLICIES") {
        policies.retain(|policy| policy.name.contains(&wanted));
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
        println!("| {} | {} |", policy.name, row(&outcomes, deployment));
        if env::var("MUSTARDPIN_COUNTERS").is_ok() {
            for outcome in outcomes {
                println!("  {:?} {:?}", outcome.refusals, outcome.retries);
            }
        }
    }
}

/// Runs every policy with every seed, a few at a time.
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

/// The worst of all seeds in each column.
fn row(outcomes: &[&Outcome], deployment: &Deployment) -> String {
    let least = |figure: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(|outcome| figure(outcome)).fold(f64::INFINITY, f64::min)
    };
    let back = outcomes
        .iter()
        .map(|outcome| outcome.recovery_time())
        .max_by_key(|back| back.map_or(u64::MAX, |back| back.0));
    let back = back.flatten().map_or("never".to_owned(), |back| back.0.to_string());
    let mut cells = vec![
        format!("{:.0}", least(&Outcome::goodput_during_overload)),
        format!("{:.0}", least(&Outcome::goodput_at_rest)),
        back,
    ];
    for importance in IMPORTANCES {
        cells.push(format!("{:.4}", least(&|outcome| outcome.served_by_importance(importance))));
    }
    cells.push(format!("{:.4}", least(&|outcome| outcome.worst_team_except(0))));
    cells.push(format!("{:.4}", -least(&|outcome| -outcome.refused_except(0))));
    let fair = |outcome: &Outcome| outcome.worst_fair_share(&deployment.teams);
    cells.push(format!("{:.2}", least(&fair)));
    let latency = outcomes.iter().map(|outcome| outcome.latency(99.0).0).max().unwrap_or(0);
    cells.push(latency.to_string());
    cells.join(" | ")
}
