//! The pages name every setting, reason and counter.

use mustardpin_world::{
    refusal::Reason,
    table::counter::{Retry, Work},
};

const CALLERS: &str = include_str!("../../docs/CALLERS.md");
const OPERATING: &str = include_str!("../../docs/OPERATING.md");
const EXAMPLE: &str = include_str!("../../settings.example.yaml");

#[test]
fn callers_find_every_reason() {
    let missing: Vec<_> = Reason::ALL
        .iter()
        .filter(|reason| {
            let row = format!("| {} |", reason.status());
            let listed = CALLERS.lines().find(|line| line.starts_with(&row));
            let name = format!("`{reason}`");
            let in_row = listed.is_some_and(|line| line.contains(&name));
            // A status that callers never see is explained in the text.
            let in_text = reason.status() == 499 && CALLERS.contains(&name);
            !in_row && !in_text
        })
        .collect();
    assert!(missing.is_empty(), "docs/CALLERS.md does not list {missing:?} with its status");
}

#[test]
fn operators_find_every_counter() {
    let refusals = Reason::ALL.iter().map(|reason| format!("| `refused.{reason}` |"));
    let retries = Retry::ALL.iter().map(|retry| format!("| `retried.{retry}` |"));
    let work = Work::ALL.iter().map(|work| format!("| `work.{work}` |"));
    let missing: Vec<_> =
        refusals.chain(retries).chain(work).filter(|row| !OPERATING.contains(row)).collect();
    assert!(missing.is_empty(), "docs/OPERATING.md does not list {missing:?}");
}

#[test]
fn operators_find_every_setting() {
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
        } else if !OPERATING.contains(&format!("| `{path}` |")) {
            missing.push(path);
        }
    }
    assert!(missing.is_empty(), "docs/OPERATING.md does not list {missing:?}");
}
