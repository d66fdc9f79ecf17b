//! The random schedule of faults of a soak test.

use std::{fmt, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{relay::Mode, soak::keeper::Drain};

/// Mean time between the starts of two series of faults.
const MEAN_SERIES_INTERVAL: Duration = Duration::from_millis(1_200);
/// Maximum number of faults in a series.
const MAX_SERIES_LENGTH: u32 = 3;
/// Maximum time between the starts of two faults of a series.
const MAX_FAULT_INTERVAL: Duration = Duration::from_millis(900);

/// The size of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Number of nodes.
    pub nodes: usize,
}

/// A fault of a node, a target, a link or the store, or the withdrawal of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed, and restarted at the end of the fault.
    Kill,
    /// A node is shut down gracefully, and restarted once it has exited.
    Stop,
    /// A node gets SIGHUP.
    Hangup,
    /// The settings file of a node is changed.
    Settings,
    /// A node is suspended until the end of the fault.
    Pause,
    /// The target of a node is suspended until the end of the fault.
    PauseTarget,
    /// The target of a node is slow.
    SlowTarget,
    /// The target of a node drains and declines all requests.
    Declines,
    /// The relay from a node to the store is in this mode.
    StoreLink(Mode),
    /// The relay from peers to a node is in this mode.
    PeerLink(Mode),
    /// The store is in this failure mode for all nodes.
    Store(&'static str),
    /// The store compacts its history.
    Compact,
    /// An operator withdraws a key.
    Withdraw,
}

/// A scheduled fault, with its start and end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// Start of the fault, since the start of the load.
    pub at: Duration,
    /// End of the fault, since the start of the load.
    pub until: Duration,
    /// Index of the affected slot; ignored for faults of the store and for the withdrawal.
    pub slot: usize,
    /// The fault to inject.
    pub fault: Fault,
}

/// All faults of a soak test, in the order of their starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// The seed that the faults are generated from.
    pub seed: u64,
    /// The size of the fleet.
    pub shape: Shape,
    /// Time limit of all faults; none ends later.
    pub length: Duration,
    /// The faults, sorted by start.
    pub rows: Vec<Row>,
    /// The settings of planned stops, if callers check what they see of them.
    pub drain: Option<Drain>,
}

impl Schedule {
    /// Generates the faults of a seed.
    pub fn generate(seed: u64, shape: Shape, length: Duration) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut rows = Vec::new();
        let mut at = Duration::from_millis(500);
        rows.push(Row { at: length / 3, until: length / 3, slot: 0, fault: Fault::Withdraw });
        while at + MAX_FAULT_INTERVAL < length {
            let kind = rng.random_range(0..FAULT_KINDS);
            let series = rng.random_range(1..=MAX_SERIES_LENGTH);
            let mut begin = at;
            for _ in 0..series {
                let duration = Duration::from_millis(rng.random_range(100..3_500));
                let slot = rng.random_range(0..shape.nodes);
                let fault = random_fault(&mut rng, kind);
                rows.push(Row { at: begin, until: (begin + duration).min(length), slot, fault });
                begin += MAX_FAULT_INTERVAL.mul_f64(rng.random());
            }
            at += MEAN_SERIES_INTERVAL.mul_f64(2.0 * rng.random::<f64>());
        }
        rows.retain(|row| row.at < length);
        rows.sort_by_key(|row| row.at);
        Schedule { seed, shape, length, rows, drain: None }
    }

    /// Generates the planned stops and changes of a seed, in series that overlap, with a few other
    /// faults.
    pub fn generate_planned(seed: u64, shape: Shape, length: Duration) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut rows = Vec::new();
        let mut at = Duration::from_millis(500);
        while at < length {
            let mut begin = at;
            let mut slot = rng.random_range(0..shape.nodes);
            for _ in 0..rng.random_range(2..=MAX_PLANNED_SERIES_LENGTH) {
                if rng.random_bool(0.5) {
                    slot = rng.random_range(0..shape.nodes);
                }
                let duration = Duration::from_millis(rng.random_range(100..2_000));
                let fault = random_planned(&mut rng);
                rows.push(Row { at: begin, until: (begin + duration).min(length), slot, fault });
                begin += MAX_FAULT_INTERVAL.mul_f64(rng.random());
            }
            at += MEAN_SERIES_INTERVAL.mul_f64(2.0 * rng.random::<f64>());
        }
        rows.retain(|row| row.at < length);
        rows.sort_by_key(|row| row.at);
        let drain = Drain { stay: Duration::from_secs(1), grace: Duration::from_secs(4) };
        Schedule { seed, shape, length, rows, drain: Some(drain) }
    }
}

/// Number of values of `kind` that [`random_fault`] distinguishes.
const FAULT_KINDS: u32 = 10;

fn random_fault(rng: &mut Pcg64Mcg, kind: u32) -> Fault {
    const STORE: [&str; 6] = ["down", "silent", "slow", "error", "busy", "lose-answer"];
    match kind {
        0 | 1 => Fault::Kill,
        2 => Fault::Stop,
        3 => Fault::Pause,
        4 => Fault::PauseTarget,
        5 => Fault::SlowTarget,
        6 => Fault::Declines,
        7 => Fault::StoreLink(random_mode(rng)),
        8 => Fault::PeerLink(random_mode(rng)),
        _ if rng.random_bool(0.2) => Fault::Compact,
        _ => Fault::Store(STORE[rng.random_range(0..STORE.len())]),
    }
}

/// Maximum number of planned stops, changes and faults in a series.
const MAX_PLANNED_SERIES_LENGTH: u32 = 4;

fn random_planned(rng: &mut Pcg64Mcg) -> Fault {
    match rng.random_range(0..16) {
        0..=5 => Fault::Stop,
        6 | 7 => Fault::Hangup,
        8 | 9 => Fault::Settings,
        10 => Fault::SlowTarget,
        11 => Fault::PauseTarget,
        12 => Fault::Declines,
        13 => Fault::Store("down"),
        14 => Fault::PeerLink(random_mode(rng)),
        _ => Fault::Kill,
    }
}

fn random_mode(rng: &mut Pcg64Mcg) -> Mode {
    let delay = Duration::from_millis(rng.random_range(5..300));
    [Mode::Cut, Mode::Silent, Mode::SilentBack, Mode::Delayed(delay)][rng.random_range(0..4)]
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Row { at, until, slot, fault } in &self.rows {
            let (at, until) = (at.as_millis(), until.as_millis());
            writeln!(f, "{at:>6} to {until:>6} ms, slot {slot}: {fault:?}")?;
        }
        Ok(())
    }
}
