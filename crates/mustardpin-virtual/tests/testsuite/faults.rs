//! Random failures, one after another and together, decided by a seed.

use mustardpin_virtual::{PlatformMode, Site};
use mustardpin_world::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{DATA_CENTRES, Scenario};

/// The longest time between two failures.
const LONGEST_PAUSE: u64 = 2_500;

/// Failures at random times.
pub struct Faults {
    rng: Pcg64Mcg,
    next: Millis,
    frozen: Vec<Site>,
}

impl Faults {
    pub fn new(seed: u64, now: Millis) -> Faults {
        Faults { rng: Pcg64Mcg::seed_from_u64(seed ^ 0xfa17), next: now, frozen: Vec::new() }
    }

    /// Whether a node is frozen.
    pub fn is_frozen(&self, site: Site) -> bool {
        self.frozen.contains(&site)
    }

    /// Lets something fail or come back, if it is time.
    pub fn step(&mut self, scenario: &mut Scenario) {
        let fleet = &mut scenario.fleet;
        if fleet.now < self.next {
            return;
        }
        self.next = fleet.now + Millis(self.rng.random_range(100..LONGEST_PAUSE));
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
