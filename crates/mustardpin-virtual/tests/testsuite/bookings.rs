//! A fleet that takes bookings, and the check that none runs twice.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
};

use mustardpin_virtual::{Fleet, Request, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::{self, Importance, Key, Route, Row, Team},
    home,
    id::KeyDigest,
    message::{
        epoch::{Epoch, Member},
        record::Name,
    },
    platform,
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
    pub epoch: u64,
    /// The root requests sent, and the idempotency key of each.
    pub sent: BTreeMap<u64, String>,
}

impl Bookings {
    /// A fleet in its first epoch, with some ledgers in each data centre.
    pub fn new(seed: u64, ledgers_per_centre: usize) -> Bookings {
        Bookings::with_options(seed, ledgers_per_centre, Options::default())
    }

    /// The same with other options.
    pub fn with_options(seed: u64, ledgers_per_centre: usize, mut options: Options) -> Bookings {
        // The tests decide on the epochs.
        options.epoch.patience = Millis::from_secs(1_000_000);
        let mut fleet = Fleet::new(seed, options);
        let mut ledgers = Vec::new();
        let mut fronts = Vec::new();
        for centre in CENTRES {
            fronts.push(fleet.add(centre, Service::leaf("front", 8, 5.0)));
            for _ in 0..ledgers_per_centre {
                ledgers.push(fleet.add(centre, Service::leaf("ledger", 8, 20.0)));
            }
        }
        let mut bookings = Bookings { fleet, ledgers, fronts, epoch: 0, sent: BTreeMap::new() };
        bookings.configure();
        bookings.announce();
        bookings.adopt(|_| true);
        bookings.fleet.run_for(Millis::from_secs(3));
        bookings
    }

    fn configure(&mut self) {
        let team = Team { name: "garage".into(), rate: 100_000, burst: 100_000, weight: 1 };
        let digest = KeyDigest::of(SECRET);
        let key = Key { id: "garage-1".into(), team: "garage".into(), digest, withdrawn: false };
        let route = |name: &str, repeatable| {
            Row::Route(Route {
                name: name.into(),
                service: "ledger".into(),
                method: None,
                path_prefix: format!("/{name}").into(),
                importance: Importance::Critical,
                repeatable,
                open: false,
                timeout: Millis::from_secs(5),
                teams: Vec::new(),
            })
        };
        // Callers may send again as often as the tests like.
        let fleet = config::Fleet { retry_allowance: 1_000, ..config::Fleet::default() };
        let routes = [route("book", false), route("look", true)];
        let rows = [Row::Fleet(fleet), Row::Team(team), Row::Key(key)];
        let rows: Vec<Row> = rows.into_iter().chain(routes).collect();
        let rows = rows.into_iter().map(|row| platform::Row::Configuration(row.path(), Some(row)));
        self.fleet.platform.put(rows.collect());
    }

    /// Writes an announcement of every node to the platform.
    pub fn announce(&mut self) {
        let sites = self.fleet.sites();
        let rows = sites.map(|site| {
            let announcement = self.fleet.world_at(site).identity().announcement.clone();
            platform::Row::Node(announcement.node, Some(announcement))
        });
        let rows = rows.collect();
        self.fleet.platform.put(rows);
    }

    /// Writes the next epoch to the platform, with the ledgers that meet a condition. Does nothing
    /// while no ledger has seen the present one: who proposes an epoch knows the one before.
    pub fn adopt(&mut self, condition: impl Fn(Site) -> bool) {
        let sees =
            |site: &Site| self.fleet.world_at(*site).tables().epoch.current.number == self.epoch;
        if self.epoch > 0 && !self.ledgers.iter().any(sees) {
            return;
        }
        self.epoch += 1;
        let epoch = Epoch { number: self.epoch, ..self.epoch_of(condition) };
        self.fleet.platform.put(vec![platform::Row::Epoch(epoch)]);
    }

    fn epoch_of(&self, condition: impl Fn(Site) -> bool) -> Epoch {
        let members = self.ledgers.iter().filter(|&&site| condition(site));
        let mut members: Vec<Member> = members
            .map(|&site| {
                let announcement = &self.fleet.world_at(site).identity().announcement;
                Member {
                    node: announcement.node,
                    data_centre: announcement.data_centre.clone(),
                    service: announcement.service.clone(),
                }
            })
            .collect();
        members.sort_by_key(|member| member.node);
        Epoch { members, ..Epoch::default() }
    }

    /// Sends a booking to a node.
    pub fn book(&mut self, site: Site, key: &str) -> u64 {
        let root = self.fleet.send(site, Request::post("/book", SECRET, key));
        self.sent.insert(root, key.to_owned());
        root
    }

    /// The home and the mirror of a booking among some ledgers.
    pub fn pair_of(&self, key: &str, condition: impl Fn(Site) -> bool) -> (Site, Site) {
        let epoch = self.epoch_of(condition);
        let hash = Name::of("garage", "book", key).hash();
        let home = home::home(&epoch, None, hash).expect("there are two ledgers").node;
        let mirror = home::mirror(&epoch, None, hash).expect("there are two ledgers").node;
        let site_of = |node| {
            let mut sites = self.fleet.sites();
            let at = |site: &Site| self.fleet.world_at(*site).identity().node() == node;
            sites.find(at).expect("members are sites")
        };
        (site_of(home), site_of(mirror))
    }

    /// The home and the mirror of a booking among all ledgers.
    pub fn pair(&self, key: &str) -> (Site, Site) {
        self.pair_of(key, |_| true)
    }

    /// A key that meets a condition.
    pub fn key_where(&self, condition: impl Fn(&str) -> bool) -> String {
        let mut keys = (0..10_000).map(|number| format!("key-{number}"));
        keys.find(|key| condition(key)).expect("one of many keys meets the condition")
    }

    /// How often a booking began to run on a target.
    pub fn runs(&self, key: &str) -> usize {
        let ran = self.fleet.ran.iter();
        ran.filter(|ran| ran.idempotency_key.as_deref() == Some(key)).count()
    }

    /// What a caller received, in a few words.
    pub fn answer(&self, root: u64) -> String {
        let Some(received) = self.fleet.answer_to(root) else { return "nothing".to_owned() };
        match &received.verdict {
            None => "broken".to_owned(),
            Some(Verdict::Refuse(refusal)) => format!("{} {}", refusal.outcome, refusal.reason),
            Some(Verdict::Pass | Verdict::Replay(_)) => {
                let key = &self.sent[&root];
                let body = received.body.as_ref();
                let mut others = self.fleet.received.iter().filter(|other| other.body.is_some());
                let first = others.find(|other| self.sent.get(&other.root) == Some(key));
                let same = first.is_some_and(|first| first.body.as_ref() == body);
                if same { "the first answer" } else { "another answer" }.to_owned()
            }
        }
    }

    /// Every breach of the promise, by what targets ran and what callers received.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        let keys: BTreeSet<&String> = self.sent.values().collect();
        for key in keys {
            let runs = self.runs(key);
            if runs > 1 {
                breaches.push(format!("{key} ran {runs} times"));
            }
            let answers: BTreeSet<&Vec<u8>> = self
                .fleet
                .received
                .iter()
                .filter(|received| self.sent.get(&received.root) == Some(key))
                .filter_map(|received| received.body.as_ref())
                .collect();
            if answers.len() > 1 {
                breaches.push(format!("{key} got {} different answers", answers.len()));
            }
        }
        let ran: BTreeSet<u64> = self.fleet.ran.iter().map(|ran| ran.root).collect();
        for received in &self.fleet.received {
            let outcome = received.verdict.as_ref().map(Verdict::outcome);
            if outcome == Some(Outcome::NotRun) && ran.contains(&received.root) {
                breaches.push(format!(
                    "root {} ran: {}",
                    received.root,
                    self.answer(received.root)
                ));
            }
        }
        breaches
    }

    /// Sends all bookings once more, to the fronts in turn.
    pub fn book_all_again(&mut self) {
        let keys: BTreeSet<String> = self.sent.values().cloned().collect();
        let fronts = self.fronts.clone();
        for (key, front) in keys.iter().zip(fronts.into_iter().cycle()) {
            self.book(front, key);
        }
    }

    /// How many callers received each kind of answer.
    pub fn summary(&self) -> String {
        let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
        for received in &self.fleet.received {
            let kind = match &received.verdict {
                None => "broken".to_owned(),
                Some(Verdict::Refuse(refusal)) => format!("{} {}", refusal.outcome, refusal.reason),
                Some(_) => "whole answer".to_owned(),
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
