//! The parameters that a node starts with.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use compact_str::CompactString;
use mustardpin_settings::{Settings, settings};
use mustardpin_wire::dialect::Dialect;
use mustardpin_world::{Millis, Options, config::CallerLimits, id::KeyDigest};

use crate::{control::Handle, log, store::Store};

/// Creates the client of the platform's store. The client sends replies to the control thread, and
/// runs its tasks on the runtime in whose context the factory is called.
pub type StoreFactory = Box<dyn FnOnce(Handle) -> Box<dyn Store> + Send>;

/// The parameters that a node starts with.
pub struct Launch {
    /// The node name. A process that replaces this one has the same name.
    pub name: CompactString,
    /// The name of the node's data centre.
    pub data_centre: CompactString,
    /// The service that the node's target belongs to.
    pub service: CompactString,
    /// The addresses that the node listens on.
    pub addresses: Addresses,
    /// The digest of the credential that all nodes of the fleet share.
    pub fleet_credential: KeyDigest,
    /// The digest of the credential that operators must present.
    pub operator_credential: KeyDigest,
    /// The dialect that callers and targets use.
    pub dialect: Arc<dyn Dialect>,
    /// Creates the client of the platform's store.
    pub store: StoreFactory,
    /// Addresses of nodes from which this node discovers its peers.
    pub seeds: Vec<SocketAddr>,
    /// Options of the log.
    pub log: log::Options,
    /// The settings file, which is reloaded when it changes.
    pub settings_file: Option<PathBuf>,
    /// The resource limits of the process.
    pub limits: Limits,
    /// Options of the node's decisions.
    pub options: Options,
}

/// The parameters of a node that do not come from the settings.
pub struct Dependencies {
    /// The dialect that callers and targets use.
    pub dialect: Arc<dyn Dialect>,
    /// Creates the client of the platform's store.
    pub store: StoreFactory,
    /// The settings file, which is reloaded when it changes.
    pub settings_file: Option<PathBuf>,
}

impl Launch {
    /// Combines settings and dependencies.
    pub fn new(settings: Settings, dependencies: Dependencies) -> Launch {
        Launch {
            name: settings.name,
            data_centre: settings.data_centre,
            service: settings.service,
            addresses: settings.addresses.into(),
            fleet_credential: KeyDigest::of(&settings.credentials.fleet),
            operator_credential: KeyDigest::of(&settings.credentials.operator),
            dialect: dependencies.dialect,
            store: dependencies.store,
            seeds: settings.seeds,
            log: settings.log.into(),
            settings_file: dependencies.settings_file,
            limits: settings.limits.into(),
            options: settings.options,
        }
    }
}

impl From<settings::Addresses> for Addresses {
    fn from(addresses: settings::Addresses) -> Addresses {
        let settings::Addresses {
            callers,
            local,
            reports,
            readiness,
            peers,
            announced,
            admin,
            metrics,
        } = addresses;
        Addresses { callers, local, reports, readiness, peers, announced, admin, metrics }
    }
}

impl From<settings::Limits> for Limits {
    fn from(limits: settings::Limits) -> Limits {
        let duration = |length: Millis| Duration::from_millis(length.0);
        Limits {
            connections: limits.connections,
            requests: limits.requests,
            header_size: limits.header_size,
            body_size: limits.body_size,
            retry_body_size: limits.replay_size,
            buffered_size: limits.kept_size,
            header_timeout: duration(limits.header_timeout),
            body_timeout: duration(limits.body_timeout),
            idle_timeout: duration(limits.idle_timeout),
            drain_idle_timeout: duration(limits.close_linger),
            traffic_threads: limits.traffic_threads,
        }
    }
}

/// The addresses that a node listens on. Port zero takes any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For HTTP requests from callers.
    pub callers: SocketAddr,
    /// For HTTP requests from the local target: its reports and the calls it makes.
    pub local: Option<SocketAddr>,
    /// For HTTP requests from the local target: its reports only.
    pub reports: Option<SocketAddr>,
    /// For readiness checks.
    pub readiness: Option<SocketAddr>,
    /// For requests and messages from peers.
    pub peers: SocketAddr,
    /// The address at which other nodes reach `peers`, if it differs from `peers`.
    pub announced: Option<SocketAddr>,
    /// For the administration API.
    pub admin: Option<SocketAddr>,
    /// For metrics collectors, which read counters, gauges and histograms.
    pub metrics: Option<SocketAddr>,
}

impl Addresses {
    /// Returns loopback addresses with port zero.
    ///
    /// ```
    /// assert!(mustardpin_node::launch::Addresses::loopback().callers.ip().is_loopback());
    /// ```
    pub fn loopback() -> Addresses {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Addresses {
            callers: any,
            local: Some(any),
            reports: None,
            readiness: Some(any),
            peers: any,
            announced: None,
            admin: Some(any),
            metrics: Some(any),
        }
    }
}

/// The resource limits of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of connections at once, on each port.
    pub connections: usize,
    /// The maximum number of requests in progress.
    pub requests: usize,
    /// The maximum size of a request's headers, in bytes.
    pub header_size: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_size: usize,
    /// The maximum size of a request's body that is buffered for retries, in bytes.
    pub retry_body_size: usize,
    /// The maximum size of all buffered request bodies together, in bytes.
    pub buffered_size: usize,
    /// The timeout for receiving a request's headers.
    pub header_timeout: Duration,
    /// The maximum pause while a request's body is received.
    pub body_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// While the node is draining, the time after which an idle connection is closed.
    pub drain_idle_timeout: Duration,
    /// The number of traffic threads.
    pub traffic_threads: usize,
}

impl Limits {
    /// Returns the limits for callers' requests that hold where the configuration sets none.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let millis = |length: Duration| Millis(length.as_millis() as u64);
        CallerLimits {
            header_size: u32::try_from(self.header_size).unwrap_or(u32::MAX),
            body_size: self.body_size as u64,
            header_timeout: millis(self.header_timeout),
            idle_timeout: millis(self.idle_timeout),
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4_096,
            requests: 2_048,
            header_size: 16 * 1024,
            body_size: 8 * 1024 * 1024,
            retry_body_size: 64 * 1024,
            buffered_size: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            drain_idle_timeout: Duration::from_secs(1),
            traffic_threads: 2,
        }
    }
}
