//! Log lines, written by spdlog-rs.

use std::sync::Arc;

use derive_more::{Display, Error, From};
use mustardpin_settings::settings;
use mustardpin_world::note::{self, Note};
use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{FullFormatter, JsonFormatter},
    sink::StdStreamSink,
};

/// Why no log can be written.
#[derive(Debug)]
#[derive(Display, Error, From)]
#[display("cannot open the log")]
pub struct Error(spdlog::Error);

/// Takes log lines.
pub trait Journal: Send {
    /// Writes a line.
    fn write(&mut self, note: Note);
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
}

impl Default for Options {
    fn default() -> Options {
        Options { format: Format::Text, level: Level::Info }
    }
}

impl From<settings::Log> for Options {
    fn from(log: settings::Log) -> Options {
        let format = match log.format {
            settings::Format::Json => Format::Json,
            settings::Format::Text => Format::Text,
        };
        let level = match log.level {
            settings::Level::Debug => Level::Debug,
            settings::Level::Info => Level::Info,
            settings::Level::Warn => Level::Warn,
            settings::Level::Error => Level::Error,
        };
        Options { format, level }
    }
}

/// A log on the standard output stream.
pub struct Log {
    logger: Arc<Logger>,
}

impl Log {
    /// Opens the log.
    ///
    /// # Errors
    ///
    /// If the stream cannot be used.
    ///
    /// ```
    /// use mustardpin_node::log::{Journal as _, Log, Options};
    /// use mustardpin_world::note::{Level, Note};
    ///
    /// let mut log = Log::open(Options::default())?;
    /// log.write(Note::new(Level::Info, "started"));
    /// # Ok::<(), mustardpin_node::log::Error>(())
    /// ```
    pub fn open(options: Options) -> Result<Log, Error> {
        let sink = StdStreamSink::builder().stdout();
        let sink = match options.format {
            Format::Text => sink.formatter(FullFormatter::new()).build_arc()?,
            Format::Json => sink.formatter(JsonFormatter::new()).build_arc()?,
        };
        let logger = Logger::builder()
            .name("mustardpin")
            .sink(sink)
            .level_filter(LevelFilter::MoreSevereEqual(options.level))
            .flush_level_filter(LevelFilter::All)
            .build_arc()?;
        Ok(Log { logger })
    }
}

impl Journal for Log {
    fn write(&mut self, note: Note) {
        let level = match note.level {
            note::Level::Debug => Level::Debug,
            note::Level::Info => Level::Info,
            note::Level::Warn => Level::Warn,
            note::Level::Error => Level::Error,
        };
        spdlog::log!(logger: self.logger, level, "{note}");
    }
}
