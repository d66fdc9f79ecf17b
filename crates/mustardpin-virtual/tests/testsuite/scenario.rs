//! A small fleet under steady load, for tests of the configuration, the roster and draining.

use std::collections::BTreeMap;

use mustardpin_virtual::{Fleet, Received, Request, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::{self, CutOffPolicy, Importance, Kind, Path, Row},
    event::Proposal,
    id::{KeyDigest, Revision},
    request::Verdict,
    store::{Head, RowKey, Value},
};

/// The id of the key that operators withdraw.
pub const WITHDRAWN_KEY: &str = "garage-1";
/// The id of the key that stays valid.
pub const VALID_KEY: &str = "sitter-1";
/// The data centres, three nodes in each.
pub const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];
/// The time between two requests to one node.
const REQUEST_INTERVAL: Millis = Millis(50);

/// A fleet under load.
pub struct Scenario {
    pub fleet: Fleet,
    /// The ids of the keys that callers use in turn. Every third request has no key.
    pub keys: [String; 2],
    sent: u64,
}

/// The seeds of a test: three, or as many as `MUSTARDPIN_SEEDS` says.
pub fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("MUSTARDPIN_SEEDS").ok().and_then(|count| count.parse().ok());
    0..count.unwrap_or(3)
}

/// Runs a check for each seed. If it fails, the last seed printed is the one that failed.
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
    key(WITHDRAWN_KEY, "garage", true)
}

impl Scenario {
    /// A fleet whose nodes all have the same configuration and roster.
    pub fn start(seed: u64, cut_off: CutOffPolicy) -> Scenario {
        Scenario::start_with(seed, cut_off, Vec::new())
    }

    /// Like [`Scenario::start`], with more rows in the configuration.
    pub fn start_with(seed: u64, cut_off: CutOffPolicy, extra_rows: Vec<Row>) -> Scenario {
        Scenario::start_with_options(seed, cut_off, extra_rows, Options::default())
    }

    /// Like [`Scenario::start_with`], with these options of the systems.
    pub fn start_with_options(
        seed: u64,
        cut_off: CutOffPolicy,
        extra_rows: Vec<Row>,
        options: Options,
    ) -> Scenario {
        let mut fleet = Fleet::new(seed, options);
        for data_centre in DATA_CENTRES {
            for _ in 0..3 {
                fleet.add(data_centre, Service::leaf("search", 4, 5.0));
            }
        }
        let rows = [
            Row::Fleet(config::Fleet { cut_off, ..config::Fleet::default() }),
            team("garage"),
            team("sitter"),
            key(WITHDRAWN_KEY, "garage", false),
            key(VALID_KEY, "sitter", false),
            route("search", false),
            route("public", true),
        ];
        fleet.platform.put_configuration(rows.into_iter().chain(extra_rows).collect());
        fleet.platform.put(vec![(RowKey::Head, Value::Head(Head::default()))]);
        let mut scenario =
            Scenario { fleet, keys: [WITHDRAWN_KEY, VALID_KEY].map(str::to_owned), sent: 0 };
        scenario.fleet.run_for(Millis::from_secs(8));
        scenario
    }

    /// Runs the fleet under load: every node gets requests with both keys and without a key.
    pub fn load_for(&mut self, length: Millis) {
        self.load_excluding(None, length);
    }

    /// Like [`Scenario::load_for`], but sends no requests to the node `excluded`.
    pub fn load_excluding(&mut self, excluded: Option<Site>, length: Millis) {
        let end = self.fleet.now + length;
        while self.fleet.now < end {
            for site in self.fleet.sites().filter(|&site| Some(site) != excluded) {
                self.send(site);
            }
            self.fleet.run_until(end.min(self.fleet.now + REQUEST_INTERVAL));
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

    /// Proposes the withdrawal through a node, on top of the revision that this node has.
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

    /// The revision of a node's configuration.
    pub fn revision(&self, site: Site) -> Revision {
        self.fleet.world_at(site).tables().configuration.revision
    }

    /// Runs the fleet under load until the platform holds the withdrawal. Returns that time.
    pub fn load_until_accepted(&mut self) -> Millis {
        let path = Path { kind: Kind::Key, name: WITHDRAWN_KEY.into() };
        let limit = self.fleet.now + Millis::from_secs(10);
        while self.fleet.now < limit {
            if self.fleet.platform.configuration(&path) == Some(&withdrawal()) {
                return self.fleet.now;
            }
            self.load_for(Millis(1));
        }
        panic!("the platform did not accept the withdrawal within 10 s");
    }

    /// The times at which targets began to run requests with a key, in order.
    pub fn runs_with_key(&self, key: &str) -> impl DoubleEndedIterator<Item = Millis> {
        let records =
            self.fleet.ran.iter().filter(move |record| record.key_id.as_deref() == Some(key));
        records.map(|record| record.at)
    }

    /// Counts, by key and outcome, the results of requests that were sent to nodes of a data centre
    /// from `from` until `to`.
    pub fn outcomes(&self, data_centre: &str, from: Millis, to: Millis) -> String {
        let mut counts: BTreeMap<(&str, String), usize> = BTreeMap::new();
        for received in &self.fleet.received {
            let identity = self.fleet.world_at(received.site).identity();
            if identity.data_centre() == data_centre && received.sent >= from && received.sent < to
            {
                let key = [WITHDRAWN_KEY, VALID_KEY, "no key"][received.root as usize % 3];
                *counts.entry((key, outcome(received))).or_default() += 1;
            }
        }
        if counts.keys().all(|(_, outcome)| outcome == "whole") {
            return format!("all {} whole", counts.values().sum::<usize>());
        }
        let counts = counts.into_iter().map(|((key, what), count)| format!("{key} {count} {what}"));
        counts.collect::<Vec<_>>().join(", ")
    }
}

/// Requests sent since a time that were not served, by what their callers received.
pub fn unserved(fleet: &Fleet, since: Millis) -> Vec<String> {
    let received = fleet.received.iter().filter(|received| received.sent >= since);
    received.map(outcome).filter(|outcome| outcome != "whole").collect()
}

/// A short description of what a caller received.
pub fn outcome(received: &Received) -> String {
    match &received.verdict {
        None => "broken".to_owned(),
        Some(Verdict::Pass) => "whole".to_owned(),
        Some(Verdict::Refuse(refusal)) => format!("{} ({})", refusal.reason, refusal.outcome),
    }
}
