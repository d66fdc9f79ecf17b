//! What a node needs to know to start.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use compact_str::CompactString;
use mustardpin_settings::{Settings, settings};
use mustardpin_wire::dialect::Dialect;
use mustardpin_world::{Millis, Options, config::Callers, id::KeyDigest};

use crate::{control::Handle, log, store::Store};

/// Makes the client to the platform's store. Replies go to the control thread; what has to wait
/// runs on the runtime that it is called in.
pub type StoreFactory = Box<dyn FnOnce(Handle) -> Box<dyn Store> + Send>;

/// Everything a node is told when it starts.
pub struct Launch {
    /// The name of the place that the process runs in. A process that takes its place has the same
    /// name.
    pub name: CompactString,
    /// The name of the node's data centre.
    pub data_centre: CompactString,
    /// The service that the node's target belongs to.
    pub service: CompactString,
    /// Where the node listens.
    pub addresses: Addresses,
    /// The digest of the credential that all nodes of the fleet share.
    pub fleet_credential: KeyDigest,
    /// The digest of the credential that operators show.
    pub operator_credential: KeyDigest,
    /// What callers and targets say.
    pub dialect: Arc<dyn Dialect>,
    /// The client to the platform's store.
    pub store: StoreFactory,
    /// Addresses of nodes to ask for peers.
    pub seeds: Vec<SocketAddr>,
    /// How log lines are written.
    pub log: log::Options,
    /// The file that the settings come from, to be read again when it changes.
    pub settings_file: Option<PathBuf>,
    /// What the process may use.
    pub limits: Limits,
    /// Options of the node's decisions.
    pub options: Options,
}

/// What stands at a node's borders and is not a matter of settings.
pub struct Dependencies {
    /// What callers and targets say.
    pub dialect: Arc<dyn Dialect>,
    /// The client to the platform's store.
    pub store: StoreFactory,
    /// The file that the settings come from, to be read again when it changes.
    pub settings_file: Option<PathBuf>,
}

impl Launch {
    /// What settings mean for a node.
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
            exit_grace: duration(limits.exit_grace),
            traffic_threads: limits.traffic_threads,
        }
    }
}

/// Where a node listens. Port zero takes any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP from callers.
    pub callers: SocketAddr,
    /// HTTP from the node's own target: its reports and the calls it makes.
    pub local: Option<SocketAddr>,
    /// HTTP from the node's own target: its reports only.
    pub reports: Option<SocketAddr>,
    /// Questions whether the node is ready.
    pub readiness: Option<SocketAddr>,
    /// Requests and messages from peers.
    pub peers: SocketAddr,
    /// Where other nodes reach `peers`, if that is another address.
    pub announced: Option<SocketAddr>,
    /// The administration API.
    pub admin: Option<SocketAddr>,
    /// Counters and histograms, for whoever collects them.
    pub metrics: Option<SocketAddr>,
}

impl Addresses {
    /// Free ports of the loopback interface.
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

/// What one process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections at once, on each port.
    pub connections: usize,
    /// Requests in progress at once.
    pub requests: usize,
    /// The size of a request's headers, in bytes.
    pub header_size: usize,
    /// The size of a request's body, in bytes.
    pub body_size: usize,
    /// The size of a request's body that is kept so that it can be sent again, in bytes.
    pub retry_body_size: usize,
    /// The size of all request bodies kept at once, in bytes.
    pub buffered_size: usize,
    /// How long a request's headers may take to come.
    pub header_timeout: Duration,
    /// How long a sender may pause within a request's body.
    pub body_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// Idle connections are closed when they have been idle for this long after the node began to
    /// leave.
    pub drain_idle_timeout: Duration,
    /// How long connections may take to end once the node has finished all requests.
    pub exit_grace: Duration,
    /// Threads for traffic.
    pub traffic_threads: usize,
}

impl Limits {
    /// What callers may send, where the configuration does not say.
    pub(crate) fn callers(&self) -> Callers {
        let millis = |length: Duration| Millis(length.as_millis() as u64);
        Callers {
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
            exit_grace: Duration::from_secs(5),
            traffic_threads: 2,
        }
    }
}
