//! Departures that a node has acknowledged hold whatever ends afterwards: this node, all nodes, or the
//! store's memory of the last seconds.

use compact_str::CompactString;
use mustardpin_virtual::{Fleet, PlatformMode, Request, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::{Route, Row},
    event::ReportTicket,
    id::TargetId,
    store::{Departure, Refused, RowKey},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    scenario::for_seeds,
    support::{put, route},
};

/// The time from the acknowledgement on in which the target may still get requests.
const MAX_DELAY: Millis = Millis::from_secs(2);
/// The time within which a target's report is answered. Targets wait for a second.
const MAX_WAIT: Millis = Millis(900);
/// The time within which a target serves after its node has started, if the store or a peer replies.
const START_PERIOD: Millis = Millis::from_secs(2);
/// The time between two requests to one front node.
const REQUEST_INTERVAL: Millis = Millis(20);
/// How long killed processes are down.
const DOWN: Millis = Millis(1_200);
/// The nodes that requests enter by, whose targets serve none of them.
const FRONTS: usize = 3;
/// The nodes whose targets serve the requests.
const BACKS: usize = 4;
const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];

/// A fleet of front nodes and nodes with targets, under steady load.
struct Scenario {
    fleet: Fleet,
    /// When each request was sent, by root.
    sent: Vec<Millis>,
}

impl Scenario {
    fn start(seed: u64) -> Scenario {
        let mut fleet = Fleet::new(seed, Options::default());
        for (service, count) in [("front", FRONTS), ("search", BACKS)] {
            for index in 0..count {
                let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
                fleet.add(data_centre, Service::leaf(service, 8, 5.0));
            }
        }
        // Nodes serve open routes also while they cannot read the store.
        let route = Route { open: true, ..route("search") };
        put(&mut fleet, vec![Row::Route(route)]);
        fleet.run_for(Millis::from_secs(8));
        let mut scenario = Scenario { fleet, sent: Vec::new() };
        scenario.load_for(Millis::from_secs(2));
        scenario
    }

    fn load_for(&mut self, length: Millis) {
        let end = self.fleet.now + length;
        while self.fleet.now < end {
            for front in 0..FRONTS {
                let fingerprint = self.sent.len() as u64;
                self.sent.push(self.fleet.now);
                let request = Request::get("/search/slots", "");
                self.fleet.send(Site(front), Request { fingerprint, key: None, ..request });
            }
            self.fleet.run_until(end.min(self.fleet.now + REQUEST_INTERVAL));
        }
    }

    /// Kills these nodes at the same moment, and starts them again.
    fn kill(&mut self, sites: impl IntoIterator<Item = Site>) {
        let sites: Vec<Site> = sites.into_iter().collect();
        for &site in &sites {
            self.fleet.kill(site);
        }
        self.load_for(DOWN);
        for site in sites {
            self.fleet.restart_node(site);
        }
    }

    fn kill_all(&mut self) {
        let sites: Vec<Site> = self.fleet.sites().collect();
        self.kill(sites);
    }

    /// Announces a node to all others, which find its new process at the address that they know.
    fn introduce_to_all(&mut self, site: Site) {
        let others: Vec<Site> = self.fleet.sites().filter(|&other| other != site).collect();
        for other in others {
            self.fleet.introduce(other, site);
        }
    }

    fn instance(&self, site: Site) -> CompactString {
        self.fleet.world_at(site).identity().name().clone()
    }

    /// The row of the departure of the process that runs at a site.
    fn row(&mut self, site: Site) -> RowKey {
        let node = self.instance(site);
        let process = TargetId::of(&node, self.fleet.target(site).started);
        RowKey::Departure(Departure { node, process })
    }

    fn is_written(&mut self, site: Site) -> bool {
        let row = self.row(site);
        self.fleet.platform.value(&row).is_some()
    }

    /// Deregisters the target at a site, whose last report arrives late.
    fn deregister(&mut self, site: Site, late: Millis) -> ReportTicket {
        self.fleet.deregister_target(site, late)
    }

    /// How many requests that were sent after a point in time a target got.
    fn runs(&self, site: Site, since: Millis) -> usize {
        let records = self.fleet.ran.iter().filter(|record| record.site == site);
        records.filter(|record| self.sent[record.root as usize] > since).count()
    }

    /// How many requests a target gets within a second.
    fn runs_in_a_second(&mut self, site: Site) -> usize {
        let since = self.fleet.now;
        self.load_for(Millis::from_secs(1));
        self.runs(site, since)
    }
}

fn leaver(seed: u64) -> Site {
    Site(FRONTS + seed as usize % BACKS)
}

/// Guards against an acknowledged departure that is forgotten by a kill of all nodes, so that a report
/// which was sent before it and arrives late brings the target back.
#[test]
fn an_acknowledged_departure_holds_when_all_nodes_are_killed() {
    for_seeds(|seed| {
        for late in [100, 600, 1_900, 3_500, 6_000].map(Millis) {
            let mut scenario = Scenario::start(seed);
            let site = leaver(seed);
            let report = scenario.deregister(site, late);
            scenario.load_for(Millis(500));
            let (acknowledged, is_recorded) = scenario.fleet.acknowledged[&report];
            assert!(is_recorded, "seed {seed}");
            scenario.kill_all();
            scenario.load_for(late + Millis::from_secs(3));
            let runs = scenario.runs(site, acknowledged + MAX_DELAY);
            assert_eq!(runs, 0, "seed {seed}, late by {late:?}");
            let served = scenario.fleet.ran.iter().filter(|record| record.site != site).count();
            assert!(served > 100, "seed {seed}: {served} requests run elsewhere");
        }
    });
}

/// Guards against the same where nodes are killed twice, the second time before the late report.
#[test]
fn an_acknowledged_departure_holds_when_all_nodes_are_killed_twice() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let site = leaver(seed);
        let report = scenario.deregister(site, Millis(5_000));
        scenario.load_for(Millis(200));
        let (acknowledged, _) = scenario.fleet.acknowledged[&report];
        scenario.kill_all();
        scenario.load_for(Millis(700));
        scenario.kill_all();
        scenario.load_for(Millis::from_secs(5));
        assert_eq!(scenario.runs(site, acknowledged + MAX_DELAY), 0, "seed {seed}");
    });
}

/// Guards against a departure that a response states, or that is reported before the first report of
/// the process, and that is forgotten by a kill of all nodes.
#[test]
fn departures_that_are_heard_of_otherwise_hold_too() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let (stated, early) = (leaver(seed), leaver(seed + 1));
        scenario.fleet.target(stated).notice.leaving = true;
        scenario.fleet.target(early).has_deregistered = true;
        scenario.fleet.restart_node(early);
        scenario.load_for(Millis(300));
        scenario.deregister(early, Millis(4_000));
        scenario.load_for(Millis(500));
        assert!(scenario.is_written(stated) && scenario.is_written(early), "seed {seed}");
        // From now on the target states nothing, so that nobody can learn of its departure again.
        scenario.fleet.target(stated).notice.leaving = false;
        let since = scenario.fleet.now;
        scenario.kill_all();
        scenario.load_for(Millis::from_secs(6));
        assert_eq!(scenario.runs(stated, since + MAX_DELAY), 0, "seed {seed}");
        assert_eq!(scenario.runs(early, since + MAX_DELAY), 0, "seed {seed}");
    });
}

/// Guards against a target that starts again under its instance id after a departure that is in the
/// store, and gets no requests.
#[test]
fn a_new_process_under_the_same_instance_id_serves_at_once() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let site = leaver(seed);
        scenario.deregister(site, Millis(9_000));
        scenario.load_for(Millis(500));
        scenario.kill_all();
        scenario.load_for(Millis(300));
        scenario.fleet.restart(site);
        scenario.load_for(START_PERIOD);
        let runs = scenario.runs_in_a_second(site);
        assert!(runs >= 10, "seed {seed}: {runs} runs, 37 are its part");
    });
}

/// Guards against an acknowledgement that only this node and its peers know of, and against one that
/// the target waits for while the store is out.
#[test]
fn a_departure_is_acknowledged_only_once_it_is_in_the_store() {
    let modes = [
        PlatformMode::Down,
        PlatformMode::Refuse(Refused::Unavailable),
        PlatformMode::Refuse(Refused::Busy),
    ];
    for_seeds(|seed| {
        for mode in modes {
            let mut scenario = Scenario::start(seed);
            let site = leaver(seed);
            scenario.fleet.platform.mode = mode;
            let since = scenario.fleet.now;
            let report = scenario.deregister(site, Millis(3_500));
            scenario.load_for(MAX_WAIT);
            let (_, is_recorded) = scenario.fleet.acknowledged[&report];
            assert!(!is_recorded, "seed {seed}, {mode:?}");
            scenario.load_for(Millis::from_secs(4));
            assert_eq!(scenario.runs(site, since + MAX_DELAY), 0, "it is closed all the same");
            scenario.fleet.platform.mode = PlatformMode::Up;
            scenario.load_for(Millis::from_secs(2));
            assert!(scenario.is_written(site), "seed {seed}, {mode:?}: two seconds after");
            let instance = scenario.instance(site);
            let started = Some(scenario.fleet.target(site).started);
            let again = scenario.fleet.report_departure(site, instance, started);
            scenario.load_for(Millis(20));
            assert!(scenario.fleet.acknowledged[&again].1, "seed {seed}: it is in the store");
        }
    });
}

/// Guards against a target that gets no acknowledgement because a reply of the store is lost.
#[test]
fn a_lost_reply_of_the_store_delays_the_acknowledgement_only() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let site = leaver(seed);
        scenario.fleet.platform.mode = PlatformMode::LoseReplies;
        let report = scenario.deregister(site, Millis(3_500));
        scenario.load_for(Millis(300));
        scenario.fleet.platform.mode = PlatformMode::Up;
        scenario.load_for(MAX_WAIT);
        assert!(scenario.fleet.acknowledged[&report].1, "seed {seed}");
    });
}

/// Guards against a target that gets no acknowledgement while the store replies to other nodes only.
#[test]
fn peers_write_the_departure_where_the_store_does_not_reply() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let site = leaver(seed);
        let data_centre = scenario.fleet.world_at(site).identity().data_centre().clone();
        scenario.fleet.network.cut_platform(&data_centre);
        scenario.load_for(Millis(500));
        let report = scenario.deregister(site, Millis(3_500));
        scenario.load_for(MAX_WAIT);
        let (acknowledged, is_recorded) = scenario.fleet.acknowledged[&report];
        assert!(is_recorded && scenario.is_written(site), "seed {seed}");
        scenario.fleet.network.heal();
        scenario.kill_all();
        scenario.load_for(Millis::from_secs(4));
        assert_eq!(scenario.runs(site, acknowledged + MAX_DELAY), 0, "seed {seed}");
    });
}

/// Guards against a departure that a restore of the store from an older copy has undone.
#[test]
fn a_departure_is_written_again_after_a_restore_of_the_store() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let site = leaver(seed);
        let copy = scenario.fleet.platform.snapshot();
        let report = scenario.deregister(site, Millis(6_000));
        scenario.load_for(Millis(500));
        let (acknowledged, _) = scenario.fleet.acknowledged[&report];
        scenario.fleet.restore_platform(copy);
        assert!(!scenario.is_written(site), "seed {seed}");
        scenario.load_for(Millis::from_secs(2));
        assert!(scenario.is_written(site), "seed {seed}");
        scenario.kill_all();
        scenario.load_for(Millis::from_secs(6));
        assert_eq!(scenario.runs(site, acknowledged + MAX_DELAY), 0, "seed {seed}");
    });
}

/// Guards against targets that are out of use for as long as the store, where only the nodes beside
/// them were restarted and a peer remembers what they have acknowledged.
#[test]
fn peers_stand_in_for_the_store_when_a_node_is_restarted() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let (left, stays) = (leaver(seed), leaver(seed + 1));
        let report = scenario.deregister(left, Millis(5_000));
        scenario.load_for(Millis(500));
        let (acknowledged, _) = scenario.fleet.acknowledged[&report];
        scenario.fleet.platform.mode = PlatformMode::Down;
        scenario.kill([left, stays]);
        for site in [left, stays] {
            scenario.introduce_to_all(site);
        }
        scenario.load_for(START_PERIOD);
        let runs = scenario.runs_in_a_second(stays);
        assert!(runs >= 10, "seed {seed}: {runs} runs, 50 are its part");
        scenario.load_for(Millis::from_secs(3));
        assert_eq!(scenario.runs(left, acknowledged + MAX_DELAY), 0, "seed {seed}");
    });
}

/// Guards against a target that a new node takes for one that stays, although neither the store nor
/// a peer has told it what its predecessor has acknowledged.
#[test]
fn no_target_is_used_before_its_node_knows_the_departures() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let site = leaver(seed);
        scenario.deregister(site, Millis(3_000));
        scenario.load_for(Millis(500));
        scenario.fleet.platform.mode = PlatformMode::Down;
        scenario.kill_all();
        let since = scenario.fleet.now;
        scenario.load_for(Millis::from_secs(4));
        let open = |site: Site| scenario.fleet.world_at(site).tables().target.is_open();
        assert!(!scenario.fleet.sites().any(open), "seed {seed}");
        scenario.fleet.platform.mode = PlatformMode::Up;
        scenario.load_for(Millis::from_secs(3));
        assert_eq!(scenario.runs(site, since), 0, "seed {seed}");
        let stays = leaver(seed + 1);
        assert!(scenario.runs_in_a_second(stays) >= 10, "seed {seed}");
    });
}

/// Guards against a node that forgets its oldest departures without a word, and against rows that
/// nobody removes.
#[test]
fn a_node_keeps_a_limited_number_of_departures() {
    let mut scenario = Scenario::start(0);
    let site = leaver(0);
    let name = scenario.instance(site);
    for process in 0..70 {
        let started = Some(Millis(1_000_000 + process));
        scenario.fleet.report_departure(site, "other".into(), started);
        scenario.load_for(Millis(20));
    }
    scenario.load_for(Millis(500));
    let entries = scenario.fleet.log.iter().filter(|(_, at, _)| *at == site);
    let forgotten = entries.filter(|(_, _, entry)| entry.event == "departure_forgotten").count();
    let row = |process: u64| {
        let process = TargetId::of("other", Millis(1_000_000 + process));
        RowKey::Departure(Departure { node: name.clone(), process })
    };
    let kept: Vec<u64> =
        (0..70).filter(|&process| scenario.fleet.platform.value(&row(process)).is_some()).collect();
    assert_eq!((forgotten, kept), (6, (6..70).collect()));
}

/// Guards against departures of nodes that are gone for good, which fill the store.
#[test]
fn departures_of_nodes_that_are_gone_are_removed() {
    let mut fleet = Fleet::new(0, Options::default());
    for data_centre in DATA_CENTRES {
        fleet.add(data_centre, Service::leaf("search", 8, 5.0));
    }
    put(&mut fleet, vec![Row::Route(route("search"))]);
    fleet.run_for(Millis::from_secs(8));
    let sites = [Site(1), Site(2)];
    let rows = sites.map(|site| {
        fleet.deregister_target(site, Millis(100));
        let node = fleet.world_at(site).identity().name().clone();
        let process = TargetId::of(&node, fleet.target(site).started);
        RowKey::Departure(Departure { node, process })
    });
    fleet.run_for(Millis::from_secs(1));
    fleet.stop(Site(1));
    let mut kept = Vec::new();
    for _ in 0..4 {
        fleet.run_for(Millis::from_secs(3_600));
        kept.push(rows.clone().map(|row| fleet.platform.value(&row).is_some()));
    }
    // A reading shows the missing node first, and a later one removes what it has left.
    assert_eq!(kept, [[true, true], [false, true], [false, true], [false, true]]);
}

/// A departure that a node acknowledged.
#[derive(Debug)]
struct Left {
    site: Site,
    report: ReportTicket,
    /// When the process of the target was replaced.
    until: Millis,
}

/// Guards against an acknowledged departure that some order of kills of any nodes, late reports,
/// failures and restores of the store, cuts and new processes undoes.
#[test]
fn acknowledged_departures_hold_whatever_fails() {
    for_seeds(|seed| {
        let mut scenario = Scenario::start(seed);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut left: Vec<Left> = Vec::new();
        let mut copy = scenario.fleet.platform.snapshot();
        let mut restored_at = Millis::ZERO;
        for _ in 0..30 {
            let site = Site(FRONTS + rng.random_range(0..BACKS));
            match rng.random_range(0..12) {
                0..=2 => {
                    let late = Millis(rng.random_range(0..8_000));
                    let target = scenario.fleet.target(site);
                    let leaving = left.iter().filter(|one| one.until == Millis::MAX).count();
                    if target.has_deregistered || leaving + 1 >= BACKS {
                        continue;
                    }
                    let report = scenario.deregister(site, late);
                    left.push(Left { site, report, until: Millis::MAX });
                }
                3 => {
                    scenario.fleet.restart(site);
                    let now = scenario.fleet.now;
                    for one in left.iter_mut().filter(|one| one.site == site) {
                        one.until = one.until.min(now);
                    }
                }
                4 | 5 => scenario.kill_all(),
                6 => scenario.kill([site]),
                7 => {
                    let killed: Vec<Site> =
                        scenario.fleet.sites().filter(|_| rng.random_bool(0.6)).collect();
                    scenario.kill(killed);
                }
                8 => {
                    scenario.fleet.platform.mode = [
                        PlatformMode::Down,
                        PlatformMode::LoseReplies,
                        PlatformMode::Refuse(Refused::Busy),
                    ][rng.random_range(0..3)];
                }
                9 => {
                    let data_centre = DATA_CENTRES[rng.random_range(0..3)];
                    scenario.fleet.network.cut_platform(data_centre);
                }
                10 => copy = scenario.fleet.platform.snapshot(),
                _ => {
                    // A restore together with a kill of all nodes is not covered.
                    scenario.fleet.network.heal();
                    scenario.fleet.platform.mode = PlatformMode::Up;
                    if restored_at + Millis::from_secs(10) < scenario.fleet.now {
                        scenario.fleet.restore_platform(copy.clone());
                        restored_at = scenario.fleet.now;
                        scenario.load_for(Millis::from_secs(3));
                    }
                }
            }
            if rng.random_bool(0.4) {
                scenario.fleet.platform.mode = PlatformMode::Up;
                scenario.fleet.network.heal();
            }
            scenario.load_for(Millis(rng.random_range(50..1_500)));
        }
        scenario.fleet.platform.mode = PlatformMode::Up;
        scenario.fleet.network.heal();
        scenario.load_for(Millis::from_secs(9));
        for Left { site, report, until } in left {
            let Some(&(acknowledged, true)) = scenario.fleet.acknowledged.get(&report) else {
                continue;
            };
            let records = scenario.fleet.ran.iter().filter(|record| {
                let sent = scenario.sent[record.root as usize];
                record.site == site && sent > acknowledged + MAX_DELAY && record.at < until
            });
            assert_eq!(records.count(), 0, "seed {seed}: {site:?}, left at {acknowledged:?}");
        }
        assert!(scenario.fleet.ran.len() > 500, "seed {seed}: {}", scenario.fleet.ran.len());
    });
}
