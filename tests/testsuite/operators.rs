//! Concurrent, repeated and rejected changes of operators.

use std::thread;

use crate::fleet::{Fleet, slot};

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_conflicts() {
    let fleet = Fleet::start(&[slot("north", "search"), slot("south", "search")]).await;
    let revision = fleet.status(0).await.expect("the node responds").view.revision.to_string();
    let change = |slot: usize, rate: &str| {
        let rate = format!("rate={rate}");
        let words = ["defaults", "set", "team", "garages", &rate, "--expected", &revision];
        let output = fleet.run_command(&[slot], &words);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let mut results = thread::scope(|scope| {
        let first = scope.spawn(|| change(0, "111"));
        let second = scope.spawn(|| change(1, "222"));
        [first, second].map(|handle| handle.join().expect("the command runs"))
    });
    results.sort();
    let [(winner, _), (loser, message)] = results;
    assert_eq!((winner, loser), (Some(0), Some(3)), "{message}");
    assert!(message.contains("team/garages"), "{message}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retried_change_is_accepted_once() {
    let fleet = Fleet::start(&[slot("north", "search"), slot("south", "search")]).await;
    let revision = fleet.status(0).await.expect("the node responds").view.revision.to_string();
    let words = ["defaults", "set", "team", "garages", "rate=111", "--expected", &revision];
    let change = [&words[..], &["--change-id", "rate-of-garages"]].concat();
    let first = fleet.run_successfully(&change);
    fleet.wait_until_in_force().await;
    let second = fleet.run_successfully(&change);
    assert_eq!(first, second);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_changes_are_rejected() {
    let fleet = Fleet::start(&[slot("north", "search")]).await;
    let cases: &[(&[&str], i32, &str)] = &[
        (&["keys", "issue", "nobody"], 4, "team/nobody"),
        (&["keys", "withdraw", "nothing"], 4, "key/nothing"),
        (&["defaults", "remove", "route", "nothing"], 4, "route/nothing"),
        (&["defaults", "set", "team", "garages", "rate=0"], 4, "rate"),
        (&["defaults", "set", "team", "garages", "rates=1"], 2, "rates"),
        (&["defaults", "set", "route", "search", "path=slots"], 4, "path"),
        (&["exceptions", "add", "easter", "team-rate", "team=garages"], 2, "reason"),
    ];
    for (words, code, named) in cases {
        let output = fleet.run_command(&[0], words);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(*code), "{words:?}: {message}");
        assert!(message.contains(named), "{words:?}: {message}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_succeeds_despite_concurrent_changes() {
    let fleet = Fleet::start(&[slot("north", "search"), slot("south", "search")]).await;
    fleet.issue_key("garage-1").await;
    let change = |rate: u32| {
        let rate = format!("rate={rate}");
        fleet.run_command(&[1], &["defaults", "set", "team", "garages", &rate]).status.code()
    };
    thread::scope(|scope| {
        let others = scope.spawn(|| (1_000..1_020).map(change).collect::<Vec<_>>());
        fleet.run_successfully(&["keys", "withdraw", "garage-1"]);
        let codes = others.join().expect("the command runs");
        assert!(codes.iter().all(|code| matches!(code, Some(0 | 3))), "{codes:?}");
    });
    let listed = fleet.run_successfully(&["keys", "list"]);
    assert!(listed.contains("withdrawn"), "{listed}");
}
