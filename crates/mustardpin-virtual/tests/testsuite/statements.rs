//! What targets state holds under random schedules of statements and failures. The seed decides the
//! schedule.

use std::collections::BTreeMap;

use mustardpin_virtual::{Fleet, Request, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::Row,
    notice::Notice,
    options::{Limit, LimitAlgorithm},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    scenario::for_seeds,
    support::{key, put, route, team},
};

/// The nodes that requests enter by, whose targets serve none of them. They do not fail.
const FRONTS: usize = 3;
/// The nodes whose targets serve the requests.
const BACKS: usize = 5;
const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];
/// The length of a schedule.
const LENGTH: Millis = Millis::from_secs(40);
/// The time between two requests to one front node.
const REQUEST_INTERVAL: Millis = Millis(10);
/// From this time after the first statement on, a rate limit must hold.
const NOTICE_PERIOD: Millis = Millis::from_secs(3);
/// From this time after it has passed on a statement on, a front node is bound by a rate limit.
const KNOWN_AFTER: Millis = Millis(500);
/// From this time after it has passed on a statement on, a front node is bound by a departure.
const MAX_DELAY: Millis = Millis::from_secs(2);
/// The length of the spans in which requests are counted.
const WINDOW: Millis = Millis::from_secs(4);

/// A span in which a process of a target states a rate limit without a break.
#[derive(Debug)]
struct Limited {
    site: Site,
    /// The rates in requests per second, and from when on each is stated.
    rates: Vec<(Millis, f64)>,
    until: Millis,
}

/// For this long after its restart, a node may not know yet what its target has announced.
const REMIND_PERIOD: Millis = Millis::from_secs(3);
/// How often a step deregisters a target.
const DEREGISTRATION_RATE: f64 = 0.08;

/// A span in which a process of a target states that it leaves, or has deregistered.
#[derive(Debug)]
struct Left {
    site: Site,
    from: Millis,
    until: Millis,
    has_deregistered: bool,
}

struct Schedule {
    fleet: Fleet,
    rng: Pcg64Mcg,
    deregistration_rng: Pcg64Mcg,
    /// The front node and the time of each request, by root.
    sent: Vec<(Site, Millis)>,
    limited: Vec<Limited>,
    left: Vec<Left>,
    /// The restarts of nodes.
    restarted: Vec<(Site, Millis)>,
    /// Frozen and killed nodes, and when each is resumed or started again.
    frozen: Vec<(Site, Millis)>,
    down: Vec<(Site, Millis)>,
    healed_at: Millis,
}

impl Schedule {
    fn run(seed: u64) -> Schedule {
        let limit = Limit { algorithm: LimitAlgorithm::Slots, ..Limit::default() };
        let mut fleet = Fleet::new(seed, Options { limit, ..Options::default() });
        for (service, count) in [("front", FRONTS), ("search", BACKS)] {
            for index in 0..count {
                let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
                fleet.add(data_centre, Service::leaf(service, 60, 60.0));
            }
        }
        let rows = [team("garage", 10_000, 10_000), key("garage"), Row::Route(route("search"))];
        put(&mut fleet, rows.into());
        fleet.run_for(Millis::from_secs(8));
        let mut schedule = Schedule {
            fleet,
            rng: Pcg64Mcg::seed_from_u64(seed),
            deregistration_rng: Pcg64Mcg::seed_from_u64(seed + 1),
            sent: Vec::new(),
            limited: Vec::new(),
            left: Vec::new(),
            restarted: Vec::new(),
            frozen: Vec::new(),
            down: Vec::new(),
            healed_at: Millis::ZERO,
        };
        let end = schedule.fleet.now + LENGTH;
        while schedule.fleet.now < end {
            schedule.recover();
            schedule.change();
            schedule.deregister();
            let length = Millis(schedule.rng.random_range(50..900));
            schedule.load_for(length);
        }
        schedule
    }

    fn load_for(&mut self, length: Millis) {
        let end = self.fleet.now + length;
        while self.fleet.now < end {
            for front in 0..FRONTS {
                let fingerprint = self.sent.len() as u64;
                self.sent.push((Site(front), self.fleet.now));
                let request = Request::get("/search/slots", "garage-1.secret");
                self.fleet.send(Site(front), Request { fingerprint, ..request });
            }
            self.fleet.run_until(end.min(self.fleet.now + REQUEST_INTERVAL));
        }
    }

    /// Ends failures whose time is over.
    fn recover(&mut self) {
        let now = self.fleet.now;
        if now >= self.healed_at {
            self.fleet.network.heal();
        }
        for (site, _) in self.frozen.extract_if(.., |(_, until)| now >= *until) {
            self.fleet.resume(site);
        }
        for (site, _) in self.down.extract_if(.., |(_, until)| now >= *until).collect::<Vec<_>>() {
            self.restart_node(site);
        }
    }

    fn restart_node(&mut self, site: Site) {
        self.fleet.restart_node(site);
        self.restarted.push((site, self.fleet.now));
    }

    /// Sometimes deregisters a target, whose last report arrives late.
    fn deregister(&mut self) {
        let rng = &mut self.deregistration_rng;
        let is_due = rng.random_bool(DEREGISTRATION_RATE);
        let site = Site(FRONTS + rng.random_range(0..BACKS));
        let late = Millis(rng.random_range(0..8_000));
        let is_running = |list: &[(Site, Millis)]| list.iter().all(|(other, _)| *other != site);
        let is_heard = is_running(&self.down) && is_running(&self.frozen);
        let is_enough =
            self.left.iter().filter(|left| left.until == Millis::MAX).count() >= BACKS / 2;
        if !is_due || !is_heard || is_enough || self.fleet.target(site).has_deregistered {
            return;
        }
        self.fleet.deregister_target(site, late);
        let (from, until) = (self.fleet.now, Millis::MAX);
        self.left.push(Left { site, from, until, has_deregistered: true });
    }

    /// Changes what a target states, or lets something fail.
    fn change(&mut self) {
        let (now, site) = (self.fleet.now, Site(FRONTS + self.rng.random_range(0..BACKS)));
        let is_down = self.down.iter().any(|(down, _)| *down == site);
        let later = |rng: &mut Pcg64Mcg, most| now + Millis(rng.random_range(100..most));
        match self.rng.random_range(0..12) {
            0..=3 => {
                let rate = [0.0, 0.4, 3.0, 12.0, 40.0][self.rng.random_range(0..5)];
                self.limit(site, rate);
            }
            4 => {
                self.fleet.target(site).state_rate_limit(None);
                self.end_limit(site);
            }
            5 if !is_down => {
                self.frozen.retain(|(frozen, _)| *frozen != site);
                self.restart_node(site);
            }
            6 if !is_down => {
                self.frozen.retain(|(frozen, _)| *frozen != site);
                self.fleet.kill(site);
                let until = later(&mut self.rng, 2_000);
                self.down.push((site, until));
            }
            7 | 8 if !is_down => {
                self.fleet.freeze(site);
                let until = later(&mut self.rng, 3_000);
                self.frozen.push((site, until));
            }
            9 => {
                let (one, other) = (self.rng.random_range(0..3), self.rng.random_range(0..3));
                self.fleet.network.cut(DATA_CENTRES[one], DATA_CENTRES[other]);
                if self.rng.random_bool(0.5) {
                    self.fleet.network.cut_platform(DATA_CENTRES[one]);
                }
                self.healed_at = later(&mut self.rng, 4_000);
            }
            10 if self.left.iter().filter(|left| left.until == Millis::MAX).count() < BACKS / 2 => {
                self.fleet.target(site).notice.leaving = true;
                self.left.push(Left {
                    site,
                    from: now,
                    until: Millis::MAX,
                    has_deregistered: false,
                });
            }
            11 if !is_down => {
                self.frozen.retain(|(frozen, _)| *frozen != site);
                self.fleet.target(site).notice = Notice::default();
                self.fleet.restart(site);
                self.end_limit(site);
                for left in self.left.iter_mut().filter(|left| left.site == site) {
                    left.until = left.until.min(now);
                }
            }
            _ => {}
        }
    }

    fn limit(&mut self, site: Site, rate: f64) {
        let now = self.fleet.now;
        self.fleet.target(site).state_rate_limit(Some(rate));
        let is_open = |limited: &&mut Limited| limited.site == site && limited.until == Millis::MAX;
        match self.limited.iter_mut().find(is_open) {
            Some(limited) => limited.rates.push((now, rate)),
            None => {
                let (rates, until) = (vec![(now, rate)], Millis::MAX);
                self.limited.push(Limited { site, rates, until });
            }
        }
    }

    fn end_limit(&mut self, site: Site) {
        for limited in self.limited.iter_mut().filter(|limited| limited.site == site) {
            limited.until = limited.until.min(self.fleet.now);
        }
    }

    /// When each front node passed on the first response that a target sent from a time on.
    fn told(&self, site: Site, from: Millis) -> BTreeMap<Site, Millis> {
        let runs = self.fleet.ran.iter().filter(|record| record.site == site);
        let runs: BTreeMap<u64, Millis> = runs.map(|record| (record.root, record.at)).collect();
        let mut told = BTreeMap::new();
        for received in &self.fleet.received {
            let is_of_target = runs.contains_key(&received.root) && received.is_complete();
            if is_of_target && received.at >= from {
                told.entry(received.site).or_insert(received.at);
            }
        }
        told
    }

    /// The requests that front nodes sent to a target too late after they knew of its departure.
    fn runs_after_departure(&self, left: &Left) -> usize {
        let told = self.told(left.site, left.from);
        let records = self.fleet.ran.iter().filter(|record| {
            let (front, sent) = self.sent[record.root as usize];
            let is_bound = told.get(&front).is_some_and(|told| sent > *told + MAX_DELAY);
            record.site == left.site && record.at < left.until && is_bound
        });
        records.count()
    }

    /// The requests that reached a target too late after it had deregistered. Those that came while
    /// the node beside it had just been restarted don't count.
    fn runs_after_deregistration(&self, left: &Left) -> usize {
        let is_excused = |sent: Millis| {
            let restarts = self.restarted.iter().filter(|(site, _)| *site == left.site);
            restarts.map(|(_, at)| *at).any(|at| (at..at + REMIND_PERIOD).contains(&sent))
        };
        let records = self.fleet.ran.iter().filter(|record| {
            let (_, sent) = self.sent[record.root as usize];
            record.site == left.site
                && record.at < left.until
                && sent > left.from + MAX_DELAY
                && !is_excused(sent)
        });
        records.count()
    }

    /// The rates that a target stated. Like the first one, a rate binds nodes only some time after
    /// they have passed on a response that states it; until then the one before holds too.
    fn spans(&self, limited: &Limited) -> Vec<Span> {
        let known = |at: Millis| {
            let first = self.told(limited.site, at).values().min().copied();
            first.map_or(Millis::MAX, |first| first + KNOWN_AFTER)
        };
        let ends = limited.rates.iter().skip(1).map(|(at, _)| known(*at)).chain([Millis::MAX]);
        limited.rates.iter().zip(ends).map(|((start, rate), end)| (*start, end, *rate)).collect()
    }

    /// The spans in which a target got more requests than it had stated, with both numbers.
    fn excesses(&self, limited: &Limited) -> Vec<(Millis, usize, f64)> {
        let first = limited.rates[0].0;
        let told = self.told(limited.site, first);
        let Some(&named) = told.values().min() else { return Vec::new() };
        let records = self.fleet.ran.iter().filter(|record| {
            let front = self.sent[record.root as usize].0;
            let is_bound = told.get(&front).is_some_and(|told| record.at >= *told + KNOWN_AFTER);
            record.site == limited.site && record.at < limited.until && is_bound
        });
        let runs: Vec<Millis> = records.map(|record| record.at).collect();
        let spans = self.spans(limited);
        let starts = runs.iter().filter(|at| **at >= named + NOTICE_PERIOD);
        let excess = |&from: &Millis| {
            let until = from + WINDOW;
            let count = runs.iter().filter(|at| **at >= from && **at < until).count();
            let allowed = 1.5 * allowed(&spans, from, until) + 5.0;
            (count as f64 > allowed).then_some((from, count, allowed))
        };
        starts.filter_map(excess).collect()
    }
}

/// A rate and the time in which it allows requests.
type Span = (Millis, Millis, f64);

/// The requests that the rates allow in a span of time.
fn allowed(spans: &[Span], from: Millis, until: Millis) -> f64 {
    const STEP: usize = 10;

    let rate_at = |at: u64| {
        let current = spans.iter().filter(|(start, end, _)| start.0 <= at && at < end.0);
        current.map(|(.., rate)| *rate).fold(0.0, f64::max)
    };
    let total: f64 = (from.0..until.0).step_by(STEP).map(rate_at).sum();
    total * STEP as f64 / 1_000.0
}

/// Guards against a limit, a departure or a deregistration that some order of statements, late
/// reports, restarts, kills, pauses, cuts and replacements loses.
#[test]
fn statements_hold_whatever_fails() {
    for_seeds(|seed| {
        let schedule = Schedule::run(seed);
        for limited in &schedule.limited {
            assert_eq!(schedule.excesses(limited), [], "seed {seed}: {limited:?}");
        }
        for left in &schedule.left {
            let runs = match left.has_deregistered {
                true => schedule.runs_after_deregistration(left),
                false => schedule.runs_after_departure(left),
            };
            assert_eq!(runs, 0, "seed {seed}: {left:?}");
        }
        let runs = schedule.fleet.ran.len();
        assert!(runs > 1_000, "seed {seed}: {runs} requests run");
    });
}
