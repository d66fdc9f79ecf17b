//! The control thread, with fakes at its interfaces.

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

/// Stands at every border. Counts how often the time is asked for, and keeps log lines.
#[derive(Clone)]
pub struct Silence {
    clock: BootClock,
    asked: Arc<AtomicUsize>,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Silence {
    fn new() -> Silence {
        Silence { clock: BootClock::start(), asked: Arc::default(), entries: Arc::default() }
    }

    fn has_logged(&self, event: &str) -> bool {
        self.entries
            .lock()
            .expect("no panic holds the lock")
            .iter()
            .any(|entry| entry.event == event)
    }
}

impl Clock for Silence {
    fn now(&self) -> Millis {
        self.asked.fetch_add(1, Ordering::Relaxed);
        self.clock.now()
    }
}

impl Store for Silence {
    fn submit(&mut self, _: Ticket, _: Operation) {}
}

impl LogSink for Silence {
    fn write(&mut self, entry: Entry) {
        self.entries.lock().expect("no panic holds the lock").push(entry);
    }
}

impl Traffic for Silence {
    fn execute(&mut self, _: Vec<TrafficCommand>) {}
}

/// A control thread of a node whose store never answers.
fn start(silence: &Silence) -> Handle {
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
        clock: Arc::new(silence.clone()),
        store: Box::new(silence.clone()),
        traffic: Box::new(silence.clone()),
        log: Box::new(silence.clone()),
    };
    control::spawn(world, interfaces, inputs).expect("a thread");
    control
}

#[test]
fn the_thread_sleeps_while_nothing_happens() {
    let silence = Silence::new();
    let control = start(&silence);
    thread::sleep(Duration::from_secs(3));
    control.halt();
    // The store never answers. Ten ticks a second are more than any system needs; each tick asks
    // for the time twice.
    let asked = silence.asked.load(Ordering::Relaxed);
    assert!(asked < 3 * 10 * 2, "the time was asked for {asked} times in three seconds");
}

#[test]
fn other_settings_are_in_force_at_once() {
    let silence = Silence::new();
    let control = start(&silence);
    let mut options = Options::default();
    options.stop.stay = Millis(7);
    control.reload(Default::default(), options);
    let runtime = tokio::runtime::Runtime::new().expect("threads");
    wait_until(|| {
        let stay = control.report(|world| world.options().stop.stay);
        runtime.block_on(stay) == Ok(Millis(7))
    });
    assert!(silence.has_logged("started"));
    control.halt();
}
