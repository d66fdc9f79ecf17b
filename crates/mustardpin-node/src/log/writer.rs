//! The thread that writes log lines.

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

/// The maximum number of entries in the writer's queue.
const QUEUE_CAPACITY: usize = 4_096;
/// After an entry has arrived, the writer waits this long for more, and writes them together.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// The timeout for writing the queued entries when the log is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The size of the buffer for standard output, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;
/// The size of the thread's stack, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Where log lines are written.
pub enum Output {
    /// The process's standard output.
    Standard,
    /// Another writer.
    Other(Box<dyn Write + Send + Sync>),
}

impl Output {
    fn open(self) -> Box<dyn Write + Send + Sync> {
        match self {
            // Standard output is line-buffered; the buffer combines many lines into one write.
            Output::Standard => Box::new(BufWriter::with_capacity(BUFFER_BYTES, io::stdout())),
            Output::Other(output) => output,
        }
    }
}

/// An entry and the time at which it was logged.
struct QueuedEntry {
    entry: Entry,
    at: SystemTime,
}

/// The handle of the writer thread. Dropping it waits until the queued entries are
/// written, for at most `CLOSE_TIMEOUT`.
pub(super) struct Writer {
    queue: Option<SyncSender<QueuedEntry>>,
    /// The number of lines that could not be written.
    failed: Arc<AtomicU64>,
    /// Disconnected when the thread has written everything.
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
            // A write error cannot be logged, so it is counted.
            .error_handler(move |_: spdlog::Error| {
                failures.fetch_add(1, Ordering::Relaxed);
            })
            .build_arc()?;
        let (sender, queue) = sync_channel(QUEUE_CAPACITY);
        let (running, done) = sync_channel(0);
        thread::Builder::new().name("log".into()).stack_size(STACK_BYTES).spawn(move || {
            write_entries(&logger, format, &queue);
            drop(running);
        })?;
        Ok(Writer { queue: Some(sender), failed, done })
    }

    /// Queues an entry for the thread. Returns false if the queue is full.
    pub(super) fn send(&self, entry: Entry) -> bool {
        let queued = QueuedEntry { entry, at: SystemTime::now() };
        self.queue.as_ref().is_some_and(|queue| queue.try_send(queued).is_ok())
    }
}

impl Writer {
    /// Returns the number of lines that could not be written since the last call.
    pub(super) fn take_failed(&self) -> u64 {
        self.failed.swap(0, Ordering::Relaxed)
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        drop(self.queue.take());
        // Always returns an error: the thread has ended, or the timeout has expired.
        let _ = self.done.recv_timeout(CLOSE_TIMEOUT);
    }
}

fn write_entries(logger: &Arc<Logger>, format: Format, queue: &Receiver<QueuedEntry>) {
    while let Ok(first) = queue.recv() {
        thread::sleep(BATCH_DELAY);
        for QueuedEntry { entry, at } in
            std::iter::once(first).chain(queue.try_iter().take(QUEUE_CAPACITY))
        {
            let level = match entry.level {
                log::Level::Info => Level::Info,
                log::Level::Warn => Level::Warn,
                log::Level::Error => Level::Error,
            };
            let line = line::format_line(format, &entry, at);
            spdlog::log!(logger: logger, level, "{line}");
        }
        logger.flush();
    }
}
