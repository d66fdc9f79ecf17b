//! The settings of a node, and the key of each.

use std::{fs, net::SocketAddr, path::Path};

use compact_str::{CompactString, ToCompactString as _};
use mustardpin_world::{Millis, Options, options};

use crate::{
    document::Document,
    error::{Error, Problem},
    reader::Reader,
};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// Everything a node is told when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The name of the node's data centre.
    pub data_centre: CompactString,
    /// The service that the node's target belongs to.
    pub service: CompactString,
    /// Where the node listens.
    pub addresses: Addresses,
    /// What other nodes and operators have to show.
    pub credentials: Credentials,
    /// Where and how the node asks the platform.
    pub platform: Platform,
    /// Control addresses of nodes to ask for peers while the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// How log lines are written.
    pub log: Log,
    /// Where counters are sent, in the statsd protocol over UDP.
    pub statsd: Option<SocketAddr>,
    /// What one process may use.
    pub limits: Limits,
    /// Options of the node's decisions.
    pub options: Options,
}

/// Where a node listens.
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
    /// Every address with its dotted key.
    pub fn entries(&self) -> [(&'static str, SocketAddr); 5] {
        [
            ("addresses.callers", self.callers),
            ("addresses.local", self.local),
            ("addresses.control", self.control),
            ("addresses.traffic", self.traffic),
            ("addresses.admin", self.admin),
        ]
    }
}

/// What other nodes and operators have to show.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// Shared by all nodes of the fleet.
    pub fleet: CompactString,
    /// Shown by operators to the administration API.
    pub operator: CompactString,
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credentials(..)")
    }
}

/// Where and how a node asks the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Platform {
    /// The platform's table service.
    pub address: SocketAddr,
    /// How long the node waits for an answer.
    pub timeout: Millis,
}

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Log {
    /// Lines below this level are left out.
    pub level: Level,
    /// What a line looks like.
    pub format: Format,
}

/// How severe a log line has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Everything.
    Debug,
    /// Changes of state and worse.
    Info,
    /// What an operator should look at, and worse.
    Warn,
    /// What keeps the node from its work.
    Error,
}

/// What a log line looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Text,
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
    /// The size of a body that is kept in memory so that it can be sent again, in bytes.
    pub replay_size: usize,
    /// The size of all request bodies kept in memory at once, in bytes.
    pub kept_size: usize,
    /// The size of an answer that is recorded for repeats, in bytes.
    pub record_size: usize,
    /// How long a new connection may take to send its first headers.
    pub header_timeout: Millis,
    /// How long a sender may pause within a request's body.
    pub body_timeout: Millis,
    /// How long a connection may be idle.
    pub idle_timeout: Millis,
    /// The node takes its target for lost when it has not announced itself for this long.
    pub announce_timeout: Millis,
    /// How long a leaving node goes on accepting requests on idle connections before it closes
    /// them.
    pub close_linger: Millis,
    /// How long connections may take to end once a leaving node has finished all requests.
    pub exit_grace: Millis,
    /// Threads for traffic.
    pub traffic_threads: usize,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// ```no_run
    /// let settings = mustardpin_settings::Settings::load("settings.yaml".as_ref())?;
    /// println!("{}", settings.addresses.callers);
    /// # Ok::<(), mustardpin_settings::Error>(())
    /// ```
    pub fn load(file: &Path) -> Result<Settings, Error> {
        let yaml = fs::read_to_string(file)
            .map_err(|source| Error::Read { file: file.to_owned(), source })?;
        Settings::parse(file, &yaml)
    }

    /// Checks settings in YAML; `file` only appears in errors.
    ///
    /// ```
    /// use mustardpin_settings::Settings;
    ///
    /// let error = Settings::parse("a.yaml".as_ref(), "data-center: north").unwrap_err();
    /// assert!(error.to_string().contains("did you mean data-centre?"));
    /// ```
    pub fn parse(file: &Path, yaml: &str) -> Result<Settings, Error> {
        let document = Document::parse(yaml)
            .map_err(|source| Error::Syntax { file: file.to_owned(), source })?;
        let mut reader = Reader::new(document);
        let settings = Settings::read(&mut reader);
        settings.check(&mut reader);
        let problems = reader.finish();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(Error::Invalid { file: file.to_owned(), problems })
        }
    }

    fn read(reader: &mut Reader) -> Settings {
        Settings {
            data_centre: reader.name("data-centre"),
            service: reader.name("service"),
            addresses: Addresses {
                callers: reader.address("addresses.callers"),
                local: reader.address("addresses.local"),
                control: reader.address("addresses.control"),
                traffic: reader.address("addresses.traffic"),
                admin: reader.address("addresses.admin"),
            },
            credentials: Credentials {
                fleet: reader.secret("fleet-credential"),
                operator: reader.secret("operator-credential"),
            },
            platform: Platform {
                address: reader.address("platform.address"),
                timeout: reader.length(
                    "platform.timeout",
                    Millis::from_secs(2),
                    Millis(50)..=Millis::from_secs(30),
                ),
            },
            seeds: reader.addresses("seeds"),
            log: Log {
                level: reader.choice(
                    "log.level",
                    &[
                        ("info", Level::Info),
                        ("debug", Level::Debug),
                        ("warn", Level::Warn),
                        ("error", Level::Error),
                    ],
                ),
                format: reader
                    .choice("log.format", &[("json", Format::Json), ("text", Format::Text)]),
            },
            statsd: reader.optional_address("statsd.address"),
            limits: read_limits(reader),
            options: read_options(reader),
        }
    }

    /// Checks values against each other.
    fn check(&self, reader: &mut Reader) {
        let entries = self.addresses.entries();
        for (index, (key, address)) in entries.iter().enumerate() {
            let earlier = entries[..index].iter().find(|(_, earlier)| earlier == address);
            let Some((other, _)) = earlier.filter(|_| address.port() != 0) else { continue };
            reader.report(Problem::Clash {
                key: (*key).into(),
                value: address.to_compact_string(),
                other: (*other).into(),
                remedy: "give each its own port".into(),
            });
        }
        let freshness = &self.options.freshness;
        if freshness.poll_age >= freshness.window {
            reader.report(Problem::Clash {
                key: "freshness.poll-age".into(),
                value: freshness.poll_age.to_compact_string(),
                other: "freshness.window".into(),
                remedy: "choose a poll age below the window".into(),
            });
        }
    }
}

fn read_limits(reader: &mut Reader) -> Limits {
    let seconds = |least, most| Millis::from_secs(least)..=Millis::from_secs(most);
    let timeouts = Millis(100)..=Millis::from_secs(120);
    Limits {
        connections: reader.count("limits.connections", 4_096, 1..=100_000) as usize,
        requests: reader.count("limits.requests", 2_048, 1..=100_000) as usize,
        header_size: reader.size("limits.header-size", 16 * KIB, 8 * KIB..=MIB) as usize,
        body_size: reader.size("limits.body-size", 8 * MIB, KIB..=1_024 * MIB) as usize,
        replay_size: reader.size("limits.replay-size", 64 * KIB, 0..=16 * MIB) as usize,
        kept_size: reader.size("limits.kept-size", 64 * MIB, MIB..=1_024 * MIB) as usize,
        record_size: reader.size("limits.record-size", 64 * KIB, 0..=MIB) as usize,
        header_timeout: reader.length(
            "limits.header-timeout",
            Millis::from_secs(10),
            timeouts.clone(),
        ),
        body_timeout: reader.length("limits.body-timeout", Millis::from_secs(10), timeouts),
        idle_timeout: reader.length(
            "limits.idle-timeout",
            Millis::from_secs(60),
            seconds(1, 3_600),
        ),
        announce_timeout: reader.length(
            "limits.announce-timeout",
            Millis::from_secs(3),
            seconds(1, 60),
        ),
        close_linger: reader.length(
            "limits.close-linger",
            Millis::from_secs(1),
            Millis::ZERO..=Millis::from_secs(60),
        ),
        exit_grace: reader.length("limits.exit-grace", Millis::from_secs(5), seconds(1, 600)),
        traffic_threads: reader.count("limits.traffic-threads", 2, 1..=64) as usize,
    }
}

/// Options that no key names, such as those for comparisons in measurements, keep their defaults.
fn read_options(reader: &mut Reader) -> Options {
    let mut options = Options::default();
    read_membership(reader, &mut options.membership);
    read_agreement(reader, &mut options);
    read_work(reader, &mut options);
    options
}

fn read_membership(reader: &mut Reader, membership: &mut options::Membership) {
    let mut length = |key, value: &mut Millis, least, most| {
        *value = reader.length(key, *value, Millis(least)..=Millis(most));
    };
    length("membership.gossip-period", &mut membership.gossip_period, 50, 10_000);
    length("membership.reply-timeout", &mut membership.reply_timeout, 10, 10_000);
    length("membership.probe-timeout", &mut membership.probe_timeout, 10, 10_000);
    length("membership.suspicion", &mut membership.suspicion, 100, 60_000);
    length("membership.retention", &mut membership.retention, 60_000, 86_400_000);
    length("membership.leave-time", &mut membership.leave_time, 0, 60_000);
}

fn read_agreement(reader: &mut Reader, options: &mut Options) {
    let mut length = |key, value: &mut Millis, least, most| {
        *value = reader.length(key, *value, Millis(least)..=Millis(most));
    };
    let Options { epoch, configuration, freshness, .. } = options;
    length("epoch.patience", &mut epoch.patience, 0, 60_000);
    length("epoch.spread-per-member", &mut epoch.spread_per_member, 0, 1_000);
    length("epoch.interval", &mut epoch.interval, 100, 600_000);
    length("epoch.interval-per-member", &mut epoch.interval_per_member, 0, 1_000);
    length("configuration.proposal-timeout", &mut configuration.proposal_timeout, 500, 9_000);
    length("configuration.settle-period", &mut configuration.settle_period, 50, 5_000);
    length("freshness.window", &mut freshness.window, 500, 3_000);
    length("freshness.poll-age", &mut freshness.poll_age, 100, 2_500);
}

fn read_work(reader: &mut Reader, options: &mut Options) {
    let Options { limit, queueing, retry, rating, routing, .. } = options;
    let mut count = |key, value: &mut u32, least, most| {
        *value = reader.count(key, (*value).into(), least..=most) as u32;
    };
    count("limit.initial", &mut limit.initial, 1, 10_000);
    count("limit.least", &mut limit.least, 1, 10_000);
    count("limit.most", &mut limit.most, 1, 100_000);
    count("retry.ratio-percent", &mut retry.ratio_percent, 0, 100);
    count("retry.ratio-burst", &mut retry.ratio_burst, 0, 10_000);
    count("retry.resend-percent", &mut retry.resend_percent, 0, 100);
    count("retry.resend-burst", &mut retry.resend_burst, 0, 10_000);
    queueing.capacity =
        reader.count("queueing.capacity", queueing.capacity as u64, 0..=65_536) as usize;
    routing.max_hops = reader.count("routing.max-hops", routing.max_hops.into(), 1..=8) as u8;
    let mut length = |key, value: &mut Millis, least, most| {
        *value = reader.length(key, *value, Millis(least)..=Millis(most));
    };
    length("queueing.wait", &mut queueing.wait, 0, 60_000);
    length("retry.resend-window", &mut retry.resend_window, 0, 600_000);
    length("rating.horizon", &mut rating.horizon, 10, 10_000);
    length("rating.patience", &mut rating.patience, 0, 10_000);
    length("rating.reply-within", &mut rating.reply_within, 10, 10_000);
    length("routing.default-timeout", &mut routing.default_timeout, 10, 600_000);
}
