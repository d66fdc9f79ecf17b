//! The command-line arguments of a target's stand-in.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use compact_str::{CompactString, ToCompactString as _};

use crate::arguments::{Error, millis, required, value};

const HELP: &str = "\
Stands in for a target: runs requests in slots and reports what it ran.

Usage: target-standin --address IP:PORT --node IP:PORT --service NAME [options]

Options:
  --address IP:PORT        where it listens
  --node IP:PORT           the local address of its node
  --service NAME           the service it belongs to
  --slots N                requests it runs at once (64)
  --service-time-ms N      mean time of a run (5)
  --distribution WORD      constant, uniform or exponential (uniform)
  --cold-start-ms N        after the start, runs take four times as long for this time (0)
  --call 'METHOD PATH'     calls this through its node during each run; may be repeated
  --fan-out                makes these calls at once, not one after the other
  --retries N              immediate retries of a failed call (0)
  --crash-on TEXT          the process exits when the path of a request contains this text
  --report-running N       false number of running requests in its announcements
  --report-slots N         false number of slots in its announcements
  --report-healthy BOOL    false health in its announcements
  --announce-ms N          time between announcements (1000)
  --seed N                 decides the service times (1)
  --help                   this text

A request with the header Standin-Crash makes the process exit. The query parameters bytes,
pace-ms and cut-after shape the response. What it ran: GET /standin/ran. Changes at run time:
POST /standin/mode {\"service-time-ms\": 50, \"slots\": 4, \"draining\": true, \"healthy\": false}";

/// How service times are distributed around their mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Distribution {
    /// Every run takes the mean.
    Constant,
    /// Uniform between 0.5 and 1.5 times the mean.
    #[default]
    Uniform,
    /// Exponential, limited to ten times the mean.
    Exponential,
}

impl FromStr for Distribution {
    type Err = String;

    fn from_str(text: &str) -> Result<Distribution, String> {
        match text {
            "constant" => Ok(Distribution::Constant),
            "uniform" => Ok(Distribution::Uniform),
            "exponential" => Ok(Distribution::Exponential),
            _ => Err("choose constant, uniform or exponential".to_owned()),
        }
    }
}

/// A call to a downstream service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: CompactString,
    /// The path, with an optional query.
    pub path: CompactString,
}

impl FromStr for Call {
    type Err = String;

    fn from_str(text: &str) -> Result<Call, String> {
        match text.split_once(' ') {
            Some((method, path)) if path.starts_with('/') => {
                Ok(Call { method: method.to_compact_string(), path: path.to_compact_string() })
            }
            _ => Err("write a call as 'METHOD /path'".to_owned()),
        }
    }
}

/// False values that a target announces in place of the real ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnnouncementOverrides {
    /// The number of running requests to announce.
    pub running: Option<u32>,
    /// The number of slots to announce.
    pub slots: Option<u32>,
    /// The health to announce.
    pub healthy: Option<bool>,
}

/// The command-line arguments of a target's stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arguments {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The address on which its node listens for the local target.
    pub node: SocketAddr,
    /// The service that the target belongs to.
    pub service: CompactString,
    /// The number of requests that it can run at once.
    pub slots: u32,
    /// The mean service time of a run.
    pub service_time: Duration,
    /// The distribution of service times.
    pub distribution: Distribution,
    /// How long after the start runs take four times as long.
    pub cold_start: Duration,
    /// The calls it makes during each run.
    pub calls: Vec<Call>,
    /// Whether it makes the calls concurrently instead of one after the other.
    pub fan_out: bool,
    /// The maximum number of retries of a failed call.
    pub retries: u32,
    /// The process exits when the path of a request contains this text.
    pub crash_on: Option<CompactString>,
    /// False values for its announcements.
    pub overrides: AnnouncementOverrides,
    /// The time between announcements.
    pub announce_interval: Duration,
    /// The seed of the random numbers that determine service times.
    pub seed: u64,
}

impl Arguments {
    /// Creates arguments with defaults for all but the addresses and the service.
    ///
    /// ```
    /// use mustardpin_standin::target::arguments::Arguments;
    ///
    /// let address = ([127, 0, 0, 1], 7001).into();
    /// let node = ([127, 0, 0, 1], 7002).into();
    /// assert_eq!(Arguments::new(address, node, "ledger".into()).slots, 64);
    /// ```
    pub fn new(address: SocketAddr, node: SocketAddr, service: CompactString) -> Arguments {
        Arguments {
            address,
            node,
            service,
            slots: 64,
            service_time: Duration::from_millis(5),
            distribution: Distribution::default(),
            cold_start: Duration::ZERO,
            calls: Vec::new(),
            fan_out: false,
            retries: 0,
            crash_on: None,
            overrides: AnnouncementOverrides::default(),
            announce_interval: Duration::from_secs(1),
            seed: 1,
        }
    }

    /// Parses the arguments. Returns `None` if `--help` was given, after printing the help text.
    pub fn parse(parser: &mut lexopt::Parser) -> Result<Option<Arguments>, Error> {
        use lexopt::Arg::Long;

        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut arguments = Arguments::new(unset, unset, CompactString::default());
        let (mut address, mut node) = (None, None);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("address") => address = Some(value(parser)?),
                Long("node") => node = Some(value(parser)?),
                Long("service") => arguments.service = value(parser)?,
                Long("slots") => arguments.slots = value(parser)?,
                Long("service-time-ms") => arguments.service_time = millis(parser)?,
                Long("distribution") => arguments.distribution = value(parser)?,
                Long("cold-start-ms") => arguments.cold_start = millis(parser)?,
                Long("call") => arguments.calls.push(value(parser)?),
                Long("fan-out") => arguments.fan_out = true,
                Long("retries") => arguments.retries = value(parser)?,
                Long("crash-on") => arguments.crash_on = Some(value(parser)?),
                Long("report-running") => arguments.overrides.running = Some(value(parser)?),
                Long("report-slots") => arguments.overrides.slots = Some(value(parser)?),
                Long("report-healthy") => arguments.overrides.healthy = Some(value(parser)?),
                Long("announce-ms") => arguments.announce_interval = millis(parser)?,
                Long("seed") => arguments.seed = value(parser)?,
                Long("help") => {
                    println!("{HELP}");
                    return Ok(None);
                }
                argument => return Err(argument.unexpected().into()),
            }
        }
        if arguments.service.is_empty() {
            return Err(Error::Missing("--service"));
        }
        arguments.address = required(address, "--address")?;
        arguments.node = required(node, "--node")?;
        Ok(Some(arguments))
    }
}
