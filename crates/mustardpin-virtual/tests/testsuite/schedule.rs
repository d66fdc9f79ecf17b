//! Random schedules of failures. The seed decides the schedule.

use mustardpin_virtual::Site;
use mustardpin_world::Millis;
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_pcg::Pcg64Mcg;

use crate::bookings::{Bookings, DATA_CENTRES};

/// The kinds of failures in a schedule.
#[derive(Debug, Clone, Copy, Default)]
pub struct Failures {
    pub kills: bool,
    pub freezes: bool,
    pub cuts: bool,
    pub losses: bool,
    pub stops: bool,
    pub crashes: bool,
}

impl Failures {
    pub const ALL: Failures = Failures {
        kills: true,
        freezes: true,
        cuts: true,
        losses: true,
        stops: true,
        crashes: true,
    };
}

/// The number of steps in a schedule.
const STEPS: usize = 150;

struct Schedule {
    bookings: Bookings,
    failures: Failures,
    rng: Pcg64Mcg,
    /// How many different bookings were sent.
    booking_count: usize,
    /// Nodes that were killed or stopped and not yet restarted.
    down: Vec<Site>,
    /// Frozen nodes, and when each is resumed.
    frozen: Vec<(Site, Millis)>,
    /// When the cuts in the network end.
    healed_at: Millis,
}

/// Runs a schedule of bookings and failures, then ends all failures and lets the fleet recover.
pub fn run(seed: u64, failures: Failures) -> Bookings {
    let bookings = Bookings::new(seed, 2);
    let rng = Pcg64Mcg::seed_from_u64(seed);
    let (down, frozen, healed_at) = (Vec::new(), Vec::new(), Millis::ZERO);
    let mut schedule =
        Schedule { bookings, failures, rng, booking_count: 0, down, frozen, healed_at };
    if failures.losses {
        schedule.bookings.fleet.network.loss = 0.05;
        schedule.bookings.fleet.network.response_loss = 0.05;
        schedule.bookings.fleet.network.jitter = Millis(30);
    }
    for _ in 0..STEPS {
        schedule.step();
    }
    schedule.end_failures();
    schedule.bookings
}

impl Schedule {
    fn step(&mut self) {
        self.recover();
        self.book();
        if self.rng.random_bool(0.15) {
            self.inject_failure();
        }
        if self.failures.crashes && self.rng.random_bool(0.1) {
            let ledger = self.ledger();
            self.bookings.fleet.crash_target(ledger);
            self.bookings.fleet.run_for(Millis(50));
            self.bookings.fleet.restart_target(ledger);
        }
        let length = self.rng.random_range(1..300);
        self.bookings.fleet.run_for(Millis(length));
    }

    /// Sends new bookings, or resends some of the last ten, each to one or two nodes.
    fn book(&mut self) {
        for _ in 0..self.rng.random_range(1..5) {
            let is_resend = self.booking_count > 0 && self.rng.random_bool(0.6);
            let number = match is_resend {
                true => {
                    self.rng.random_range(self.booking_count.saturating_sub(10)..self.booking_count)
                }
                false => self.booking_count,
            };
            self.booking_count = self.booking_count.max(number + 1);
            let sites: Vec<Site> = self.bookings.fleet.sites().collect();
            for _ in 0..self.rng.random_range(1..3) {
                let Some(&site) = sites.choose(&mut self.rng) else { return };
                self.bookings.book(site, &format!("key-{number}"));
            }
        }
    }

    fn ledger(&mut self) -> Site {
        let index = self.rng.random_range(0..self.bookings.ledgers.len());
        self.bookings.ledgers[index]
    }

    fn inject_failure(&mut self) {
        let ledger = self.ledger();
        match self.rng.random_range(0..5) {
            0 if self.failures.kills => {
                self.bookings.fleet.kill(ledger);
                self.down.push(ledger);
            }
            1 if self.failures.freezes => {
                let length = Millis(self.rng.random_range(100..8_000));
                self.bookings.fleet.freeze(ledger);
                self.frozen.push((ledger, self.bookings.fleet.now + length));
            }
            2 if self.failures.cuts => {
                let (one, other) = (self.rng.random_range(0..3), self.rng.random_range(0..3));
                self.bookings.fleet.network.cut(DATA_CENTRES[one], DATA_CENTRES[other]);
                if self.rng.random_bool(0.5) {
                    self.bookings.fleet.network.cut_platform(DATA_CENTRES[one]);
                }
                let length = Millis(self.rng.random_range(100..6_000));
                self.healed_at = self.bookings.fleet.now + length;
            }
            _ if self.failures.stops => self.stop(ledger),
            _ => {}
        }
    }

    /// Stops a node gracefully. It is restarted later, like one that was killed.
    fn stop(&mut self, ledger: Site) {
        if !self.down.contains(&ledger) {
            self.bookings.fleet.stop(ledger);
            self.down.push(ledger);
        }
    }

    /// Ends failures whose duration is over, and sometimes restarts a node that is down.
    fn recover(&mut self) {
        let now = self.bookings.fleet.now;
        if now >= self.healed_at {
            self.bookings.fleet.network.heal();
        }
        let (expired, remaining) = self.frozen.iter().partition(|(_, until)| now >= *until);
        self.frozen = remaining;
        let expired: Vec<(Site, Millis)> = expired;
        for (site, _) in expired {
            self.bookings.fleet.resume(site);
        }
        if !self.down.is_empty() && self.rng.random_bool(0.05) {
            let site = self.down.swap_remove(0);
            self.frozen.retain(|(frozen, _)| *frozen != site);
            self.bookings.fleet.restart(site);
        }
    }

    fn end_failures(&mut self) {
        let bookings = &mut self.bookings;
        bookings.fleet.network.heal();
        bookings.fleet.network.loss = 0.0;
        bookings.fleet.network.response_loss = 0.0;
        for (site, _) in self.frozen.drain(..) {
            bookings.fleet.resume(site);
        }
        for site in self.down.drain(..) {
            bookings.fleet.restart(site);
        }
        bookings.fleet.run_for(Millis::from_secs(20));
    }
}
