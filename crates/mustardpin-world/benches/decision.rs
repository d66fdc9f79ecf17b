//! The time of one decision, depending on the number of teams, keys, routes, peers and calls in
//! flight.
//!
//! `request` runs a request on the local target from arrival to response (two ticks); `forward`
//! forwards it to a peer; `idle` is a tick without events.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mustardpin_world::{
    Command, Event, Identity, Millis, Options, World,
    config::{Importance, Key, Route, Row, Team},
    event::TargetReport,
    id::{Epoch, KeyDigest, NodeId, StoreVersion},
    options::{LimitAlgorithm, RateLimitPolicy},
    request::{Fingerprint, ForwardEnd, Load, Origin, Request, RunEnd, Ticket},
    store::{self, Announcement, Area, Changes, Member, Operation, Reply, Roster, RowKey, Value},
};

/// The size of the configuration, the fleet and the load.
#[derive(Debug, Clone, Copy)]
struct Size {
    teams: usize,
    keys: usize,
    routes: usize,
    peers: usize,
    /// Requests that are in progress throughout.
    in_flight: usize,
}

/// The base size, of which each group of benchmarks varies one number.
const BASE: Size = Size { teams: 8, keys: 64, routes: 16, peers: 42, in_flight: 16 };

/// A world, the rows of its store and the events for its next tick.
struct Bench {
    world: World,
    rows: Vec<store::Row>,
    now: Millis,
    pending_events: Vec<Event>,
    /// The number of the last request's ticket.
    last_ticket: u64,
    /// The number of keys that requests use in turn.
    keys: usize,
}

fn announcement(node: u64, service: &str) -> Announcement {
    Announcement {
        node: NodeId(node),
        name: format!("node-{node}").into(),
        data_centre: ["north", "south", "west"][node as usize % 3].into(),
        service: service.into(),
        address: "127.0.0.1:7101".into(),
    }
}

fn route(index: usize) -> Route {
    let service = if index == 1 { "ledger" } else { "search" };
    let prefix = format!("/route-{index}/");
    let route = Route::new(&format!("route-{index}"), &prefix, service, Millis::from_secs(60));
    Route { repeatable: true, ..route }
}

fn rows(size: Size) -> Vec<store::Row> {
    const NO_LIMIT: u32 = 1_000_000;

    let team = |index: usize| Team {
        name: format!("team-{index}").into(),
        rate: NO_LIMIT,
        burst: NO_LIMIT,
        weight: 1,
        importance: Importance::default(),
    };
    let key = |index: usize| Key {
        id: format!("key-{index}").into(),
        team: format!("team-{}", index % size.teams).into(),
        digest: KeyDigest::of(&format!("key-{index}.secret")),
        withdrawn: false,
    };
    let configuration = (0..size.teams)
        .map(|index| Row::Team(team(index)))
        .chain((0..size.keys).map(|index| Row::Key(key(index))))
        .chain((0..size.routes.max(2)).map(|index| Row::Route(route(index))))
        .map(|row| (RowKey::Configuration(row.path()), Value::Configuration(row)));
    let own = announcement(1, "search");
    let members = vec![Member { name: own.name.clone(), data_centre: own.data_centre.clone() }];
    let nodes = peers(size).map(|peer| (RowKey::Node(peer.name.clone()), Value::Node(peer)));
    let own = (RowKey::Node(own.name.clone()), Value::Node(own));
    let roster = (
        RowKey::Roster,
        Value::Roster(Roster { members, former: Some(Vec::new()), ..Roster::default() }),
    );
    let rows = configuration.chain(nodes).chain([own, roster]);
    rows.map(|(key, value)| store::Row {
        key,
        version: StoreVersion::new(Epoch(0), 1),
        value: Some(value),
    })
    .collect()
}

fn peers(size: Size) -> impl Iterator<Item = Announcement> {
    (0..size.peers as u64).map(|index| {
        let service = if index % 2 == 0 { "search" } else { "ledger" };
        announcement(index + 2, service)
    })
}

fn is_in(area: Area, row: &store::Row) -> bool {
    let is_fleet = matches!(row.key, RowKey::Node(_) | RowKey::Roster);
    is_fleet == (area == Area::Fleet)
}

impl Bench {
    fn new(size: Size) -> Bench {
        let identity = Identity { announcement: announcement(1, "search") };
        let mut options = Options::default();
        options.limit.algorithm = LimitAlgorithm::Unlimited;
        options.rate_limit.policy = RateLimitPolicy::Even;
        let world = World::new(identity, options, 42);
        let report = TargetReport { healthy: true, ..TargetReport::default() };
        let (now, pending_events) = (Millis::ZERO, vec![Event::Target(report)]);
        let rows = rows(size);
        let mut bench = Bench { world, rows, now, pending_events, last_ticket: 0, keys: size.keys };
        bench.tick();
        bench.tick();
        for peer in peers(size) {
            let (from, revision) = (peer.node, Default::default());
            let load = Load { open: true, limit: 1_000_000, ..Load::default() };
            bench.pending_events.push(Event::LinkUp { peer, revision });
            bench.pending_events.push(Event::Load { from, load });
        }
        for _ in 0..1_000 {
            bench.tick();
        }
        for _ in 0..size.in_flight {
            bench.start_request(0);
        }
        bench
    }

    /// Runs a tick, one millisecond after the last. The store replies by the next tick.
    fn tick(&mut self) -> Vec<Command> {
        self.now = self.now + Millis(1);
        let mut events = std::mem::take(&mut self.pending_events);
        // The target reports each second.
        if self.now.0.is_multiple_of(1_000) {
            let report = TargetReport { healthy: true, ..TargetReport::default() };
            events.push(Event::Target(report));
        }
        let commands = self.world.tick(self.now, events);
        for command in &commands {
            if let Command::Store(ticket, operation) = command
                && let Some(reply) = self.reply(operation)
            {
                self.pending_events.push(Event::Store(*ticket, reply));
            }
        }
        commands
    }

    /// The immediate reply of the store to an operation.
    fn reply(&self, operation: &Operation) -> Option<Reply> {
        let (area, rows) = match operation {
            Operation::Read(area) => {
                let rows = self.rows.iter().filter(|row| is_in(*area, row));
                (*area, rows.cloned().collect())
            }
            Operation::Watch { area, .. } => (*area, Vec::new()),
            Operation::Write { .. } => return Some(Reply::Conflict),
        };
        let whole = matches!(operation, Operation::Read(_));
        let (up_to, changes) = (StoreVersion::new(Epoch(0), 1), Changes::Rows(rows));
        Some(Reply::Changes { area, whole, up_to, clock: Some(self.now), changes })
    }

    /// Starts a request. Returns its ticket once it runs or has been forwarded to a peer.
    fn start_request(&mut self, route: usize) -> Option<Ticket> {
        self.last_ticket += 1;
        let key = self.last_ticket as usize % self.keys;
        let ticket = Ticket(self.last_ticket);
        self.pending_events.push(Event::Arrived(Request {
            ticket,
            origin: Origin::Caller { key: Some(KeyDigest::of(&format!("key-{key}.secret"))) },
            id: Default::default(),
            host: Default::default(),
            method: "GET".into(),
            path: format!("/route-{route}/slots").into(),
            fingerprint: Fingerprint(self.last_ticket),
            timeout: None,
        }));
        for _ in 0..4 {
            let is_own_command = |command: &Command| match command {
                Command::Run(run) => run.ticket == ticket,
                Command::Forward(forward) => forward.ticket == ticket,
                _ => false,
            };
            if self.tick().iter().any(is_own_command) {
                return Some(ticket);
            }
        }
        None
    }

    /// A request on the local target, from its arrival to its response.
    fn request(&mut self) {
        let Some(ticket) = self.start_request(0) else { return };
        let end = RunEnd::Answered { status: 200, report: None };
        self.pending_events.push(Event::RunEnded(ticket, end));
        black_box(self.tick());
    }

    /// A request that a peer runs.
    fn forward(&mut self) {
        let Some(ticket) = self.start_request(1) else { return };
        let end = ForwardEnd::Answered { status: 200 };
        self.pending_events.push(Event::ForwardEnded { ticket, end, retries: 0 });
        black_box(self.tick());
    }
}

fn measure(
    criterion: &mut Criterion,
    group_name: &str,
    counts: &[usize],
    size: impl Fn(usize) -> Size,
) {
    let mut group = criterion.benchmark_group(group_name);
    for &count in counts {
        let mut bench = Bench::new(size(count));
        assert!(bench.start_request(0).is_some(), "requests run");
        assert!(bench.start_request(1).is_some(), "requests are forwarded to peers");
        group.bench_with_input(BenchmarkId::new("request", count), &count, |bencher, _| {
            bencher.iter(|| bench.request());
        });
        group.bench_with_input(BenchmarkId::new("forward", count), &count, |bencher, _| {
            bencher.iter(|| bench.forward());
        });
        group.bench_with_input(BenchmarkId::new("idle", count), &count, |bencher, _| {
            bencher.iter(|| black_box(bench.tick()));
        });
    }
    group.finish();
}

fn decisions(criterion: &mut Criterion) {
    measure(criterion, "teams", &[8, 80, 800], |teams| Size { teams, keys: teams * 8, ..BASE });
    measure(criterion, "keys", &[64, 1_024, 16_384], |keys| Size { keys, ..BASE });
    measure(criterion, "routes", &[16, 64, 256], |routes| Size { routes, ..BASE });
    measure(criterion, "peers", &[14, 172, 690], |peers| Size { peers, ..BASE });
    measure(criterion, "in-flight", &[16, 256, 4_096], |in_flight| Size { in_flight, ..BASE });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
