//! `mustardpin exceptions`: lists, adds and removes exceptions to the defaults, each with a reason.

use compact_str::ToCompactString as _;
use lexopt::Parser;
use mustardpin_wire::config as wire;
use mustardpin_world::config::{Change, Exception, Kind, Path, Row};

use crate::{
    access,
    assignment::Assignments,
    cmd::proposal::{self, Arguments, Session},
    error::Error,
    table,
};

const HELP: &str = "\
Lists, adds and removes departures from the defaults. Each needs its reason.

Usage:
  mustardpin exceptions list [--json]
  mustardpin exceptions add NAME --reason TEXT team-rate team=NAME rate=N burst=N
  mustardpin exceptions add NAME --reason TEXT importance team=NAME route=NAME
      importance=low|normal|high|critical
  mustardpin exceptions add NAME --reason TEXT serve-cut-off team=NAME grace=TIME
  mustardpin exceptions remove NAME

`serve-cut-off` lets a team go on with the last known keys and shares, for the time given, while
its data centre is cut off. TIME is written as 500ms, 3s or 10min.";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Error> {
    let help = format!("{HELP}\n\n{}\n\n{}", access::HELP, proposal::HELP);
    let Some(arguments) = Arguments::parse(&mut parser, &help)? else { return Ok(()) };
    let json = arguments.json;
    let revision = match &arguments.positional()[..] {
        ["list"] => return list(&Session::open(arguments).await?, json),
        ["add", name, kind, ..] => {
            let exception = parse_exception(&arguments, name, kind)?;
            add(arguments, exception).await?
        }
        ["remove", name] => {
            let path = Path { kind: Kind::Exception, name: (*name).into() };
            Session::open(arguments).await?.remove(path).await?
        }
        _ => return Err(Error::Usage(format!("wrong arguments\n\n{HELP}"))),
    };
    println!("accepted as revision {revision}");
    Ok(())
}

fn parse_exception(arguments: &Arguments, name: &str, kind: &str) -> Result<Exception, Error> {
    let path = Path { kind: Kind::Exception, name: name.into() };
    let Some(reason) = arguments.reason.clone().filter(|reason| !reason.trim().is_empty()) else {
        return Err(Error::Usage(format!(
            "{path}: an exception needs its reason; add --reason 'why'"
        )));
    };
    let mut values = Assignments::parse(path.to_compact_string(), &arguments.positional[3..])?;
    let change = match kind {
        "team-rate" => Change::TeamRate {
            team: values.required("team", None)?,
            rate: values.required("rate", None)?,
            burst: values.required("burst", None)?,
        },
        "importance" => Change::Importance {
            team: values.required("team", None)?,
            route: values.required("route", None)?,
            importance: values.required("importance", None)?,
        },
        "serve-cut-off" => Change::ServeCutOff {
            team: values.required("team", None)?,
            grace: values.required("grace", None)?,
        },
        _ => {
            return Err(Error::Usage(format!(
                "{path}: `{kind}` is no kind of exception; choose team-rate, importance or serve-cut-off"
            )));
        }
    };
    values.finish()?;
    Ok(Exception { name: name.into(), change, reason })
}

async fn add(arguments: Arguments, exception: Exception) -> Result<u64, Error> {
    let session = Session::open(arguments).await?;
    let row = Row::Exception(exception);
    if session.row(&row.path()).is_some_and(|current| *current != row) {
        return Err(Error::AlreadyExists(row.path().to_compact_string()));
    }
    session.write(row).await
}

fn list(session: &Session, json: bool) -> Result<(), Error> {
    let exceptions = session.rows.iter().filter_map(|row| match row {
        Row::Exception(exception) => Some(exception),
        _ => None,
    });
    if json {
        let rows: Vec<_> =
            exceptions.cloned().map(|row| wire::Row::from(Row::Exception(row))).collect();
        return super::print_json(&rows);
    }
    let rows: Vec<_> = exceptions
        .map(|exception| {
            let change = match &exception.change {
                Change::TeamRate { team, rate, burst } => {
                    format!("team {team}: rate {rate}/s, burst {burst}")
                }
                Change::Importance { team, route, importance } => {
                    format!("team {team} on route {route}: importance {importance}")
                }
                Change::ServeCutOff { team, grace } => {
                    format!("team {team}: served for {grace} while cut off")
                }
            };
            [exception.name.to_string(), change, exception.reason.to_string()]
        })
        .collect();
    table::print(["exception", "change", "reason"], &rows);
    Ok(())
}
