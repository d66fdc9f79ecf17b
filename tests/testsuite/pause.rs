//! A node that was suspended must not serve from the state that it had before: a key that was
//! withdrawn in the meantime is refused, also for requests that arrived during the suspension.

use std::time::Duration;

use mustardpin_standin::http;

use crate::fleet::{CallerRequest, Fleet, slot};

/// Longer than the 3 s after which a withdrawn key must be refused.
const SUSPENSION: Duration = Duration::from_millis(3_500);

#[tokio::test(flavor = "multi_thread")]
async fn key_withdrawn_while_a_node_is_suspended() {
    let plans = [slot("north", "search"), slot("south", "search"), slot("south", "search")];
    let fleet = Fleet::start(&plans).await;
    let key = fleet.issue_key("garage-1").await;
    let suspended = fleet.slots[2].callers;
    let callers = [http::caller(false), http::caller(true)];
    for caller in &callers {
        assert_eq!(CallerRequest::get("/slots", &key).send(caller, suspended).await.status, 200);
    }

    fleet.slots[2].node.signal("STOP");
    let output = fleet.run_command(&[0, 1], &["keys", "withdraw", "garage-1"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    tokio::time::sleep(SUSPENSION).await;
    let waiting = callers.clone().map(|caller| {
        let key = key.clone();
        tokio::spawn(
            async move { CallerRequest::get("/slots", &key).send(&caller, suspended).await },
        )
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.slots[2].node.signal("CONT");

    for response in waiting {
        let response = response.await.expect("the task ends");
        assert_eq!(response.outcome, "not-run", "{response:?}");
    }
    for caller in &callers {
        let response = CallerRequest::get("/slots", &key).send(caller, suspended).await;
        assert_eq!(response.outcome, "not-run", "{response:?}");
    }
}
