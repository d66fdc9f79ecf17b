//! The control thread, with fakes of its interfaces.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use mustardpin_node::{
    clock::{BootClock, Clock},
    control::{self, Handle, Interfaces},
    log::LogSink,
    store::Store,
    traffic::{Traffic, TrafficCommand},
};
use mustardpin_world::{
    Identity, Millis, Options, World,
    id::NodeId,
    log::Entry,
    store::{Announcement, Operation, Ticket},
};

use crate::fake::wait_until;

/// A fake of every interface. Counts how often the clock is read, and stores log entries.
#[derive(Clone)]
pub struct FakeInterfaces {
    clock: BootClock,
    clock_reads: Arc<AtomicUsize>,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl FakeInterfaces {
    fn new() -> FakeInterfaces {
        FakeInterfaces {
            clock: BootClock::start(),
            clock_reads: Arc::default(),
            entries: Arc::default(),
        }
    }

    fn has_logged(&self, event: &str) -> bool {
        self.entries
            .lock()
            .expect("the lock is not poisoned")
            .iter()
            .any(|entry| entry.event == event)
    }
}

impl Clock for FakeInterfaces {
    fn now(&self) -> Millis {
        self.clock_reads.fetch_add(1, Ordering::Relaxed);
        self.clock.now()
    }
}

impl Store for FakeInterfaces {
    fn submit(&mut self, _: Ticket, _: Operation) {}
}

impl LogSink for FakeInterfaces {
    fn write(&mut self, entry: Entry) {
        self.entries.lock().expect("the lock is not poisoned").push(entry);
    }
}

impl Traffic for FakeInterfaces {
    fn execute(&mut self, _: Vec<TrafficCommand>) {}
}

/// Starts the control thread of a node whose store never replies.
fn start(fakes: &FakeInterfaces) -> Handle {
    let announcement = Announcement {
        node: NodeId(1),
        name: "north-1".into(),
        data_centre: "north".into(),
        service: "slots".into(),
        address: "127.0.0.1:1".into(),
    };
    let world = World::new(Identity { announcement }, Options::default(), 1);
    let (control, inputs) = Handle::channel();
    let interfaces = Interfaces {
        clock: Arc::new(fakes.clone()),
        store: Box::new(fakes.clone()),
        traffic: Box::new(fakes.clone()),
        log: Box::new(fakes.clone()),
    };
    control::spawn(world, interfaces, inputs).expect("a thread");
    control
}

#[test]
fn the_thread_sleeps_while_there_is_no_input() {
    let fakes = FakeInterfaces::new();
    let control = start(&fakes);
    thread::sleep(Duration::from_secs(3));
    control.halt();
    // The store never replies. Ten ticks a second are more than any system needs; each tick reads
    // the clock twice.
    let clock_reads = fakes.clock_reads.load(Ordering::Relaxed);
    assert!(clock_reads < 3 * 10 * 2, "the clock was read {clock_reads} times in three seconds");
}

#[test]
fn changed_settings_apply_at_once() {
    let fakes = FakeInterfaces::new();
    let control = start(&fakes);
    let mut options = Options::default();
    options.stop.stay = Millis(7);
    control.reload(Default::default(), options);
    let runtime = tokio::runtime::Runtime::new().expect("threads");
    wait_until(|| {
        let stay = control.report(|world| world.options().stop.stay);
        runtime.block_on(stay) == Ok(Millis(7))
    });
    assert!(fakes.has_logged("started"));
    control.halt();
}
