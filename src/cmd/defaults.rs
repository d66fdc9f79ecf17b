//! `mustardpin defaults`: shows and changes the fleet's defaults.

use compact_str::{CompactString, ToCompactString as _};
use lexopt::Parser;
use mustardpin_wire::config as wire;
use mustardpin_world::{
    Millis,
    config::{CutOffPolicy, Fleet, Importance, Kind, Path, Route, Row, Team},
};

use crate::{
    access,
    assignment::{AnyOr, Assignments, Names, NoneOr, Parts},
    cmd::proposal::{self, Arguments, Session},
    error::Error,
    table,
};

const HELP: &str = "\
Shows and changes the fleet's defaults.

Usage:
  mustardpin defaults show [--json]
  mustardpin defaults set team NAME [rate=N] [burst=N] [weight=N] [importance=LEVEL]
  mustardpin defaults set route NAME [service=NAME[:WEIGHT],...] [host=NAME|any] [path=/PREFIX]
      [method=GET|any] [importance=LEVEL] [repeatable=BOOL] [open=BOOL] [timeout=TIME]
      [objective=TIME|none] [attempts=N|any] [teams=NAME,NAME|all]
  mustardpin defaults set fleet [cut-off=refuse|serve:TIME] [retry-allowance=N]
  mustardpin defaults remove team|route NAME

What is left out of `set` stays as it is. Rates are requests a second across all instances
together, bursts are requests. TIME is written as 500ms, 3s or 10min, LEVEL as low, normal, high,
critical or a number up to 255. Of two requests, the one of the less important team is refused
first, and within a team the one on the less important route. A route with several services splits
its requests between them by weight.";

/// Time limit of a new route if none is given.
const DEFAULT_ROUTE_TIMEOUT: Millis = Millis::from_secs(10);
/// Weight of a new team if none is given.
const DEFAULT_TEAM_WEIGHT: u32 = 1;

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Error> {
    let help = format!("{HELP}\n\n{}\n\n{}", access::HELP, proposal::HELP);
    let Some(arguments) = Arguments::parse(&mut parser, &help)? else { return Ok(()) };
    let json = arguments.json;
    let positional = arguments.positional.clone();
    let positional: Vec<_> = positional.iter().map(String::as_str).collect();
    let revision = match &positional[..] {
        ["show"] => return show(&Session::open(arguments).await?, json),
        ["set", "team", name, ..] => set_team(arguments, name).await?,
        ["set", "route", name, ..] => set_route(arguments, name).await?,
        ["set", "fleet", ..] => set_fleet(arguments).await?,
        ["remove", "team", name] => remove(arguments, Kind::Team, name).await?,
        ["remove", "route", name] => remove(arguments, Kind::Route, name).await?,
        _ => return Err(Error::Usage(format!("wrong arguments\n\n{HELP}"))),
    };
    println!("accepted as revision {revision}");
    Ok(())
}

async fn set_team(arguments: Arguments, name: &str) -> Result<u64, Error> {
    let path = Path { kind: Kind::Team, name: name.into() };
    let mut values = Assignments::parse(path.to_compact_string(), &arguments.positional[3..])?;
    let session = Session::open(arguments).await?;
    let current = match session.row(&path) {
        Some(Row::Team(team)) => Some(team.clone()),
        _ => None,
    };
    let rate = values.required("rate", current.as_ref().map(|team| team.rate))?;
    let team = Team {
        name: name.into(),
        rate,
        burst: values.value("burst", current.as_ref().map_or(rate, |team| team.burst))?,
        weight: values
            .value("weight", current.as_ref().map_or(DEFAULT_TEAM_WEIGHT, |team| team.weight))?,
        importance: values.value(
            "importance",
            current.as_ref().map_or(Importance::default(), |team| team.importance),
        )?,
    };
    values.finish()?;
    session.write(Row::Team(team)).await
}

async fn set_route(arguments: Arguments, name: &str) -> Result<u64, Error> {
    let path = Path { kind: Kind::Route, name: name.into() };
    let mut values = Assignments::parse(path.to_compact_string(), &arguments.positional[3..])?;
    let session = Session::open(arguments).await?;
    let current = match session.row(&path) {
        Some(Row::Route(route)) => Some(route.clone()),
        _ => None,
    };
    let known = current.as_ref();
    let route = Route {
        name: name.into(),
        parts: values.required("service", known.map(|route| Parts(route.parts.clone())))?.0,
        host: values.value("host", AnyOr(known.and_then(|route| route.host.clone())))?.0,
        path_prefix: values.required("path", known.map(|route| route.path_prefix.clone()))?,
        method: values.value("method", AnyOr(known.and_then(|route| route.method.clone())))?.0,
        importance: values
            .value("importance", known.map_or(Importance::default(), |route| route.importance))?,
        // A route is non-repeatable until an operator declares that repeats do no harm.
        repeatable: values.value("repeatable", known.is_some_and(|route| route.repeatable))?,
        open: values.value("open", known.is_some_and(|route| route.open))?,
        timeout: values
            .value("timeout", known.map_or(DEFAULT_ROUTE_TIMEOUT, |route| route.timeout))?,
        objective: values.value("objective", NoneOr(known.and_then(|route| route.objective)))?.0,
        attempts: values.value("attempts", NoneOr(known.and_then(|route| route.attempts)))?.0,
        teams: values
            .value("teams", Names(known.map(|route| route.teams.clone()).unwrap_or_default()))?
            .0,
    };
    values.finish()?;
    session.write(Row::Route(route)).await
}

async fn set_fleet(arguments: Arguments) -> Result<u64, Error> {
    let path = Row::Fleet(Fleet::default()).path();
    let mut values = Assignments::parse(path.to_compact_string(), &arguments.positional[2..])?;
    let session = Session::open(arguments).await?;
    let current = match session.row(&path) {
        Some(Row::Fleet(fleet)) => fleet.clone(),
        _ => Fleet::default(),
    };
    let fleet = Fleet {
        cut_off: values.value("cut-off", current.cut_off)?,
        retry_allowance: values.value("retry-allowance", current.retry_allowance)?,
        callers: current.callers,
    };
    values.finish()?;
    session.write(Row::Fleet(fleet)).await
}

async fn remove(arguments: Arguments, kind: Kind, name: &str) -> Result<u64, Error> {
    let path = Path { kind, name: name.into() };
    Session::open(arguments).await?.remove(path).await
}

fn show(session: &Session, json: bool) -> Result<(), Error> {
    let is_default = |row: &&Row| matches!(row, Row::Fleet(_) | Row::Team(_) | Row::Route(_));
    let rows = session.rows.iter().filter(is_default);
    if json {
        let rows: Vec<_> = rows.cloned().map(wire::Row::from).collect();
        return super::print_json(&rows);
    }
    println!("revision {}\n", session.expected);
    show_fleet(session);
    show_teams(session);
    show_routes(session);
    Ok(())
}

fn show_fleet(session: &Session) {
    let found = session.rows.iter().find_map(|row| match row {
        Row::Fleet(fleet) => Some(fleet.clone()),
        _ => None,
    });
    let fleet = found.unwrap_or_default();
    let cut_off: CompactString = match fleet.cut_off {
        CutOffPolicy::Refuse => "refuse".into(),
        CutOffPolicy::Serve(grace) => compact_str::format_compact!("serve:{}ms", grace.0),
    };
    let rows = [[cut_off.to_string(), fleet.retry_allowance.to_string()]];
    table::print(["cut-off", "retry-allowance"], &rows);
    println!();
}

fn show_teams(session: &Session) {
    let teams = session.rows.iter().filter_map(|row| match row {
        Row::Team(team) => Some([
            team.name.to_string(),
            format!("{}/s", team.rate),
            team.burst.to_string(),
            team.weight.to_string(),
            team.importance.to_string(),
        ]),
        _ => None,
    });
    table::print(["team", "rate", "burst", "weight", "importance"], &teams.collect::<Vec<_>>());
    println!();
}

fn show_routes(session: &Session) {
    let routes = session.rows.iter().filter_map(|row| match row {
        Row::Route(route) => Some([
            route.name.to_string(),
            route.method.as_deref().unwrap_or("any").to_owned(),
            route.host.as_deref().unwrap_or("any").to_owned(),
            route.path_prefix.to_string(),
            Parts(route.parts.clone()).to_string(),
            route.importance.to_string(),
            route.repeatable.to_string(),
            route.open.to_string(),
            route.timeout.to_string(),
            route.objective.map_or("none".to_owned(), |objective| objective.to_string()),
            route.attempts.map_or("any".to_owned(), |attempts| attempts.to_string()),
            if route.teams.is_empty() { "all".to_owned() } else { route.teams.join(",") },
        ]),
        _ => None,
    });
    let titles = [
        "route",
        "method",
        "host",
        "path",
        "service",
        "importance",
        "repeatable",
        "open",
        "timeout",
        "objective",
        "attempts",
        "teams",
    ];
    table::print(titles, &routes.collect::<Vec<_>>());
}
