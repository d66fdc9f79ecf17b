//! Regression bounds on the overload experiments, from the stated objectives.

use mustardpin_virtual::{
    Fleet, Request, Service,
    experiment::{self, Deployment, Outcome, Policy, Scenario},
};
use mustardpin_world::{
    Event, Millis, Options,
    config::{Importance, Route, Row},
    message::{
        Message,
        shedding::{self, Cost},
    },
};

use crate::support::{self, key, put, route, team};

/// Fails with the seed if a figure is outside its bound; otherwise adds a line to the report.
struct Report {
    seed: u64,
    lines: String,
}

impl Report {
    fn check(&mut self, what: &str, holds: bool, figure: f64) {
        assert!(holds, "seed {}: {what}: {figure}", self.seed);
        self.lines += &format!("{what}: holds\n");
    }
}

fn run(scenario: Scenario, seed: u64) -> (Deployment, Outcome, Report) {
    let deployment = Deployment::association();
    let outcome = experiment::run(&deployment, &Policy::full(), scenario, seed);
    (deployment, outcome, Report { seed, lines: String::new() })
}

#[test]
fn goodput_holds_while_the_deep_service_is_slow_and_then_recovers() {
    const SLOWDOWN: f64 = 5.0;

    let mut lines = String::new();
    for seed in support::seeds(1) {
        let (deployment, outcome, mut report) = run(Scenario::Slow, seed + 1);
        let goodput = outcome.goodput_during_overload();
        let share = goodput / (deployment.deep_capacity() / SLOWDOWN);
        report.check(
            "A: goodput at least 90% of what the slow service can do",
            share >= 0.9,
            share,
        );
        let recovery = outcome.recovery_time().unwrap_or(Millis::MAX);
        report.check("A: back within 5 s", recovery <= Millis::from_secs(5), recovery.0 as f64);
        lines = report.lines;
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn a_flooding_team_takes_no_capacity_from_the_others() {
    let mut lines = String::new();
    for seed in support::seeds(1) {
        let (_, outcome, mut report) = run(Scenario::RatedFlood, seed + 1);
        let worst = outcome.min_served_share_except(0);
        report.check("B: every other team gets at least 99%", worst >= 0.99, worst);
        let refused = outcome.unserved_share_except(0);
        report.check("B: less than 0.1% of the others refused", refused < 0.001, refused);
        lines = report.lines;
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn half_the_capacity_serves_critical_requests_and_is_shared_fairly() {
    let mut lines = String::new();
    for seed in support::seeds(1) {
        let (deployment, outcome, mut report) = run(Scenario::Halved, seed + 1);
        let critical = outcome.served_by_importance(Importance::CRITICAL);
        report.check("C: critical requests at least 99%", critical >= 0.99, critical);
        let fair = outcome.worst_fair_share(&deployment.teams);
        report.check("C: the worst team at least 90% of its fair share", fair >= 0.9, fair);
        lines = report.lines;
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn false_load_reports_cost_little_goodput() {
    let mut lines = String::new();
    for seed in support::seeds(1) {
        let baseline = run(Scenario::TrueReports, seed + 1).1.goodput_during_overload();
        let (_, outcome, mut report) = run(Scenario::FalseReports, seed + 1);
        let share = outcome.goodput_during_overload() / baseline;
        report.check("D: goodput at least 95% of that with true reports", share >= 0.95, share);
        lines = report.lines;
    }
    insta::assert_snapshot!(lines);
}

/// A node whose event loop lags admits fewer requests, the most important first, and all of them
/// again once the lag is gone.
#[test]
fn a_lagging_node_sheds_requests_on_arrival() {
    const LAG_PROBE_INTERVAL: Millis = Millis(100);
    const LAG: Millis = Millis(300);
    const REQUESTS_PER_PROBE: usize = 20;
    let mut fleet = Fleet::new(1, Options::default());
    let site = fleet.add("north", Service::leaf("search", 400, 5.0));
    let urgent = Route::new("urgent", "/urgent", "search", Millis::from_secs(5));
    let urgent = Route { importance: Importance::CRITICAL, repeatable: true, ..urgent };
    put(&mut fleet, vec![team("garage", 5_000, 5_000), key("garage")]);
    put(&mut fleet, vec![Row::Route(route("search")), Row::Route(urgent)]);
    fleet.run_for(Millis::from_secs(5));
    let run_phase = |fleet: &mut Fleet, lag: Millis| {
        let mut complete = [0, 0];
        for probe in 0..60 {
            let due = Millis(fleet.now.0.saturating_sub(lag.0));
            fleet.inject(site, Event::LagProbe(due));
            let mut roots = Vec::new();
            for number in 0..REQUESTS_PER_PROBE {
                let kind = usize::from(number % 4 == 0);
                let path = ["/search/slots", "/urgent"][kind];
                let fingerprint = fleet.now.0 * REQUESTS_PER_PROBE as u64 + number as u64;
                let request = Request::get(path, "garage-1.secret");
                roots.push((kind, fleet.send(site, Request { fingerprint, ..request })));
            }
            fleet.run_for(LAG_PROBE_INTERVAL);
            // The admitted share has settled by then.
            if probe >= 30 {
                for (kind, root) in roots {
                    let is_complete =
                        fleet.response_to(root).is_some_and(|response| response.is_complete());
                    complete[kind] += usize::from(is_complete);
                }
            }
        }
        complete
    };
    let before = run_phase(&mut fleet, Millis::ZERO);
    let behind = run_phase(&mut fleet, LAG);
    let after = run_phase(&mut fleet, Millis::ZERO);
    assert_eq!(before, [450, 150]);
    assert!(behind[0] < 150 && behind[1] > behind[0] / 3, "{behind:?}");
    assert_eq!(after, [450, 150]);
}

/// Cost estimates of peers may contain cycles of routes that call each other. The cost of a
/// request must still be computed in bounded time.
#[test]
fn cyclic_cost_estimates_are_evaluated_in_bounded_time() {
    const ROUTES: usize = 8;
    const MAX_DURATION: std::time::Duration = std::time::Duration::from_secs(5);
    let name = |index: usize| format!("route-{index}");
    let mut fleet = Fleet::new(1, Options::default());
    let site = fleet.add("north", Service::leaf("search", 400, 5.0));
    let peer = fleet.add("south", Service::leaf("search", 400, 5.0));
    let routes = (0..ROUTES).map(|index| {
        let path = format!("/{}", name(index));
        let route = Route::new(&name(index), &path, "search", Millis::from_secs(5));
        Row::Route(Route { repeatable: true, ..route })
    });
    put(&mut fleet, vec![team("garage", 5_000, 5_000), key("garage")]);
    put(&mut fleet, routes.collect());
    fleet.run_for(Millis::from_secs(5));
    let costs = (0..ROUTES).map(|index| Cost {
        route: name(index).into(),
        slot_time: Millis(5),
        calls: (0..ROUTES).map(|called| (name(called).into(), 0.5)).collect(),
    });
    let message = Message::Shedding(shedding::Message::Costs(costs.collect()));
    let from = fleet.world_at(peer).identity().node();
    fleet.inject(site, Event::Peer { from, message });
    fleet.inject(site, Event::LagProbe(Millis::ZERO));
    let roots: Vec<u64> = (0..ROUTES)
        .map(|index| {
            fleet.send(site, Request::get(&format!("/{}", name(index)), "garage-1.secret"))
        })
        .collect();
    let started = std::time::Instant::now();
    fleet.run_for(Millis::from_secs(1));
    assert!(started.elapsed() < MAX_DURATION, "{:?}", started.elapsed());
    assert!(roots.iter().all(|&root| fleet.response_to(root).is_some()));
}
