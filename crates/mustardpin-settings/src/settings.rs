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

/// Everything a node is told when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The name of the place that the process runs in. A process that takes its place has the same
    /// name.
    pub name: CompactString,
    /// The name of the node's data centre.
    pub data_centre: CompactString,
    /// The service that the node's target belongs to.
    pub service: CompactString,
    /// Where the node listens.
    pub addresses: Addresses,
    /// What other nodes and operators have to show.
    pub credentials: Credentials,
    /// Where and how the node asks the platform's store.
    pub platform: Platform,
    /// Addresses of nodes to ask for peers while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// How log lines are written.
    pub log: Log,
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

/// What other nodes and operators have to show.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// Shared by all nodes of the fleet.
    pub fleet: CompactString,
    /// Shown by operators to the administration API. Without an address for the API there is none.
    pub operator: CompactString,
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credentials(..)")
    }
}

/// Where and how a node asks the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Platform {
    /// The store.
    pub address: SocketAddr,
    /// How long the node waits for an answer, beyond the time that the store may hold a question.
    pub timeout: Millis,
}

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Log {
    /// Lines below this level are left out.
    pub level: Level,
    /// What a line looks like.
    pub format: Format,
    /// Lines a second at most. Those beyond are left out and counted.
    pub lines_per_second: u32,
}

/// How severe a log line has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Decisions on requests, changes of state and worse.
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
    /// How long a request's headers may take to come.
    pub header_timeout: Millis,
    /// How long a sender may pause within a request's body.
    pub body_timeout: Millis,
    /// How long a connection may be idle.
    pub idle_timeout: Millis,
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
                timeout: reader.length(
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

    /// Checks values against each other.
    fn check(&self, reader: &mut Reader) {
        let entries: Vec<_> = self.addresses.entries().collect();
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
        let limit = &self.options.limit;
        if limit.least > limit.most {
            reader.report(Problem::Clash {
                key: "limit.least".into(),
                value: limit.least.to_compact_string(),
                other: "limit.most".into(),
                remedy: "choose a least that is not above the most".into(),
            });
        }
        let freshness = &self.options.freshness;
        if freshness.watch >= freshness.window {
            reader.report(Problem::Clash {
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
    let seconds = |least, most| Millis::from_secs(least)..=Millis::from_secs(most);
    let timeouts = Millis(100)..=Millis::from_secs(120);
    Limits {
        connections: reader.count("limits.connections", 4_096, 1..=100_000) as usize,
        requests: reader.count("limits.requests", 2_048, 1..=100_000) as usize,
        header_size: reader.size("limits.header-size", 16 * KIB, 8 * KIB..=MIB) as usize,
        body_size: reader.size("limits.body-size", 8 * MIB, KIB..=1_024 * MIB) as usize,
        replay_size: reader.size("limits.replay-size", 64 * KIB, 0..=MIB) as usize,
        kept_size: reader.size("limits.kept-size", 64 * MIB, MIB..=1_024 * MIB) as usize,
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
        close_linger: reader.length(
            "limits.close-linger",
            Millis::from_secs(1),
            Millis::ZERO..=Millis::from_secs(60),
        ),
        exit_grace: reader.length(
            "limits.exit-grace",
            Millis::from_secs(5),
            Millis(100)..=Millis::from_secs(600),
        ),
        traffic_threads: reader.count("limits.traffic-threads", 2, 1..=64) as usize,
    }
}

/// Options that no key names, such as those for comparisons in measurements, keep their defaults.
fn read_options(reader: &mut Reader) -> Options {
    let mut options = Options::default();
    read_agreement(reader, &mut options);
    read_presence(reader, &mut options);
    read_work(reader, &mut options);
    read_retry(reader, &mut options.retry);
    options
}

fn read_agreement(reader: &mut Reader, options: &mut Options) {
    let bound = Millis::from_secs(3);
    let bound = reader.length("freshness.bound", bound, Millis(500)..=Millis::from_secs(60));
    options.freshness.window = options::Freshness::window_within(bound);
    options.freshness.strict = reader.flag("freshness.strict", options.freshness.strict);
    let mut length = |key, value: &mut Millis, least, most| {
        *value = reader.length(key, *value, Millis(least)..=Millis(most));
    };
    let Options { configuration, freshness, .. } = options;
    length("configuration.proposal-timeout", &mut configuration.proposal_timeout, 500, 9_000);
    length("configuration.settle-period", &mut configuration.settle_period, 50, 5_000);
    length("freshness.watch", &mut freshness.watch, 100, 30_000);
}

fn read_presence(reader: &mut Reader, options: &mut Options) {
    let mut length = |key, value: &mut Millis, least, most| {
        *value = reader.length(key, *value, Millis(least)..=Millis(most));
    };
    let Options { fleet, roster, stop, target, .. } = options;
    length("fleet.forget-after", &mut fleet.forget_after, 1_000, 3_600_000);
    length("fleet.meet-within", &mut fleet.meet_within, 0, 60_000);
    length("roster.patience", &mut roster.patience, 0, 60_000);
    length("roster.spread", &mut roster.spread, 0, 60_000);
    length("stop.stay", &mut stop.stay, 0, 60_000);
    length("stop.grace", &mut stop.grace, 100, 3_600_000);
    length("target.lost-after", &mut target.lost_after, 100, 600_000);
}

fn read_work(reader: &mut Reader, options: &mut Options) {
    let Options { limit, queueing, shedding, rate_limit, routing, quarantine, logging, .. } =
        options;
    let algorithms = [("adaptive", LimitAlgorithm::Adaptive), ("slots", LimitAlgorithm::Slots)];
    limit.algorithm = reader.choice("limit.algorithm", &algorithms);
    let mut count = |key, value: &mut u32, least, most| {
        *value = reader.count(key, (*value).into(), least..=most) as u32;
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
    let mut length = |key, value: &mut Millis, least, most| {
        *value = reader.length(key, *value, Millis(least)..=Millis(most));
    };
    length("queueing.wait", &mut queueing.wait, 0, 60_000);
    length("queueing.nested-wait", &mut queueing.nested_wait, 0, 60_000);
    length("rating.horizon", &mut rate_limit.horizon, 10, 10_000);
    length("rating.patience", &mut rate_limit.patience, 0, 10_000);
    length("rating.reply-within", &mut rate_limit.reply_within, 10, 10_000);
    length("routing.default-timeout", &mut routing.default_timeout, 10, 600_000);
    length("routing.margin", &mut routing.margin, 0, 10_000);
}

fn read_retry(reader: &mut Reader, retry: &mut options::Retry) {
    retry.limit_resends = reader.flag("retry.limit-resends", retry.limit_resends);
    let ratio = reader.optional_fraction("retry.fleet-ratio", 0.0..=1.0);
    let slack = reader.count("retry.fleet-slack", 0, 0..=1_000_000) as u32;
    retry.fleet = ratio
        .map(|ratio| options::FleetRetries { permille: (ratio * 1_000.0).round() as u32, slack });
    let mut count = |key, value: &mut u32, least, most| {
        *value = reader.count(key, (*value).into(), least..=most) as u32;
    };
    count("retry.ratio-percent", &mut retry.ratio_percent, 0, 100);
    count("retry.ratio-burst", &mut retry.ratio_burst, 0, 10_000);
    count("retry.resend-percent", &mut retry.resend_percent, 0, 100);
    count("retry.resend-burst", &mut retry.resend_burst, 0, 10_000);
    let most = Millis::from_secs(600);
    retry.resend_window =
        reader.length("retry.resend-window", retry.resend_window, Millis::ZERO..=most);
}
