//! The pages list every setting, reason and counter, and the commands on them run.

use std::process::Command;

use mustardpin_world::{
    refusal::Reason,
    table::counter::{Retry, Work},
};

use crate::{
    fleet::{Fleet, slot},
    process::program,
};

const CALLERS: &str = include_str!("../../docs/CALLERS.md");
const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");
const EXAMPLE: &str = include_str!("../../settings.example.yaml");

#[test]
fn callers_page_lists_every_reason() {
    let missing: Vec<_> = Reason::ALL
        .iter()
        .filter(|reason| {
            let row = format!("| {} |", reason.status());
            let listed = CALLERS.lines().find(|line| line.starts_with(&row));
            let name = format!("`{reason}`");
            let in_row = listed.is_some_and(|line| line.contains(&name));
            // Status 499 never reaches a caller, so the text explains it in place of the table.
            let in_text = reason.status() == 499 && CALLERS.contains(&name);
            !in_row && !in_text
        })
        .collect();
    assert!(missing.is_empty(), "docs/CALLERS.md does not list {missing:?} with its status");
}

#[test]
fn operations_page_lists_every_counter() {
    let refusals = Reason::ALL.iter().map(|reason| format!("| `{reason}` |"));
    let retries = Retry::ALL.iter().map(|retry| format!("| `{retry}` |"));
    let work = Work::ALL.iter().map(|work| format!("| `{work}` |"));
    let missing: Vec<_> =
        refusals.chain(retries).chain(work).filter(|row| !OPERATIONS.contains(row)).collect();
    assert!(missing.is_empty(), "docs/OPERATIONS.md does not list {missing:?}");
}

#[test]
fn operations_page_lists_every_setting() {
    let mut section = "";
    let mut missing = Vec::new();
    for line in EXAMPLE.lines() {
        let line = line.strip_prefix("# ").unwrap_or(line);
        let Some((key, _)) = line.split_once(':') else { continue };
        let name = key.trim_start().trim_start_matches("# ");
        if name.contains(' ') {
            continue;
        }
        let indented = key.starts_with(' ');
        let path = if indented { format!("{section}.{name}") } else { name.to_owned() };
        if line.trim_end().ends_with(':') {
            section = name;
        } else if !OPERATIONS.contains(&format!("| `{path}` |")) {
            missing.push(path);
        }
    }
    assert!(missing.is_empty(), "docs/OPERATIONS.md does not list {missing:?}");
}

/// Splits a line into words like a shell, with single quotes only.
fn split_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for character in line.chars() {
        match character {
            '\'' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            character => words.last_mut().expect("there is a word").push(character),
        }
    }
    words
}

/// Runs the commands of the operators' page, in its order, against a fleet. Commands with
/// `--settings` or `--admin` are left out, as the fleet itself starts the nodes and names their
/// addresses; the check of the example settings runs at the end.
#[tokio::test(flavor = "multi_thread")]
async fn commands_of_the_operations_page_run() {
    let fleet =
        Fleet::start(&[slot("north", "slot-search"), slot("south", "booking-ledger")]).await;
    let lines = OPERATIONS.lines().filter_map(|line| line.strip_prefix("    mustardpin "));
    let mut ran = 0;
    for line in lines.filter(|line| !line.contains("--settings") && !line.contains("--admin")) {
        let words = split_words(line);
        let words: Vec<_> = words.iter().map(String::as_str).collect();
        fleet.run_successfully(&words);
        fleet.wait_until_in_force().await;
        ran += 1;
    }
    assert!(ran > 10, "the page has lost its commands");
    let check = ["check", "--settings", "settings.example.yaml"];
    let status = Command::new(program("mustardpin")).args(check).status();
    assert!(status.expect("the command runs").success());
}
