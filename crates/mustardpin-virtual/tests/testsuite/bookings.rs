//! A fleet that takes bookings, and the checks that a booking runs at most once for each time it is
//! sent.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
};

use mustardpin_virtual::{Fleet, Request, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::{self, Importance, Key, Route, Row, Team},
    id::KeyDigest,
    refusal::Outcome,
    request::Verdict,
};

pub const SECRET: &str = "garage-1.secret";
pub const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];

/// A fleet with one front in each data centre and nodes of the service `ledger`, whose targets run
/// the bookings.
pub struct Bookings {
    pub fleet: Fleet,
    pub ledgers: Vec<Site>,
    pub fronts: Vec<Site>,
    /// The root requests that are bookings.
    pub sent: BTreeSet<u64>,
}

impl Bookings {
    /// A fleet with `ledgers_per_centre` ledgers in each data centre.
    pub fn new(seed: u64, ledgers_per_centre: usize) -> Bookings {
        Bookings::with_options(seed, ledgers_per_centre, Options::default())
    }

    /// Like [`Bookings::new`], with other options.
    pub fn with_options(seed: u64, ledgers_per_centre: usize, options: Options) -> Bookings {
        let mut fleet = Fleet::new(seed, options);
        let mut ledgers = Vec::new();
        let mut fronts = Vec::new();
        for centre in DATA_CENTRES {
            fronts.push(fleet.add(centre, Service::leaf("front", 8, 5.0)));
            for _ in 0..ledgers_per_centre {
                ledgers.push(fleet.add(centre, Service::leaf("ledger", 8, 20.0)));
            }
        }
        let mut bookings = Bookings { fleet, ledgers, fronts, sent: BTreeSet::new() };
        bookings.configure();
        bookings.fleet.run_for(Millis::from_secs(3));
        bookings
    }

    fn configure(&mut self) {
        let (name, importance) = ("garage".into(), Importance::default());
        let team = Team { name, rate: 100_000, burst: 100_000, weight: 1, importance };
        let digest = KeyDigest::of(SECRET);
        let key = Key { id: "garage-1".into(), team: "garage".into(), digest, withdrawn: false };
        let route = |name: &str, repeatable| {
            let route = Route::new(name, &format!("/{name}"), "ledger", Millis::from_secs(5));
            Row::Route(Route { importance: Importance::CRITICAL, repeatable, ..route })
        };
        // An allowance so large that it limits no client retry of these tests.
        let fleet = config::Fleet { retry_allowance: 1_000, ..config::Fleet::default() };
        let rows = [Row::Fleet(fleet), Row::Team(team), Row::Key(key)];
        let routes = [route("book", false), route("look", true)];
        self.fleet.platform.put_configuration(rows.into_iter().chain(routes).collect());
    }

    /// Sends a booking to a node and returns its root request. Bookings of one name have one
    /// fingerprint.
    pub fn book(&mut self, site: Site, name: &str) -> u64 {
        let root = self.fleet.send(site, Request::post("/book", SECRET, name));
        self.sent.insert(root);
        root
    }

    /// Sends a booking that can only run on `ledger`: all other ledgers are draining.
    pub fn book_at(&mut self, ledger: Site, name: &str) -> u64 {
        for &other in &self.ledgers {
            self.fleet.target(other).draining = other != ledger;
        }
        self.fleet.run_for(Millis::from_secs(2));
        self.book(self.fronts[0], name)
    }

    /// How often targets began to run a root request.
    pub fn runs(&self, root: u64) -> usize {
        self.fleet.ran.iter().filter(|record| record.root == root).count()
    }

    /// A short description of what a caller received, and how often its request ran.
    pub fn response(&self, root: u64) -> String {
        let runs = self.runs(root);
        let Some(received) = self.fleet.response_to(root) else {
            return format!("nothing; {runs} runs");
        };
        let kind = match &received.verdict {
            None => "broken".to_owned(),
            Some(Verdict::Refuse(refusal)) => format!("{} {}", refusal.outcome, refusal.reason),
            Some(Verdict::Pass) => "whole answer".to_owned(),
        };
        format!("{kind}; {runs} runs")
    }

    /// Every violation of the guarantee, from what targets ran and what callers received: a booking
    /// that ran twice, a request that ran but was reported as not run, or a complete response to a
    /// request that did not run.
    pub fn violations(&self) -> Vec<String> {
        let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
        for record in &self.fleet.ran {
            *runs.entry(record.root).or_default() += 1;
        }
        let repeated = runs.iter().filter(|(root, runs)| self.sent.contains(root) && **runs > 1);
        let mut violations: Vec<String> =
            repeated.map(|(root, runs)| format!("root {root} ran {runs} times")).collect();
        for received in &self.fleet.received {
            let outcome = received.verdict.as_ref().map(Verdict::outcome);
            let response = || self.response(received.root);
            if outcome == Some(Outcome::NotRun) && runs.contains_key(&received.root) {
                violations.push(format!("root {} ran: {}", received.root, response()));
            }
            if received.is_complete() && !runs.contains_key(&received.root) {
                violations.push(format!("root {} did not run: {}", received.root, response()));
            }
        }
        violations
    }

    /// How many callers received each kind of response.
    pub fn summary(&self) -> String {
        let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
        for received in &self.fleet.received {
            let kind = match &received.verdict {
                None => "broken".to_owned(),
                Some(Verdict::Refuse(refusal)) => format!("{} {}", refusal.outcome, refusal.reason),
                Some(Verdict::Pass) => "whole answer".to_owned(),
            };
            *kinds.entry(kind).or_default() += 1;
        }
        let mut text = String::new();
        for (kind, count) in kinds {
            writeln!(text, "{count:6} {kind}").expect("writing to a string does not fail");
        }
        text
    }
}
