//! Log lines: what they look like, and that writing them never waits.

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

/// Keeps what is written. While it is blocked, writers wait.
#[derive(Clone, Default)]
struct Kept {
    bytes: Arc<Mutex<Vec<u8>>>,
    gate: Arc<Mutex<()>>,
}

impl Kept {
    fn lines(&self) -> Vec<String> {
        let bytes = self.bytes.lock().expect("no panic holds the lock");
        String::from_utf8_lossy(&bytes).lines().map(str::to_owned).collect()
    }

    fn block(&self) -> MutexGuard<'_, ()> {
        self.gate.lock().expect("no panic holds the lock")
    }
}

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        drop(self.block());
        self.bytes.lock().expect("no panic holds the lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open(kept: &Kept, options: Options) -> Log {
    Log::open(options, Output::Other(Box::new(kept.clone()))).expect("the log opens")
}

fn refused(number: u64) -> Entry {
    Entry::new(Level::Warn, "refused")
        .on(&format!("request-{number}").into())
        .with("reason", "queue_full")
        .with("held", Millis(12))
        .with("nested", false)
        .with("peer", "north \"1\"".to_owned())
}

/// A line without its time.
fn timeless(line: &str) -> String {
    match line.find("Z\"") {
        Some(end) => format!("{{\"time\":\"..{}", &line[end + 1..]),
        None => line.split_once("Z ").map_or(line, |(_, rest)| rest).to_owned(),
    }
}

#[test]
fn a_line_in_each_format() {
    let mut report = String::new();
    for format in [Format::Json, Format::Text] {
        let kept = Kept::default();
        let mut log = open(&kept, Options { format, ..Options::default() });
        log.write(refused(7));
        log.write(Entry::new(Level::Info, "started"));
        drop(log);
        for line in kept.lines() {
            report.push_str(&timeless(&line));
            report.push('\n');
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn lines_below_the_level_are_left_out_and_a_reload_changes_it() {
    let kept = Kept::default();
    let mut log = open(&kept, Options { level: Level::Warn, ..Options::default() });
    log.write(Entry::new(Level::Info, "peer_found"));
    log.write(refused(1));
    log.reload(Options { level: Level::Info, ..Options::default() });
    log.write(Entry::new(Level::Info, "peer_found"));
    drop(log);
    let lines: Vec<String> = kept.lines().iter().map(|line| timeless(line)).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[1].contains("peer_found"), "{lines:?}");
}

/// Under load some lines are left out and counted; those that are not about requests have room.
#[test]
fn the_number_of_lines_is_bounded() {
    let kept = Kept::default();
    let mut log = open(&kept, Options { lines_per_second: 10, ..Options::default() });
    for number in 0..1_000 {
        log.write(refused(number));
    }
    log.write(Entry::new(Level::Info, "store_lost"));
    drop(log);
    let lines = kept.lines();
    assert!(lines.len() <= 2 * 10 + 2, "{} lines", lines.len());
    let left_out = &lines[lines.len() - 2];
    assert!(left_out.contains("lines_left_out count=98"), "{left_out}");
    assert!(lines.last().is_some_and(|line| line.contains("store_lost")), "{lines:?}");
}

/// An output that takes nothing at first.
struct Failing {
    left: u32,
    kept: Kept,
}

impl Write for Failing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.left > 0 {
            self.left -= 1;
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        self.kept.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_could_not_be_written_are_counted() {
    let kept = Kept::default();
    let output = Failing { left: 3, kept: kept.clone() };
    let mut log = Log::open(Options::default(), Output::Other(Box::new(output))).expect("a log");
    for number in 0..4 {
        log.write(refused(number));
    }
    wait_until(|| !kept.lines().is_empty());
    log.write(Entry::new(Level::Info, "store_lost"));
    drop(log);
    let lines = kept.lines();
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[1].contains("lines_left_out count=3"), "{lines:?}");
}

#[test]
fn a_reader_that_does_not_read_holds_up_nobody() {
    let kept = Kept::default();
    let mut log = open(&kept, Options { lines_per_second: 1_000_000, ..Options::default() });
    let gate = kept.block();
    let start = Instant::now();
    for number in 0..50_000 {
        log.write(refused(number));
    }
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    drop(gate);
    wait_until(|| kept.lines().len() > 1_000);
    log.write(Entry::new(Level::Info, "store_lost"));
    drop(log);
    assert!(kept.lines().iter().any(|line| line.contains("lines_left_out count=")));
}
