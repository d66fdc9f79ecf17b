//! Log lines, written by spdlog-rs: only for changes of state.

use std::sync::Arc;

use derive_more::{Display, Error, From};
use mustardpin_world::command::Change;
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

/// Takes a line for each change of state.
pub trait Journal: Send {
    /// Writes a line.
    fn write(&mut self, change: &Change);
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

/// A log on the standard error stream.
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
    /// use mustardpin_world::command::Change;
    ///
    /// let mut log = Log::open(Options::default())?;
    /// log.write(&Change::Fresh(true));
    /// # Ok::<(), mustardpin_node::log::Error>(())
    /// ```
    pub fn open(options: Options) -> Result<Log, Error> {
        let sink = StdStreamSink::builder().stderr();
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
    fn write(&mut self, change: &Change) {
        match change {
            Change::Fresh(false) | Change::Platform(false) | Change::Quarantined(_) => {
                spdlog::warn!(logger: self.logger, "{change}");
            }
            _ => spdlog::info!(logger: self.logger, "{change}"),
        }
    }
}
