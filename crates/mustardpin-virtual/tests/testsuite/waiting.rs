//! Requests that wait for a token, in a queue or for another target while the configuration changes run
//! only for a team that holds their key, or not at all.

use std::collections::BTreeMap;

use mustardpin_virtual::{Fleet, Received, Request, RunRecord, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::{self, Row},
    id::{KeyDigest, Revision},
    refusal::Reason,
    request::Verdict,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    scenario::for_seeds,
    support::{route, team},
};

/// The nodes that requests enter by, whose targets serve none of them.
const FRONTS: usize = 2;
/// The services that routes lead to, and the nodes of each. Requests enter by these nodes too.
const BACKS: [(&str, usize); 2] = [("search", 3), ("archive", 2)];
/// The time between two requests of one team to one node.
const REQUEST_INTERVAL: Millis = Millis(20);
/// The time within which a change is in force on all nodes.
const IN_FORCE_WITHIN: Millis = Millis(300);
/// The rate of the team whose requests wait for tokens, in requests per second.
const RATE: u32 = 20;

/// A configuration: the team of each key, and the routes that there are.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Document {
    keys: BTreeMap<&'static str, &'static str>,
    /// The rate of each team; 0 for no limit.
    teams: BTreeMap<&'static str, u32>,
    /// The name of the route of the requests, if there is one.
    route: Option<&'static str>,
    /// Whether it needs no key.
    is_open: bool,
    /// The service that it leads to.
    service: &'static str,
}

impl Document {
    fn first() -> Document {
        Document {
            keys: [("garage-1", "garage"), ("sitter-1", "sitter")].into(),
            teams: [("garage", RATE), ("sitter", 10_000)].into(),
            route: Some("search"),
            is_open: false,
            service: "search",
        }
    }

    fn rows(&self) -> Vec<Row> {
        let keys = self.keys.iter().map(|(id, team)| {
            let digest = KeyDigest::of(&format!("{id}.secret"));
            let (id, team) = ((*id).into(), (*team).into());
            Row::Key(config::Key { id, team, digest, withdrawn: false })
        });
        let teams = self.teams.iter().map(|(name, rate)| team(name, *rate, (*rate).max(4)));
        let routes = self.route.iter().map(|name| {
            let path_prefix = "/search".into();
            let route = route(self.service);
            Row::Route(config::Route {
                name: (*name).into(),
                path_prefix,
                open: self.is_open,
                ..route
            })
        });
        keys.chain(teams).chain(routes).collect()
    }
}

struct Scenario {
    fleet: Fleet,
    /// The documents, and when the operators wrote each.
    documents: Vec<(Millis, Document)>,
    /// When each request was sent, and with which key, by root.
    sent: Vec<(Millis, &'static str)>,
}

impl Scenario {
    fn start(seed: u64) -> Scenario {
        let mut fleet = Fleet::new(seed, Options::default());
        for (service, count) in [("front", FRONTS)].into_iter().chain(BACKS) {
            for index in 0..count {
                let data_centre = ["north", "south"][index % 2];
                fleet.add(data_centre, Service::leaf(service, 2, 30.0));
            }
        }
        let mut scenario = Scenario { fleet, documents: Vec::new(), sent: Vec::new() };
        scenario.write(Document::first());
        scenario.fleet.run_for(Millis::from_secs(10));
        scenario
    }

    fn write(&mut self, document: Document) {
        let revision = Revision(self.documents.len() as u64 + 1);
        self.fleet.write_document(revision, document.rows());
        self.documents.push((self.fleet.now, document));
    }

    fn load_for(&mut self, length: Millis) {
        let end = self.fleet.now + length;
        while self.fleet.now < end {
            for site in 0..FRONTS + BACKS[0].1 + BACKS[1].1 {
                for key in ["garage-1", "sitter-1"] {
                    let fingerprint = self.sent.len() as u64;
                    self.sent.push((self.fleet.now, key));
                    let request = Request::get("/search/slots", &format!("{key}.secret"));
                    self.fleet.send(Site(site), Request { fingerprint, ..request });
                }
            }
            self.fleet.run_until(end.min(self.fleet.now + REQUEST_INTERVAL));
        }
    }

    /// The documents that may be in force on some node in a span of time.
    fn in_force(&self, from: Millis, until: Millis) -> impl Iterator<Item = &Document> {
        let ends = self.documents.iter().skip(1).map(|(at, _)| *at + IN_FORCE_WITHIN);
        let spans = self.documents.iter().zip(ends.chain([Millis::MAX]));
        let spans = spans.filter(move |((start, _), end)| *start <= until && *end >= from);
        spans.map(|((_, document), _)| document)
    }

    /// Whether a run is for a team that may have held its key at that time, at a service to which the
    /// route may have led since the request was sent. On a route that was open then, it is for nobody.
    fn is_owned(&self, record: &RunRecord) -> bool {
        let (sent, key) = self.sent[record.root as usize];
        let service = match record.site.0 < FRONTS + BACKS[0].1 {
            true => BACKS[0].0,
            false => BACKS[1].0,
        };
        let leads_there =
            |document: &Document| document.route.is_some() && document.service == service;
        let team = record.team.as_deref();
        let is_holder = |document: &Document| {
            let holder = document.keys.get(key).filter(|team| document.teams.contains_key(*team));
            holder.is_some() && holder.copied() == team
        };
        self.in_force(sent, record.at).any(leads_there)
            && match team {
                Some(_) => self.in_force(record.at, record.at).any(is_holder),
                None => self.in_force(sent, record.at).any(|document| document.is_open),
            }
    }

    /// Whether a refusal that blames the key or the route is one that some document calls for.
    fn is_justified(&self, received: &Received) -> bool {
        let Some(Verdict::Refuse(refusal)) = &received.verdict else { return true };
        let (sent, key) = self.sent[received.root as usize];
        let mut documents = self.in_force(sent, received.at);
        match refusal.reason {
            // A key that was unknown when the request came on an open route stays unknown.
            Reason::KeyUnknown | Reason::KeyMissing => documents.any(|document| {
                !document.keys.get(key).is_some_and(|team| document.teams.contains_key(team))
            }),
            Reason::RouteUnknown => documents.any(|document| document.route.is_none()),
            _ => true,
        }
    }

    fn refused(&self, since: Millis, reason: Reason) -> usize {
        let is_refused = |received: &&Received| {
            received.at >= since
                && matches!(&received.verdict, Some(Verdict::Refuse(refusal)) if refusal.reason == reason)
        };
        self.fleet.received.iter().filter(is_refused).count()
    }

    fn check(&mut self, seed: u64) {
        self.fleet.run_for(Millis::from_secs(6));
        let unanswered =
            (0..self.sent.len() as u64).filter(|&root| self.fleet.response_to(root).is_none());
        assert_eq!(unanswered.count(), 0, "seed {seed}");
        let disowned: Vec<_> =
            self.fleet.ran.iter().filter(|record| !self.is_owned(record)).collect();
        assert!(disowned.is_empty(), "seed {seed}: {} runs, {:?}", disowned.len(), disowned[0]);
        let unjustified: Vec<_> =
            self.fleet.received.iter().filter(|received| !self.is_justified(received)).collect();
        assert!(unjustified.is_empty(), "seed {seed}: {:?}", unjustified[0]);
        for site in self.fleet.sites() {
            let tables = self.fleet.world_at(site).tables();
            let ejected = tables.peers.iter().filter(|(_, peer)| peer.health.is_ejected()).count();
            assert_eq!(ejected, 0, "seed {seed}: a refusal for a key counts against no target");
        }
    }
}

/// Guards against requests that wait for a token of their team's rate, and run for nobody once the
/// configuration has removed the team.
#[test]
fn requests_that_wait_for_a_removed_team_are_refused_for_their_key() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        scenario.load_for(Millis::from_secs(2));
        let since = scenario.fleet.now;
        let mut document = Document::first();
        document.keys.remove("garage-1");
        document.teams.remove("garage");
        scenario.write(document);
        // Nothing more is sent, so that only requests that wait are refused for their key.
        scenario.fleet.run_for(Millis::from_secs(2));
        scenario.check(seed);
        let refused = scenario.refused(since, Reason::KeyUnknown);
        assert!(refused >= 5, "seed {seed}: {refused} requests that waited were refused");
    });
}

/// Guards against requests that wait for a token, run without one and against the new team's rate once
/// their key belongs to another team.
#[test]
fn requests_that_wait_are_charged_to_the_team_that_holds_their_key_now() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        scenario.load_for(Millis::from_secs(2));
        let since = scenario.fleet.now;
        let mut document = Document::first();
        document.keys.insert("garage-1", "depot");
        document.teams.remove("garage");
        document.teams.insert("depot", RATE);
        scenario.write(document);
        scenario.load_for(Millis::from_secs(3));
        scenario.check(seed);
        let runs = scenario
            .fleet
            .ran
            .iter()
            .filter(|record| record.at >= since && record.team.as_deref() == Some("depot"));
        let (runs, most) = (runs.count(), 3 * RATE as usize + RATE as usize);
        assert!((20..=most).contains(&runs), "seed {seed}: {runs} runs, at most {most}");
    });
}

/// Guards against a run that a change of any kind leaves without its team, at any stage of waiting, and
/// against refusals that blame a key or a route which is in force.
#[test]
fn no_change_lets_a_waiting_request_run_for_nobody() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        for _ in 0..25 {
            let mut document = scenario.documents.last().expect("a document").1.clone();
            let name = ["garage", "sitter"][rng.random_range(0..2)];
            let key = if name == "garage" { "garage-1" } else { "sitter-1" };
            let other = ["garage", "sitter", "depot"][rng.random_range(0..3)];
            match rng.random_range(0..11) {
                0 => {
                    document.keys.remove(key);
                }
                1 => {
                    document.teams.remove(name);
                }
                2 => {
                    document.keys.retain(|_, team| *team != name);
                    document.teams.remove(name);
                }
                3 => {
                    document.keys.insert(key, other);
                    document.teams.entry(other).or_insert(RATE);
                }
                4 => {
                    document.teams.insert(name, [0, 1, RATE, 10_000][rng.random_range(0..4)]);
                }
                5 => document.route = None,
                6 => document.route = Some(["search", "lookup"][rng.random_range(0..2)]),
                7 => document.is_open = !document.is_open,
                8 => document.service = BACKS[rng.random_range(0..2)].0,
                _ => document = Document::first(),
            }
            scenario.write(document);
            if rng.random_bool(0.3) {
                scenario.load_for(Millis(rng.random_range(5..300)));
                scenario.write(Document::first());
            }
            scenario.load_for(Millis(rng.random_range(50..1_200)));
        }
        scenario.check(seed);
        let runs = scenario.fleet.ran.len();
        assert!(runs > 300, "seed {seed}: {runs} requests run");
    });
}
