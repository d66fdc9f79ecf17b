//! The world: the tables, and the tick that runs the systems over them.

use compact_str::CompactString;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    clock::Millis,
    command::Command,
    event::Event,
    id::{NodeId, PeerKey},
    log::Entry,
    message::Message,
    options::Options,
    store::{Announcement, Operation, Ticket},
    system,
    table::{Tables, counter::Work},
};

/// A node's identity: fixed while its process runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// What the node announces to its peers and in the store.
    pub announcement: Announcement,
}

impl Identity {
    /// The node's id.
    pub fn node(&self) -> NodeId {
        self.announcement.node
    }

    /// The node's name, which a restarted process keeps.
    pub fn name(&self) -> &CompactString {
        &self.announcement.name
    }

    /// The name of the node's data centre.
    pub fn data_centre(&self) -> &CompactString {
        &self.announcement.data_centre
    }

    /// The name of the service of the node's target.
    pub fn service(&self) -> &CompactString {
        &self.announcement.service
    }
}

/// The whole control state of one node.
#[derive(Debug)]
pub struct World {
    pub(crate) identity: Identity,
    pub(crate) options: Options,
    pub(crate) tables: Tables,
    pub(crate) systems: system::State,
    pub(crate) rng: Pcg64Mcg,
}

/// One tick in progress: its time, its events and the commands issued so far.
#[derive(Debug)]
pub(crate) struct Tick {
    pub(crate) now: Millis,
    pub(crate) inbox: system::Inbox,
    pub(crate) commands: Vec<Command>,
    next_wake: Millis,
}

impl Tick {
    /// Schedules the next tick for this point in time at the latest.
    pub(crate) fn wake(&mut self, at: Millis) {
        self.next_wake = self.next_wake.min(at);
    }

    /// Issues a command that writes a log entry.
    pub(crate) fn log(&mut self, entry: Entry) {
        self.commands.push(Command::Log(entry));
    }
}

impl World {
    /// A world with empty tables. The seed determines all its random choices.
    ///
    /// ```
    /// use mustardpin_world::{Identity, Millis, Options, World, id::NodeId, store::Announcement};
    ///
    /// let announcement = Announcement {
    ///     node: NodeId(1),
    ///     name: "north-1".into(),
    ///     data_centre: "north".into(),
    ///     service: "ledger".into(),
    ///     address: "127.0.0.1:7101".into(),
    /// };
    /// let mut world = World::new(Identity { announcement }, Options::default(), 42);
    /// let commands = world.tick(Millis(0), Vec::new());
    /// assert!(!commands.is_empty(), "it asks the store for its configuration");
    /// ```
    pub fn new(identity: Identity, options: Options, seed: u64) -> World {
        let systems = system::State::new(&options);
        World {
            identity,
            options,
            tables: Tables::default(),
            systems,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Runs all systems once over the events since the last tick.
    ///
    /// `now` must not be earlier than at the last tick. The last command is always
    /// [`Command::Wake`].
    pub fn tick(&mut self, now: Millis, events: Vec<Event>) -> Vec<Command> {
        let mut tick = Tick {
            now,
            inbox: system::Inbox::sort(events),
            commands: Vec::new(),
            next_wake: Millis::MAX,
        };
        system::run(self, &mut tick);
        tick.commands.push(Command::Wake(tick.next_wake));
        tick.commands
    }

    /// The tables, for reports.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// The options that the systems run with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// The node's identity.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Sends an operation to the store; its reply carries the ticket returned here.
    pub(crate) fn call_store(&mut self, tick: &mut Tick, operation: Operation) -> Ticket {
        self.systems.last_ticket.0 += 1;
        let ticket = self.systems.last_ticket;
        tick.commands.push(Command::Store(ticket, operation));
        ticket
    }

    /// Sends a message to a peer.
    pub(crate) fn send(&mut self, tick: &mut Tick, to: PeerKey, message: impl Into<Message>) {
        let Some(peer) = self.tables.peers.get(to) else { return };
        tick.commands.push(Command::Send { to: peer.announcement.node, message: message.into() });
        self.tables.counters.count_work(Work::Messages);
    }

    /// Sends a message to the peer with this id, if the node knows it.
    pub(crate) fn send_to(&mut self, tick: &mut Tick, to: NodeId, message: impl Into<Message>) {
        if let Some(peer) = self.tables.peers.by_node(to) {
            self.send(tick, peer, message);
        }
    }

    /// A random length of time between zero and `max`, inclusive.
    pub(crate) fn jitter(&mut self, max: Millis) -> Millis {
        Millis(self.rng.random_range(0..=max.0))
    }
}
