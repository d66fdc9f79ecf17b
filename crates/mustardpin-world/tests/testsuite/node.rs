//! The world of one node, with the test in the role of its traffic side and of the store.

use mustardpin_world::{
    Command, Event, Identity, Millis, Options, World,
    config::{self, Route, Update},
    event::TargetReport,
    id::{Epoch, NodeId, Revision, StoreVersion},
    request::{Fingerprint, Load, Origin, Request, Ticket, Verdict},
    store::{self, Announcement, Area, Changes, Operation, Reply, Row, RowKey, Value},
};

/// A node of the service `slots`, with one open route to the service, which times out after ten
/// seconds.
pub struct Node {
    pub now: Millis,
    world: World,
    /// The tickets of the last read of each area of the store.
    reads: Vec<(Area, store::Ticket)>,
}

impl Node {
    /// Starts a node with a target and a configuration.
    pub fn start(options: Options) -> Node {
        let identity = Identity { announcement: announcement(1) };
        let world = World::new(identity, options, 1);
        let mut node = Node { now: Millis::ZERO, world, reads: Vec::new() };
        node.tick(Vec::new());
        // Until it has read the fleet's rows, its target may be one that has left.
        node.reply(Area::Fleet, 0, true, Changes::Rows(Vec::new()));
        let update = configuration(1, false);
        let report = TargetReport {
            address: "127.0.0.1:1".into(),
            instance: "target-1".into(),
            started: Millis(1),
            sequence: 1,
            slots: Some(8),
            healthy: true,
            draining: false,
            warm_up: Millis::ZERO,
            running: None,
        };
        node.change(Area::Configuration, 1, Changes::Document(update));
        node.tick(vec![Event::Target(report)]);
        node
    }

    /// Changes whether requests of the route may run twice.
    pub fn set_repeatable(&mut self, repeatable: bool) {
        let update = configuration(2, repeatable);
        self.change(Area::Configuration, 2, Changes::Document(update));
    }

    /// Runs one tick.
    pub fn tick(&mut self, events: Vec<Event>) -> Vec<Command> {
        let commands = self.world.tick(self.now, events);
        for command in &commands {
            if let Command::Store(ticket, Operation::Read(area) | Operation::Watch { area, .. }) =
                command
            {
                self.reads.retain(|(other, _)| other != area);
                self.reads.push((*area, *ticket));
            }
        }
        commands
    }

    /// Runs a tick with the changes of an area up to a version of the store.
    pub fn change(&mut self, area: Area, up_to: u64, changes: Changes) -> Vec<Command> {
        self.reply(area, up_to, false, changes)
    }

    fn reply(&mut self, area: Area, up_to: u64, whole: bool, changes: Changes) -> Vec<Command> {
        let read = self.reads.iter().find(|(other, _)| *other == area);
        let (_, ticket) = *read.expect("the node reads the area");
        let up_to = StoreVersion::new(Epoch(0), up_to);
        let reply = Reply::Changes { area, whole, up_to, clock: None, changes };
        self.tick(vec![Event::Store(ticket, reply)])
    }

    /// Runs a tick with a new request without a key.
    pub fn send(&mut self, ticket: u64, origin: Origin, timeout: Option<Millis>) -> Vec<Command> {
        self.tick(vec![Event::Arrived(request(ticket, origin, timeout))])
    }

    /// Connects a peer of the same service that has a row in the store and an open target.
    pub fn connect(&mut self, number: u64) -> Vec<Command> {
        let peer = announcement(number);
        let (key, value) = (RowKey::Node(peer.name.clone()), Value::Node(peer.clone()));
        let row = Row { key, version: StoreVersion::new(Epoch(0), number), value: Some(value) };
        let load = Load { open: true, limit: 8, ..Load::default() };
        self.change(Area::Fleet, number, Changes::Rows(vec![row]));
        self.tick(vec![
            Event::LinkUp { peer, revision: Revision(1) },
            Event::Load { from: NodeId(number), load },
        ])
    }
}

/// A configuration with the open route only.
fn configuration(revision: u64, repeatable: bool) -> Update {
    let route = Route::new("slots", "/", "slots", Millis::from_secs(10));
    let route = config::Row::Route(Route { open: true, repeatable, ..route });
    Update::Whole { revision: Revision(revision), rows: vec![route] }
}

/// A request to the open route.
pub fn request(ticket: u64, origin: Origin, timeout: Option<Millis>) -> Request {
    Request {
        ticket: Ticket(ticket),
        origin,
        id: ticket.to_string().into(),
        host: Default::default(),
        method: "POST".into(),
        path: "/".into(),
        fingerprint: Fingerprint(ticket),
        timeout,
    }
}

/// Node `number` of the service.
pub fn announcement(number: u64) -> Announcement {
    Announcement {
        node: NodeId(number),
        name: format!("node-{number}").into(),
        data_centre: "north".into(),
        service: "slots".into(),
        address: format!("127.0.0.1:{number}").into(),
    }
}

/// What the commands do with requests, and the connections that they close.
/// An exit is described with the time by which connections must have ended.
pub fn describe(commands: &[Command]) -> String {
    let described: Vec<String> = commands
        .iter()
        .filter_map(|command| match command {
            Command::Run(run) => Some(format!("run {}", run.ticket.0)),
            Command::Forward(forward) => Some(format!("forward {}", forward.ticket.0)),
            Command::Cancel(ticket) => Some(format!("cancel {}", ticket.0)),
            Command::Finish { ticket, verdict: Verdict::Refuse(refusal), .. } => {
                Some(format!("refuse {}: {}, {}", ticket.0, refusal.reason, refusal.outcome))
            }
            Command::Finish { ticket, .. } => Some(format!("finish {}", ticket.0)),
            Command::Exit { by } => Some(format!("exit by {}", by.0)),
            Command::CloseLink(node) => Some(format!("close link {}", node.0)),
            _ => None,
        })
        .collect();
    if described.is_empty() { "nothing".to_owned() } else { described.join("; ") }
}
