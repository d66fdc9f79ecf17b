//! The fleet: worlds, the events under way between them, and the history.

mod call;
mod caller;
mod link;
mod run;
mod step;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use mustardpin_world::{
    Event, Identity, Millis, Options, World,
    command::Change,
    config,
    event::{Proposal, ProposalTicket},
    id::{CallKey, KeyDigest, NodeId, Revision},
    platform::Announcement,
    request::{self, ForwardEnd, Origin, Pressure, RunEnd},
};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use crate::{
    network::Network,
    platform::Platform,
    target::{Ran, Service, Target},
};

pub use self::caller::{Received, Request};

/// Names a place for a node: its index in the order of addition. A restarted node keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Site(pub usize);

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
