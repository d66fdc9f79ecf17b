//! The table of faults of a soak, drawn from its seed.

use std::{fmt, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::relay::Mode;

/// The mean time between the starts of two series of faults.
const BETWEEN: Duration = Duration::from_millis(1_200);
/// The most faults of a series.
const LONGEST_SERIES: u32 = 3;
/// The longest time between two faults of a series.
const SERIES_GAP: Duration = Duration::from_millis(900);

/// How large the fleet is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Its nodes.
    pub nodes: usize,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed, and started again at the end.
    Kill,
    /// A node is asked to end, and started again once it has.
    Stop,
    /// A node is suspended.
    Pause,
    /// The target of a node is suspended.
    PauseTarget,
    /// The target of a node is slow.
    SlowTarget,
    /// The target of a node declines everything.
    Declines,
    /// The way from a node to the store.
    StoreLink(Mode),
    /// The way from peers to a node.
    PeerLink(Mode),
    /// The store behaves in this way for all.
    Store(&'static str),
    /// The store forgets its history.
    Compact,
    /// An operator withdraws a key.
    Withdraw,
}

/// A row of the table of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// When it begins, from the start of traffic.
    pub at: Duration,
    /// When it ends.
    pub until: Duration,
    /// The slot of the node.
    pub slot: usize,
    /// What goes wrong.
    pub fault: Fault,
}

/// All faults of a soak, in the order of their beginnings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// What it was drawn from.
    pub seed: u64,
    /// How large the fleet is.
    pub shape: Shape,
    /// When the last fault has ended.
    pub length: Duration,
    /// The faults.
    pub rows: Vec<Row>,
}

impl Schedule {
    /// Draws the faults of a seed.
    pub fn draw(seed: u64, shape: Shape, length: Duration) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut rows = Vec::new();
        let mut at = Duration::from_millis(500);
        rows.push(Row { at: length / 3, until: length / 3, slot: 0, fault: Fault::Withdraw });
        while at + SERIES_GAP < length {
            let kind = rng.random_range(0..KINDS);
            let series = rng.random_range(1..=LONGEST_SERIES);
            let mut begin = at;
            for _ in 0..series {
                let lasting = Duration::from_millis(rng.random_range(100..3_500));
                let slot = rng.random_range(0..shape.nodes);
                let fault = draw_fault(&mut rng, kind);
                rows.push(Row { at: begin, until: (begin + lasting).min(length), slot, fault });
                begin += SERIES_GAP.mul_f64(rng.random());
            }
            at += BETWEEN.mul_f64(2.0 * rng.random::<f64>());
        }
        rows.retain(|row| row.at < length);
        rows.sort_by_key(|row| row.at);
        Schedule { seed, shape, length, rows }
    }
}

/// The kinds that [`draw_fault`] tells apart.
const KINDS: u32 = 10;

fn draw_fault(rng: &mut Pcg64Mcg, kind: u32) -> Fault {
    const STORE: [&str; 6] = ["down", "silent", "slow", "error", "busy", "lose-answer"];
    match kind {
        0 | 1 => Fault::Kill,
        2 => Fault::Stop,
        3 => Fault::Pause,
        4 => Fault::PauseTarget,
        5 => Fault::SlowTarget,
        6 => Fault::Declines,
        7 => Fault::StoreLink(draw_mode(rng)),
        8 => Fault::PeerLink(draw_mode(rng)),
        _ if rng.random_bool(0.2) => Fault::Compact,
        _ => Fault::Store(STORE[rng.random_range(0..STORE.len())]),
    }
}

fn draw_mode(rng: &mut Pcg64Mcg) -> Mode {
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
