//! `mustardpin status`: the state of a node and what it knows of the fleet.

use lexopt::Parser;
use mustardpin_wire::admin::status::{Count, Status};

use crate::{access, cmd::proposal::Arguments, error::Error, table};

const HELP: &str = "\
Shows the state of a node and what it knows of the fleet: nodes, target, revision,
freshness, limits, refusals and retries by reason.

Usage: mustardpin status [--json]";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Error> {
    let help = format!("{HELP}\n\n{}", access::HELP);
    let Some(arguments) = Arguments::parse(&mut parser, &help)? else { return Ok(()) };
    if !arguments.positional.is_empty() {
        return Err(Error::Usage(format!("wrong arguments\n\n{HELP}")));
    }
    let json = arguments.json;
    let status = arguments.access.client()?.status().await?;
    if json {
        return super::print_json(&status);
    }
    show(&status);
    Ok(())
}

fn show(status: &Status) {
    let leaving = if status.leaving { ", leaving" } else { "" };
    let Status { node, name, service, data_centre, .. } = status;
    println!("node {name} ({node}) of {service} in {data_centre}{leaving}\n");
    show_view(status);
    show_target(status);
    show_peers(status);
    show_counts("refusals", &status.refusals);
    show_counts("retries", &status.retries);
    show_counts("work", &status.work);
}

fn show_view(status: &Status) {
    let view = &status.view;
    let age = view.store_age_ms.map_or("unknown".to_owned(), |age| format!("{age} ms"));
    let rows = [[
        view.revision.to_string(),
        view.members.to_string(),
        if view.fresh { "fresh" } else { "cut off" }.to_owned(),
        age,
    ]];
    table::print(["revision", "roster", "knowledge", "age of store data"], &rows);
    println!();
}

fn show_target(status: &Status) {
    let target = &status.target;
    let state = match target {
        target if !target.present => "absent",
        target if target.leaving => "leaving",
        target if target.draining => "draining",
        target if !target.healthy => "reports itself unhealthy",
        _ => "present",
    };
    let slots = target.slots.map_or("unknown".to_owned(), |slots| slots.to_string());
    let rows = [[
        state.to_owned(),
        slots,
        target.limit.to_string(),
        target.rate_limit.as_ref().map_or("none".to_owned(), |rate| format!("{rate}/s")),
        target.running.to_string(),
        target.queued.to_string(),
        format!("{} ms", target.latency_ms),
        status.calls.to_string(),
    ]];
    let titles = [
        "target",
        "slots it reports",
        "limit",
        "rate limit",
        "running",
        "queued",
        "latency",
        "calls",
    ];
    table::print(titles, &rows);
    println!();
}

fn show_peers(status: &Status) {
    let rows: Vec<_> = status
        .peers
        .iter()
        .map(|peer| {
            [
                peer.name.to_string(),
                peer.data_centre.to_string(),
                peer.service.to_string(),
                peer.address.to_string(),
                peer.link.to_string(),
                if peer.open { "open" } else { "closed" }.to_owned(),
                peer.in_flight.to_string(),
                peer.limit.map_or("unknown".to_owned(), |limit| limit.to_string()),
            ]
        })
        .collect();
    let titles =
        ["node", "data centre", "service", "address", "link", "target", "in flight", "limit"];
    table::print(titles, &rows);
}

fn show_counts(title: &str, counts: &[Count]) {
    if counts.is_empty() {
        return;
    }
    println!();
    let rows: Vec<_> =
        counts.iter().map(|count| [count.name.to_string(), count.count.to_string()]).collect();
    table::print([title, "count"], &rows);
}
