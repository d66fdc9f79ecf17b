//! Starts a node, and lets it end.

use std::{io, net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration};

use compact_str::ToCompactString as _;
use derive_more::{Display, Error, From};
use mustardpin_world::{Event, World, id::NodeId, platform::Announcement};
use tokio::{
    net::TcpListener,
    runtime::{self, Runtime},
    signal::unix::{SignalKind, signal},
    sync::watch,
    time,
};
use tokio_util::task::TaskTracker;

use crate::{
    admin,
    clock::Monotonic,
    control::{self, Borders, Handle},
    launch::{Addresses, Launch, Limits},
    log, metric, peer,
    platform::Http,
    traffic::{self, Context, Setup, Side, Stage, Stages},
};

/// How long tasks may take to end with the runtime.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

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
    /// Counters cannot be sent.
    #[display("cannot send counters")]
    Metric(metric::Error),
}

/// A node that runs.
pub struct Node {
    addresses: Addresses,
    announcement: Announcement,
    control: Handle,
    stage: watch::Receiver<Stage>,
    connections: TaskTracker,
    limits: Limits,
    runtime: Runtime,
    thread: JoinHandle<()>,
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
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(launch.limits.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let listeners = runtime.block_on(Listeners::open(&launch.addresses))?;
        let addresses = listeners.addresses()?;
        let announcement = Announcement {
            node: NodeId(rand::random::<u64>().max(1)),
            data_centre: launch.data_centre.clone(),
            service: launch.service.clone(),
            control_address: addresses.control.to_compact_string(),
            traffic_address: addresses.traffic.to_compact_string(),
        };
        let identity =
            peer::Identity { node: announcement.node, credential: launch.fleet_credential };
        let clock = Arc::new(Monotonic::start());
        let (control, inputs) = Handle::channel();
        let context = Context::new(Setup {
            control: control.clone(),
            clock: Arc::clone(&clock) as _,
            limits: launch.limits,
            service: launch.service.clone(),
            identity,
        });
        let stages = Stages::new(Arc::clone(&context));
        let stage = stages.subscribe();
        let borders = Borders {
            clock,
            store: Box::new(Http::new(
                launch.platform,
                launch.platform_timeout,
                runtime.handle().clone(),
                control.clone(),
            )),
            link: Box::new(peer::Tarpc::new(identity, runtime.handle().clone(), control.clone())),
            traffic: Box::new(stages),
            journal: Box::new(log::Log::open(launch.log)?),
            meter: metric::Meter::open(launch.statsd)?,
        };
        let world = World::new(
            mustardpin_world::Identity { announcement: announcement.clone() },
            launch.options.clone(),
            rand::random(),
        );
        let thread = control::spawn(world, borders, inputs)?;
        let node = Node {
            addresses,
            announcement,
            control,
            stage,
            connections: TaskTracker::new(),
            limits: launch.limits,
            runtime,
            thread,
        };
        node.spawn_tasks(listeners, &context, identity, &launch);
        Ok(node)
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
        let Node { control, mut stage, connections, limits, runtime, thread, .. } = self;
        runtime.block_on(async {
            // Fails only if the control thread has ended.
            let _ = stage.wait_for(|stage| *stage != Stage::Serving).await;
            let linger = time::sleep(limits.close_linger);
            let _ = stage.wait_for(|stage| *stage == Stage::Exiting).await;
            linger.await;
            connections.close();
            // What still stalls after this time is cut off.
            let _ = time::timeout(limits.exit_grace, connections.wait()).await;
        });
        control.halt();
        // A control thread that panicked has reported so itself.
        let _ = thread.join();
        runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    }

    /// Ends the node at once, as a crash would.
    pub fn kill(self) {
        self.runtime.shutdown_background();
        self.control.halt();
        let _ = self.thread.join();
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

    fn spawn_tasks(
        &self,
        listeners: Listeners,
        context: &Arc<Context>,
        identity: peer::Identity,
        launch: &Launch,
    ) {
        let Listeners { callers, local, control, traffic, admin } = listeners;
        for (listener, side) in
            [(callers, Side::Callers), (local, Side::Local), (traffic, Side::Peers)]
        {
            let serving = traffic::serve(
                listener,
                side,
                Arc::clone(context),
                self.stage.clone(),
                self.connections.clone(),
            );
            self.connections.spawn_on(serving, self.runtime.handle());
        }
        self.runtime.spawn(peer::serve(
            control,
            identity,
            self.announcement.clone(),
            self.control.clone(),
        ));
        let bridge = admin::Bridge::new(self.control.clone(), context.clock());
        let desk = admin::Desk::new(launch.operator_credential, Arc::new(bridge));
        self.runtime.spawn(admin::serve(admin, Arc::new(desk), admin::Limits::default()));
        self.runtime.spawn(Arc::clone(context).watch_target());
        for &seed in &launch.seeds {
            self.runtime.spawn(peer::find(seed, identity, self.control.clone()));
        }
    }
}

struct Listeners {
    callers: TcpListener,
    local: TcpListener,
    control: TcpListener,
    traffic: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    async fn open(addresses: &Addresses) -> Result<Listeners, Error> {
        Ok(Listeners {
            callers: listen("callers", addresses.callers).await?,
            local: listen("the own target", addresses.local).await?,
            control: listen("control messages", addresses.control).await?,
            traffic: listen("forwarded requests", addresses.traffic).await?,
            admin: listen("operators", addresses.admin).await?,
        })
    }

    fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            local: self.local.local_addr()?,
            control: self.control.local_addr()?,
            traffic: self.traffic.local_addr()?,
            admin: self.admin.local_addr()?,
        })
    }
}

async fn listen(side: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { side, address, source })
}
