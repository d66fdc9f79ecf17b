//! The fleet: worlds, the events under way between them, and the history.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    sync::Arc,
};

use mustardpin_world::{
    Command, Event, Identity, Millis, Options, World,
    command::Change,
    config,
    event::{Proposal, ProposalTicket, TargetReport},
    id::{CallKey, KeyDigest, NodeId, Revision},
    message::Message,
    platform::{self, Announcement},
    refusal::Outcome,
    request::{
        self, Answer, CallToken, Fingerprint, ForwardEnd, Origin, Pressure, RunEnd, Verdict,
    },
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    network::Network,
    platform::Platform,
    size,
    target::{Progress, Ran, Service, Target},
};

/// Names a place for a node: its index in the order of addition. A restarted node keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Site(pub usize);

/// A request as a test sends it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The tenant key, `ID.SECRET`.
    pub key: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The digest of the request; the same for a resent one.
    pub fingerprint: u64,
    /// The time the caller is willing to wait.
    pub timeout: Option<Millis>,
    /// How often the caller sends the request again after a failure.
    pub resends: u32,
}

impl Request {
    /// A GET request.
    pub fn get(path: &str, key: &str) -> Request {
        Request {
            method: "GET".to_owned(),
            path: path.to_owned(),
            key: Some(key.to_owned()),
            ..Request::default()
        }
    }

    /// A POST request with an idempotency key, which also decides its fingerprint.
    pub fn post(path: &str, key: &str, idempotency_key: &str) -> Request {
        Request {
            method: "POST".to_owned(),
            path: path.to_owned(),
            key: Some(key.to_owned()),
            idempotency_key: Some(idempotency_key.to_owned()),
            fingerprint: mustardpin_world::home::hash_of(&[path, idempotency_key]),
            timeout: None,
            resends: 0,
        }
    }
}

/// What the caller of a root request received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// The number of the root request.
    pub root: u64,
    /// Where it was sent.
    pub site: Site,
    /// When it was sent.
    pub sent: Millis,
    /// When the answer came.
    pub at: Millis,
    /// The answer; `None` if the connection broke.
    pub verdict: Option<Verdict>,
    /// The body of a whole answer.
    pub body: Option<Vec<u8>>,
}

impl Received {
    /// Whether a whole answer of a target came.
    pub fn is_whole(&self) -> bool {
        matches!(self.verdict, Some(Verdict::Pass | Verdict::Replay(_)))
    }

    /// Whether the system said that the request has not run.
    pub fn is_not_run(&self) -> bool {
        self.verdict.as_ref().is_some_and(|verdict| verdict.outcome() == Outcome::NotRun)
    }
}

/// Who waits for the answer to an arrived request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Waiter {
    /// The caller of a root request.
    Caller { root: u64 },
    /// A node that forwarded its call.
    Node { site: Site, life: u32, call: CallKey },
    /// A target that made a call in the course of another.
    Target { site: Site, life: u32, parent: CallKey, run: u64, index: usize },
}

/// A request a node is working on.
#[derive(Debug, Clone)]
struct Held {
    waiter: Waiter,
    root: u64,
    request: Request,
    /// The body of the answer that a target gave.
    body: Option<Vec<u8>>,
}

#[derive(Debug)]
enum Step {
    Tick { life: u32 },
    Deliver { life: u32, event: Event },
    Arrive { request: Request, origin: Origin, waiter: Waiter, root: u64 },
    Begin { life: u32, run: request::Run },
    ServiceOver { life: u32, call: CallKey, run: u64 },
    ChildOver { life: u32, parent: CallKey, run: u64, index: usize, status: u16 },
    RunDeadline { life: u32, call: CallKey },
    ForwardDeadline { life: u32, call: CallKey },
    Report { life: u32 },
    Resend { root: u64 },
}

#[derive(Debug)]
struct Node {
    world: World,
    data_centre: String,
    target: Target,
    life: u32,
    up: bool,
    frozen: bool,
    exited: bool,
    pending: Vec<Event>,
    pressure: Pressure,
    /// When the next tick is due; later ticks in the queue are stale.
    next_tick: Millis,
    tickets: BTreeMap<request::Ticket, Held>,
    calls: BTreeMap<CallKey, Held>,
    by_waiter: HashMap<Waiter, CallKey>,
    /// Retries left over from calls that are about to be answered.
    leftover: BTreeMap<CallKey, u32>,
    /// The statuses of the targets' answers to calls.
    statuses: BTreeMap<CallKey, u16>,
    /// Calls passed on, and where they are there, once known.
    forwarded: BTreeMap<CallKey, Site>,
    held_back: Vec<Step>,
}

/// Worlds, fakes and the events under way between them.
pub struct Fleet {
    /// Virtual time now.
    pub now: Millis,
    /// The network.
    pub network: Network,
    /// The fake platform.
    pub platform: Platform,
    /// What targets ran, in order.
    pub ran: Vec<Ran>,
    /// What callers received, in order.
    pub received: Vec<Received>,
    /// What operators were answered.
    pub answers: BTreeMap<u64, Result<Revision, config::ChangeError>>,
    /// Changes of state that nodes logged.
    pub log: Vec<(Millis, Site, Change)>,
    /// Messages sent between worlds.
    pub messages: u64,
    /// Their estimated size together, in bytes.
    pub message_bytes: u64,
    nodes: Vec<Node>,
    /// Whether [`Fleet::ran`] is written.
    pub keep_runs: bool,
    roots: Vec<(Site, Millis, Request)>,
    last_received: HashMap<u64, usize>,
    queue: BinaryHeap<Reverse<(Millis, u64, usize, usize)>>,
    /// Steps named by the queue, and the places in it that are free.
    steps: Vec<Option<Step>>,
    free_steps: Vec<usize>,
    sequence: u64,
    options: Options,
    rng: Pcg64Mcg,
    seed: u64,
}

const REPORT_PERIOD: Millis = Millis(1_000);
/// How long a caller or a target waits before it sends a failed request again.
const RESEND_AFTER: Millis = Millis(50);

impl Fleet {
    /// An empty fleet. The seed decides everything that is random in it.
    pub fn new(seed: u64, options: Options) -> Fleet {
        Fleet {
            now: Millis(0),
            network: Network::default(),
            platform: Platform::default(),
            ran: Vec::new(),
            received: Vec::new(),
            answers: BTreeMap::new(),
            log: Vec::new(),
            messages: 0,
            message_bytes: 0,
            nodes: Vec::new(),
            keep_runs: true,
            roots: Vec::new(),
            last_received: HashMap::new(),
            queue: BinaryHeap::new(),
            steps: Vec::new(),
            free_steps: Vec::new(),
            sequence: 0,
            options,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seed,
        }
    }

    /// Adds a node with a target behind it.
    pub fn add(&mut self, data_centre: &str, service: Service) -> Site {
        let site = Site(self.nodes.len());
        let world = self.world(site, 0, data_centre, &service.name);
        self.nodes.push(Node {
            world,
            data_centre: data_centre.to_owned(),
            target: Target::new(service),
            life: 0,
            up: true,
            frozen: false,
            exited: false,
            pending: Vec::new(),
            pressure: Pressure::default(),
            next_tick: Millis::MAX,
            tickets: BTreeMap::new(),
            calls: BTreeMap::new(),
            by_waiter: HashMap::new(),
            leftover: BTreeMap::new(),
            statuses: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            held_back: Vec::new(),
        });
        self.boot(site);
        site
    }

    /// The sites in the order of addition.
    pub fn sites(&self) -> impl Iterator<Item = Site> + use<> {
        (0..self.nodes.len()).map(Site)
    }

    /// The world at a site.
    pub fn world_at(&self, site: Site) -> &World {
        &self.nodes[site.0].world
    }

    /// The target at a site.
    pub fn target(&mut self, site: Site) -> &mut Target {
        &mut self.nodes[site.0].target
    }

    /// Whether the node at a site has finished everything and left.
    pub fn has_exited(&self, site: Site) -> bool {
        self.nodes[site.0].exited
    }

    /// Ends a node's process at once. Its target stays.
    pub fn kill(&mut self, site: Site) {
        let node = &mut self.nodes[site.0];
        node.up = false;
        node.life += 1;
        node.next_tick = Millis::MAX;
        node.target.drop_work();
        let held: Vec<Held> = std::mem::take(&mut node.calls)
            .into_values()
            .chain(std::mem::take(&mut node.tickets).into_values())
            .collect();
        node.by_waiter.clear();
        node.leftover.clear();
        node.statuses.clear();
        node.pending.clear();
        node.held_back.clear();
        node.forwarded.clear();
        for held in held {
            self.break_off(site, held.waiter);
        }
        let callers: Vec<(Site, CallKey)> = self.calls_forwarded_to(site);
        for (caller, call) in callers {
            self.nodes[caller.0].forwarded.remove(&call);
            self.deliver_later(caller, Millis(1), forward_ended(call, ForwardEnd::Broken));
        }
    }

    /// Starts a new process at a site, with a new id and no memory.
    pub fn restart(&mut self, site: Site) {
        self.kill(site);
        let life = self.nodes[site.0].life;
        let data_centre = self.nodes[site.0].data_centre.clone();
        let service = self.nodes[site.0].target.service.name.clone();
        let world = self.world(site, life, &data_centre, &service);
        let now = self.now;
        let node = &mut self.nodes[site.0];
        node.target.started = now;
        node.world = world;
        node.up = true;
        node.exited = false;
        node.frozen = false;
        node.next_tick = Millis::MAX;
        node.target.up = true;
        node.target.draining = false;
        self.boot(site);
    }

    /// Stops a node's process from running, as SIGSTOP does.
    pub fn freeze(&mut self, site: Site) {
        self.nodes[site.0].frozen = true;
    }

    /// Lets a frozen process run on.
    pub fn resume(&mut self, site: Site) {
        let node = &mut self.nodes[site.0];
        node.frozen = false;
        let held_back = std::mem::take(&mut node.held_back);
        let is_tick = |step: &Step| matches!(step, Step::Tick { .. });
        let (ticks, others): (Vec<Step>, Vec<Step>) = held_back.into_iter().partition(is_tick);
        // The first tick sees all that has come in the meantime, as in a process.
        for step in others.into_iter().chain(ticks) {
            self.schedule(site, self.now, step);
        }
    }

    /// Cuts a node off from all other nodes, but not from the platform, until [`Network::heal`].
    pub fn isolate(&mut self, site: Site) {
        self.network.isolate(site.0);
    }

    /// Asks a node to leave, as SIGTERM does.
    pub fn stop(&mut self, site: Site) {
        self.deliver_later(site, Millis(0), Event::Stop);
    }

    /// Crashes the target at a site. It stays down until [`Fleet::restart_target`].
    pub fn crash_target(&mut self, site: Site) {
        let node = &mut self.nodes[site.0];
        node.target.up = false;
        node.target.crashes += 1;
        for call in node.target.drop_work() {
            self.deliver_later(site, Millis(0), Event::RunEnded(call, RunEnd::Broken));
        }
        self.deliver_later(site, Millis(0), Event::TargetLost);
    }

    /// Starts the target at a site again.
    pub fn restart_target(&mut self, site: Site) {
        self.nodes[site.0].target.up = true;
        self.nodes[site.0].target.started = self.now;
        let life = self.nodes[site.0].life;
        self.schedule(site, self.now, Step::Report { life });
    }

    /// Sends a root request to a node and returns its number.
    pub fn send(&mut self, site: Site, request: Request) -> u64 {
        let root = self.roots.len() as u64;
        self.roots.push((site, self.now, request));
        self.send_root(root);
        root
    }

    fn send_root(&mut self, root: u64) {
        let (site, _, request) = self.roots[root as usize].clone();
        let origin = Origin::Caller { key: request.key.as_deref().map(split_key) };
        let waiter = Waiter::Caller { root };
        self.schedule(site, self.now, Step::Arrive { request, origin, waiter, root });
    }

    /// The caller of a root request hangs up.
    pub fn hang_up(&mut self, root: u64) {
        let Some((site, _, _)) = self.roots.get(root as usize) else { return };
        let site = *site;
        let waiter = Waiter::Caller { root };
        if let Some(call) = self.call_of(site, waiter) {
            self.deliver_later(site, Millis(0), Event::CallerGone(call));
        }
    }

    /// Proposes a change through a node. The answer appears under the ticket.
    pub fn propose(&mut self, site: Site, ticket: u64, proposal: Proposal) {
        self.deliver_later(site, Millis(0), Event::Proposed(ProposalTicket(ticket), proposal));
    }

    /// Hands an event to a node at once.
    pub fn inject(&mut self, site: Site, event: Event) {
        self.deliver_later(site, Millis(0), event);
    }

    /// Lets virtual time pass up to a point.
    pub fn run_until(&mut self, end: Millis) {
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, site, place))) = self.queue.pop() else { break };
            self.free_steps.push(place);
            let Some(step) = self.steps[place].take() else { continue };
            self.now = at;
            self.take(Site(site), step);
        }
        self.now = end;
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, length: Millis) {
        self.run_until(self.now + length);
    }

    /// What the caller of a root request received last, if anything yet.
    pub fn answer_to(&self, root: u64) -> Option<&Received> {
        self.last_received.get(&root).map(|&index| &self.received[index])
    }

    fn world(&self, site: Site, life: u32, data_centre: &str, service: &str) -> World {
        let announcement = Announcement {
            node: node_id(site, life),
            data_centre: data_centre.into(),
            service: service.into(),
            control_address: address(site, life).into(),
            traffic_address: address(site, life).into(),
        };
        let seed = self.seed ^ ((site.0 as u64) << 32) ^ u64::from(life);
        World::new(Identity { announcement }, self.options.clone(), seed)
    }

    fn boot(&mut self, site: Site) {
        let life = self.nodes[site.0].life;
        self.tick_at(site, self.now);
        self.schedule(site, self.now, Step::Report { life });
    }

    fn schedule(&mut self, site: Site, at: Millis, step: Step) {
        self.sequence += 1;
        let place = self.free_steps.pop().unwrap_or_else(|| {
            self.steps.push(None);
            self.steps.len() - 1
        });
        self.steps[place] = Some(step);
        self.queue.push(Reverse((at, self.sequence, site.0, place)));
    }

    fn tick_at(&mut self, site: Site, at: Millis) {
        let node = &mut self.nodes[site.0];
        if at >= node.next_tick {
            return;
        }
        node.next_tick = at;
        let life = node.life;
        self.schedule(site, at, Step::Tick { life });
    }

    fn deliver_later(&mut self, site: Site, delay: Millis, event: Event) {
        let life = self.nodes[site.0].life;
        self.schedule(site, self.now + delay, Step::Deliver { life, event });
    }

    fn take(&mut self, site: Site, step: Step) {
        let node = &mut self.nodes[site.0];
        if node.frozen && !matches!(step, Step::ServiceOver { .. } | Step::ChildOver { .. }) {
            node.held_back.push(step);
            return;
        }
        match step {
            Step::Tick { life } => self.tick(site, life),
            Step::Deliver { life, event } => {
                if self.nodes[site.0].life == life && self.nodes[site.0].up {
                    self.nodes[site.0].pending.push(event);
                    self.tick_at(site, self.now);
                }
            }
            Step::Arrive { request, origin, waiter, root } => {
                self.arrive(site, request, origin, waiter, root);
            }
            Step::Begin { life, run } => self.begin(site, life, run),
            Step::ServiceOver { life, call, run } => self.service_over(site, life, call, run),
            Step::ChildOver { life, parent, run, index, status } => {
                self.child_over(site, life, parent, run, index, status);
            }
            Step::Resend { root } => self.send_root(root),
            Step::RunDeadline { life, call } => self.run_deadline(site, life, call),
            Step::ForwardDeadline { life, call } => self.forward_deadline(site, life, call),
            Step::Report { life } => self.report(site, life),
        }
    }

    fn tick(&mut self, site: Site, life: u32) {
        let now = self.now;
        let node = &mut self.nodes[site.0];
        if node.life != life || !node.up || now < node.next_tick {
            return;
        }
        node.next_tick = Millis::MAX;
        let events = std::mem::take(&mut node.pending);
        let commands = node.world.tick(now, events);
        for command in commands {
            self.carry_out(site, command);
        }
    }

    fn carry_out(&mut self, site: Site, command: Command) {
        let life = self.nodes[site.0].life;
        match command {
            Command::Accepted(ticket, call) => {
                let node = &mut self.nodes[site.0];
                if let Some(held) = node.tickets.remove(&ticket) {
                    node.by_waiter.insert(held.waiter, call);
                    node.calls.insert(call, held);
                }
            }
            Command::ReturnRetries { call, retries } => {
                self.nodes[site.0].leftover.insert(call, retries);
            }
            Command::Reject(ticket, refusal) => {
                if let Some(held) = self.nodes[site.0].tickets.remove(&ticket) {
                    self.answer(site, held.waiter, Verdict::Refuse(refusal), (503, None));
                }
            }
            Command::Run(run) => self.schedule(site, self.now, Step::Begin { life, run }),
            Command::Forward(forward) => self.forward(site, forward),
            Command::Finish(call, verdict) => {
                let node = &mut self.nodes[site.0];
                if let Some(held) = node.calls.remove(&call) {
                    node.by_waiter.remove(&held.waiter);
                    node.forwarded.remove(&call);
                    let status = node.statuses.remove(&call).unwrap_or(200);
                    self.return_retries(site, call, held.waiter);
                    self.answer(site, held.waiter, verdict, (status, held.body));
                }
            }
            Command::Cancel(call) => self.cancel(site, call),
            Command::Send { to, address, message } => self.message(site, to, &address, message),
            Command::Platform(ticket, operation) => self.ask_platform(site, ticket, operation),
            Command::Answer(ticket, answer) => {
                self.answers.insert(ticket.0, answer);
            }
            Command::Publish(pressure) => self.nodes[site.0].pressure = pressure,
            Command::Log(change) => self.log.push((self.now, site, change)),
            Command::CloseIdle => {}
            Command::Exit => {
                let node = &mut self.nodes[site.0];
                node.exited = true;
                node.up = false;
            }
            Command::Wake(at) => {
                if at < Millis::MAX {
                    self.tick_at(site, at.max(self.now + Millis(1)));
                }
            }
        }
    }

    fn arrive(&mut self, site: Site, request: Request, origin: Origin, waiter: Waiter, root: u64) {
        if !self.nodes[site.0].up {
            return self.refuse_connection(site, waiter);
        }
        self.sequence += 1;
        let ticket = request::Ticket(self.sequence);
        let event = Event::Arrived(request::Request {
            ticket,
            origin,
            method: request.method.as_str().into(),
            path: request.path.as_str().into(),
            idempotency_key: request.idempotency_key.as_deref().map(Into::into),
            fingerprint: Fingerprint(request.fingerprint),
            timeout: request.timeout,
        });
        let node = &mut self.nodes[site.0];
        node.tickets.insert(ticket, Held { waiter, root, request, body: None });
        node.pending.push(event);
        self.tick_at(site, self.now);
    }

    /// No process listens at the site: the sender learns that no byte was sent.
    fn refuse_connection(&mut self, site: Site, waiter: Waiter) {
        match waiter {
            Waiter::Node { site: sender, life, call } => {
                if self.nodes[sender.0].life == life {
                    self.nodes[sender.0].forwarded.remove(&call);
                    let event = forward_ended(call, ForwardEnd::NotSent);
                    self.deliver_later(sender, Millis(1), event);
                }
            }
            _ => self.break_off(site, waiter),
        }
    }

    fn break_off(&mut self, site: Site, waiter: Waiter) {
        match waiter {
            Waiter::Caller { root } => self.receive(root, None, None),
            Waiter::Node { site: sender, life, call } => {
                if self.nodes[sender.0].life == life {
                    self.nodes[sender.0].forwarded.remove(&call);
                    let event = forward_ended(call, ForwardEnd::Broken);
                    self.deliver_later(sender, Millis(1), event);
                }
            }
            Waiter::Target { site: target, life, parent, run, index } => {
                let _ = site;
                let step = Step::ChildOver { life, parent, run, index, status: 502 };
                self.schedule(target, self.now, step);
            }
        }
    }

    fn return_retries(&mut self, site: Site, call: CallKey, waiter: Waiter) {
        let Some(retries) = self.nodes[site.0].leftover.remove(&call) else { return };
        let Waiter::Node { site: sender, life, call } = waiter else { return };
        if self.nodes[sender.0].life != life {
            return;
        }
        if let Some(delay) = self.delay(site, sender) {
            self.deliver_later(sender, delay, Event::RetriesReturned { call, retries });
        }
    }

    /// Hands a verdict with the status and the body of a target's answer to who waits for it.
    fn answer(
        &mut self,
        site: Site,
        waiter: Waiter,
        verdict: Verdict,
        (status, body): (u16, Option<Vec<u8>>),
    ) {
        let body = match &verdict {
            Verdict::Pass => body,
            Verdict::Replay(answer) => Some(answer.body.clone()),
            Verdict::Refuse(_) => None,
        };
        match waiter {
            Waiter::Caller { root } if status >= 500 && verdict == Verdict::Pass => {
                self.receive(root, None, None);
            }
            Waiter::Caller { root } => self.receive(root, Some(verdict), body),
            Waiter::Node { site: sender, life, call } => {
                if verdict == Verdict::Pass {
                    self.nodes[sender.0].statuses.insert(call, status);
                }
                let pressure = self.nodes[site.0].pressure;
                let end = match verdict {
                    Verdict::Pass => ForwardEnd::Answered { status },
                    Verdict::Replay(answer) => ForwardEnd::Answered { status: answer.status },
                    Verdict::Refuse(refusal) => ForwardEnd::Refused(refusal),
                };
                let lost = self.network.answer_loss > 0.0
                    && self.rng.random_bool(self.network.answer_loss);
                let delay = self.delay(site, sender).filter(|_| !lost);
                let node = &mut self.nodes[sender.0];
                if delay.is_some()
                    && node.life == life
                    && let Some(held) = node.calls.get_mut(&call)
                {
                    held.body = body;
                }
                let event = match delay {
                    Some(_) => Event::ForwardEnded { call, end, pressure: Some(pressure) },
                    None => forward_ended(call, ForwardEnd::Broken),
                };
                if self.nodes[sender.0].life == life {
                    self.deliver_later(sender, delay.unwrap_or(Millis(100)), event);
                }
            }
            Waiter::Target { site: target, life, parent, run, index } => {
                let status = match verdict {
                    Verdict::Pass => status,
                    Verdict::Replay(answer) => answer.status,
                    Verdict::Refuse(refusal) => refusal.reason.status(),
                };
                let step = Step::ChildOver { life, parent, run, index, status };
                self.schedule(target, self.now, step);
            }
        }
    }

    fn receive(&mut self, root: u64, verdict: Option<Verdict>, body: Option<Vec<u8>>) {
        let Some((site, sent, request)) = self.roots.get_mut(root as usize) else { return };
        let received = Received { root, site: *site, sent: *sent, at: self.now, verdict, body };
        let resend = !received.is_whole() && request.resends > 0;
        request.resends -= u32::from(resend);
        let site = *site;
        self.last_received.insert(root, self.received.len());
        self.received.push(received);
        if resend {
            self.schedule(site, self.now + RESEND_AFTER, Step::Resend { root });
        }
    }

    fn forward(&mut self, site: Site, forward: request::Forward) {
        let life = self.nodes[site.0].life;
        let Some(held) = self.nodes[site.0].calls.get(&forward.call).cloned() else { return };
        let to = self.site_of(&forward.address);
        let delay = to.and_then(|to| self.delay(site, to));
        let (Some(to), Some(delay)) = (to, delay) else {
            let event = forward_ended(forward.call, ForwardEnd::NotSent);
            return self.deliver_later(site, Millis(1), event);
        };
        self.nodes[site.0].forwarded.insert(forward.call, to);
        let waiter = Waiter::Node { site, life, call: forward.call };
        let origin = Origin::Peer(forward.forwarded);
        let mut request = held.request;
        request.timeout = Some(forward.deadline - self.now);
        let step = Step::Arrive { request, origin, waiter, root: held.root };
        self.schedule(to, self.now + delay, step);
        let step = Step::ForwardDeadline { life, call: forward.call };
        self.schedule(site, forward.deadline, step);
    }

    fn forward_deadline(&mut self, site: Site, life: u32, call: CallKey) {
        if self.nodes[site.0].life == life && self.nodes[site.0].forwarded.contains_key(&call) {
            self.cancel(site, call);
        }
    }

    fn run_deadline(&mut self, site: Site, life: u32, call: CallKey) {
        if self.nodes[site.0].life == life && self.nodes[site.0].target.progress.contains_key(&call)
        {
            self.cancel(site, call);
        }
    }

    fn cancel(&mut self, site: Site, call: CallKey) {
        if self.nodes[site.0].target.progress.contains_key(&call) {
            self.nodes[site.0].target.cancel(call);
            self.deliver_later(site, Millis(0), Event::RunEnded(call, RunEnd::Cancelled));
            self.start_waiting(site);
            return;
        }
        let Some(to) = self.nodes[site.0].forwarded.remove(&call) else { return };
        let life = self.nodes[site.0].life;
        let waiter = Waiter::Node { site, life, call };
        let there = self.call_of(to, waiter);
        if let (Some(there), Some(delay)) = (there, self.delay(site, to)) {
            self.deliver_later(to, delay, Event::CallerGone(there));
        }
        self.deliver_later(site, Millis(0), forward_ended(call, ForwardEnd::Cancelled));
    }

    fn call_of(&self, site: Site, waiter: Waiter) -> Option<CallKey> {
        self.nodes[site.0].by_waiter.get(&waiter).copied()
    }

    fn calls_forwarded_to(&self, site: Site) -> Vec<(Site, CallKey)> {
        let mut calls = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            for (&call, &to) in &node.forwarded {
                if to == site {
                    calls.push((Site(index), call));
                }
            }
        }
        calls
    }

    fn begin(&mut self, site: Site, life: u32, run: request::Run) {
        let now = self.now;
        if self.nodes[site.0].life != life || !self.nodes[site.0].up {
            return;
        }
        if now > run.start_by || !self.nodes[site.0].target.up {
            let event = Event::RunEnded(run.call, RunEnd::NotSent);
            return self.deliver_later(site, Millis(0), event);
        }
        let Some(held) = self.nodes[site.0].calls.get(&run.call).cloned() else { return };
        if self.keep_runs {
            self.note_run(site, &held);
        }
        let fingerprint = Fingerprint(held.request.fingerprint);
        if self.nodes[site.0].target.poison.contains(&fingerprint) {
            let event = Event::RunEnded(run.call, RunEnd::Broken);
            self.deliver_later(site, Millis(0), event);
            return self.crash_target(site);
        }
        self.sequence += 1;
        let number = self.sequence;
        let target = &mut self.nodes[site.0].target;
        let resends = target.service.resends;
        let progress = Progress { next_call: 0, open: 0, resends, run: number };
        target.progress.insert(run.call, progress);
        target.waiting.push_back(run.call);
        self.schedule(site, run.deadline, Step::RunDeadline { life, call: run.call });
        self.start_waiting(site);
    }

    fn note_run(&mut self, site: Site, held: &Held) {
        let root = self.roots.get(held.root as usize);
        let key_id = root.and_then(|(_, _, request)| request.key.clone());
        self.ran.push(Ran {
            at: self.now,
            node: self.nodes[site.0].world.identity().node(),
            path: held.request.path.clone(),
            fingerprint: Fingerprint(held.request.fingerprint),
            idempotency_key: held.request.idempotency_key.clone(),
            key_id: key_id.map(|key| split_key(&key).0.to_string()),
            root: held.root,
        });
    }

    fn start_waiting(&mut self, site: Site) {
        loop {
            let node = &mut self.nodes[site.0];
            if node.target.busy.len() >= node.target.service.slots {
                return;
            }
            let Some(call) = node.target.waiting.pop_front() else { return };
            node.target.busy.insert(call);
            let Some(progress) = node.target.progress.get(&call) else { continue };
            let run = progress.run;
            let life = node.life;
            let time = node.target.draw(self.now, &mut self.rng);
            self.schedule(site, self.now + time, Step::ServiceOver { life, call, run });
        }
    }

    fn service_over(&mut self, site: Site, life: u32, call: CallKey, run: u64) {
        if !self.is_running(site, life, call, run) {
            return;
        }
        let target = &self.nodes[site.0].target;
        if let Some(status) = target.failing {
            return self.end_run(site, call, status);
        }
        let calls = target.service.calls.len();
        if calls == 0 {
            return self.end_run(site, call, 200);
        }
        let parallel = self.nodes[site.0].target.service.parallel;
        for index in 0..if parallel { calls } else { 1 } {
            self.call_child(site, call, index);
        }
    }

    fn is_running(&self, site: Site, life: u32, call: CallKey, run: u64) -> bool {
        let node = &self.nodes[site.0];
        node.life == life
            && node.target.progress.get(&call).is_some_and(|progress| progress.run == run)
    }

    /// Makes one of the target's calls.
    fn call_child(&mut self, site: Site, call: CallKey, index: usize) {
        let token = self.token_of(site, call);
        let node = &mut self.nodes[site.0];
        let Some(progress) = node.target.progress.get_mut(&call) else { return };
        let (Some(held), Some(token)) = (node.calls.get(&call), token) else {
            return self.end_run(site, call, 500);
        };
        progress.open += 1;
        let (run, life, root) = (progress.run, node.life, held.root);
        let path = node.target.service.calls[index].clone();
        let parent_fingerprint = held.request.fingerprint.to_string();
        let request = Request {
            method: "GET".to_owned(),
            key: None,
            idempotency_key: held.request.idempotency_key.clone(),
            fingerprint: mustardpin_world::home::hash_of(&[&path, &parent_fingerprint]),
            path,
            ..Request::default()
        };
        let waiter = Waiter::Target { site, life, parent: call, run, index };
        let origin = Origin::Target { token };
        self.schedule(site, self.now, Step::Arrive { request, origin, waiter, root });
    }

    fn token_of(&self, site: Site, call: CallKey) -> Option<CallToken> {
        self.nodes[site.0].world.tables().calls.get(call).map(|call| call.token)
    }

    fn child_over(
        &mut self,
        site: Site,
        life: u32,
        parent: CallKey,
        run: u64,
        index: usize,
        status: u16,
    ) {
        if !self.is_running(site, life, parent, run) {
            return;
        }
        let target = &mut self.nodes[site.0].target;
        let Some(progress) = target.progress.get_mut(&parent) else { return };
        progress.open -= 1;
        if status >= 400 {
            if progress.resends == 0 {
                let status = if matches!(status, 429 | 503 | 504) { 503 } else { 502 };
                return self.end_run(site, parent, status);
            }
            progress.resends -= 1;
            return self.call_child(site, parent, index);
        }
        progress.next_call += 1;
        let next = progress.next_call;
        if next == target.service.calls.len() {
            return self.end_run(site, parent, 200);
        }
        if !target.service.parallel {
            self.call_child(site, parent, next);
        }
    }

    fn end_run(&mut self, site: Site, call: CallKey, status: u16) {
        let node = &mut self.nodes[site.0];
        let progress = node.target.progress.remove(&call);
        node.target.busy.remove(&call);
        let body = format!("run {}", progress.map_or(0, |progress| progress.run)).into_bytes();
        if let Some(held) = node.calls.get_mut(&call) {
            held.body = Some(body.clone());
        }
        if node.calls.contains_key(&call) {
            node.statuses.insert(call, status);
        }
        let answer = Answer { status, headers: Vec::new(), body };
        let end = RunEnd::Answered { status, answer: Some(Arc::new(answer)) };
        self.deliver_later(site, Millis(0), Event::RunEnded(call, end));
        self.start_waiting(site);
    }

    fn report(&mut self, site: Site, life: u32) {
        let node = &self.nodes[site.0];
        if node.life != life || !node.up || !node.target.up {
            return;
        }
        let report = TargetReport {
            slots: Some(node.target.service.slots as u32),
            healthy: true,
            draining: node.target.draining,
            running: Some(node.target.busy.len() as u32),
        };
        let report = self.nodes[site.0].target.say(self.now, report, &mut self.rng);
        self.deliver_later(site, Millis(0), Event::Target(report));
        self.schedule(site, self.now + REPORT_PERIOD, Step::Report { life });
    }

    fn message(&mut self, site: Site, to: NodeId, address: &str, message: Message) {
        self.messages += 1;
        self.message_bytes += size::of(&message);
        let receiver = self.site_of(address).filter(|&receiver| {
            self.nodes[receiver.0].up && self.nodes[receiver.0].world.identity().node() == to
        });
        let delay = receiver.and_then(|receiver| self.delay(site, receiver));
        let (Some(receiver), Some(delay)) = (receiver, delay) else {
            return self.deliver_later(site, Millis(500), Event::Undelivered { to });
        };
        if self.network.loss > 0.0 && self.rng.random_bool(self.network.loss) {
            return;
        }
        let jitter = match self.network.jitter.0 {
            0 => Millis(0),
            jitter => Millis(self.rng.random_range(0..=jitter)),
        };
        let is_remote = self.nodes[receiver.0].data_centre != self.nodes[site.0].data_centre;
        if is_remote && self.network.lose.is_some_and(|is_lost| is_lost(&message)) {
            return;
        }
        let from = self.nodes[site.0].world.identity().node();
        self.deliver_later(receiver, delay + jitter, Event::Peer { from, message });
    }

    fn ask_platform(
        &mut self,
        site: Site,
        ticket: platform::Ticket,
        operation: platform::Operation,
    ) {
        let delay = self.network.to_platform(&self.nodes[site.0].data_centre);
        let (reply, delay) = match delay {
            None => (platform::Reply::Failed, Millis(1_000)),
            Some(delay) => (self.platform.apply(operation), delay + delay),
        };
        self.deliver_later(site, delay, Event::Platform(ticket, reply));
    }

    fn delay(&self, one: Site, other: Site) -> Option<Millis> {
        if self.network.is_isolated(one.0) || self.network.is_isolated(other.0) {
            return None;
        }
        self.network.between(&self.nodes[one.0].data_centre, &self.nodes[other.0].data_centre)
    }

    fn site_of(&self, address: &str) -> Option<Site> {
        let site: usize = address.split(':').next()?.parse().ok()?;
        (site < self.nodes.len()
            && self.nodes[site].world.identity().announcement.control_address == address)
            .then_some(Site(site))
    }
}

fn forward_ended(call: CallKey, end: ForwardEnd) -> Event {
    Event::ForwardEnded { call, end, pressure: None }
}

fn node_id(site: Site, life: u32) -> NodeId {
    NodeId(((life as u64) << 32) + site.0 as u64 + 1)
}

fn address(site: Site, life: u32) -> String {
    format!("{}:{life}", site.0)
}

fn split_key(key: &str) -> (compact_str::CompactString, KeyDigest) {
    let id = key.split('.').next().unwrap_or(key);
    (id.into(), KeyDigest::of(key))
}
