//! Reads the settings again when their file changes, or on SIGHUP.

use std::{path::PathBuf, time::Duration};

use mustardpin_settings::Settings;
use mustardpin_world::log::{Entry, Level};
use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

use crate::control::Handle;

/// The time between two looks at the file.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Watches a settings file.
pub struct Watch {
    file: PathBuf,
    /// What stood in the file that is in force.
    text: String,
    /// Looks in a row that did not find the file.
    misses: u32,
    control: Handle,
}

impl Watch {
    /// Watches the file that the settings in force come from.
    pub fn new(file: PathBuf, control: Handle) -> Watch {
        // A file that cannot be read any more counts as changed once it can.
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        Watch { file, text, misses: 0, control }
    }

    /// Watches until the runtime ends.
    pub async fn run(mut self) {
        let mut signals = match signal(SignalKind::hangup()) {
            Ok(signals) => signals,
            Err(error) => return self.refuse(&error),
        };
        loop {
            let is_asked = tokio::select! {
                signal = signals.recv() => signal.is_some(),
                () = time::sleep(LOOK_PERIOD) => false,
            };
            self.look(is_asked);
        }
    }

    /// Reads the file, and puts what stands there in force if it has changed or someone asked.
    fn look(&mut self, is_asked: bool) {
        let text = match std::fs::read_to_string(&self.file) {
            Ok(text) => text,
            Err(error) => {
                self.misses += 1;
                // It may be in the middle of being replaced, so one miss says nothing.
                if is_asked || self.misses == 2 {
                    self.refuse(&error);
                }
                return;
            }
        };
        self.misses = 0;
        let has_changed = text != self.text;
        if !has_changed && !is_asked {
            return;
        }
        match Settings::parse(&self.file, &text) {
            Ok(settings) => {
                let entry = Entry::new(Level::Info, "settings_reloaded")
                    .with("changed", has_changed)
                    .with("asked", is_asked);
                self.control.write_log(entry);
                self.control.reload(settings.log.into(), settings.options);
            }
            Err(error) => self.refuse(&error),
        }
        self.text = text;
    }

    /// The settings in force stay so.
    fn refuse(&self, error: &dyn std::error::Error) {
        let entry = Entry::new(Level::Error, "settings_refused").with("cause", error.to_string());
        self.control.write_log(entry);
    }
}
