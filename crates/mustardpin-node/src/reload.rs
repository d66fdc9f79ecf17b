//! Reloads the settings when their file changes, or on SIGHUP.

use std::{io, path::PathBuf, time::Duration};

use mustardpin_settings::Settings;
use mustardpin_world::log::{Entry, Level};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time,
};

use crate::control::Handle;

/// The interval between two reads of the file.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Polls a settings file for changes.
pub struct SettingsWatcher {
    file: PathBuf,
    /// The text of the file when it was last read.
    text: String,
    /// The number of consecutive reads that failed.
    failed_reads: u32,
    hangups: Signal,
    control: Handle,
}

impl SettingsWatcher {
    /// Creates a watcher of the file from which the current settings were read, and installs the
    /// handler of SIGHUP.
    ///
    /// # Errors
    ///
    /// If the handler cannot be installed.
    ///
    /// # Panics
    ///
    /// If it is called outside of a tokio runtime.
    pub fn new(file: PathBuf, control: Handle) -> io::Result<SettingsWatcher> {
        let hangups = signal(SignalKind::hangup())?;
        // If the file cannot be read now, it counts as changed as soon as it can.
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        Ok(SettingsWatcher { file, text, failed_reads: 0, hangups, control })
    }

    /// Polls the file until the runtime ends.
    pub async fn run(mut self) {
        loop {
            let is_requested = tokio::select! {
                signal = self.hangups.recv() => signal.is_some(),
                () = time::sleep(POLL_INTERVAL) => false,
            };
            self.check(is_requested);
        }
    }

    /// Reads the file, and applies the settings if it has changed or SIGHUP was received.
    fn check(&mut self, is_requested: bool) {
        let text = match std::fs::read_to_string(&self.file) {
            Ok(text) => text,
            Err(error) => {
                self.failed_reads += 1;
                // The file may be in the middle of a replacement, so a single failure is ignored.
                if is_requested || self.failed_reads == 2 {
                    self.refuse(&error);
                }
                return;
            }
        };
        self.failed_reads = 0;
        let has_changed = text != self.text;
        if !has_changed && !is_requested {
            return;
        }
        match Settings::parse(&self.file, &text) {
            Ok(settings) => {
                let entry = Entry::new(Level::Info, "settings_reloaded")
                    .with("changed", has_changed)
                    .with("asked", is_requested);
                self.control.write_log(entry);
                self.control.reload(settings.log.into(), settings.options);
            }
            Err(error) => self.refuse(&error),
        }
        self.text = text;
    }

    /// Logs why the new settings were refused. The current settings stay in use.
    fn refuse(&self, error: &dyn std::error::Error) {
        let entry = Entry::new(Level::Error, "settings_refused").with("cause", error.to_string());
        self.control.write_log(entry);
    }
}
