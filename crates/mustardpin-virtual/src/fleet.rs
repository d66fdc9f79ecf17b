//! The fleet: worlds, the events under way between them, and the history.

mod call;
mod caller;
mod link;
mod message;
mod run;
mod step;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use mustardpin_world::{
    Event, Identity, Millis, Options, World, config,
    event::{Proposal, ProposalTicket},
    id::{KeyDigest, NodeId, Revision},
    log::Entry,
    request::{self, ForwardEnd, Load, Origin, RunEnd, Ticket, Verdict},
    store::{self, Announcement},
};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use crate::{
    fleet::link::Link,
    network::Network,
    platform::{Platform, Waiting},
    target::{RunRecord, Service, Target},
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
    /// A node that passed it on.
    Node { site: Site, life: u32, ticket: Ticket },
    /// A target that made a call in the course of another.
    Target { site: Site, life: u32, parent: Ticket, run: u64, index: usize },
}

/// The answer of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Answer {
    status: u16,
    body: Vec<u8>,
}

/// A request on its way, with what the history needs to know of it.
#[derive(Debug, Clone)]
struct Parcel {
    request: Request,
    origin: Origin,
    waiter: Waiter,
    root: u64,
}

/// A request that a node has.
#[derive(Debug, Clone)]
struct Held {
    waiter: Waiter,
    root: u64,
    request: Request,
    /// The answer of a target that waits for the node's word.
    answer: Option<Answer>,
}

/// What a node says of a request to who waits for it.
#[derive(Debug, Clone)]
enum Word {
    Answered(Answer),
    Refused(Verdict),
}

#[derive(Debug)]
enum Step {
    Tick { life: u32 },
    Deliver { life: u32, event: Event },
    Arrive { parcel: Parcel },
    Pass { life: u32, to: NodeId, parcel: Parcel },
    Return { to: Site, life: u32, ticket: Ticket, word: Word, retries: u32 },
    Begin { life: u32, run: request::Run },
    ServiceOver { life: u32, ticket: Ticket, run: u64 },
    ChildOver { life: u32, parent: Ticket, run: u64, index: usize, status: u16 },
    RunDeadline { life: u32, ticket: Ticket },
    ForwardDeadline { life: u32, ticket: Ticket },
    Report { life: u32 },
    Resend { root: u64 },
    Connect { life: u32, to: NodeId },
    Watch { life: u32 },
    StoreWatchOver { life: u32, ticket: store::Ticket },
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
    ready: bool,
    pending: Vec<Event>,
    load: Load,
    links: BTreeMap<NodeId, Link>,
    /// When the next tick is due; later ticks in the queue are stale.
    next_tick: Millis,
    requests: BTreeMap<Ticket, Held>,
    by_waiter: HashMap<Waiter, Ticket>,
    /// Requests passed on, and to whom.
    forwarded: BTreeMap<Ticket, NodeId>,
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
    pub ran: Vec<RunRecord>,
    /// What callers received, in order.
    pub received: Vec<Received>,
    /// What operators were answered.
    pub proposal_replies: BTreeMap<u64, Result<Revision, config::ChangeError>>,
    /// Log lines of nodes that are not about a request.
    pub log: Vec<(Millis, Site, Entry)>,
    /// Messages sent between worlds.
    pub messages: u64,
    /// The bytes that they took on the network, with the headers of the network's protocols.
    pub message_bytes: u64,
    nodes: Vec<Node>,
    /// Whether [`Fleet::ran`] is written.
    pub record_runs: bool,
    roots: Vec<(Site, Millis, Request)>,
    last_received: HashMap<u64, usize>,
    by_node: HashMap<NodeId, Site>,
    waiting: Vec<(Site, u32, store::Ticket, Waiting)>,
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
            proposal_replies: BTreeMap::new(),
            log: Vec::new(),
            messages: 0,
            message_bytes: 0,
            nodes: Vec::new(),
            record_runs: true,
            roots: Vec::new(),
            last_received: HashMap::new(),
            by_node: HashMap::new(),
            waiting: Vec::new(),
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
            ready: false,
            pending: Vec::new(),
            load: Load::default(),
            links: BTreeMap::new(),
            next_tick: Millis::MAX,
            requests: BTreeMap::new(),
            by_waiter: HashMap::new(),
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

    /// Whether the node at a site says that it is ready for callers.
    pub fn is_ready(&self, site: Site) -> bool {
        self.nodes[site.0].up && self.nodes[site.0].ready
    }

    /// Ends a node's process at once. Its target stays.
    pub fn kill(&mut self, site: Site) {
        let node = &mut self.nodes[site.0];
        node.up = false;
        node.ready = false;
        self.end_life(site);
    }

    /// What a process held is gone with it.
    fn end_life(&mut self, site: Site) {
        let node = &mut self.nodes[site.0];
        node.life += 1;
        node.next_tick = Millis::MAX;
        node.target.drop_work();
        node.by_waiter.clear();
        node.pending.clear();
        node.held_back.clear();
        node.forwarded.clear();
        node.links.clear();
        let held = std::mem::take(&mut node.requests);
        for held in held.into_values() {
            self.break_off(held.waiter);
        }
        self.end_links_to(site);
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
        node.load = Load::default();
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
        for ticket in node.target.drop_work() {
            self.deliver_later(site, Millis(0), Event::RunEnded(ticket, RunEnd::Broken));
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
        let origin = Origin::Caller { key: request.key.as_deref().map(KeyDigest::of) };
        let waiter = Waiter::Caller { root };
        let parcel = Parcel { request, origin, waiter, root };
        self.schedule(site, self.now, Step::Arrive { parcel });
    }

    /// The caller of a root request hangs up.
    pub fn hang_up(&mut self, root: u64) {
        let Some((site, _, _)) = self.roots.get(root as usize) else { return };
        let site = *site;
        if let Some(ticket) = self.ticket_of(site, Waiter::Caller { root }) {
            self.deliver_later(site, Millis(0), Event::CallerGone(ticket));
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

    /// Tells a node of another, as the addresses in its settings do.
    pub fn introduce(&mut self, site: Site, to: Site) {
        let peer = self.nodes[to.0].world.identity().announcement.clone();
        self.deliver_later(site, Millis(1), Event::PeerSeen(peer));
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
    pub fn response_to(&self, root: u64) -> Option<&Received> {
        self.last_received.get(&root).map(|&index| &self.received[index])
    }

    /// A number that was not given before.
    fn next_number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn world(&mut self, site: Site, life: u32, data_centre: &str, service: &str) -> World {
        let node = node_id(site, life);
        let announcement = Announcement {
            node,
            name: format!("{data_centre}-{}", site.0).into(),
            data_centre: data_centre.into(),
            service: service.into(),
            address: format!("127.0.0.1:{}", site.0 + 1).into(),
        };
        self.by_node.insert(node, site);
        let seed = self.seed ^ ((site.0 as u64) << 32) ^ u64::from(life);
        World::new(Identity { announcement }, self.options.clone(), seed)
    }

    fn boot(&mut self, site: Site) {
        let life = self.nodes[site.0].life;
        self.tick_at(site, self.now);
        self.schedule(site, self.now, Step::Report { life });
        self.schedule(site, self.now + link::WATCH_PERIOD, Step::Watch { life });
    }
}

fn forward_ended(ticket: Ticket, end: ForwardEnd) -> Event {
    Event::ForwardEnded { ticket, end, retries: 0 }
}

fn node_id(site: Site, life: u32) -> NodeId {
    NodeId((u64::from(life) << 32) + site.0 as u64 + 1)
}
