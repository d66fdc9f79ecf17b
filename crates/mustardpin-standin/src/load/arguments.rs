//! The command-line arguments of the load generator.

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use compact_str::CompactString;

use crate::arguments::{Error, millis, value};

const HELP: &str = "\
Sends open-loop load to nodes, checks every response and prints a report.

Usage: load-generator --entry IP:PORT --team NAME,KEY,RATE --route 'WEIGHT METHOD PATH' [options]

Options:
  --entry IP:PORT        a node's address for callers; may be repeated, used in turn
  --team NAME,KEY,RATE   a team, its tenant key (- for none) and its requests a second; repeated
  --route 'WEIGHT METHOD PATH [once|open]'
                         a route; `once` sends an idempotency key, `open` is open to all;
                         may be repeated
  --seconds N            how long to send (10)
  --deadline-ms N        the remaining time that is sent with each request (2000)
  --retries N            immediate retries of a failed request (0)
  --http2                speaks HTTP/2
  --seed N               decides arrivals and routes (1)
  --withdrawn TEAM=FILE  once FILE exists, the team's key counts as withdrawn
  --inspect IP:PORT      a target stand-in to ask afterwards what it ran; may be repeated
  --strict-cuts          requests cut off without a response count as a broken promise
  --help                 this text

Exit codes: 0 no promise was broken; 1 a promise was broken; 2 wrong arguments.
A promise is broken by a response that is incomplete or belongs to another request, by a key that
a target saw, by a non-repeatable request that ran twice, or ran though it was refused as not run,
and by a request that was sent more than 3 s after its key was withdrawn and ran all the same.";

/// A team that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// The team's name, which is also part of the names of its requests.
    pub name: CompactString,
    /// The tenant key, or `None` to send requests without one.
    pub key: Option<CompactString>,
    /// The mean arrival rate, in requests per second.
    pub rate: f64,
    /// The key counts as withdrawn once this file exists, from its modification time on.
    pub withdrawal_file: Option<PathBuf>,
}

impl FromStr for Team {
    type Err = String;

    fn from_str(text: &str) -> Result<Team, String> {
        let parts: Vec<_> = text.split(',').collect();
        let [name, key, rate] = parts[..] else {
            return Err("write a team as NAME,KEY,RATE".to_owned());
        };
        let rate = rate.parse().map_err(|_| format!("{rate} is not a rate"))?;
        let key = (key != "-").then(|| key.into());
        Ok(Team { name: name.into(), key, rate, withdrawal_file: None })
    }
}

/// A kind of request to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its share of the requests, relative to the weights of the other routes.
    pub weight: f64,
    /// The HTTP method.
    pub method: CompactString,
    /// The path, with an optional query.
    pub path: CompactString,
    /// Whether it is non-repeatable and sent with an idempotency key.
    pub once: bool,
    /// Whether it is public: served with any key and without one.
    pub open: bool,
}

impl FromStr for Route {
    type Err = String;

    fn from_str(text: &str) -> Result<Route, String> {
        let parts: Vec<_> = text.split_whitespace().collect();
        let (weight, method, path, kind) = match parts[..] {
            [weight, method, path] => (weight, method, path, ""),
            [weight, method, path, kind @ ("once" | "open")] => (weight, method, path, kind),
            _ => return Err("write a route as 'WEIGHT METHOD PATH [once|open]'".to_owned()),
        };
        let weight = weight.parse().map_err(|_| format!("{weight} is not a weight"))?;
        let (once, open) = (kind == "once", kind == "open");
        Ok(Route { weight, method: method.into(), path: path.into(), once, open })
    }
}

/// The command-line arguments of the load generator.
#[derive(Debug, Clone, PartialEq)]
pub struct Arguments {
    /// Addresses of nodes for callers, used round-robin.
    pub entries: Vec<SocketAddr>,
    /// The teams that send requests.
    pub teams: Vec<Team>,
    /// The routes that requests are sent to.
    pub routes: Vec<Route>,
    /// How long requests are sent.
    pub duration: Duration,
    /// The remaining time that is sent with each request.
    pub deadline: Duration,
    /// The maximum number of retries of a failed request.
    pub retries: u32,
    /// Whether to use HTTP/2 instead of HTTP/1.1.
    pub http2: bool,
    /// The seed of the random numbers that determine arrivals and routes.
    pub seed: u64,
    /// Addresses of target stand-ins that are asked afterwards what they ran.
    pub inspected: Vec<SocketAddr>,
    /// Whether a request that was cut off without a response counts as a broken promise.
    pub strict_cuts: bool,
}

impl Default for Arguments {
    fn default() -> Arguments {
        Arguments {
            entries: Vec::new(),
            teams: Vec::new(),
            routes: Vec::new(),
            duration: Duration::from_secs(10),
            deadline: Duration::from_secs(2),
            retries: 0,
            http2: false,
            seed: 1,
            inspected: Vec::new(),
            strict_cuts: false,
        }
    }
}

impl Arguments {
    /// Parses the arguments. Returns `None` if `--help` was given, after printing the help text.
    pub fn parse(parser: &mut lexopt::Parser) -> Result<Option<Arguments>, Error> {
        use lexopt::Arg::Long;

        let mut arguments = Arguments::default();
        let mut assignments: Vec<String> = Vec::new();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("entry") => arguments.entries.push(value(parser)?),
                Long("team") => arguments.teams.push(value(parser)?),
                Long("route") => arguments.routes.push(value(parser)?),
                Long("seconds") => arguments.duration = Duration::from_secs(value(parser)?),
                Long("deadline-ms") => arguments.deadline = millis(parser)?,
                Long("retries") => arguments.retries = value(parser)?,
                Long("http2") => arguments.http2 = true,
                Long("seed") => arguments.seed = value(parser)?,
                Long("withdrawn") => assignments.push(value(parser)?),
                Long("inspect") => arguments.inspected.push(value(parser)?),
                Long("strict-cuts") => arguments.strict_cuts = true,
                Long("help") => {
                    println!("{HELP}");
                    return Ok(None);
                }
                argument => return Err(argument.unexpected().into()),
            }
        }
        for assignment in assignments {
            arguments.set_withdrawal_file(assignment)?;
        }
        arguments.check()?;
        Ok(Some(arguments))
    }

    fn set_withdrawal_file(&mut self, assignment: String) -> Result<(), Error> {
        let found = assignment.split_once('=').and_then(|(name, file)| {
            let team = self.teams.iter_mut().find(|team| team.name == name)?;
            Some((team, file))
        });
        match found {
            Some((team, file)) => team.withdrawal_file = Some(file.into()),
            None => {
                return Err(Error::Malformed {
                    option: "--withdrawn",
                    value: assignment,
                    expected: "TEAM=FILE with a team of this load",
                });
            }
        }
        Ok(())
    }

    fn check(&self) -> Result<(), Error> {
        if self.entries.is_empty() {
            return Err(Error::Missing("--entry"));
        }
        if self.teams.is_empty() {
            return Err(Error::Missing("--team"));
        }
        if self.routes.is_empty() {
            return Err(Error::Missing("--route"));
        }
        Ok(())
    }
}
