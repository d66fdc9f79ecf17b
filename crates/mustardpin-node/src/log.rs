//! Log lines: bounded in number, written to standard output by a thread of their own.
//!
//! Whoever has a line to write never waits: lines beyond the budget, and lines for which the writer
//! has no room, are left out and counted. The next line that is written says how many.

mod budget;
mod line;
mod writer;

use std::{io, time::Instant};

use derive_more::{Display, Error, From};
use mustardpin_settings::settings;
use mustardpin_world::log::{Entry, Level};

use self::{budget::Budget, writer::Writer};

pub use self::writer::Output;

/// Why no log can be written.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Error {
    /// The stream or its formatter could not be set up.
    #[display("cannot open the log")]
    Open(spdlog::Error),
    /// The writer's thread could not be had.
    #[display("cannot start the thread that writes the log")]
    Thread(io::Error),
}

/// Takes log lines.
pub trait LogSink: Send {
    /// Writes a line, or leaves it out. Never waits.
    fn write(&mut self, entry: Entry);

    /// From now on, lines are chosen by these options. The format stays.
    fn reload(&mut self, _options: Options) {}
}

/// What a line looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// How lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// What a line looks like.
    pub format: Format,
    /// Lines below this level are left out.
    pub level: Level,
    /// Lines a second at most.
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

/// The log of a process.
pub struct Log {
    options: Options,
    budget: Budget,
    writer: Writer,
    /// Lines left out since the last one that was written.
    left_out: u64,
}

impl Log {
    /// Opens the log on an output.
    ///
    /// # Errors
    ///
    /// If the output cannot be used, or the machine gives no thread.
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
        Ok(Log { options, budget, writer, left_out: 0 })
    }
}

impl LogSink for Log {
    fn write(&mut self, entry: Entry) {
        if entry.level < self.options.level {
            return;
        }
        if !self.budget.take(Instant::now(), entry.request.is_some()) {
            self.left_out += 1;
            return;
        }
        self.left_out += self.writer.take_failed();
        if self.left_out > 0 {
            let left_out = Entry::new(Level::Warn, "lines_left_out").with("count", self.left_out);
            if self.writer.send(left_out) {
                self.left_out = 0;
            }
        }
        if !self.writer.send(entry) {
            self.left_out += 1;
        }
    }

    fn reload(&mut self, options: Options) {
        self.options = Options { format: self.options.format, ..options };
        self.budget.refill_at(options.lines_per_second);
    }
}
