//! A small fleet under steady load, for the tests of what nodes agree on.

use std::collections::BTreeMap;

use mustardpin_virtual::{Fleet, Received, Request, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::{self, CutOffPolicy, Importance, Kind, Path, Row},
    event::Proposal,
    id::{KeyDigest, Revision},
    request::Verdict,
    store::{RowKey, Value},
};

/// The key that operators withdraw.
pub const WITHDRAWN: &str = "garage-1";
/// The key that stays.
pub const KEPT: &str = "sitter-1";
/// The data centres, three nodes in each.
pub const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];
/// The time between two requests to one node.
const LOAD_PERIOD: Millis = Millis(50);

/// A fleet under load.
pub struct Scenario {
    pub fleet: Fleet,
    /// The keys that callers use in turn; the last of each three requests comes without one.
    pub keys: [String; 2],
    sent: u64,
}

/// The seeds of a test: a few, or as many as the environment asks for.
pub fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("MUSTARDPIN_SEEDS").ok().and_then(|count| count.parse().ok());
    0..count.unwrap_or(3)
}

/// Runs a check for each seed. The one that fails is the last one printed.
pub fn for_seeds(mut check: impl FnMut(u64)) {
    for seed in seeds() {
        println!("seed {seed}");
        check(seed);
    }
}

pub fn team(name: &str) -> Row {
    let (name, importance) = (name.into(), Importance::default());
    Row::Team(config::Team { name, rate: 10_000, burst: 10_000, weight: 1, importance })
}

pub fn key(id: &str, team: &str, withdrawn: bool) -> Row {
    let digest = KeyDigest::of(&format!("{id}.secret"));
    Row::Key(config::Key { id: id.into(), team: team.into(), digest, withdrawn })
}

pub fn route(name: &str, open: bool) -> Row {
    let route = config::Route::new(name, &format!("/{name}"), "search", Millis::from_secs(10));
    Row::Route(config::Route { repeatable: true, open, ..route })
}

pub fn withdrawal() -> Row {
    key(WITHDRAWN, "garage", true)
}

impl Scenario {
    /// A fleet that has agreed on its configuration and its roster.
    pub fn start(seed: u64, cut_off: CutOffPolicy) -> Scenario {
        Scenario::start_with(seed, cut_off, Vec::new())
    }

    /// The same with more rows in the configuration.
    pub fn start_with(seed: u64, cut_off: CutOffPolicy, more: Vec<Row>) -> Scenario {
        let mut fleet = Fleet::new(seed, Options::default());
        for data_centre in DATA_CENTRES {
            for _ in 0..3 {
                fleet.add(data_centre, Service::leaf("search", 4, 5.0));
            }
        }
        let rows = [
            Row::Fleet(config::Fleet { cut_off, ..config::Fleet::default() }),
            team("garage"),
            team("sitter"),
            key(WITHDRAWN, "garage", false),
            key(KEPT, "sitter", false),
            route("search", false),
            route("public", true),
        ];
        fleet.platform.put_configuration(rows.into_iter().chain(more).collect());
        fleet.platform.put(vec![(RowKey::Head, Value::Head(Vec::new()))]);
        let mut scenario = Scenario { fleet, keys: [WITHDRAWN, KEPT].map(str::to_owned), sent: 0 };
        scenario.fleet.run_for(Millis::from_secs(8));
        scenario
    }

    /// Lets time pass under load: every node gets requests with both keys and without one.
    pub fn load_for(&mut self, length: Millis) {
        self.load_without(None, length);
    }

    /// The same, but without requests to one of the nodes.
    pub fn load_without(&mut self, left_out: Option<Site>, length: Millis) {
        let end = self.fleet.now + length;
        while self.fleet.now < end {
            for site in self.fleet.sites().filter(|&site| Some(site) != left_out) {
                self.send(site);
            }
            self.fleet.run_until(end.min(self.fleet.now + LOAD_PERIOD));
        }
    }

    /// Sends one request to a node, unless it has exited.
    pub fn send(&mut self, site: Site) {
        if self.fleet.has_exited(site) {
            return;
        }
        let mut request = match self.sent % 3 {
            0 => Request::get("/search", &format!("{}.secret", self.keys[0])),
            1 => Request::get("/search", &format!("{}.secret", self.keys[1])),
            _ => Request { key: None, ..Request::get("/public", "") },
        };
        self.sent += 1;
        request.fingerprint = self.sent;
        request.timeout = Some(Millis::from_secs(5));
        self.fleet.send(site, request);
    }

    /// How many requests were sent.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Proposes the withdrawal through a node, as an operator who has seen all that the node has.
    pub fn withdraw(&mut self, site: Site) {
        let expected = self.revision(site);
        self.propose(site, 1, "withdraw", expected, vec![withdrawal()]);
    }

    pub fn propose(
        &mut self,
        site: Site,
        ticket: u64,
        id: &str,
        expected: Revision,
        rows: Vec<Row>,
    ) {
        let proposal = Proposal { id: id.into(), expected, rows, removals: Vec::new() };
        self.fleet.propose(site, ticket, proposal);
    }

    /// The revision of the configuration that a node is at.
    pub fn revision(&self, site: Site) -> Revision {
        self.fleet.world_at(site).tables().configuration.revision
    }

    /// Lets time pass under load until the platform holds the withdrawal.
    pub fn load_until_accepted(&mut self) -> Millis {
        let path = Path { kind: Kind::Key, name: WITHDRAWN.into() };
        let limit = self.fleet.now + Millis::from_secs(10);
        while self.fleet.now < limit {
            if self.fleet.platform.configuration(&path) == Some(&withdrawal()) {
                return self.fleet.now;
            }
            self.load_for(Millis(1));
        }
        panic!("the withdrawal was not accepted");
    }

    /// When targets began to run requests with a key.
    pub fn runs_of(&self, key: &str) -> impl DoubleEndedIterator<Item = Millis> {
        let ran = self.fleet.ran.iter().filter(move |ran| ran.key_id.as_deref() == Some(key));
        ran.map(|ran| ran.at)
    }

    /// What callers that sent between two points to nodes of a data centre received, counted by
    /// key and outcome.
    pub fn outcomes(&self, data_centre: &str, from: Millis, to: Millis) -> String {
        let mut counts: BTreeMap<(&str, String), usize> = BTreeMap::new();
        for received in &self.fleet.received {
            let identity = self.fleet.world_at(received.site).identity();
            if identity.data_centre() == data_centre && received.sent >= from && received.sent < to
            {
                let key = [WITHDRAWN, KEPT, "no key"][received.root as usize % 3];
                *counts.entry((key, outcome(received))).or_default() += 1;
            }
        }
        if counts.keys().all(|(_, what)| what == "whole") {
            return format!("all {} whole", counts.values().sum::<usize>());
        }
        let counts = counts.into_iter().map(|((key, what), count)| format!("{key} {count} {what}"));
        counts.collect::<Vec<_>>().join(", ")
    }
}

/// What a caller received, in a word or two.
fn outcome(received: &Received) -> String {
    match &received.verdict {
        None => "broken".to_owned(),
        Some(Verdict::Pass) => "whole".to_owned(),
        Some(Verdict::Refuse(refusal)) => format!("{} ({})", refusal.reason, refusal.outcome),
    }
}
