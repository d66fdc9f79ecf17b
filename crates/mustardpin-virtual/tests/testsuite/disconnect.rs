//! Requests whose callers have left do not reach a target, whatever stands still meanwhile.

use mustardpin_virtual::{Fleet, Request, Service, Site};
use mustardpin_world::{Millis, Options, config::Row};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    scenario::for_seeds,
    support::{key, put, route, team},
};

/// The maximum time from a caller's leaving until its request no longer reaches a target.
const MAX_DELAY: Millis = Millis(500);
/// The nodes that requests enter by, whose targets serve none of them.
const FRONTS: usize = 3;
/// The nodes whose targets serve the requests.
const BACKS: usize = 4;
/// The time between two steps of a schedule.
const STEP: Millis = Millis(10);
const STEPS: usize = 2_000;

/// Requests of callers that leave while nodes stand still and data centres are cut off from each
/// other. The seed decides all of it.
struct Schedule {
    fleet: Fleet,
    rng: Pcg64Mcg,
    /// When the caller of each request leaves, by root.
    leaves_at: Vec<Millis>,
    /// Frozen nodes, and when each is resumed.
    frozen: Vec<(Site, Millis)>,
    /// Until when the data centres are cut off from each other.
    cut_until: Option<Millis>,
    /// When the data centres were cut off from each other, and until when.
    cuts: Vec<(Millis, Millis)>,
    /// When front nodes were frozen, and until when.
    pauses: Vec<(Site, Millis, Millis)>,
}

impl Schedule {
    fn run(seed: u64, slots: usize) -> Schedule {
        let mut fleet = Fleet::new(seed, Options::default());
        for (service, count) in [("front", FRONTS), ("search", BACKS)] {
            for index in 0..count {
                fleet.add(["north", "south"][index % 2], Service::leaf(service, slots, 40.0));
            }
        }
        let rows = [team("garage", 10_000, 10_000), key("garage"), Row::Route(route("search"))];
        put(&mut fleet, rows.into());
        fleet.run_for(Millis::from_secs(8));
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (leaves_at, frozen, pauses) = (Vec::new(), Vec::new(), Vec::new());
        let (cut_until, cuts) = (None, Vec::new());
        let mut schedule = Schedule { fleet, rng, leaves_at, frozen, cut_until, cuts, pauses };
        for _ in 0..STEPS {
            schedule.step();
        }
        schedule
    }

    fn step(&mut self) {
        let now = self.fleet.now;
        for (site, _) in self.frozen.extract_if(.., |(_, until)| now >= *until) {
            self.fleet.resume(site);
            let pause = self
                .pauses
                .iter_mut()
                .find(|(other, _, end)| (*other, *end) == (site, Millis::MAX));
            if let Some((.., end)) = pause {
                *end = now;
            }
        }
        if self.rng.random_bool(0.01) {
            let site = Site(self.rng.random_range(0..FRONTS + BACKS));
            if self.frozen.iter().all(|(frozen, _)| *frozen != site) {
                self.fleet.freeze(site);
                self.pauses.push((site, now, Millis::MAX));
                self.frozen.push((site, now + Millis(self.rng.random_range(20..2_500))));
            }
        }
        if self.cut_until.is_some_and(|until| now >= until) {
            self.cut_until = None;
            self.fleet.network.heal();
        }
        if self.cut_until.is_none() && self.rng.random_bool(0.005) {
            // The connections between nodes outlast the cuts.
            let until = now + Millis(self.rng.random_range(50..1_800));
            self.cut_until = Some(until);
            self.cuts.push((now, until));
            self.fleet.network.cut("north", "south");
        }
        for front in 0..FRONTS {
            let patience = Millis(self.rng.random_range(0..1_000));
            let request = Request::get("/search/slots", "garage-1.secret");
            let fingerprint = self.leaves_at.len() as u64;
            self.fleet.send(Site(front), Request { fingerprint, ..request });
            self.leaves_at.push(now + patience);
        }
        let end = now + STEP;
        for root in 0..self.leaves_at.len() {
            if (now..end).contains(&self.leaves_at[root]) {
                self.fleet.run_until(self.leaves_at[root].max(self.fleet.now));
                self.fleet.disconnect_caller(root as u64);
            }
        }
        self.fleet.run_until(end);
    }

    /// When the node where a request ran could notice that its caller had left: once the front node
    /// has resumed, and then the cut has ended, which may lie on the way even if both nodes are in
    /// one data centre.
    fn noticed_at(&self, root: u64) -> Millis {
        let (front, left) = (Site(root as usize % FRONTS), self.leaves_at[root as usize]);
        let pauses = self.pauses.iter().filter(|(site, ..)| *site == front);
        let mut ends = pauses.filter(|(_, from, end)| (*from..*end).contains(&left));
        let noticed = ends.next().map_or(left, |(.., end)| *end);
        let mut cuts = self.cuts.iter().filter(|(from, end)| (*from..*end).contains(&noticed));
        cuts.next().map_or(noticed, |(_, end)| *end)
    }

    /// The requests that reached a target too late after its node could notice that the callers had
    /// left: each with both times.
    fn late_runs(&self) -> Vec<(u64, Millis, Millis)> {
        let records = self.fleet.ran.iter();
        let records = records.map(|record| (record.root, record.at));
        let noticed = records.map(|(root, at)| (root, self.noticed_at(root), at));
        noticed.filter(|(_, noticed, at)| *at >= *noticed + MAX_DELAY).collect()
    }
}

/// Guards against requests that run for callers that have left: a node that stands still, or
/// that was cut off, gets the request and the disconnect of its caller in one tick, in whichever
/// stage the request is.
#[test]
fn requests_of_callers_that_have_left_do_not_run() {
    for_seeds(|seed| {
        for slots in [2, 8] {
            let schedule = Schedule::run(seed, slots);
            assert_eq!(schedule.late_runs(), [], "seed {seed}, {slots} slots");
            let runs = schedule.fleet.ran.len();
            assert!(runs > 500, "seed {seed}, {slots} slots: {runs} requests run");
        }
    });
}
