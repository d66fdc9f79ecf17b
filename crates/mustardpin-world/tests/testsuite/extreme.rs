//! Numbers of any size, in whatever others send or write, end no node.

use mustardpin_world::{
    Command, Event, Identity, Millis, Options, World,
    config::{
        CallerLimits, Change, CutOffPolicy, Exception, Fleet, Importance, Key, Part, Rank, Route,
        Row, Team,
    },
    event::{ReportTicket, TargetReport},
    id::{Epoch, KeyDigest, NodeId, Revision, StoreVersion, TargetId},
    message::{
        Message, configuration, departure, freshness, quarantine,
        rate_limit::{self, LeaseGrant, LeaseRequest, Shard},
        shedding, target,
    },
    notice::{Notice, Rate, RateLimit},
    refusal::{Reason, Refusal},
    request::{
        Fingerprint, ForwardEnd, Forwarded, Load, Nesting, Origin, Request, RunEnd, TargetLoad,
        TargetRate, Ticket,
    },
    store::{
        self, Announcement, Area, Changes, Departure, Member, Operation, Reply, Roster, RowKey,
        Value,
    },
};
use proptest::{collection::vec, prelude::*};

const PEER: NodeId = NodeId(2);

/// Something that arrives at the node: a kind, numbers and a flag for it to use, and the time since
/// the event before.
type Step = (u8, [u64; 6], bool, u64);

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        1_u64..5_000,
        Just(u64::from(u32::MAX)),
        Just(u64::MAX / 1_000),
        Just(u64::MAX - 1),
        Just(u64::MAX),
        any::<u64>(),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let numbers = [number(), number(), number(), number(), number(), number()];
    vec((0_u8..22, numbers, any::<bool>(), 0_u64..700), 1..60)
}

/// The number as a smaller type, with the largest value for all that do not fit.
fn short(number: u64) -> u32 {
    number.try_into().unwrap_or(u32::MAX)
}

fn byte(number: u64) -> u8 {
    number.try_into().unwrap_or(u8::MAX)
}

fn announcement(node: NodeId) -> Announcement {
    Announcement {
        node,
        name: format!("north-{}", node.0).into(),
        data_centre: "north".into(),
        service: "ledger".into(),
        address: "127.0.0.1:7101".into(),
    }
}

fn configuration(numbers: [u64; 6], flag: bool) -> Vec<Row> {
    let [one, two, three, four, five, six] = numbers;
    let callers = CallerLimits {
        header_size: short(one),
        body_size: two,
        header_timeout: Millis(three),
        idle_timeout: Millis(four),
    };
    let cut_off = if flag { CutOffPolicy::Serve(Millis(five)) } else { CutOffPolicy::Refuse };
    let fleet = Fleet { cut_off, retry_allowance: short(six), callers: Some(callers) };
    let team = Team {
        name: "garages".into(),
        rate: short(one),
        burst: short(two),
        weight: short(three).max(1),
        importance: Importance(byte(four)),
    };
    let part = |service: &str, weight| Part { service: service.into(), weight };
    let route = Route {
        importance: Importance(byte(two)),
        repeatable: flag,
        objective: Some(Millis(one)),
        attempts: Some(byte(three)),
        parts: vec![part("ledger", short(four).max(1)), part("archive", short(five))],
        ..Route::new("book", "/", "ledger", Millis(six))
    };
    let key = Key {
        id: "garage-1".into(),
        team: "garages".into(),
        digest: KeyDigest::of("garage-1.secret"),
        withdrawn: false,
    };
    let change = match one % 3 {
        0 => Change::TeamRate { team: "garages".into(), rate: short(five), burst: short(six) },
        1 => Change::Importance {
            team: "garages".into(),
            route: "book".into(),
            importance: Importance(byte(five)),
        },
        _ => Change::ServeCutOff { team: "garages".into(), grace: Millis(six) },
    };
    let exception = Exception { name: "easter".into(), change, reason: "Easter rush".into() };
    vec![
        Row::Fleet(fleet),
        Row::Team(team),
        Row::Route(route),
        Row::Key(key),
        Row::Exception(exception),
    ]
}

/// A node and what it waits for.
struct Node {
    world: World,
    now: Millis,
    operations: Vec<(store::Ticket, Operation)>,
    runs: Vec<Ticket>,
    forwards: Vec<Ticket>,
    last_ticket: u64,
    version: u64,
}

impl Node {
    /// A node with a target, one peer and a configuration.
    fn start() -> Node {
        let identity = Identity { announcement: announcement(NodeId(1)) };
        let mut node = Node {
            world: World::new(identity, Options::default(), 1),
            now: Millis(0),
            operations: Vec::new(),
            runs: Vec::new(),
            forwards: Vec::new(),
            last_ticket: 0,
            version: 5,
        };
        node.tick(vec![
            Event::LinkUp { peer: announcement(PEER), revision: Revision(1) },
            Event::Load { from: PEER, load: Load { open: true, limit: 8, ..Load::default() } },
            Event::Target(TargetReport {
                address: "127.0.0.1:80".into(),
                instance: "a".into(),
                healthy: true,
                ..TargetReport::default()
            }),
        ]);
        for _ in 0..4 {
            node.answer_store([1_000; 6], true);
        }
        node
    }

    fn tick(&mut self, events: Vec<Event>) {
        for command in self.world.tick(self.now, events) {
            match command {
                Command::Store(ticket, operation) => self.operations.push((ticket, operation)),
                Command::Run(run) => self.runs.push(run.ticket),
                Command::Forward(forward) => self.forwards.push(forward.ticket),
                _ => {}
            }
        }
    }

    /// Replies to the oldest operation of the store.
    fn answer_store(&mut self, numbers: [u64; 6], flag: bool) {
        if self.operations.is_empty() {
            return;
        }
        let (ticket, operation) = self.operations.remove(0);
        self.version += 1;
        let area = match operation {
            Operation::Read(area) | Operation::Watch { area, .. } => area,
            Operation::Write { .. } => {
                let version = StoreVersion::new(Epoch(1), self.version);
                return self.tick(vec![Event::Store(ticket, Reply::Written { version })]);
            }
        };
        let values: Vec<(RowKey, Value)> = match area {
            Area::Configuration => configuration(numbers, flag)
                .into_iter()
                .map(|row| (RowKey::Configuration(row.path()), Value::Configuration(row)))
                .collect(),
            Area::Fleet => {
                let member = |number: u64| Member {
                    name: format!("north-{number}").into(),
                    data_centre: "north".into(),
                };
                let roster = Roster {
                    members: vec![member(1), member(2)],
                    epoch: Epoch(1),
                    ..Roster::default()
                };
                let nodes = [NodeId(1), PEER].map(|node| {
                    (RowKey::Node(announcement(node).name), Value::Node(announcement(node)))
                });
                let departures = numbers.map(|number| {
                    let node = format!("north-{}", number % 4).into();
                    let departure = Departure { node, process: TargetId(number) };
                    (RowKey::Departure(departure.clone()), Value::Departure(departure))
                });
                let roster = (RowKey::Roster, Value::Roster(roster));
                nodes.into_iter().chain(departures).chain([roster]).collect()
            }
        };
        let version = StoreVersion::new(Epoch(1), self.version);
        let row = |(key, value)| store::Row { key, version, value: Some(value) };
        let reply = Reply::Changes {
            area,
            whole: matches!(operation, Operation::Read(_)),
            up_to: version,
            clock: Some(Millis(numbers[0])),
            changes: Changes::Rows(values.into_iter().map(row).collect()),
        };
        self.tick(vec![Event::Store(ticket, reply)]);
    }

    fn request(&mut self, origin: Origin, numbers: [u64; 6]) -> Request {
        self.last_ticket += 1;
        Request {
            ticket: Ticket(self.last_ticket),
            origin,
            id: format!("id-{}", self.last_ticket).into(),
            host: "fleet".into(),
            method: "GET".into(),
            path: "/slots".into(),
            fingerprint: Fingerprint(numbers[1]),
            timeout: Some(Millis(numbers[0])),
        }
    }

    fn step(&mut self, (kind, numbers, flag, elapsed): Step) {
        self.now = self.now + Millis(elapsed);
        let [one, two, three, four, five, six] = numbers;
        let load = Load {
            open: flag,
            running: short(one),
            queued: short(two),
            limit: short(three),
            demand: short(four),
            revision: Revision(five),
            target: TargetId(six),
            leaving: flag,
            rate: if flag { TargetRate::Limited(Rate(one)) } else { TargetRate::Unlimited },
        };
        let message = |message: Message| Event::Peer { from: PEER, message };
        let (team, shard) = ("garages".into(), Shard(byte(six)));
        let event = match kind {
            0..=2 => return self.answer_store(numbers, flag),
            3 => {
                let key = flag.then(|| KeyDigest::of("garage-1.secret"));
                Event::Arrived(self.request(Origin::Caller { key }, numbers))
            }
            4 => {
                let forwarded = Forwarded {
                    from: PEER,
                    revision: Revision(one),
                    key_id: flag.then(|| "garage-1".into()),
                    team: flag.then(|| "garages".into()),
                    route: "book".into(),
                    service: "ledger".into(),
                    rank: Rank { team: Importance(byte(two)), route: Importance(byte(three)) },
                    nesting: if flag { Nesting::Root } else { Nesting::Unlinked },
                    repeatable: flag,
                    objective: Millis(four),
                    retry_allowance: short(five),
                    depth: six.try_into().unwrap_or(u16::MAX),
                    hops: byte(six),
                };
                Event::Arrived(self.request(Origin::Peer(forwarded), numbers))
            }
            5 => Event::Load { from: PEER, load },
            6 => Event::Target(TargetReport {
                address: "127.0.0.1:80".into(),
                instance: "a".into(),
                started: Millis(if flag { one } else { 0 }),
                sequence: two,
                slots: Some(short(three)),
                healthy: flag,
                draining: false,
                warm_up: Millis(four),
                running: Some(short(five)),
            }),
            7 | 8 => {
                let Some(ticket) = self.runs.pop() else { return };
                let (running, waiting, slots) = (short(one), short(two), short(three));
                let report = Some(TargetLoad { running, waiting, slots });
                let end = match four % 4 {
                    0 => RunEnd::Declined,
                    1 => RunEnd::Broken,
                    _ => RunEnd::Answered { status: if flag { 200 } else { 500 }, report },
                };
                Event::RunEnded(ticket, end)
            }
            9 => {
                let Some(ticket) = self.forwards.pop() else { return };
                let refusal = Refusal::not_run(Reason::QueueFull).after(Millis(two));
                let end = match four % 4 {
                    0 => ForwardEnd::Broken,
                    1 => ForwardEnd::Refused(refusal),
                    _ => ForwardEnd::Answered { status: if flag { 200 } else { 500 } },
                };
                Event::ForwardEnded { ticket, end, retries: short(one) }
            }
            10 => message(
                freshness::Message::Reply {
                    number: one % 8,
                    age: Millis(two),
                    revision: Revision(three),
                    fleet_age: Millis(four),
                    roster: StoreVersion::new(Epoch(short(one)), five),
                }
                .into(),
            ),
            11 => {
                let request = LeaseRequest { team, shard, wanted: short(one) };
                message(
                    rate_limit::Message::Request { number: two, requests: vec![request] }.into(),
                )
            }
            12 => {
                let grant = LeaseGrant { tokens: short(one), next_in: Millis(two) };
                let grants = vec![grant; byte(three).min(4).into()];
                message(rate_limit::Message::Grant { number: four % 8, grants }.into())
            }
            13 => {
                let roster =
                    StoreVersion::new(Epoch(two as u32), if flag { self.version } else { one });
                message(rate_limit::Message::Handover { roster, team, shard, level: two }.into())
            }
            14 => {
                let calls = vec![("book".into(), f32::from_bits(short(two)))];
                let cost = shedding::Cost { route: "book".into(), slot_time: Millis(one), calls };
                message(shedding::Message::Costs(vec![cost]).into())
            }
            15 => message(
                quarantine::Message::Crashed {
                    crash: one,
                    requests: vec![Fingerprint(two), Fingerprint(three)],
                    tried: flag.then_some(Fingerprint(two)),
                }
                .into(),
            ),
            16 => {
                let rows = configuration(numbers, flag);
                message(configuration::Message::Have { revision: Revision(one), rows }.into())
            }
            17 => {
                let Some(&ticket) = self.runs.last() else { return };
                let rate_limit = match two % 3 {
                    0 => RateLimit::Unreadable,
                    1 => RateLimit::Stated(Rate::of(f64::from_bits(one)).unwrap_or_default()),
                    _ => RateLimit::Stated(Rate(three)),
                };
                let notice = Notice { leaving: flag && four % 8 == 0, rate_limit };
                Event::TargetNotice { ticket, instance: "a".into(), notice }
            }
            18 => {
                let started = Millis(if flag { one } else { 0 });
                let (target, rate) = (TargetId::of("a", started), Some(Rate(two)));
                let leaving = three % 8 == 0;
                message(target::Message { target, leaving, rate, age: Millis(four) }.into())
            }
            19 => {
                let process = TargetId(if flag { one } else { two });
                let departure = match three % 3 {
                    0 => departure::Message::Write(process),
                    1 => departure::Message::Written { process, epoch: Epoch(short(four)) },
                    _ => departure::Message::Remembered { departed: vec![process] },
                };
                message(departure.into())
            }
            20 => {
                let started = flag.then_some(Millis(one));
                let report = Some(ReportTicket(two));
                Event::TargetLeft { instance: "b".into(), started, report }
            }
            _ => Event::LagProbe(Millis(one)),
        };
        self.tick(vec![event]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a process that ends by an overflow, as tests check all arithmetic.
    #[test]
    fn numbers_of_any_size_end_no_node(steps in steps()) {
        let mut node = Node::start();
        for step in steps {
            node.step(step);
        }
    }
}
