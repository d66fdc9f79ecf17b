//! The log: the format of its lines, and that logging never blocks.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardpin_node::log::{Format, Log, LogSink as _, Options, Output};
use mustardpin_world::{
    Millis,
    log::{Entry, Level},
};

use crate::fake::wait_until;

/// An output in memory. While `block`'s guard is held, writes to it wait.
#[derive(Clone, Default)]
struct SharedBuffer {
    bytes: Arc<Mutex<Vec<u8>>>,
    gate: Arc<Mutex<()>>,
}

impl SharedBuffer {
    fn lines(&self) -> Vec<String> {
        let bytes = self.bytes.lock().expect("the lock is not poisoned");
        String::from_utf8_lossy(&bytes).lines().map(str::to_owned).collect()
    }

    fn block(&self) -> MutexGuard<'_, ()> {
        self.gate.lock().expect("the lock is not poisoned")
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        drop(self.block());
        self.bytes.lock().expect("the lock is not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open(buffer: &SharedBuffer, options: Options) -> Log {
    Log::open(options, Output::Other(Box::new(buffer.clone()))).expect("the log opens")
}

fn refused_entry(number: u64) -> Entry {
    Entry::new(Level::Warn, "refused")
        .on(&format!("request-{number}").into())
        .with("reason", "queue_full")
        .with("held", Millis(12))
        .with("nested", false)
        .with("peer", "north \"1\"".to_owned())
}

/// Returns a line without its time.
fn without_time(line: &str) -> String {
    match line.find("Z\"") {
        Some(end) => format!("{{\"time\":\"..{}", &line[end + 1..]),
        None => line.split_once("Z ").map_or(line, |(_, rest)| rest).to_owned(),
    }
}

#[test]
fn a_line_in_each_format() {
    let mut report = String::new();
    for format in [Format::Json, Format::Text] {
        let buffer = SharedBuffer::default();
        let mut log = open(&buffer, Options { format, ..Options::default() });
        log.write(refused_entry(7));
        log.write(Entry::new(Level::Info, "started"));
        drop(log);
        for line in buffer.lines() {
            report.push_str(&without_time(&line));
            report.push('\n');
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn lines_below_the_level_are_dropped_and_a_reload_changes_it() {
    let buffer = SharedBuffer::default();
    let mut log = open(&buffer, Options { level: Level::Warn, ..Options::default() });
    log.write(Entry::new(Level::Info, "peer_found"));
    log.write(refused_entry(1));
    log.reload(Options { level: Level::Info, ..Options::default() });
    log.write(Entry::new(Level::Info, "peer_found"));
    drop(log);
    let lines: Vec<String> = buffer.lines().iter().map(|line| without_time(line)).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[1].contains("peer_found"), "{lines:?}");
}

/// Under load some entries are dropped and counted; a part of the budget is reserved for entries
/// that are not about a request.
#[test]
fn the_number_of_lines_is_bounded() {
    let buffer = SharedBuffer::default();
    let mut log = open(&buffer, Options { lines_per_second: 10, ..Options::default() });
    for number in 0..1_000 {
        log.write(refused_entry(number));
    }
    log.write(Entry::new(Level::Info, "store_lost"));
    drop(log);
    let lines = buffer.lines();
    assert!(lines.len() <= 2 * 10 + 2, "{} lines", lines.len());
    let left_out = &lines[lines.len() - 2];
    assert!(left_out.contains("lines_left_out count=98"), "{left_out}");
    assert!(lines.last().is_some_and(|line| line.contains("store_lost")), "{lines:?}");
}

/// An output whose first writes fail.
struct Failing {
    remaining_failures: u32,
    buffer: SharedBuffer,
}

impl Write for Failing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.remaining_failures > 0 {
            self.remaining_failures -= 1;
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        self.buffer.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_could_not_be_written_are_counted() {
    let buffer = SharedBuffer::default();
    let output = Failing { remaining_failures: 3, buffer: buffer.clone() };
    let mut log =
        Log::open(Options::default(), Output::Other(Box::new(output))).expect("the log opens");
    for number in 0..4 {
        log.write(refused_entry(number));
    }
    wait_until(|| !buffer.lines().is_empty());
    log.write(Entry::new(Level::Info, "store_lost"));
    drop(log);
    let lines = buffer.lines();
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[1].contains("lines_left_out count=3"), "{lines:?}");
}

#[test]
fn a_blocked_output_does_not_block_logging() {
    let buffer = SharedBuffer::default();
    let mut log = open(&buffer, Options { lines_per_second: 1_000_000, ..Options::default() });
    let gate = buffer.block();
    let start = Instant::now();
    for number in 0..50_000 {
        log.write(refused_entry(number));
    }
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    drop(gate);
    wait_until(|| buffer.lines().len() > 1_000);
    log.write(Entry::new(Level::Info, "store_lost"));
    drop(log);
    assert!(buffer.lines().iter().any(|line| line.contains("lines_left_out count=")));
}
