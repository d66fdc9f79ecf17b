//! The log: its rate is bounded, and a separate thread writes it to standard output.
//!
//! Logging never blocks: entries beyond the budget, and entries that do not fit into the writer's
//! queue, are dropped and counted. Their number is logged before the next entry that is written.

mod budget;
mod line;
mod writer;

use std::{io, time::Instant};

use derive_more::{Display, Error, From};
use mustardpin_settings::settings;
use mustardpin_world::log::{Entry, Level};

use self::{budget::Budget, writer::Writer};

pub use self::writer::Output;

/// Why the log could not be opened.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Error {
    /// The output stream or its formatter could not be set up.
    #[display("cannot open the log")]
    Open(spdlog::Error),
    /// The writer thread could not be started.
    #[display("cannot start the log writer thread")]
    Thread(io::Error),
}

/// A receiver of log entries.
pub trait LogSink: Send {
    /// Writes an entry, or drops it. Never blocks.
    fn write(&mut self, entry: Entry);

    /// Applies another level and rate. The format stays.
    fn reload(&mut self, _options: Options) {}
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Options of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The format of a line.
    pub format: Format,
    /// Entries below this level are neither written nor counted as dropped.
    pub level: Level,
    /// The maximum number of lines per second.
    pub lines_per_second: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options { format: Format::Text, level: Level::Info, lines_per_second: 500 }
    }
}

impl From<settings::Log> for Options {
    fn from(log: settings::Log) -> Options {
        let format = match log.format {
            settings::Format::Json => Format::Json,
            settings::Format::Text => Format::Text,
        };
        let level = match log.level {
            settings::Level::Info => Level::Info,
            settings::Level::Warn => Level::Warn,
            settings::Level::Error => Level::Error,
        };
        Options { format, level, lines_per_second: log.lines_per_second }
    }
}

/// The log of a process, on one output.
pub struct Log {
    options: Options,
    budget: Budget,
    writer: Writer,
    /// The number of entries that were dropped or could not be written, since it was last logged.
    dropped: u64,
}

impl Log {
    /// Opens the log on an output.
    ///
    /// # Errors
    ///
    /// If the output cannot be used, or the thread cannot be created.
    ///
    /// ```
    /// use mustardpin_node::log::{LogSink as _, Log, Options, Output};
    /// use mustardpin_world::log::{Entry, Level};
    ///
    /// let mut log = Log::open(Options::default(), Output::Standard)?;
    /// log.write(Entry::new(Level::Info, "started"));
    /// # Ok::<(), mustardpin_node::log::Error>(())
    /// ```
    pub fn open(options: Options, output: Output) -> Result<Log, Error> {
        let writer = Writer::start(output, options.format)?;
        let budget = Budget::new(options.lines_per_second, Instant::now());
        Ok(Log { options, budget, writer, dropped: 0 })
    }
}

impl LogSink for Log {
    fn write(&mut self, entry: Entry) {
        if entry.level < self.options.level {
            return;
        }
        if !self.budget.take(Instant::now(), entry.request.is_some()) {
            self.dropped += 1;
            return;
        }
        self.dropped += self.writer.take_failed();
        if self.dropped > 0 {
            let count_entry = Entry::new(Level::Warn, "lines_left_out").with("count", self.dropped);
            if self.writer.send(count_entry) {
                self.dropped = 0;
            }
        }
        if !self.writer.send(entry) {
            self.dropped += 1;
        }
    }

    fn reload(&mut self, options: Options) {
        self.options = Options { format: self.options.format, ..options };
        self.budget.set_rate(options.lines_per_second);
    }
}
