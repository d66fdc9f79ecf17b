//! A limit that follows the slots that the target says it has.

use crate::{
    clock::Millis,
    options::Limit,
    system::limit::{Algorithm, Sample, SampleEnd},
};

/// What the limit is multiplied by after the target has declined a request.
const DECLINED_FACTOR: f64 = 0.9;
/// The smallest part of the slots that is used.
const LEAST_PART: f64 = 0.25;
/// The part of the slots that comes back each second.
const RECOVERY_PER_SECOND: f64 = 0.1;
/// The time between two looks at whether a part comes back.
const RECOVERY_PERIOD: Millis = Millis(250);

/// The state of the algorithm.
#[derive(Debug)]
pub(super) struct Slots {
    options: Limit,
    slots: u32,
    /// The part of the slots that is used, of what the options allow.
    part: f64,
    recovered: Millis,
}

impl Slots {
    /// A limit for a target of which nothing is known.
    pub(super) fn new(options: Limit) -> Slots {
        let slots = options.initial;
        Slots { options, slots, part: 1.0, recovered: Millis::ZERO }
    }
}

impl Algorithm for Slots {
    fn limit(&self) -> u32 {
        let usable = f64::from(self.slots) * f64::from(self.options.slots_percent) / 100.0;
        ((usable * self.part) as u32).clamp(self.options.least, self.options.most)
    }

    fn observe(&mut self, sample: Sample) {
        if sample.end == SampleEnd::Declined && sample.now - self.recovered >= RECOVERY_PERIOD {
            self.part = (self.part * DECLINED_FACTOR).max(LEAST_PART);
            self.recovered = sample.now;
        }
        let elapsed = sample.now - self.recovered;
        if elapsed >= RECOVERY_PERIOD {
            let gained = RECOVERY_PER_SECOND * elapsed.0.min(1_000) as f64 / 1_000.0;
            self.part = (self.part + gained).min(1.0);
            self.recovered = sample.now;
        }
    }

    fn restart(&mut self, slots: Option<u32>) {
        self.slots = slots.unwrap_or(self.options.initial);
        self.part = 1.0;
    }

    fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }
}
