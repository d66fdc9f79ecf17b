//! A fleet of nodes in this process, with one platform, and one target for each node.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use mustardpin_node::{
    Launch, Node,
    launch::{Addresses, Limits},
    log,
};
use mustardpin_wire::native::Native;
use mustardpin_world::{
    Millis, Options, World,
    config::{self, Importance},
    id::KeyDigest,
    log::Level,
    options::{Roster, Shedding, Stop},
};
use tokio::runtime::Runtime;

use super::{
    Platform,
    caller::call,
    target::{Script, Target},
};

/// The key of the fleet's only team.
pub const KEY: &str = "garage-1.s3cret-text";

/// Returns the start parameters of a node of the fleet.
pub fn launch(name: &str, service: &str, platform: &Platform) -> Launch {
    let platform = platform.clone();
    Launch {
        name: name.into(),
        data_centre: "north".into(),
        service: service.into(),
        addresses: Addresses::loopback(),
        fleet_credential: KeyDigest::of("fleet"),
        operator_credential: KeyDigest::of("operator"),
        dialect: Arc::new(Native::new(service)),
        store: Box::new(move |control| platform.client(control)),
        seeds: Vec::new(),
        log: log::Options { level: Level::Error, ..log::Options::default() },
        settings_file: None,
        limits: Limits { drain_idle_timeout: Duration::from_millis(200), ..Limits::default() },
        options: Options {
            roster: Roster { patience: Millis(200), spread: Millis::ZERO },
            stop: Stop { stay: Millis::ZERO, ..Stop::default() },
            // A node that lags on a busy machine would refuse some of the requests.
            shedding: Shedding { early_refusal: false, ..Shedding::default() },
            ..Options::default()
        },
    }
}

/// A fleet that is killed when it is dropped.
pub struct Fleet {
    pub runtime: Runtime,
    pub platform: Platform,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    announcing: Arc<AtomicBool>,
}

impl Fleet {
    /// Starts a node with a target for each service and script, and waits until all are ready.
    pub fn start(services: &[(&str, Script)]) -> Fleet {
        Fleet::start_with(services, |launch| launch)
    }

    /// Like `start`, with changes to the start parameters of the nodes.
    pub fn start_with(services: &[(&str, Script)], change: impl Fn(Launch) -> Launch) -> Fleet {
        let runtime = Runtime::new().expect("the runtime starts");
        let platform = Platform::new(rows());
        let mut fleet = Fleet {
            runtime,
            platform,
            nodes: Vec::new(),
            targets: Vec::new(),
            announcing: Arc::new(AtomicBool::new(true)),
        };
        for (index, (service, script)) in services.iter().enumerate() {
            let launch = launch(&format!("node-{index}"), service, &fleet.platform);
            let node = Node::start(change(launch)).expect("the node starts");
            let target = Target::start(Arc::clone(script));
            let local = node.addresses().local.expect("the node listens for its target");
            fleet.announce(local, target.address, service);
            fleet.nodes.push(node);
            fleet.targets.push(target);
        }
        fleet.wait_until_ready();
        fleet
    }

    /// Returns the address at which a node accepts requests from callers.
    pub fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].addresses().callers
    }

    /// Stops the announcements of all targets.
    pub fn stop_announcing(&self) {
        self.announcing.store(false, Ordering::Relaxed);
    }

    fn announce(&self, node: SocketAddr, target: SocketAddr, service: &str) {
        let body = format!(r#"{{"address":"{target}","service":"{service}","healthy":true}}"#);
        let announcing = Arc::clone(&self.announcing);
        thread::spawn(move || {
            while announcing.load(Ordering::Relaxed) {
                if std::net::TcpStream::connect(node).is_err() {
                    return;
                }
                call(node, "POST /target/announce", &[], &body);
                thread::sleep(Duration::from_millis(500));
            }
        });
    }

    /// Describes what a node knows.
    fn describe(&self, node: &Node) -> String {
        let describe = |world: &World| {
            let tables = world.tables();
            let peers = tables.peers.iter().map(|(_, peer)| {
                let name = &peer.announcement.name;
                format!("{name} {} {:?} {:?}", peer.link.name(), peer.row, peer.load)
            });
            format!(
                "{} revision {}, target open {}, roster of {} at {}, peers {:?}, leaving {}",
                world.identity().name(),
                tables.configuration.revision,
                tables.target.is_open(),
                tables.roster.members.len(),
                tables.roster.version,
                peers.collect::<Vec<_>>(),
                tables.leaving,
            )
        };
        self.runtime.block_on(node.control().report(describe)).expect("the node runs")
    }

    /// Waits until every node has its configuration and can reach its target and all peers.
    fn wait_until_ready(&self) {
        let start = Instant::now();
        let peers = self.nodes.len() - 1;
        for node in &self.nodes {
            let is_ready = move |world: &World| {
                let tables = world.tables();
                let open = tables.peers.iter().filter(|(_, peer)| peer.is_open()).count();
                let knows_peers = tables.roster.members.len() == peers + 1 && open == peers;
                tables.configuration.revision.0 > 0 && tables.target.is_open() && knows_peers
            };
            let report = || self.runtime.block_on(node.control().report(is_ready));
            while !report().expect("the node runs") {
                if start.elapsed() >= Duration::from_secs(10) {
                    panic!("the fleet is not ready: {}", self.describe(node));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        for target in &self.targets {
            target.clear_seen();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop_announcing();
        for node in self.nodes.drain(..) {
            node.kill();
        }
    }
}

fn route(name: &str, service: &str, prefix: &str) -> config::Route {
    let route = config::Route::new(name, prefix, service, Millis::from_secs(3));
    config::Route { repeatable: true, ..route }
}

fn rows() -> Vec<config::Row> {
    let (name, importance) = ("garages".into(), Importance::default());
    let team = config::Team { name, rate: 100_000, burst: 10_000, weight: 1, importance };
    let key = config::Key {
        id: "garage-1".into(),
        team: "garages".into(),
        digest: KeyDigest::of(KEY),
        withdrawn: false,
    };
    vec![
        config::Row::Fleet(config::Fleet::default()),
        config::Row::Team(team),
        config::Row::Key(key),
        config::Row::Route(route("slots", "slots", "/")),
        config::Row::Route(config::Route { open: true, ..route("open", "slots", "/open") }),
        config::Row::Route(config::Route {
            repeatable: false,
            ..route("book", "slots", "/bookings")
        }),
        config::Row::Route(route("ledger", "ledger", "/ledger")),
    ]
}
