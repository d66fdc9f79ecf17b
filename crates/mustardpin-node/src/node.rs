//! Starts a node, and lets it end.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
};

use compact_str::ToCompactString as _;
use derive_more::{Display, Error, From};
use mustardpin_world::{Event, World, id::NodeId, store::Announcement};
use tokio::{
    net::TcpListener,
    runtime,
    signal::unix::{SignalKind, signal},
    sync::oneshot,
    time,
};
use tokio_util::task::TaskTracker;

use crate::{
    admin,
    clock::BootClock,
    control::{self, Handle, Interfaces},
    launch::{Addresses, Launch, Limits},
    log, metrics,
    reload::Watch,
    server,
    traffic::{self, Credentials, Dispatcher, Exchanges, ListenerKind, Setup, Stage},
};

/// The size of the stack of a traffic thread, in bytes.
const STACK_BYTES: usize = 1024 * 1024;

/// Why a node did not start.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Error {
    /// A thread or a signal handler could not be had.
    #[display("cannot start the node's threads")]
    Threads(io::Error),
    /// An address could not be listened on.
    #[display("cannot listen on {address} for {side}")]
    #[from(skip)]
    Listen {
        /// What the address is for.
        side: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The log could not be opened.
    #[display("cannot open the log")]
    Log(log::Error),
}

/// A node that runs.
pub struct Node {
    addresses: Addresses,
    announcement: Announcement,
    control: Handle,
    control_thread: JoinHandle<()>,
    traffic_thread: JoinHandle<()>,
    /// Dropping it ends the traffic threads.
    traffic: oneshot::Sender<()>,
    /// Says once that the node has left.
    left: mpsc::Receiver<()>,
    runtime: runtime::Handle,
}

/// Runs a node until it has been asked to stop by a signal and has finished every request.
///
/// # Errors
///
/// If it could not start.
pub fn run(launch: Launch) -> Result<(), Error> {
    let node = Node::start(launch)?;
    node.stop_on_signal()?;
    node.wait();
    Ok(())
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// If an address cannot be listened on, or the machine gives no thread.
    pub fn start(launch: Launch) -> Result<Node, Error> {
        let runtime = runtime_of(&launch.limits)?;
        let handle = runtime.handle().clone();
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
        let (control, inputs) = Handle::channel();
        let board = Exchanges::new(Setup {
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
        let (dispatcher, dispatching) = Dispatcher::new(Arc::clone(&board));
        let _guard = handle.enter();
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
        handle.spawn(Arc::clone(&board).send_events());
        handle.spawn(Arc::clone(&board).send_lag_probes());
        for &seed in &launch.seeds {
            handle.spawn(traffic::discover(Arc::clone(&board), seed));
        }
        let connections = TaskTracker::new();
        if let Some(listener) = listeners.admin.take() {
            let bridge = admin::Bridge::new(control.clone(), Arc::clone(&clock) as _);
            let desk = admin::AdminService::new(launch.operator_credential, Arc::new(bridge));
            handle.spawn(server::serve(listener, Arc::new(desk), server::Limits::default()));
        }
        if let Some(listener) = listeners.metrics.take() {
            let page = metrics::MetricsService::new(control.clone(), clock);
            handle.spawn(server::serve(listener, Arc::new(page), server::Limits::default()));
        }
        if let Some(file) = launch.settings_file {
            handle.spawn(Watch::new(file, control.clone()).run());
        }
        listeners.serve(&board, &connections);
        let (leaving, left) = mpsc::channel();
        handle.spawn(leave(board, connections, launch.limits, leaving));
        let (traffic, ending) = oneshot::channel::<()>();
        let traffic_thread = thread::Builder::new()
            .name("traffic".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                // Ends when the other side is dropped.
                let _ = runtime.block_on(ending);
                runtime.shutdown_background();
            })?;
        Ok(Node {
            addresses,
            announcement,
            control,
            control_thread,
            traffic_thread,
            traffic,
            left,
            runtime: handle,
        })
    }

    /// Where the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// What the node tells others of itself.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// The way to the control thread.
    pub fn control(&self) -> &Handle {
        &self.control
    }

    /// Asks the node to leave, as the signal to terminate does.
    pub fn stop(&self) {
        self.control.event(Event::Stop);
    }

    /// Waits until the node has left: no request is in progress and all connections have ended,
    /// or have been given the time of [`Limits::exit_grace`].
    pub fn wait(self) {
        // Fails only if the traffic threads have ended by themselves.
        let _ = self.left.recv();
        self.kill();
    }

    /// Ends the node at once, as a crash would.
    pub fn kill(self) {
        self.control.halt();
        drop(self.traffic);
        // A thread that panicked has reported so itself.
        let _ = self.traffic_thread.join();
        let _ = self.control_thread.join();
    }

    fn stop_on_signal(&self) -> Result<(), Error> {
        let _guard = self.runtime.enter();
        for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
            let mut signal = signal(kind)?;
            let control = self.control.clone();
            self.runtime.spawn(async move {
                while signal.recv().await.is_some() {
                    control.event(Event::Stop);
                }
            });
        }
        Ok(())
    }
}

/// One thread runs everything by turns; several share the work.
fn runtime_of(limits: &Limits) -> io::Result<runtime::Runtime> {
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

/// Waits until the node has finished, and lets connections end.
async fn leave(
    board: Arc<Exchanges>,
    connections: TaskTracker,
    limits: Limits,
    left: mpsc::Sender<()>,
) {
    let mut stage = board.stage();
    // Fails only if the board is gone, which this task holds.
    let _ = stage.wait_for(|stage| *stage != Stage::Serving).await;
    let linger = time::sleep(limits.drain_idle_timeout);
    let _ = stage.wait_for(|stage| *stage == Stage::Exiting).await;
    linger.await;
    connections.close();
    // What still stalls after this time is cut off.
    let _ = time::timeout(limits.exit_grace, connections.wait()).await;
    // Nobody may be waiting.
    let _ = left.send(());
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
            local: listen_if("the own target", addresses.local).await?,
            reports: listen_if("reports of the own target", addresses.reports).await?,
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
    fn serve(self, board: &Arc<Exchanges>, connections: &TaskTracker) {
        let doors = [
            (Some(self.callers), ListenerKind::Callers),
            (self.local, ListenerKind::Local),
            (self.reports, ListenerKind::Reports),
            (self.readiness, ListenerKind::Readiness),
            (Some(self.peers), ListenerKind::Peers),
        ];
        for (listener, door) in doors {
            let Some(listener) = listener else { continue };
            let (board, connections) = (Arc::clone(board), connections.clone());
            let serving = traffic::serve(listener, door, board, connections.clone());
            connections.spawn(serving);
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
