//! The world: the tables, and the tick that runs the systems over them.

use compact_str::CompactString;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    clock::Millis,
    command::Command,
    event::Event,
    id::{NodeId, PeerKey},
    message::Message,
    options::Options,
    platform::{Announcement, Operation, Ticket},
    system,
    table::{Tables, counter::Work, peer::Peer},
};

/// Who a node is: fixed while its process runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// What the node tells others of itself.
    pub announcement: Announcement,
}

impl Identity {
    /// The node's id.
    pub fn node(&self) -> NodeId {
        self.announcement.node
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

/// Everything one node decides on.
#[derive(Debug)]
pub struct World {
    pub(crate) identity: Identity,
    pub(crate) options: Options,
    pub(crate) tables: Tables,
    pub(crate) systems: system::State,
    pub(crate) rng: Pcg64Mcg,
}

/// One tick in progress: the time, what came in and what has to be done.
#[derive(Debug)]
pub(crate) struct Tick {
    pub(crate) now: Millis,
    pub(crate) inbox: system::Inbox,
    pub(crate) commands: Vec<Command>,
    next_wake: Millis,
}

impl Tick {
    /// Asks for another tick at this point at the latest.
    pub(crate) fn wake(&mut self, at: Millis) {
        self.next_wake = self.next_wake.min(at);
    }
}

impl World {
    /// A world without any knowledge. The seed decides all its random choices.
    ///
    /// ```
    /// use mustardpin_world::{Identity, Millis, Options, World, id::NodeId, platform::Announcement};
    ///
    /// let announcement = Announcement {
    ///     node: NodeId(1),
    ///     data_centre: "north".into(),
    ///     service: "ledger".into(),
    ///     control_address: "127.0.0.1:7101".into(),
    ///     traffic_address: "127.0.0.1:7102".into(),
    /// };
    /// let mut world = World::new(Identity { announcement }, Options::default(), 42);
    /// let commands = world.tick(Millis(0), Vec::new());
    /// assert!(!commands.is_empty(), "it asks the platform for its configuration");
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

    /// Runs all systems once over what has happened since the last tick.
    ///
    /// `now` must not go back. The last command is always [`Command::Wake`].
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

    /// Whether the node is in no epoch and others have all records it kept.
    pub fn has_handed_over(&self) -> bool {
        system::recording::handed_over(self)
    }

    /// Who the node is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Asks the platform; the reply comes with the ticket returned.
    pub(crate) fn ask_platform(&mut self, tick: &mut Tick, operation: Operation) -> Ticket {
        self.systems.last_ticket.0 += 1;
        let ticket = self.systems.last_ticket;
        tick.commands.push(Command::Platform(ticket, operation));
        ticket
    }

    /// Sends a message to a peer.
    pub(crate) fn send(&mut self, tick: &mut Tick, to: PeerKey, message: impl Into<Message>) {
        let Some(peer) = self.tables.peers.get(to) else { return };
        tick.commands.push(Command::Send {
            to: peer.announcement.node,
            address: peer.announcement.control_address.clone(),
            message: message.into(),
        });
        self.tables.counters.work(Work::Messages);
    }

    /// Sends a message to the peer with this id, if the node knows it.
    pub(crate) fn send_to(&mut self, tick: &mut Tick, to: NodeId, message: impl Into<Message>) {
        if let Some(peer) = self.tables.peers.by_node(to) {
            self.send(tick, peer, message);
        }
    }

    /// Up to `count` different peers, drawn at random from those that fit.
    pub(crate) fn sample(&mut self, count: usize, fits: impl Fn(&Peer) -> bool) -> Vec<PeerKey> {
        let peers = self.tables.peers.iter();
        let mut peers: Vec<PeerKey> =
            peers.filter(|(_, peer)| fits(peer)).map(|(key, _)| key).collect();
        let count = count.min(peers.len());
        for index in 0..count {
            let other = self.rng.random_range(index..peers.len());
            peers.swap(index, other);
        }
        peers.truncate(count);
        peers
    }

    /// A random length between zero and `longest`.
    pub(crate) fn jitter(&mut self, longest: Millis) -> Millis {
        Millis(self.rng.random_range(0..=longest.0))
    }
}
