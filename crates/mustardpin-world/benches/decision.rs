//! What one decision costs, against the number of teams, keys, routes, peers and calls in flight.
//!
//! `request` runs a request on the own target from arrival to answer (two ticks); `forward` passes
//! it to a peer; `idle` is a tick without events.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mustardpin_virtual::Platform;
use mustardpin_world::{
    Command, Event, Identity, Millis, Options, World,
    config::{Importance, Key, Route, Row, Team},
    event::TargetReport,
    id::{CallKey, KeyDigest, NodeId},
    message::epoch::{Epoch, Member},
    options::{LimitAlgorithm, Sharing},
    platform::{self, Announcement},
    request::{Fingerprint, ForwardEnd, Origin, Request, RunEnd, Ticket},
};

/// How many of each there are, where not one of them is varied.
#[derive(Debug, Clone, Copy)]
struct Size {
    teams: usize,
    keys: usize,
    routes: usize,
    peers: usize,
    in_flight: usize,
}

const USUAL: Size = Size { teams: 8, keys: 64, routes: 16, peers: 42, in_flight: 16 };

/// A world, the platform behind it and the events that are due.
struct Bench {
    world: World,
    platform: Platform,
    now: Millis,
    due: Vec<Event>,
    number: u64,
    keys: usize,
}

fn announcement(node: u64, service: &str) -> Announcement {
    Announcement {
        node: NodeId(node),
        data_centre: ["north", "south", "west"][node as usize % 3].into(),
        service: service.into(),
        control_address: "127.0.0.1:7101".into(),
        traffic_address: "127.0.0.1:7102".into(),
    }
}

fn route(index: usize) -> Route {
    Route {
        name: format!("route-{index}").into(),
        service: if index == 1 { "ledger" } else { "search" }.into(),
        method: None,
        path_prefix: format!("/route-{index}/").into(),
        importance: Importance::Normal,
        repeatable: true,
        open: false,
        timeout: Millis::from_secs(60),
        teams: Vec::new(),
    }
}

fn rows(size: Size) -> Vec<platform::Row> {
    const NO_LIMIT: u32 = 1_000_000;

    let team = |index: usize| Team {
        name: format!("team-{index}").into(),
        rate: NO_LIMIT,
        burst: NO_LIMIT,
        weight: 1,
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
        .map(|row| platform::Row::Configuration(row.path(), Some(row)));
    let nodes = (0..size.peers as u64).map(|index| {
        let service = if index % 2 == 0 { "search" } else { "ledger" };
        platform::Row::Node(NodeId(index + 2), Some(announcement(index + 2, service)))
    });
    let own = announcement(1, "search");
    let member = Member { node: own.node, data_centre: own.data_centre, service: own.service };
    let epoch = Epoch { number: 1, members: vec![member], ..Epoch::default() };
    configuration.chain(nodes).chain([platform::Row::Epoch(epoch)]).collect()
}

impl Bench {
    fn new(size: Size) -> Bench {
        let identity = Identity { announcement: announcement(1, "search") };
        let mut options = Options::default();
        options.limit.algorithm = LimitAlgorithm::Unlimited;
        options.rating.sharing = Sharing::Even;
        // No peer is there to answer a probe.
        options.membership.gossip_period = Millis::from_secs(3_600);
        let mut platform = Platform::default();
        platform.put(rows(size));
        let world = World::new(identity, options, 42);
        let due = vec![Event::Target(TargetReport { healthy: true, ..TargetReport::default() })];
        let now = Millis::ZERO;
        let mut bench = Bench { world, platform, now, due, number: 0, keys: size.keys };
        for _ in 0..8_000 {
            bench.tick();
        }
        for _ in 0..size.in_flight {
            bench.begin(0);
        }
        bench
    }

    /// One tick, one millisecond later. The platform answers by the next.
    fn tick(&mut self) -> Vec<Command> {
        self.now = self.now + Millis(1);
        let events = std::mem::take(&mut self.due);
        let commands = self.world.tick(self.now, events);
        for command in &commands {
            if let Command::Platform(ticket, operation) = command {
                let reply = self.platform.apply(operation.clone());
                self.due.push(Event::Platform(*ticket, reply));
            }
        }
        commands
    }

    /// Lets a request arrive and returns the call that it becomes.
    fn begin(&mut self, route: usize) -> Option<CallKey> {
        self.number += 1;
        let key = self.number as usize % self.keys;
        let text = format!("key-{key}.secret");
        self.due.push(Event::Arrived(Request {
            ticket: Ticket(self.number),
            origin: Origin::Caller {
                key: Some((format!("key-{key}").into(), KeyDigest::of(&text))),
            },
            method: "GET".into(),
            path: format!("/route-{route}/slots").into(),
            idempotency_key: None,
            fingerprint: Fingerprint(self.number),
            timeout: None,
        }));
        let ticket = Ticket(self.number);
        let mut call = None;
        for _ in 0..4 {
            for command in self.tick() {
                match command {
                    Command::Accepted(accepted, key) if accepted == ticket => call = Some(key),
                    Command::Run(run) if Some(run.call) == call => return call,
                    Command::Forward(forward) if Some(forward.call) == call => return call,
                    _ => {}
                }
            }
        }
        None
    }

    /// A request on the own target, from its arrival to its answer.
    fn request(&mut self) {
        let Some(call) = self.begin(0) else { return };
        let end = RunEnd::Answered { status: 200, answer: None };
        self.due.push(Event::RunEnded(call, end));
        black_box(self.tick());
    }

    /// A request that a peer runs.
    fn forward(&mut self) {
        let Some(call) = self.begin(1) else { return };
        let end = ForwardEnd::Answered { status: 200 };
        self.due.push(Event::ForwardEnded { call, end, pressure: None });
        black_box(self.tick());
    }
}

fn vary(criterion: &mut Criterion, what: &str, counts: &[usize], size: impl Fn(usize) -> Size) {
    let mut group = criterion.benchmark_group(what);
    for &count in counts {
        let mut bench = Bench::new(size(count));
        assert!(bench.begin(0).is_some(), "requests run");
        assert!(bench.begin(1).is_some(), "requests are passed to peers");
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
    vary(criterion, "teams", &[8, 80, 800], |teams| Size { teams, keys: teams * 8, ..USUAL });
    vary(criterion, "keys", &[64, 1_024, 16_384], |keys| Size { keys, ..USUAL });
    vary(criterion, "routes", &[16, 64, 256], |routes| Size { routes, ..USUAL });
    vary(criterion, "peers", &[14, 172, 690], |peers| Size { peers, ..USUAL });
    vary(criterion, "in-flight", &[16, 256, 4_096], |in_flight| Size { in_flight, ..USUAL });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
