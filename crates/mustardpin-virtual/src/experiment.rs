//! Experiments on overload: a deployment, a policy and a scenario, driven over virtual time.
//!
//! The same seed gives exactly the same figures.

mod deployment;
mod policy;
mod result;
mod scenario;

use mustardpin_world::{Millis, config::Importance};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

pub use crate::experiment::{
    deployment::{Demand, Deployment},
    policy::{Callers, Policy},
    result::{Outcome, Sent},
    scenario::Scenario,
};
use crate::{
    fleet::{Fleet, Request, Site},
    platform::PlatformMode,
    target::{Reports, Service},
};

/// When the cause of the overload starts, counted from the start of the experiment.
pub const OVERLOAD_START: Millis = Millis::from_secs(10);
/// When the cause of the overload ends.
pub const OVERLOAD_END: Millis = Millis::from_secs(40);
/// When the experiment ends.
pub const END: Millis = Millis::from_secs(60);
/// The timeout that callers send with their requests.
pub const TIMEOUT: Millis = Millis::from_secs(2);

/// Runs one experiment.
pub fn run(deployment: &Deployment, policy: &Policy, scenario: Scenario, seed: u64) -> Outcome {
    let mut experiment = Experiment::new(deployment, policy, scenario, seed);
    experiment.run();
    Outcome::new(&experiment.fleet, experiment.sent, deployment.teams.len())
}

struct Experiment<'a> {
    deployment: &'a Deployment,
    policy: &'a Policy,
    scenario: Scenario,
    fleet: Fleet,
    sent: Vec<Sent>,
    rng: Pcg64Mcg,
}

impl<'a> Experiment<'a> {
    fn new(
        deployment: &'a Deployment,
        policy: &'a Policy,
        scenario: Scenario,
        seed: u64,
    ) -> Experiment<'a> {
        let mut fleet = Fleet::new(seed, policy.options.clone());
        fleet.record_runs = false;
        for (index, service) in deployment.targets() {
            let service = Service {
                resends: policy.callers.resends,
                cancellable: policy.callers.cancellable,
                cold_start: Millis::from_secs(2),
                reports: scenario.reports(),
                ..service.clone()
            };
            fleet.add(deployment.data_centre(index), service);
        }
        deployment.configure(&mut fleet, scenario.rate_factor());
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x0f0f);
        Experiment { deployment, policy, scenario, fleet, sent: Vec::new(), rng }
    }

    fn run(&mut self) {
        /// The time for nodes to find peers and configuration before the first request.
        const WARM_UP: Millis = Millis::from_secs(3);

        self.fleet.run_until(WARM_UP);
        while self.fleet.now < WARM_UP + END {
            let now = self.fleet.now - WARM_UP;
            if now == OVERLOAD_START {
                self.start_overload();
            }
            if now == OVERLOAD_END {
                self.end_overload();
            }
            self.send(now);
            self.fleet.run_for(Millis(1));
        }
        self.fleet.run_for(TIMEOUT + TIMEOUT);
    }

    fn deep_sites(&self) -> Vec<Site> {
        let targets = self.deployment.targets().enumerate();
        targets
            .filter(|(_, (_, service))| service.name == self.deployment.deep_service)
            .map(|(index, _)| Site(index))
            .collect()
    }

    fn start_overload(&mut self) {
        let sites = self.deep_sites();
        if self.scenario.slows() {
            for &site in &sites {
                self.fleet.target(site).slowdown = 5.0;
            }
        }
        if self.scenario.crashes_targets() {
            for &site in sites.iter().step_by(2) {
                self.fleet.crash_target(site);
            }
        }
        if self.scenario.stops_platform() {
            self.fleet.platform.mode = PlatformMode::Down;
        }
    }

    fn end_overload(&mut self) {
        let sites = self.deep_sites();
        for &site in &sites {
            self.fleet.target(site).slowdown = 1.0;
        }
        if self.scenario.crashes_targets() {
            for &site in sites.iter().step_by(2) {
                self.fleet.restart_target(site);
            }
        }
    }

    /// Sends the requests of one millisecond.
    fn send(&mut self, now: Millis) {
        let is_overloaded = now >= OVERLOAD_START && now < OVERLOAD_END;
        let deployment = self.deployment;
        for demand in &deployment.demand {
            for (team, share) in deployment.team_shares() {
                let factor = if is_overloaded { self.scenario.demand_factor(team) } else { 1.0 };
                let rate = demand.rate * share * factor / 1_000.0;
                for _ in 0..poisson(&mut self.rng, rate) {
                    self.send_one(now, team, demand);
                }
            }
        }
    }

    fn send_one(&mut self, now: Millis, team: usize, demand: &Demand) {
        let site = Site(self.rng.random_range(0..self.deployment.targets().count()));
        let number = self.sent.len() as u64;
        let request = Request {
            fingerprint: number,
            timeout: Some(TIMEOUT),
            resends: self.policy.callers.resends,
            ..Request::get(demand.path, &deployment::key(team))
        };
        let root = self.fleet.send(site, request);
        let is_deep = demand.is_deep;
        self.sent.push(Sent { root, at: now, team, importance: demand.importance, is_deep });
    }
}

/// Draws from a Poisson distribution with a small mean.
fn poisson(rng: &mut Pcg64Mcg, mean: f64) -> u32 {
    let floor = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > floor {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// The importances that the experiments use, from the most to the least important.
pub const IMPORTANCES: [Importance; 4] =
    [Importance::CRITICAL, Importance::HIGH, Importance::NORMAL, Importance::LOW];

impl Scenario {
    fn reports(self) -> Reports {
        match self {
            Scenario::LateReports | Scenario::Everything | Scenario::EverythingNoPlatform => {
                Reports::Late(Millis::from_secs(10))
            }
            Scenario::FalseReports => Reports::False,
            _ => Reports::Prompt,
        }
    }
}
