//! A fleet that takes bookings, and the check that none runs twice.

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
pub const CENTRES: [&str; 3] = ["north", "south", "west"];

/// A fleet with ledgers, which take bookings, and one front in each data centre.
pub struct Bookings {
    pub fleet: Fleet,
    pub ledgers: Vec<Site>,
    pub fronts: Vec<Site>,
    /// Root requests for bookings.
    pub sent: BTreeSet<u64>,
}

impl Bookings {
    /// A fleet with some ledgers in each data centre.
    pub fn new(seed: u64, ledgers_per_centre: usize) -> Bookings {
        Bookings::with_options(seed, ledgers_per_centre, Options::default())
    }

    /// The same with other options.
    pub fn with_options(seed: u64, ledgers_per_centre: usize, options: Options) -> Bookings {
        let mut fleet = Fleet::new(seed, options);
        let mut ledgers = Vec::new();
        let mut fronts = Vec::new();
        for centre in CENTRES {
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
        // Callers may send again as often as the tests like.
        let fleet = config::Fleet { retry_allowance: 1_000, ..config::Fleet::default() };
        let rows = [Row::Fleet(fleet), Row::Team(team), Row::Key(key)];
        let routes = [route("book", false), route("look", true)];
        self.fleet.platform.put_configuration(rows.into_iter().chain(routes).collect());
    }

    /// Sends a booking to a node.
    pub fn book(&mut self, site: Site, name: &str) -> u64 {
        let root = self.fleet.send(site, Request::post("/book", SECRET, name));
        self.sent.insert(root);
        root
    }

    /// Sends a booking that can run on no ledger but this one.
    pub fn book_at(&mut self, ledger: Site, name: &str) -> u64 {
        for &other in &self.ledgers {
            self.fleet.target(other).draining = other != ledger;
        }
        self.fleet.run_for(Millis::from_secs(2));
        self.book(self.fronts[0], name)
    }

    /// How often a root request began to run on a target.
    pub fn runs(&self, root: u64) -> usize {
        self.fleet.ran.iter().filter(|ran| ran.root == root).count()
    }

    /// What a caller received, in a few words, and how often its request ran.
    pub fn answer(&self, root: u64) -> String {
        let runs = self.runs(root);
        let Some(received) = self.fleet.response_to(root) else {
            return format!("nothing; {runs} runs");
        };
        let what = match &received.verdict {
            None => "broken".to_owned(),
            Some(Verdict::Refuse(refusal)) => format!("{} {}", refusal.outcome, refusal.reason),
            Some(Verdict::Pass) => "whole answer".to_owned(),
        };
        format!("{what}; {runs} runs")
    }

    /// Every breach of the promise, by what targets ran and what callers received.
    pub fn breaches(&self) -> Vec<String> {
        let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
        for ran in &self.fleet.ran {
            *runs.entry(ran.root).or_default() += 1;
        }
        let twice = runs.iter().filter(|(root, runs)| self.sent.contains(root) && **runs > 1);
        let mut breaches: Vec<String> =
            twice.map(|(root, runs)| format!("root {root} ran {runs} times")).collect();
        for received in &self.fleet.received {
            let outcome = received.verdict.as_ref().map(Verdict::outcome);
            let answer = || self.answer(received.root);
            if outcome == Some(Outcome::NotRun) && runs.contains_key(&received.root) {
                breaches.push(format!("root {} ran: {}", received.root, answer()));
            }
            if received.is_complete() && !runs.contains_key(&received.root) {
                breaches.push(format!("root {} did not run: {}", received.root, answer()));
            }
        }
        breaches
    }

    /// How many callers received each kind of answer.
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
            writeln!(text, "{count:6} {kind}").expect("a string takes all text");
        }
        text
    }
}
