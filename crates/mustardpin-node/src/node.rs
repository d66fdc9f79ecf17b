//! Starts a node and shuts it down.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
    time::Duration,
};

use compact_str::ToCompactString as _;
use derive_more::{Display, Error, From};
use mustardpin_world::{
    Event, Millis, World,
    id::NodeId,
    log::{Entry, Level},
    store::Announcement,
};
use tokio::{
    net::TcpListener,
    runtime,
    signal::unix::{Signal, SignalKind, signal},
    sync::oneshot,
    time,
};
use tokio_util::task::TaskTracker;

use crate::{
    admin,
    clock::{BootClock, Clock as _},
    control::{self, Handle, Interfaces},
    launch::{Addresses, Launch, Limits},
    log, metrics,
    reload::SettingsWatcher,
    server,
    traffic::{self, Credentials, Dispatcher, Exchanges, ListenerKind, Setup, Stage},
};

/// The size of the stack of a traffic thread, in bytes.
const STACK_BYTES: usize = 1024 * 1024;

/// Why a node did not start.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Error {
    /// A thread or a signal handler could not be created.
    #[display("cannot start the node's threads")]
    Threads(io::Error),
    /// Listening on an address failed.
    #[display("cannot listen on {address} for {side}")]
    #[from(skip)]
    Listen {
        /// What the address is for.
        side: &'static str,
        /// The address that the node tried to listen on.
        address: SocketAddr,
        /// The I/O error of the operating system.
        source: io::Error,
    },
    /// The log could not be opened.
    #[display("cannot open the log")]
    Log(log::Error),
}

/// A running node.
pub struct Node {
    addresses: Addresses,
    announcement: Announcement,
    control: Handle,
    control_thread: JoinHandle<()>,
    traffic_thread: JoinHandle<()>,
    /// Dropping this sender ends the traffic threads.
    traffic: oneshot::Sender<()>,
    /// Receives one message when the node has drained and its connections have ended.
    finished: mpsc::Receiver<()>,
    runtime: runtime::Handle,
}

/// Runs a node until a signal has stopped it and it has finished every request.
///
/// # Errors
///
/// If the node could not start.
pub fn run(launch: Launch) -> Result<(), Error> {
    let runtime = build_runtime(&launch.limits)?;
    // Installed before the node listens, so that an early signal does not kill it.
    let signals = StopSignals::install(&runtime)?;
    let node = Node::start_on(runtime, launch)?;
    node.runtime.spawn(signals.stop_node(node.control.clone()));
    node.wait();
    Ok(())
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// If listening on an address fails, or a thread cannot be created.
    pub fn start(launch: Launch) -> Result<Node, Error> {
        let runtime = build_runtime(&launch.limits)?;
        Node::start_on(runtime, launch)
    }

    fn start_on(runtime: runtime::Runtime, launch: Launch) -> Result<Node, Error> {
        let handle = runtime.handle().clone();
        let _guard = handle.enter();
        let (control, inputs) = Handle::channel();
        let watcher = match launch.settings_file {
            Some(file) => Some(SettingsWatcher::new(file, control.clone())?),
            None => None,
        };
        let mut listeners = runtime.block_on(Listeners::open(&launch.addresses))?;
        let addresses = listeners.addresses()?;
        let announcement = Announcement {
            node: NodeId(rand::random::<u64>().max(1)),
            name: launch.name.clone(),
            data_centre: launch.data_centre.clone(),
            service: launch.service.clone(),
            address: addresses.announced.unwrap_or(addresses.peers).to_compact_string(),
        };
        let clock = Arc::new(BootClock::start());
        let exchanges = Exchanges::new(Setup {
            control: control.clone(),
            clock: Arc::clone(&clock) as _,
            limits: launch.limits,
            dialect: launch.dialect,
            service: launch.service,
            credentials: Credentials {
                announcement: announcement.clone(),
                fleet: launch.fleet_credential,
            },
        });
        let (dispatcher, dispatching) = Dispatcher::new(Arc::clone(&exchanges));
        let interfaces = Interfaces {
            clock: Arc::clone(&clock) as _,
            store: (launch.store)(control.clone()),
            traffic: Box::new(dispatcher),
            log: Box::new(log::Log::open(launch.log, log::Output::Standard)?),
        };
        let identity = mustardpin_world::Identity { announcement: announcement.clone() };
        let world = World::new(identity, launch.options, rand::random());
        let control_thread = control::spawn(world, interfaces, inputs)?;
        handle.spawn(dispatching);
        handle.spawn(Arc::clone(&exchanges).send_events());
        handle.spawn(Arc::clone(&exchanges).send_lag_probes());
        for &seed in &launch.seeds {
            handle.spawn(traffic::discover(Arc::clone(&exchanges), seed));
        }
        let connections = TaskTracker::new();
        if let Some(listener) = listeners.admin.take() {
            let bridge = admin::Bridge::new(control.clone(), Arc::clone(&clock) as _);
            let service = admin::AdminService::new(launch.operator_credential, Arc::new(bridge));
            handle.spawn(server::serve(listener, Arc::new(service), server::Limits::default()));
        }
        if let Some(listener) = listeners.metrics.take() {
            let metrics_service =
                metrics::MetricsService::new(control.clone(), Arc::clone(&clock) as _);
            handle.spawn(server::serve(
                listener,
                Arc::new(metrics_service),
                server::Limits::default(),
            ));
        }
        if let Some(watcher) = watcher {
            handle.spawn(watcher.run());
        }
        listeners.serve(&exchanges, &connections);
        let (finished_sender, finished) = mpsc::channel();
        let shutdown = Shutdown {
            exchanges,
            connections,
            limits: launch.limits,
            clock,
            control: control.clone(),
        };
        handle.spawn(shutdown.run(finished_sender));
        let (traffic, stop_receiver) = oneshot::channel::<()>();
        let traffic_thread = thread::Builder::new()
            .name("traffic".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                // Returns when `Node::traffic` is dropped.
                let _ = runtime.block_on(stop_receiver);
                runtime.shutdown_background();
            })?;
        Ok(Node {
            addresses,
            announcement,
            control,
            control_thread,
            traffic_thread,
            traffic,
            finished,
            runtime: handle,
        })
    }

    /// Returns the addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the node's announcement to other nodes.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns the handle to the control thread.
    pub fn control(&self) -> &Handle {
        &self.control
    }

    /// Starts a graceful shutdown, as SIGTERM does.
    pub fn stop(&self) {
        self.control.event(Event::Stop);
    }

    /// Waits until the node has shut down: no request is in progress, and all connections have
    /// ended or the grace time is over.
    pub fn wait(self) {
        // Fails only if the traffic threads have already ended.
        let _ = self.finished.recv();
        self.kill();
    }

    /// Ends the node immediately, as a crash would.
    pub fn kill(self) {
        self.control.halt();
        drop(self.traffic);
        // A thread that panicked has already reported it.
        let _ = self.traffic_thread.join();
        let _ = self.control_thread.join();
    }
}

/// The signals that stop a node.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers of the signals.
    fn install(runtime: &runtime::Runtime) -> io::Result<StopSignals> {
        let _guard = runtime.enter();
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Stops the node at each signal.
    async fn stop_node(mut self, control: Handle) {
        loop {
            let received = tokio::select! {
                received = self.terminate.recv() => received,
                received = self.interrupt.recv() => received,
            };
            if received.is_none() {
                return;
            }
            control.event(Event::Stop);
        }
    }
}

/// Builds the runtime of the traffic threads: single-threaded for one thread, else multi-threaded.
fn build_runtime(limits: &Limits) -> io::Result<runtime::Runtime> {
    let mut builder = match limits.traffic_threads {
        0 | 1 => runtime::Builder::new_current_thread(),
        _ => runtime::Builder::new_multi_thread(),
    };
    builder
        .worker_threads(limits.traffic_threads.max(1))
        .thread_name("traffic")
        .thread_stack_size(STACK_BYTES)
        .enable_all()
        .build()
}

/// The end of a draining node.
struct Shutdown {
    exchanges: Arc<Exchanges>,
    connections: TaskTracker,
    limits: Limits,
    clock: Arc<BootClock>,
    control: Handle,
}

impl Shutdown {
    /// Waits until the node has finished all requests, and then for connections to end.
    async fn run(self, finished: mpsc::Sender<()>) {
        let mut stage = self.exchanges.stage();
        // Fails only if `exchanges` is dropped, which this task holds.
        let _ = stage.wait_for(|stage| *stage != Stage::Serving).await;
        let min_drain_time = time::sleep(self.limits.drain_idle_timeout);
        let exiting = stage.wait_for(|stage| stage.is_exiting()).await.map(|stage| *stage);
        let left = match exiting {
            Ok(Stage::Exiting { by }) => by - self.clock.now(),
            _ => Millis::ZERO,
        };
        let all_ended = async {
            min_drain_time.await;
            self.connections.close();
            self.connections.wait().await;
        };
        if time::timeout(Duration::from_millis(left.0), all_ended).await.is_err() {
            let count = self.connections.len();
            let entry = Entry::new(Level::Warn, "connections_aborted").with("count", count);
            self.control.write_log(entry);
        }
        // Fails if the `Node` was dropped.
        let _ = finished.send(());
    }
}

struct Listeners {
    callers: TcpListener,
    local: Option<TcpListener>,
    reports: Option<TcpListener>,
    readiness: Option<TcpListener>,
    peers: TcpListener,
    announced: Option<SocketAddr>,
    admin: Option<TcpListener>,
    metrics: Option<TcpListener>,
}

impl Listeners {
    async fn open(addresses: &Addresses) -> Result<Listeners, Error> {
        Ok(Listeners {
            callers: listen("callers", addresses.callers).await?,
            local: listen_if("the local target", addresses.local).await?,
            reports: listen_if("reports of the local target", addresses.reports).await?,
            readiness: listen_if("readiness checks", addresses.readiness).await?,
            peers: listen("peers", addresses.peers).await?,
            announced: addresses.announced,
            admin: listen_if("operators", addresses.admin).await?,
            metrics: listen_if("metrics", addresses.metrics).await?,
        })
    }

    fn addresses(&self) -> io::Result<Addresses> {
        let address = |listener: &Option<TcpListener>| {
            listener.as_ref().map(TcpListener::local_addr).transpose()
        };
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            local: address(&self.local)?,
            reports: address(&self.reports)?,
            readiness: address(&self.readiness)?,
            peers: self.peers.local_addr()?,
            announced: self.announced,
            admin: address(&self.admin)?,
            metrics: address(&self.metrics)?,
        })
    }

    /// Serves connections of callers, targets and peers.
    fn serve(self, exchanges: &Arc<Exchanges>, connections: &TaskTracker) {
        let listeners = [
            (Some(self.callers), ListenerKind::Callers),
            (self.local, ListenerKind::Local),
            (self.reports, ListenerKind::Reports),
            (self.readiness, ListenerKind::Readiness),
            (Some(self.peers), ListenerKind::Peers),
        ];
        for (listener, kind) in listeners {
            let Some(listener) = listener else { continue };
            let (exchanges, connections) = (Arc::clone(exchanges), connections.clone());
            let task = traffic::serve(listener, kind, exchanges, connections.clone());
            connections.spawn(task);
        }
    }
}

async fn listen(side: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { side, address, source })
}

async fn listen_if(
    side: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, Error> {
    match address {
        Some(address) => listen(side, address).await.map(Some),
        None => Ok(None),
    }
}
