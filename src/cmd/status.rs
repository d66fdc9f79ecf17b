//! `mustardpin status`: the state of a node and what it knows of the fleet.

use lexopt::Parser;
use mustardpin_wire::admin::status::{Count, Status};

use crate::{access, cmd::proposal::Arguments, error::Error, table};

const HELP: &str = "\
Shows the state of a node and what it knows of the fleet: nodes, target, revision and epoch,
freshness, limits, refusals and retries by reason.

Usage: mustardpin status [--json]";

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Error> {
    let help = format!("{HELP}\n\n{}", access::HELP);
    let Some(arguments) = Arguments::parse(&mut parser, &help)? else { return Ok(()) };
    if !arguments.words.is_empty() {
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
    println!("node {} of {} in {}{leaving}\n", status.node, status.service, status.data_centre);
    show_view(status);
    show_target(status);
    show_peers(status);
    show_counts("refusals", &status.refusals);
    show_counts("retries", &status.retries);
    show_counts("work", &status.work);
}

fn show_view(status: &Status) {
    let view = &status.view;
    let age = view.platform_age_ms.map_or("unknown".to_owned(), |age| format!("{age} ms"));
    let rows = [[
        view.revision.to_string(),
        format!("{} with {} nodes", view.epoch, view.members),
        if view.fresh { "fresh" } else { "cut off" }.to_owned(),
        age,
    ]];
    table::print(["revision", "epoch", "knowledge", "news from the platform"], &rows);
    println!();
    let rows: Vec<_> = view
        .data_centres
        .iter()
        .map(|data_centre| {
            let age = data_centre.age_ms.map_or("none".to_owned(), |age| format!("{age} ms"));
            [data_centre.name.to_string(), age]
        })
        .collect();
    table::print(["data centre", "age of its news"], &rows);
    println!();
}

fn show_target(status: &Status) {
    let target = &status.target;
    let state = match target {
        target if !target.present => "absent",
        target if target.draining => "draining",
        target if !target.healthy => "says it is unhealthy",
        _ => "present",
    };
    let slots = target.slots.map_or("unknown".to_owned(), |slots| slots.to_string());
    let rows = [[
        state.to_owned(),
        slots,
        target.running.to_string(),
        target.queued.to_string(),
        status.calls.to_string(),
    ]];
    table::print(["target", "slots it reports", "running", "queued", "calls"], &rows);
    println!();
}

fn show_peers(status: &Status) {
    let rows: Vec<_> = status
        .peers
        .iter()
        .map(|peer| {
            [
                peer.node.to_string(),
                peer.data_centre.to_string(),
                peer.service.to_string(),
                peer.control_address.to_string(),
                peer.state.to_string(),
                peer.in_flight.to_string(),
                peer.limit.map_or("unknown".to_owned(), |limit| limit.to_string()),
            ]
        })
        .collect();
    let titles =
        ["node", "data centre", "service", "control address", "state", "in flight", "limit"];
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
