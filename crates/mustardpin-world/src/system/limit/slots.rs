//! A limit that follows the slots that the target reports.

use crate::{
    clock::Millis,
    options::Limit,
    system::limit::{Algorithm, Sample, SampleEnd},
};

/// The fraction of the slots that is used is multiplied by this after the target has declined a
/// request.
const DECLINED_FACTOR: f64 = 0.9;
/// The lower bound of the fraction of the slots that is used.
const MIN_FRACTION: f64 = 0.25;
/// The fraction of the slots that is added back each second.
const RECOVERY_PER_SECOND: f64 = 0.1;
/// The minimum time between two changes of the fraction.
const RECOVERY_INTERVAL: Millis = Millis(250);

/// The state of the algorithm.
#[derive(Debug)]
pub(super) struct Slots {
    options: Limit,
    slots: u32,
    /// The fraction that is used of the slots that the options allow.
    fraction: f64,
    /// When the fraction last changed.
    changed_at: Millis,
}

impl Slots {
    /// The state for a target that has not reported its slots yet.
    pub(super) fn new(options: Limit) -> Slots {
        let slots = options.initial;
        Slots { options, slots, fraction: 1.0, changed_at: Millis::ZERO }
    }
}

impl Algorithm for Slots {
    fn limit(&self) -> u32 {
        let usable = f64::from(self.slots) * f64::from(self.options.slots_percent) / 100.0;
        ((usable * self.fraction) as u32).clamp(self.options.least, self.options.most)
    }

    fn observe(&mut self, sample: Sample) {
        if sample.end == SampleEnd::Declined && sample.now - self.changed_at >= RECOVERY_INTERVAL {
            self.fraction = (self.fraction * DECLINED_FACTOR).max(MIN_FRACTION);
            self.changed_at = sample.now;
        }
        let elapsed = sample.now - self.changed_at;
        if elapsed >= RECOVERY_INTERVAL {
            let gained = RECOVERY_PER_SECOND * elapsed.0.min(1_000) as f64 / 1_000.0;
            self.fraction = (self.fraction + gained).min(1.0);
            self.changed_at = sample.now;
        }
    }

    fn restart(&mut self, slots: Option<u32>) {
        self.slots = slots.unwrap_or(self.options.initial);
        self.fraction = 1.0;
    }

    fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }
}
