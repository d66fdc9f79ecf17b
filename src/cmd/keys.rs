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

/// Maximum number of proposals of a withdrawal while each conflicts with another change.
const MAX_WITHDRAW_ATTEMPTS: u32 = 10;
/// How long to wait until a withdrawal is in force on all nodes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between two queries of the nodes, and before a withdrawal is proposed again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the command.
pub async fn run(mut parser: Parser) -> Result<(), Error> {
    let help = format!("{HELP}\n\n{}\n\n{}", access::HELP, proposal::HELP);
    let Some(arguments) = Arguments::parse(&mut parser, &help)? else { return Ok(()) };
    let json = arguments.json;
    match &arguments.positional()[..] {
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
        return Err(Error::NotFound(format_compact!("team/{team}")));
    }
    let row = Row::Key(Key { id, team, digest: KeyDigest::of(&text), withdrawn: false });
    if session.row(&row.path()).is_some() {
        return Err(Error::AlreadyExists(row.path().to_compact_string()));
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
        match withdraw_key(&session, &path).await {
            // A withdrawal is valid whatever another operator changed, so a conflict is retried.
            Err(Error::Client(client::Error::Rejected(Rejection::Conflict { .. })))
                if attempts < MAX_WITHDRAW_ATTEMPTS =>
            {
                attempts += 1;
                tokio::time::sleep(POLL_INTERVAL).await;
                session.refresh().await?;
            }
            result => break result?,
        }
    };
    wait_until_in_force(&session.client, revision).await
}

/// Marks the key as withdrawn unless it already is, and returns the revision.
async fn withdraw_key(session: &Session, path: &Path) -> Result<u64, Error> {
    let Some(Row::Key(key)) = session.row(path) else {
        return Err(Error::NotFound(path.to_compact_string()));
    };
    if key.withdrawn {
        println!("{path} was withdrawn before");
        return Ok(session.expected);
    }
    let revision = session.write(Row::Key(Key { withdrawn: true, ..key.clone() })).await?;
    println!("{path} is withdrawn as of revision {revision}");
    Ok(revision)
}

/// How far a revision is in force in one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Rollout {
    /// Nodes that responded.
    nodes: u64,
    /// Responding nodes that are at the revision or a later one.
    in_force: u64,
    /// Addresses at which the query failed.
    unreachable: u64,
}

impl Rollout {
    fn is_complete(&self) -> bool {
        self.nodes > 0 && self.in_force == self.nodes && self.unreachable == 0
    }
}

async fn wait_until_in_force(client: &Client, revision: u64) -> Result<(), Error> {
    let started = Instant::now();
    loop {
        let rollouts = query_nodes(client, revision).await;
        let complete = rollouts.values().all(Rollout::is_complete);
        if !complete && started.elapsed() < IN_FORCE_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        show(&rollouts);
        return if complete { Ok(()) } else { Err(Error::NotInForce(revision)) };
    }
}

/// Queries the node at each address for its revision and counts the results by data centre. A data
/// centre that is known only as that of a peer has zero nodes. A failed query is counted under its
/// address, as the data centre there is not known.
async fn query_nodes(client: &Client, revision: u64) -> BTreeMap<CompactString, Rollout> {
    let mut rollouts: BTreeMap<CompactString, Rollout> = BTreeMap::new();
    for &address in client.addresses() {
        match client.status_at(address).await {
            Ok(status) => {
                for peer in status.peers {
                    rollouts.entry(peer.data_centre).or_default();
                }
                let rollout = rollouts.entry(status.data_centre).or_default();
                rollout.nodes += 1;
                rollout.in_force += u64::from(status.view.revision >= revision);
            }
            Err(_) => rollouts.entry(address.to_compact_string()).or_default().unreachable += 1,
        }
    }
    rollouts
}

fn show(rollouts: &BTreeMap<CompactString, Rollout>) {
    let rows: Vec<_> = rollouts
        .iter()
        .map(|(data_centre, rollout)| {
            let state = match rollout {
                rollout if rollout.unreachable > 0 => "no answer",
                rollout if rollout.nodes == 0 => "not asked: give --admin of a node there",
                rollout if rollout.is_complete() => "in force",
                _ => "not in force",
            };
            let nodes = format!("{} of {}", rollout.in_force, rollout.nodes);
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
            .map(|key| KeyEntry {
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

/// A key in the output of `list --json`.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct KeyEntry {
    id: CompactString,
    team: CompactString,
    withdrawn: bool,
}
