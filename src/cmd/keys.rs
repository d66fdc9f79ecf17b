//! `mustardpin keys`: issues, lists and withdraws tenant keys.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use compact_str::{CompactString, ToCompactString as _, format_compact};
use lexopt::Parser;
use mustardpin_wire::admin::Rejection;
use mustardpin_world::{
    config::{Key, Kind, Path, Row},
    id::KeyDigest,
};

use crate::{
    access,
    client::{self, Client},
    cmd::proposal::{self, Arguments, Session},
    error::Error,
    table,
};

const HELP: &str = "\
Issues, lists and withdraws tenant keys.

Usage:
  mustardpin keys issue TEAM [--id ID]
  mustardpin keys list [--json]
  mustardpin keys withdraw ID

`issue` prints the key once; only its digest is stored. `withdraw` waits until the withdrawal is in
force on the nodes it knows of, and shows it per data centre; give --admin for a node of each data
centre. It ends with exit code 6 if that takes more than 10 s. To look again, run it again.";

/// How often a withdrawal is proposed while other changes come first.
const WITHDRAW_ATTEMPTS: u32 = 10;
/// How long to wait for a withdrawal to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Error> {
    let help = format!("{HELP}\n\n{}\n\n{}", access::HELP, proposal::HELP);
    let Some(arguments) = Arguments::parse(&mut parser, &help)? else { return Ok(()) };
    let json = arguments.json;
    match &arguments.words()[..] {
        ["issue", team] => {
            let team = team.to_compact_string();
            issue(arguments, team).await
        }
        ["list"] => list(&Session::open(arguments).await?, json),
        ["withdraw", id] => {
            let id = id.to_compact_string();
            withdraw(arguments, id).await
        }
        _ => Err(Error::Usage(format!("wrong arguments\n\n{HELP}"))),
    }
}

async fn issue(arguments: Arguments, team: CompactString) -> Result<(), Error> {
    let id = arguments.id.clone();
    let id = id.unwrap_or_else(|| format_compact!("{team}-{:08x}", rand::random::<u32>()));
    let secret: [u64; 3] = rand::random();
    let [first, second, third] = secret;
    let text = format!("{id}.{first:016x}{second:016x}{third:016x}");
    let session = Session::open(arguments).await?;
    if session.row(&Path { kind: Kind::Team, name: team.clone() }).is_none() {
        return Err(Error::Missing(format_compact!("team/{team}")));
    }
    let row = Row::Key(Key { id, team, digest: KeyDigest::of(&text), withdrawn: false });
    if session.row(&row.path()).is_some() {
        return Err(Error::Taken(row.path().to_compact_string()));
    }
    let revision = session.write(row).await?;
    println!("{text}");
    eprintln!("accepted as revision {revision}; the key is not shown again");
    Ok(())
}

async fn withdraw(arguments: Arguments, id: CompactString) -> Result<(), Error> {
    let mut session = Session::open(arguments).await?;
    let path = Path { kind: Kind::Key, name: id };
    let mut attempts = 1;
    let revision = loop {
        match write_withdrawn(&session, &path).await {
            // Another operator's change does not stand in the way of a withdrawal.
            Err(Error::Client(client::Error::Rejected(Rejection::Conflict { .. })))
                if attempts < WITHDRAW_ATTEMPTS =>
            {
                attempts += 1;
                tokio::time::sleep(LOOK_PAUSE).await;
                session.refresh().await?;
            }
            result => break result?,
        }
    };
    wait_in_force(&session.client, revision).await
}

/// Writes the key as withdrawn, unless it is so already, and gives the revision.
async fn write_withdrawn(session: &Session, path: &Path) -> Result<u64, Error> {
    let Some(Row::Key(key)) = session.row(path) else {
        return Err(Error::Missing(path.to_compact_string()));
    };
    if key.withdrawn {
        println!("{path} was withdrawn before");
        return Ok(session.expected);
    }
    let revision = session.write(Row::Key(Key { withdrawn: true, ..key.clone() })).await?;
    println!("{path} is withdrawn as of revision {revision}");
    Ok(revision)
}

/// Nodes of a data centre, and how many of them have a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Force {
    nodes: u64,
    in_force: u64,
    silent: u64,
}

impl Force {
    fn is_complete(&self) -> bool {
        self.nodes > 0 && self.in_force == self.nodes && self.silent == 0
    }
}

async fn wait_in_force(client: &Client, revision: u64) -> Result<(), Error> {
    let started = Instant::now();
    loop {
        let forces = look(client, revision).await;
        let complete = forces.values().all(Force::is_complete);
        if !complete && started.elapsed() < IN_FORCE_TIMEOUT {
            tokio::time::sleep(LOOK_PAUSE).await;
            continue;
        }
        show(&forces);
        return if complete { Ok(()) } else { Err(Error::NotInForce(revision)) };
    }
}

/// Asks every node given for its revision.
async fn look(client: &Client, revision: u64) -> BTreeMap<CompactString, Force> {
    let mut forces: BTreeMap<CompactString, Force> = BTreeMap::new();
    for &address in client.addresses() {
        match client.status_at(address).await {
            Ok(status) => {
                for peer in status.peers {
                    forces.entry(peer.data_centre).or_default();
                }
                let force = forces.entry(status.data_centre).or_default();
                force.nodes += 1;
                force.in_force += u64::from(status.view.revision >= revision);
            }
            Err(_) => forces.entry(address.to_compact_string()).or_default().silent += 1,
        }
    }
    forces
}

fn show(forces: &BTreeMap<CompactString, Force>) {
    let rows: Vec<_> = forces
        .iter()
        .map(|(data_centre, force)| {
            let state = match force {
                force if force.silent > 0 => "no answer",
                force if force.nodes == 0 => "not asked: give --admin of a node there",
                force if force.is_complete() => "in force",
                _ => "not in force",
            };
            let nodes = format!("{} of {}", force.in_force, force.nodes);
            [data_centre.to_string(), state.to_owned(), nodes]
        })
        .collect();
    table::print(["data centre", "withdrawal", "nodes asked"], &rows);
}

fn list(session: &Session, json: bool) -> Result<(), Error> {
    let keys = session.rows.iter().filter_map(|row| match row {
        Row::Key(key) => Some(key),
        _ => None,
    });
    if json {
        let rows: Vec<_> = keys
            .map(|key| Listed {
                id: key.id.clone(),
                team: key.team.clone(),
                withdrawn: key.withdrawn,
            })
            .collect();
        return super::print_json(&rows);
    }
    let state = |key: &Key| if key.withdrawn { "withdrawn" } else { "in use" };
    let rows: Vec<_> =
        keys.map(|key| [key.id.to_string(), key.team.to_string(), state(key).to_owned()]).collect();
    table::print(["key", "team", "state"], &rows);
    Ok(())
}

/// A key as `list --json` shows it.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct Listed {
    id: CompactString,
    team: CompactString,
    withdrawn: bool,
}
