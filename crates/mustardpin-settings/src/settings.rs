//! The settings of a node, and the key of each.

use std::{fs, net::SocketAddr, path::Path};

use compact_str::{CompactString, ToCompactString as _};
use mustardpin_world::{
    Millis, Options,
    options::{self, LimitAlgorithm},
};

use crate::{
    document::Document,
    error::{Error, Problem},
    reader::Reader,
};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// The settings of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The node name. It is kept over restarts: a process that replaces this one has the same
    /// name.
    pub name: CompactString,
    /// The name of the node's data centre.
    pub data_centre: CompactString,
    /// The service that the node's target belongs to.
    pub service: CompactString,
    /// The addresses that the node listens on.
    pub addresses: Addresses,
    /// The credentials that other nodes and operators must present.
    pub credentials: Credentials,
    /// Access to the platform's store.
    pub platform: Platform,
    /// Addresses of nodes that are asked for peers while the store does not reply.
    pub seeds: Vec<SocketAddr>,
    /// Level, format and rate of the log.
    pub log: Log,
    /// Resource limits and time-outs of the process.
    pub limits: Limits,
    /// Options of the node's control logic.
    pub options: Options,
}

/// The addresses that a node listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP requests from callers.
    pub callers: SocketAddr,
    /// HTTP requests from the local target: its reports and the calls it makes.
    pub local: Option<SocketAddr>,
    /// HTTP requests from the local target: its reports only.
    pub reports: Option<SocketAddr>,
    /// Readiness probes.
    pub readiness: Option<SocketAddr>,
    /// Requests and messages from peers.
    pub peers: SocketAddr,
    /// The address under which other nodes reach `peers`, if it differs from `peers`.
    pub announced: Option<SocketAddr>,
    /// The administration API.
    pub admin: Option<SocketAddr>,
    /// Counters and histograms, for a metrics collector.
    pub metrics: Option<SocketAddr>,
}

impl Addresses {
    /// Every address that the node listens on, with its dotted key.
    ///
    /// ```
    /// use mustardpin_settings::settings::Addresses;
    ///
    /// let any = ([127, 0, 0, 1], 7000).into();
    /// let addresses = Addresses {
    ///     callers: any,
    ///     local: None,
    ///     reports: None,
    ///     readiness: None,
    ///     peers: any,
    ///     announced: None,
    ///     admin: None,
    ///     metrics: None,
    /// };
    /// assert_eq!(addresses.entries().next().unwrap().0, "addresses.callers");
    /// ```
    pub fn entries(&self) -> impl Iterator<Item = (&'static str, SocketAddr)> {
        let entries = [
            ("addresses.callers", Some(self.callers)),
            ("addresses.local", self.local),
            ("addresses.reports", self.reports),
            ("addresses.readiness", self.readiness),
            ("addresses.peers", Some(self.peers)),
            ("addresses.admin", self.admin),
            ("addresses.metrics", self.metrics),
        ];
        entries.into_iter().filter_map(|(key, address)| Some((key, address?)))
    }
}

/// The credentials that other nodes and operators must present.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// Shared by all nodes of the fleet.
    pub fleet: CompactString,
    /// Presented by operators to the administration API. Empty if `addresses.admin` is not set.
    pub operator: CompactString,
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credentials(..)")
    }
}

/// Access to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Platform {
    /// The address of the store.
    pub address: SocketAddr,
    /// The time-out of a store query, in addition to the time for which the store may hold a long
    /// poll.
    pub timeout: Millis,
}

/// Level, format and rate of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Log {
    /// The minimum level of the lines that are written.
    pub level: Level,
    /// The format of a line.
    pub format: Format,
    /// The maximum number of lines per second. Lines beyond it are dropped and counted.
    pub lines_per_second: u32,
}

/// The minimum severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Decisions on requests and changes of state, and everything more severe.
    Info,
    /// Conditions that an operator should look into, and errors.
    Warn,
    /// Failures that keep the node from working.
    Error,
}

/// The format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

/// Resource limits and time-outs of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open connections on each port.
    pub connections: usize,
    /// The maximum number of requests in progress.
    pub requests: usize,
    /// The maximum size of a request's headers, in bytes.
    pub header_size: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_size: usize,
    /// The maximum size of a body that is kept in memory for retries, in bytes. Larger bodies are
    /// streamed and sent at most once.
    pub replay_size: usize,
    /// The maximum total size of the request bodies kept in memory, in bytes.
    pub kept_size: usize,
    /// How long a request's headers may take to arrive.
    pub header_timeout: Millis,
    /// How long a sender may pause within a request's body.
    pub body_timeout: Millis,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Millis,
    /// How long a draining node accepts requests on idle connections before it closes them.
    pub close_linger: Millis,
    /// The number of threads that carry traffic.
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
        let addresses = Addresses {
            callers: reader.address("addresses.callers"),
            local: reader.optional_address("addresses.local"),
            reports: reader.optional_address("addresses.reports"),
            readiness: reader.optional_address("addresses.readiness"),
            peers: reader.address("addresses.peers"),
            announced: reader.optional_address("addresses.announced"),
            admin: reader.optional_address("addresses.admin"),
            metrics: reader.optional_address("addresses.metrics"),
        };
        Settings {
            name: reader.name("name"),
            data_centre: reader.name("data-centre"),
            service: reader.name("service"),
            addresses,
            credentials: Credentials {
                fleet: reader.secret("fleet-credential"),
                operator: match addresses.admin {
                    Some(_) => reader.secret("operator-credential"),
                    None => CompactString::default(),
                },
            },
            platform: Platform {
                address: reader.address("platform.address"),
                timeout: reader.duration(
                    "platform.timeout",
                    Millis::from_secs(1),
                    Millis(50)..=Millis::from_secs(30),
                ),
            },
            seeds: reader.addresses("seeds"),
            log: read_log(reader),
            limits: read_limits(reader),
            options: read_options(reader),
        }
    }

    /// Reports values of different keys that conflict.
    fn check(&self, reader: &mut Reader) {
        let entries: Vec<_> = self.addresses.entries().collect();
        for (index, (key, address)) in entries.iter().enumerate() {
            let earlier = entries[..index].iter().find(|(_, earlier)| earlier == address);
            let Some((other, _)) = earlier.filter(|_| address.port() != 0) else { continue };
            reader.report(Problem::Conflict {
                key: (*key).into(),
                value: address.to_compact_string(),
                other: (*other).into(),
                remedy: "give each its own port".into(),
            });
        }
        let limit = &self.options.limit;
        if limit.least > limit.most {
            reader.report(Problem::Conflict {
                key: "limit.least".into(),
                value: limit.least.to_compact_string(),
                other: "limit.most".into(),
                remedy: "choose a least that is not above the most".into(),
            });
        }
        let freshness = &self.options.freshness;
        if freshness.watch >= freshness.window {
            reader.report(Problem::Conflict {
                key: "freshness.watch".into(),
                value: freshness.watch.to_compact_string(),
                other: "freshness.bound".into(),
                remedy: "choose a watch well below the bound".into(),
            });
        }
    }
}

fn read_log(reader: &mut Reader) -> Log {
    let levels = [("info", Level::Info), ("warn", Level::Warn), ("error", Level::Error)];
    let formats = [("json", Format::Json), ("text", Format::Text)];
    Log {
        level: reader.choice("log.level", &levels),
        format: reader.choice("log.format", &formats),
        lines_per_second: reader.count("log.lines-per-second", 500, 10..=1_000_000) as u32,
    }
}

fn read_limits(reader: &mut Reader) -> Limits {
    let seconds = |min, max| Millis::from_secs(min)..=Millis::from_secs(max);
    let timeouts = Millis(100)..=Millis::from_secs(120);
    Limits {
        connections: reader.count("limits.connections", 4_096, 1..=100_000) as usize,
        requests: reader.count("limits.requests", 2_048, 1..=100_000) as usize,
        header_size: reader.size("limits.header-size", 16 * KIB, 8 * KIB..=MIB) as usize,
        body_size: reader.size("limits.body-size", 8 * MIB, KIB..=1_024 * MIB) as usize,
        replay_size: reader.size("limits.replay-size", 64 * KIB, 0..=MIB) as usize,
        kept_size: reader.size("limits.kept-size", 64 * MIB, MIB..=1_024 * MIB) as usize,
        header_timeout: reader.duration(
            "limits.header-timeout",
            Millis::from_secs(10),
            timeouts.clone(),
        ),
        body_timeout: reader.duration("limits.body-timeout", Millis::from_secs(10), timeouts),
        idle_timeout: reader.duration(
            "limits.idle-timeout",
            Millis::from_secs(60),
            seconds(1, 3_600),
        ),
        close_linger: reader.duration(
            "limits.close-linger",
            Millis::from_secs(1),
            Millis::ZERO..=Millis::from_secs(60),
        ),
        traffic_threads: reader.count("limits.traffic-threads", 2, 1..=64) as usize,
    }
}

/// Options without a settings key, such as those for comparisons in measurements, keep their
/// defaults.
fn read_options(reader: &mut Reader) -> Options {
    let mut options = Options::default();
    read_consistency(reader, &mut options);
    read_membership(reader, &mut options);
    read_request_handling(reader, &mut options);
    read_retry(reader, &mut options.retry);
    options
}

fn read_consistency(reader: &mut Reader, options: &mut Options) {
    let bound = Millis::from_secs(3);
    let bound = reader.duration("freshness.bound", bound, Millis(500)..=Millis::from_secs(60));
    options.freshness.window = options::Freshness::window_within(bound);
    options.freshness.strict = reader.flag("freshness.strict", options.freshness.strict);
    let mut duration = |key, value: &mut Millis, min, max| {
        *value = reader.duration(key, *value, Millis(min)..=Millis(max));
    };
    let Options { configuration, freshness, .. } = options;
    duration("configuration.proposal-timeout", &mut configuration.proposal_timeout, 500, 9_000);
    duration("configuration.settle-period", &mut configuration.settle_period, 50, 5_000);
    duration("freshness.watch", &mut freshness.watch, 100, 30_000);
}

fn read_membership(reader: &mut Reader, options: &mut Options) {
    let mut duration = |key, value: &mut Millis, min, max| {
        *value = reader.duration(key, *value, Millis(min)..=Millis(max));
    };
    let Options { fleet, roster, stop, target, .. } = options;
    duration("fleet.forget-after", &mut fleet.forget_after, 1_000, 3_600_000);
    duration("fleet.meet-within", &mut fleet.meet_within, 0, 60_000);
    duration("roster.patience", &mut roster.patience, 0, 60_000);
    duration("roster.spread", &mut roster.spread, 0, 60_000);
    duration("stop.stay", &mut stop.stay, 0, 60_000);
    duration("stop.grace", &mut stop.grace, 100, 3_600_000);
    duration("limits.exit-grace", &mut stop.closing, 100, 600_000);
    duration("target.lost-after", &mut target.lost_after, 100, 600_000);
}

fn read_request_handling(reader: &mut Reader, options: &mut Options) {
    let Options { limit, queueing, shedding, rate_limit, routing, quarantine, logging, .. } =
        options;
    let algorithms = [("adaptive", LimitAlgorithm::Adaptive), ("slots", LimitAlgorithm::Slots)];
    limit.algorithm = reader.choice("limit.algorithm", &algorithms);
    let mut count = |key, value: &mut u32, min, max| {
        *value = reader.count(key, (*value).into(), min..=max) as u32;
    };
    count("limit.initial", &mut limit.initial, 1, 10_000);
    count("limit.least", &mut limit.least, 1, 10_000);
    count("limit.most", &mut limit.most, 1, 100_000);
    count("limit.slots-percent", &mut limit.slots_percent, 1, 200);
    count("pressure.floor-percent", &mut shedding.floor_percent, 0, 100);
    count("quarantine.crashes", &mut quarantine.crashes, 1, 100);
    count("routing.local-preference", &mut routing.local_preference, 0, 10_000);
    count("log.one-in", &mut logging.one_in, 0, 1_000_000);
    queueing.is_wait_strict = reader.flag("queueing.strict-wait", queueing.is_wait_strict);
    queueing.capacity =
        reader.count("queueing.capacity", queueing.capacity as u64, 0..=65_536) as usize;
    routing.max_hops = reader.count("routing.max-hops", routing.max_hops.into(), 1..=8) as u8;
    let mut duration = |key, value: &mut Millis, min, max| {
        *value = reader.duration(key, *value, Millis(min)..=Millis(max));
    };
    duration("queueing.wait", &mut queueing.wait, 0, 60_000);
    duration("queueing.nested-wait", &mut queueing.nested_wait, 0, 60_000);
    duration("rating.horizon", &mut rate_limit.horizon, 10, 10_000);
    duration("rating.patience", &mut rate_limit.patience, 0, 10_000);
    duration("rating.reply-within", &mut rate_limit.reply_within, 10, 10_000);
    duration("routing.default-timeout", &mut routing.default_timeout, 10, 600_000);
    duration("routing.margin", &mut routing.margin, 0, 10_000);
}

fn read_retry(reader: &mut Reader, retry: &mut options::Retry) {
    retry.limit_resends = reader.flag("retry.limit-resends", retry.limit_resends);
    let ratio = reader.optional_fraction("retry.fleet-ratio", 0.0..=1.0);
    // Rounded down, so that the fleet never retries more often than it may.
    let slack = reader.optional_fraction("retry.fleet-slack", 0.0..=1e6);
    let slack = slack.unwrap_or_default() as u32;
    retry.fleet = ratio
        .map(|ratio| options::FleetRetries { permille: (ratio * 1_000.0).round() as u32, slack });
    let mut count = |key, value: &mut u32, min, max| {
        *value = reader.count(key, (*value).into(), min..=max) as u32;
    };
    count("retry.ratio-percent", &mut retry.ratio_percent, 0, 100);
    count("retry.ratio-burst", &mut retry.ratio_burst, 0, 10_000);
    count("retry.resend-percent", &mut retry.resend_percent, 0, 100);
    count("retry.resend-burst", &mut retry.resend_burst, 0, 10_000);
    let max_window = Millis::from_secs(600);
    retry.resend_window =
        reader.duration("retry.resend-window", retry.resend_window, Millis::ZERO..=max_window);
}
