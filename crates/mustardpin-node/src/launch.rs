//! What a node needs to know to start.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use compact_str::CompactString;
use mustardpin_world::{Millis, Options, id::KeyDigest};

use crate::log;

/// Everything a node is told when it starts.
#[derive(Debug, Clone)]
pub struct Launch {
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
    /// The platform's table service.
    pub platform: SocketAddr,
    /// How long the node waits for the platform's answer.
    pub platform_timeout: Duration,
    /// Control addresses of nodes to ask for peers.
    pub seeds: Vec<SocketAddr>,
    /// How log lines are written.
    pub log: log::Options,
    /// Where counters are sent, over UDP.
    pub statsd: Option<SocketAddr>,
    /// What the process may use.
    pub limits: Limits,
    /// Options of the node's decisions.
    pub options: Options,
}

/// Where a node listens. Port zero takes any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP from callers.
    pub callers: SocketAddr,
    /// HTTP from the node's own target: its announcements and the calls it makes.
    pub local: SocketAddr,
    /// Control messages from peers.
    pub control: SocketAddr,
    /// HTTP requests passed on by peers.
    pub traffic: SocketAddr,
    /// The administration API.
    pub admin: SocketAddr,
}

impl Addresses {
    /// Free ports of the loopback interface.
    ///
    /// ```
    /// assert!(mustardpin_node::launch::Addresses::loopback().callers.ip().is_loopback());
    /// ```
    pub fn loopback() -> Addresses {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Addresses { callers: any, local: any, control: any, traffic: any, admin: any }
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
    /// The size of a repeatable request's body that is kept so that it can be sent again, in bytes.
    pub replay_size: usize,
    /// The size of all request bodies kept at once, in bytes.
    pub kept_size: usize,
    /// The size of an answer that is recorded for repeats, in bytes.
    pub record_size: usize,
    /// How long a new connection may take to send its first request's headers.
    pub header_timeout: Duration,
    /// How long a sender may pause within a request's body.
    pub body_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// The target counts as lost when it has not announced itself for this long.
    pub announce_timeout: Millis,
    /// Idle connections are closed when they have been idle for this long after the node began to
    /// leave.
    pub close_linger: Duration,
    /// How long connections may take to end once the node has finished all requests.
    pub exit_grace: Duration,
    /// Threads for traffic.
    pub traffic_threads: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4_096,
            requests: 2_048,
            header_size: 16 * 1024,
            body_size: 8 * 1024 * 1024,
            replay_size: 64 * 1024,
            kept_size: 64 * 1024 * 1024,
            record_size: 64 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            announce_timeout: Millis::from_secs(3),
            close_linger: Duration::from_secs(1),
            exit_grace: Duration::from_secs(5),
            traffic_threads: 2,
        }
    }
}
