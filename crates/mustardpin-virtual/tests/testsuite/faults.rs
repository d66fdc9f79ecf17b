//! Random failures that follow each other and overlap. The seed decides them.

use mustardpin_virtual::{Fleet, PlatformMode, Service, Site, Snapshot};
use mustardpin_world::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{DATA_CENTRES, Scenario};

/// The maximum time between two failures, in milliseconds.
const MAX_INTERVAL_MS: u64 = 2_500;

/// The maximum time between two restores of the platform's store.
const MAX_RESTORE_INTERVAL: Millis = Millis::from_secs(12);

/// The maximum time between two steps of the schedule of members, in milliseconds.
const MAX_MEMBER_INTERVAL_MS: u64 = 2_000;
/// The maximum number of nodes that join.
const MAX_JOINERS: usize = 6;
/// The data centres in which nodes join. No node is in the last one before.
const JOINED_DATA_CENTRES: [&str; 4] = ["north", "south", "west", "east"];

/// Injects failures at random times.
pub struct Faults {
    rng: Pcg64Mcg,
    /// When the next failure begins or ends.
    next_at: Millis,
    frozen: Vec<Site>,
    restores: Option<Restores>,
    members: Option<Members>,
}

/// Restores of the platform's store, each from a snapshot that was taken some time before.
struct Restores {
    snapshot: Snapshot,
    next_at: Millis,
}

/// Nodes that join, and restarts and cuts from the store while the roster changes.
struct Members {
    rng: Pcg64Mcg,
    next_at: Millis,
    joined: Vec<Site>,
}

impl Members {
    fn step(&mut self, fleet: &mut Fleet, frozen: &[Site]) {
        if fleet.now < self.next_at {
            return;
        }
        self.next_at = fleet.now + Millis(self.rng.random_range(50..MAX_MEMBER_INTERVAL_MS));
        let data_centre = JOINED_DATA_CENTRES[self.rng.random_range(0..JOINED_DATA_CENTRES.len())];
        match self.rng.random_range(0..6) {
            0 if self.joined.len() < MAX_JOINERS => {
                let site = fleet.add(data_centre, Service::leaf("search", 4, 5.0));
                fleet.introduce(site, Site(0));
                self.joined.push(site);
            }
            1 | 2 => {
                if let Some(&site) = self.joined.last()
                    && !frozen.contains(&site)
                {
                    fleet.restart_node(site);
                    fleet.introduce(site, Site(0));
                }
            }
            3 => fleet.network.cut_platform(data_centre),
            4 => fleet.network.heal(),
            _ => {}
        }
    }
}

impl Faults {
    pub fn new(seed: u64, now: Millis) -> Faults {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
        Faults { rng, next_at: now, frozen: Vec::new(), restores: None, members: None }
    }

    /// Like [`Faults::new`], with restores of the platform's store besides.
    pub fn with_restores(seed: u64, scenario: &Scenario) -> Faults {
        let now = scenario.fleet.now;
        let snapshot = scenario.fleet.platform.snapshot();
        let restores = Restores { snapshot, next_at: now + MAX_RESTORE_INTERVAL };
        Faults { restores: Some(restores), ..Faults::new(seed, now) }
    }

    /// Like [`Faults::new`], with nodes that join, and restarts and cuts while they do.
    pub fn with_members(seed: u64, now: Millis) -> Faults {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x3e3b);
        let members = Members { rng, next_at: now, joined: Vec::new() };
        Faults { members: Some(members), ..Faults::new(seed, now) }
    }

    /// Whether a node is frozen at present.
    pub fn is_frozen(&self, site: Site) -> bool {
        self.frozen.contains(&site)
    }

    /// Restores the store if that is due. Half of the snapshots are older than the last restore.
    fn restore(&mut self, scenario: &mut Scenario) {
        let Some(restores) = &mut self.restores else { return };
        if scenario.fleet.now < restores.next_at {
            return;
        }
        restores.next_at =
            scenario.fleet.now + Millis(self.rng.random_range(500..MAX_RESTORE_INTERVAL.0));
        scenario.fleet.restore_platform(restores.snapshot.clone());
        if self.rng.random_bool(0.5) {
            restores.snapshot = scenario.fleet.platform.snapshot();
        }
    }

    /// Begins or ends a random failure, if one is due.
    pub fn step(&mut self, scenario: &mut Scenario) {
        self.restore(scenario);
        if let Some(members) = &mut self.members {
            members.step(&mut scenario.fleet, &self.frozen);
        }
        let fleet = &mut scenario.fleet;
        if fleet.now < self.next_at {
            return;
        }
        self.next_at = fleet.now + Millis(self.rng.random_range(100..MAX_INTERVAL_MS));
        let sites = fleet.sites().count();
        let site = Site(self.rng.random_range(0..sites));
        let data_centre = DATA_CENTRES[self.rng.random_range(0..DATA_CENTRES.len())];
        let other = DATA_CENTRES[self.rng.random_range(0..DATA_CENTRES.len())];
        match self.rng.random_range(0..13) {
            0 if !self.is_frozen(site) => {
                fleet.freeze(site);
                self.frozen.push(site);
            }
            1 | 2 => {
                if let Some(site) = self.frozen.pop() {
                    fleet.resume(site);
                }
            }
            3 if data_centre != other => fleet.network.cut(data_centre, other),
            4 => fleet.network.cut_platform(data_centre),
            5 | 6 => fleet.network.heal(),
            7 => fleet.platform.mode = PlatformMode::Down,
            8 => fleet.platform.mode = PlatformMode::LoseReplies,
            9 | 10 => fleet.platform.mode = PlatformMode::Up,
            11 => fleet.isolate(site),
            12 if !self.is_frozen(site) => {
                fleet.restart(site);
                fleet.introduce(site, Site((site.0 + 4) % sites));
            }
            _ => {}
        }
    }

    /// Ends all failures.
    pub fn end(&mut self, scenario: &mut Scenario) {
        scenario.fleet.network.heal();
        scenario.fleet.platform.mode = PlatformMode::Up;
        for site in self.frozen.drain(..) {
            scenario.fleet.resume(site);
        }
    }
}
