//! The thread that writes lines.

use std::{
    io::{self, BufWriter, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, SystemTime},
};

use mustardpin_world::log::{self, Entry};
use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{PatternFormatter, pattern},
    sink::WriteSink,
};

use crate::log::{Error, Format, line};

/// Lines that wait for the writer at most.
const ROOM: usize = 4_096;
/// After a line has come, the writer waits this long for more, and writes them together.
const GATHER: Duration = Duration::from_millis(100);
/// When the log is closed, the lines that are left may take this long.
const LAST_LINES: Duration = Duration::from_millis(500);
/// Lines that are written at once, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;
/// The size of the thread's stack, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Where lines go.
pub enum Output {
    /// The process's standard output.
    Standard,
    /// Somewhere else.
    Other(Box<dyn Write + Send + Sync>),
}

impl Output {
    fn open(self) -> Box<dyn Write + Send + Sync> {
        match self {
            // The buffer hands many lines at once to a handle that would write each by itself.
            Output::Standard => Box::new(BufWriter::with_capacity(BUFFER_BYTES, io::stdout())),
            Output::Other(output) => output,
        }
    }
}

/// A line to be written.
struct Line {
    entry: Entry,
    at: SystemTime,
}

/// The thread that writes lines.
pub(super) struct Writer {
    lines: Option<SyncSender<Line>>,
    /// Lines that could not be written.
    failed: Arc<AtomicU64>,
    /// Disconnected once the thread has written everything.
    done: Receiver<()>,
}

impl Writer {
    pub(super) fn start(output: Output, format: Format) -> Result<Writer, Error> {
        let sink = WriteSink::builder()
            .target(output.open())
            .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
            .build_arc()?;
        let failed = Arc::new(AtomicU64::new(0));
        let failures = Arc::clone(&failed);
        let logger = Logger::builder()
            .name("mustardpin")
            .sink(sink)
            .level_filter(LevelFilter::All)
            .flush_level_filter(LevelFilter::Off)
            // There is nowhere else to write that lines cannot be written.
            .error_handler(move |_: spdlog::Error| {
                failures.fetch_add(1, Ordering::Relaxed);
            })
            .build_arc()?;
        let (sender, lines) = sync_channel(ROOM);
        let (writing, done) = sync_channel(0);
        thread::Builder::new().name("log".into()).stack_size(STACK_BYTES).spawn(move || {
            write(&logger, format, &lines);
            drop(writing);
        })?;
        Ok(Writer { lines: Some(sender), failed, done })
    }

    /// Hands a line to the thread. Returns false if there is no room for it.
    pub(super) fn send(&self, entry: Entry) -> bool {
        let line = Line { entry, at: SystemTime::now() };
        self.lines.as_ref().is_some_and(|lines| lines.try_send(line).is_ok())
    }
}

impl Writer {
    /// Lines that could not be written since the last look.
    pub(super) fn take_failed(&self) -> u64 {
        self.failed.swap(0, Ordering::Relaxed)
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        drop(self.lines.take());
        // Ends with an error in any case: the thread is done, or takes too long.
        let _ = self.done.recv_timeout(LAST_LINES);
    }
}

fn write(logger: &Arc<Logger>, format: Format, lines: &Receiver<Line>) {
    while let Ok(first) = lines.recv() {
        thread::sleep(GATHER);
        for Line { entry, at } in std::iter::once(first).chain(lines.try_iter().take(ROOM)) {
            let level = match entry.level {
                log::Level::Info => Level::Info,
                log::Level::Warn => Level::Warn,
                log::Level::Error => Level::Error,
            };
            let line = line::write(format, &entry, at);
            spdlog::log!(logger: logger, level, "{line}");
        }
        logger.flush();
    }
}
