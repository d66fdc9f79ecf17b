//! A node that was paused does not act on what it knew before.

use std::time::Duration;

use mustardpin_standin::http;

use crate::fleet::{Ask, Fleet, slot};

/// Longer than a withdrawn key may go on working.
const PAUSE: Duration = Duration::from_millis(3_500);

#[tokio::test(flavor = "multi_thread")]
async fn key_withdrawn_during_the_pause() {
    let plans = [slot("north", "search"), slot("south", "search"), slot("south", "search")];
    let fleet = Fleet::start(&plans).await;
    let key = fleet.issue_key("garage-1").await;
    let paused = fleet.slots[2].callers;
    let callers = [http::caller(false), http::caller(true)];
    for caller in &callers {
        assert_eq!(Ask::get("/slots", &key).send(caller, paused).await.status, 200);
    }

    fleet.slots[2].node.signal("STOP");
    let output = fleet.command(&[0, 1], &["keys", "withdraw", "garage-1"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    tokio::time::sleep(PAUSE).await;
    let waiting = callers.clone().map(|caller| {
        let key = key.clone();
        tokio::spawn(async move { Ask::get("/slots", &key).send(&caller, paused).await })
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.slots[2].node.signal("CONT");

    for reply in waiting {
        let reply = reply.await.expect("the task ends");
        assert_eq!(reply.outcome, "not-run", "{reply:?}");
    }
    for caller in &callers {
        let reply = Ask::get("/slots", &key).send(caller, paused).await;
        assert_eq!(reply.outcome, "not-run", "{reply:?}");
    }
}
