//! Operators racing, and changes that are not allowed.

use std::thread;

use crate::fleet::{Fleet, slot};

#[tokio::test(flavor = "multi_thread")]
async fn one_wins_and_the_other_is_told_what_changed() {
    let fleet = Fleet::start(&[slot("north", "search"), slot("south", "search")]).await;
    let revision = fleet.status(0).await.expect("the node answers").view.revision.to_string();
    let change = |slot: usize, rate: &str| {
        let rate = format!("rate={rate}");
        let words = ["defaults", "set", "team", "garages", &rate, "--expected", &revision];
        let output = fleet.command(&[slot], &words);
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
async fn the_same_change_sent_again_is_accepted_once() {
    let fleet = Fleet::start(&[slot("north", "search"), slot("south", "search")]).await;
    let revision = fleet.status(0).await.expect("the node answers").view.revision.to_string();
    let words = ["defaults", "set", "team", "garages", "rate=111", "--expected", &revision];
    let again = [&words[..], &["--change-id", "rate-of-garages"]].concat();
    let first = fleet.operate(&again);
    fleet.wait_until_in_force().await;
    let second = fleet.operate(&again);
    assert_eq!(first, second);
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_that_are_not_allowed() {
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
        let output = fleet.command(&[0], words);
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(*code), "{words:?}: {message}");
        assert!(message.contains(named), "{words:?}: {message}");
    }
}
