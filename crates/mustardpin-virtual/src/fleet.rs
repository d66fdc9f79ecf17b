//! The fleet: worlds, the events in transit between them, and the history.

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

use compact_str::CompactString;
use mustardpin_world::{
    Event, Identity, Millis, Options, World, config,
    event::{Proposal, ProposalTicket, ReportTicket, TargetReport},
    id::{KeyDigest, NodeId, Revision},
    log::Entry,
    notice::Notice,
    request::{self, ForwardEnd, Load, Origin, RunEnd, Ticket, Verdict},
    store::{self, Announcement},
};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use crate::{
    fleet::link::Link,
    network::Network,
    platform::{LongPoll, Platform},
    target::{RunRecord, Service, Target},
};

pub use self::caller::{Received, Request};

/// Identifies a node by its index in the order of addition. A restarted node keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Site(pub usize);

/// The sender of a request, which waits for the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Requester {
    /// The caller of a root request.
    Caller { root: u64 },
    /// A node that forwarded the request.
    Node { site: Site, epoch: u32, ticket: Ticket },
    /// A target that makes a call while it runs another request.
    Target { site: Site, epoch: u32, parent: Ticket, run: u64, index: usize },
}

/// The response of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Response {
    status: u16,
    body: Vec<u8>,
}

/// A request in transit to a node, with the number of the root request it belongs to.
#[derive(Debug, Clone)]
struct InboundRequest {
    request: Request,
    origin: Origin,
    requester: Requester,
    root: u64,
}

/// A request in progress at a node.
#[derive(Debug, Clone)]
struct Exchange {
    requester: Requester,
    root: u64,
    request: Request,
    /// The team that the peer which forwarded it has named.
    team: Option<CompactString>,
    /// A response that is kept until the world decides the verdict.
    response: Option<Response>,
}

/// The final response of a node to the sender of a request.
#[derive(Debug, Clone)]
enum FinalResponse {
    Answered(Response),
    Refused(Verdict),
}

/// An action that is due at a point of virtual time. A step with an `epoch` applies only to the
/// process of that epoch.
#[derive(Debug)]
enum Step {
    Tick { epoch: u32 },
    Deliver { epoch: u32, event: Event },
    Arrive { inbound: InboundRequest },
    Disconnect { requester: Requester },
    SendForward { epoch: u32, to: (NodeId, u64), inbound: InboundRequest },
    EndForward { from: Site, requester: Requester },
    ForwardResponse { to: Site, epoch: u32, ticket: Ticket, result: FinalResponse, retries: u32 },
    StartRun { epoch: u32, run: request::Run },
    ServiceDone { epoch: u32, ticket: Ticket, run: u64 },
    ChildDone { epoch: u32, parent: Ticket, run: u64, index: usize, status: u16 },
    RunDeadline { epoch: u32, ticket: Ticket },
    ForwardDeadline { epoch: u32, ticket: Ticket },
    Report { epoch: u32 },
    LateReport { report: TargetReport },
    Resend { root: u64 },
    Connect { epoch: u32, to: NodeId },
    CheckLinks { epoch: u32 },
    LongPollTimeout { epoch: u32, ticket: store::Ticket },
}

#[derive(Debug)]
struct Node {
    world: World,
    data_centre: String,
    target: Target,
    /// Identifies the current process. It increases whenever a process of the node ends.
    epoch: u32,
    up: bool,
    frozen: bool,
    exited: bool,
    ready: bool,
    pending: Vec<Event>,
    load: Load,
    links: BTreeMap<NodeId, Link>,
    /// How many times the world has been ticked.
    ticks: usize,
    /// When the next tick is due; later ticks in the queue are stale.
    next_tick: Millis,
    exchanges: BTreeMap<Ticket, Exchange>,
    by_requester: HashMap<Requester, Ticket>,
    /// Forwarded requests and the peer each was sent to.
    forwarded: BTreeMap<Ticket, NodeId>,
    /// Steps that came due while the process was frozen.
    deferred: Vec<Step>,
}

/// Worlds, fakes and the events in transit between them.
pub struct Fleet {
    /// The current virtual time.
    pub now: Millis,
    /// The network between nodes and to the platform.
    pub network: Network,
    /// The fake platform.
    pub platform: Platform,
    /// The requests that targets started to run, in order.
    pub ran: Vec<RunRecord>,
    /// The responses that callers received, in order.
    pub received: Vec<Received>,
    /// When reports of departures were answered, by report, and whether the departure was recorded.
    pub acknowledged: BTreeMap<ReportTicket, (Millis, bool)>,
    /// The replies to proposals, by ticket.
    pub proposal_replies: BTreeMap<u64, Result<Revision, config::ChangeError>>,
    /// Log entries of nodes, without those about a request.
    pub log: Vec<(Millis, Site, Entry)>,
    /// The number of messages sent between worlds.
    pub messages: u64,
    /// The size in bytes of these messages on the network, TCP/IP headers included.
    pub message_bytes: u64,
    nodes: Vec<Node>,
    /// Whether runs are recorded in [`Fleet::ran`].
    pub record_runs: bool,
    roots: Vec<(Site, Millis, Request)>,
    last_received: HashMap<u64, usize>,
    by_node: HashMap<NodeId, Site>,
    long_polls: Vec<(Site, u32, store::Ticket, LongPoll)>,
    queue: BinaryHeap<Reverse<(Millis, u64, usize, usize)>>,
    /// Steps that the queue refers to by index.
    steps: Vec<Option<Step>>,
    /// Free indices in `steps`.
    free_steps: Vec<usize>,
    sequence: u64,
    options: Options,
    rng: Pcg64Mcg,
    seed: u64,
}

const REPORT_INTERVAL: Millis = Millis(1_000);
/// The time after a failure until a caller sends the request again. Targets send failed calls again
/// at once.
const RESEND_BACKOFF: Millis = Millis(50);

impl Fleet {
    /// Returns an empty fleet. The seed determines everything that is random in it.
    pub fn new(seed: u64, options: Options) -> Fleet {
        Fleet {
            now: Millis(0),
            network: Network::default(),
            platform: Platform::default(),
            ran: Vec::new(),
            received: Vec::new(),
            acknowledged: BTreeMap::new(),
            proposal_replies: BTreeMap::new(),
            log: Vec::new(),
            messages: 0,
            message_bytes: 0,
            nodes: Vec::new(),
            record_runs: true,
            roots: Vec::new(),
            last_received: HashMap::new(),
            by_node: HashMap::new(),
            long_polls: Vec::new(),
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
        let world = self.new_world(site, 0, data_centre, &service.name);
        self.nodes.push(Node {
            world,
            data_centre: data_centre.to_owned(),
            target: Target::new(service),
            epoch: 0,
            up: true,
            frozen: false,
            exited: false,
            ready: false,
            pending: Vec::new(),
            load: Load::default(),
            links: BTreeMap::new(),
            ticks: 0,
            next_tick: Millis::MAX,
            exchanges: BTreeMap::new(),
            by_requester: HashMap::new(),
            forwarded: BTreeMap::new(),
            deferred: Vec::new(),
        });
        self.boot(site);
        site
    }

    /// Returns all sites in the order of addition.
    pub fn sites(&self) -> impl Iterator<Item = Site> + use<> {
        (0..self.nodes.len()).map(Site)
    }

    /// Returns the world at a site.
    pub fn world_at(&self, site: Site) -> &World {
        &self.nodes[site.0].world
    }

    /// Returns the target at a site.
    pub fn target(&mut self, site: Site) -> &mut Target {
        &mut self.nodes[site.0].target
    }

    /// How many times the world at a site has been ticked, whatever its processes.
    pub fn ticks(&self, site: Site) -> usize {
        self.nodes[site.0].ticks
    }

    /// Whether the node at a site has finished its graceful shutdown.
    pub fn has_exited(&self, site: Site) -> bool {
        self.nodes[site.0].exited
    }

    /// Whether the node at a site reports that it is ready for callers.
    pub fn is_ready(&self, site: Site) -> bool {
        self.nodes[site.0].up && self.nodes[site.0].ready
    }

    /// Ends a node's process at once. Its target keeps running, but loses its work.
    pub fn kill(&mut self, site: Site) {
        let node = &mut self.nodes[site.0];
        node.up = false;
        node.ready = false;
        self.end_process(site);
    }

    /// Drops all state of a node's process: its exchanges, connections and events.
    fn end_process(&mut self, site: Site) {
        let node = &mut self.nodes[site.0];
        node.epoch += 1;
        node.next_tick = Millis::MAX;
        node.target.drop_work();
        node.by_requester.clear();
        node.pending.clear();
        node.deferred.clear();
        node.forwarded.clear();
        node.links.clear();
        let held = std::mem::take(&mut node.exchanges);
        for exchange in held.into_values() {
            self.abort(exchange.requester);
        }
        self.end_links_to(site);
    }

    /// Kills a node's process and starts a new one, with a new id and no state. The target at the
    /// site is restarted too.
    pub fn restart(&mut self, site: Site) {
        let now = self.now;
        let target = &mut self.nodes[site.0].target;
        target.started = now;
        target.up = true;
        target.draining = false;
        target.has_deregistered = false;
        target.notice = Notice::default();
        self.restart_node(site);
    }

    /// Kills a node's process and starts a new one, with a new id and no state. The target at the
    /// site runs on, but loses its work.
    pub fn restart_node(&mut self, site: Site) {
        self.kill(site);
        let epoch = self.nodes[site.0].epoch;
        let data_centre = self.nodes[site.0].data_centre.clone();
        let service = self.nodes[site.0].target.service.name.clone();
        let world = self.new_world(site, epoch, &data_centre, &service);
        let node = &mut self.nodes[site.0];
        node.world = world;
        node.up = true;
        node.exited = false;
        node.frozen = false;
        node.load = Load::default();
        self.boot(site);
    }

    /// Suspends a node's process, as SIGSTOP does.
    pub fn freeze(&mut self, site: Site) {
        self.nodes[site.0].frozen = true;
    }

    /// Resumes a suspended process, as SIGCONT does.
    pub fn resume(&mut self, site: Site) {
        let node = &mut self.nodes[site.0];
        node.frozen = false;
        let deferred = std::mem::take(&mut node.deferred);
        let is_tick = |step: &Step| matches!(step, Step::Tick { .. });
        let (ticks, others): (Vec<Step>, Vec<Step>) = deferred.into_iter().partition(is_tick);
        // The first tick gets all events that arrived in the meantime, as in a real process.
        for step in others.into_iter().chain(ticks) {
            self.schedule(site, self.now, step);
        }
    }

    /// Cuts a node off from all other nodes, but not from the platform, until [`Network::heal`].
    pub fn isolate(&mut self, site: Site) {
        self.network.isolate(site.0);
    }

    /// Starts the graceful shutdown of a node, as SIGTERM does.
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
        let target = &mut self.nodes[site.0].target;
        target.up = true;
        target.has_deregistered = false;
        target.started = self.now;
        let epoch = self.nodes[site.0].epoch;
        self.schedule(site, self.now, Step::Report { epoch });
    }

    /// Deregisters the target at a site, which runs on but sends no more reports. The last report
    /// that it sent before arrives this much later, at the process that the node then has.
    pub fn deregister_target(&mut self, site: Site, late: Millis) -> ReportTicket {
        let report = self.next_report(site);
        let target = &mut self.nodes[site.0].target;
        target.has_deregistered = true;
        let (instance, started) = (report.instance.clone(), Some(target.started));
        let ticket = self.report_departure(site, instance, started);
        self.schedule(site, self.now + late, Step::LateReport { report });
        ticket
    }

    /// Reports to a node that a process of its target leaves. The answer is recorded in
    /// [`Fleet::acknowledged`].
    pub fn report_departure(
        &mut self,
        site: Site,
        instance: CompactString,
        started: Option<Millis>,
    ) -> ReportTicket {
        let report = ReportTicket(self.next_number());
        let event = Event::TargetLeft { instance, started, report: Some(report) };
        self.deliver_later(site, Millis(0), event);
        report
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
        let requester = Requester::Caller { root };
        let inbound = InboundRequest { request, origin, requester, root };
        self.schedule(site, self.now, Step::Arrive { inbound });
    }

    /// Disconnects the caller of a root request.
    pub fn disconnect_caller(&mut self, root: u64) {
        let Some((site, _, _)) = self.roots.get(root as usize) else { return };
        let (site, requester) = (*site, Requester::Caller { root });
        self.schedule(site, self.now, Step::Disconnect { requester });
    }

    /// Proposes a change through a node. The reply is stored in [`Fleet::proposal_replies`] under
    /// the ticket.
    pub fn propose(&mut self, site: Site, ticket: u64, proposal: Proposal) {
        self.deliver_later(site, Millis(0), Event::Proposed(ProposalTicket(ticket), proposal));
    }

    /// Delivers an event to a node at once.
    pub fn inject(&mut self, site: Site, event: Event) {
        self.deliver_later(site, Millis(0), event);
    }

    /// Announces another node to a node, as the addresses in its settings do.
    pub fn introduce(&mut self, site: Site, to: Site) {
        let peer = self.nodes[to.0].world.identity().announcement.clone();
        self.deliver_later(site, Millis(1), Event::PeerSeen(peer));
    }

    /// Runs all steps that are due up to a point of virtual time.
    pub fn run_until(&mut self, end: Millis) {
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, site, slot))) = self.queue.pop() else { break };
            self.free_steps.push(slot);
            let Some(step) = self.steps[slot].take() else { continue };
            self.now = at;
            self.run_step(Site(site), step);
        }
        self.now = end;
    }

    /// Runs all steps that are due within a length of virtual time.
    pub fn run_for(&mut self, length: Millis) {
        self.run_until(self.now + length);
    }

    /// Returns what the caller of a root request received last, if anything.
    pub fn response_to(&self, root: u64) -> Option<&Received> {
        self.last_received.get(&root).map(|&index| &self.received[index])
    }

    /// Returns a number that is unique in this fleet.
    fn next_number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn new_world(&mut self, site: Site, epoch: u32, data_centre: &str, service: &str) -> World {
        let node = node_id(site, epoch);
        let announcement = Announcement {
            node,
            name: format!("{data_centre}-{}", site.0).into(),
            data_centre: data_centre.into(),
            service: service.into(),
            address: format!("127.0.0.1:{}", site.0 + 1).into(),
        };
        self.by_node.insert(node, site);
        let seed = self.seed ^ ((site.0 as u64) << 32) ^ u64::from(epoch);
        World::new(Identity { announcement }, self.options.clone(), seed)
    }

    fn boot(&mut self, site: Site) {
        let epoch = self.nodes[site.0].epoch;
        self.tick_at(site, self.now);
        self.schedule(site, self.now, Step::Report { epoch });
        self.schedule(site, self.now + link::LINK_CHECK_INTERVAL, Step::CheckLinks { epoch });
    }
}

fn forward_ended(ticket: Ticket, end: ForwardEnd) -> Event {
    Event::ForwardEnded { ticket, end, retries: 0 }
}

fn node_id(site: Site, epoch: u32) -> NodeId {
    NodeId((u64::from(epoch) << 32) + site.0 as u64 + 1)
}
