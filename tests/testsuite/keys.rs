//! A withdrawn key is refused within 3 s, on open connections and for queued requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use mustardpin_standin::{http, load::inspect};

use crate::fleet::{CallerRequest, CallerResponse, Fleet, slot};

/// The maximum time from a withdrawal until the key is refused everywhere.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_on_open_connections() {
    let plans = [slot("north", "search"), slot("south", "search"), slot("south", "search")];
    let fleet = Fleet::start(&plans).await;
    let key = fleet.issue_key("garage-1").await;
    let other_key = fleet.issue_key("garage-2").await;
    let callers: Vec<_> = fleet
        .slots
        .iter()
        .flat_map(|slot| [false, true].map(|http2| (slot.callers, http::caller(http2))))
        .collect();
    for (address, caller) in &callers {
        let response = CallerRequest::get("/slots", &key).send(caller, *address).await;
        assert_eq!((response.status, response.reason.as_str()), (200, ""), "{}", fleet.logs());
    }

    let started = Instant::now();
    let output = fleet.run_successfully(&["keys", "withdraw", "garage-1"]);
    assert!(output.contains("in force"), "{output}");
    tokio::time::sleep(MAX_WITHDRAWAL_DELAY.saturating_sub(started.elapsed())).await;

    for (address, caller) in &callers {
        let response = CallerRequest::get("/slots", &key).send(caller, *address).await;
        let found = (response.status, response.reason.as_str(), response.outcome.as_str());
        assert_eq!(found, (401, "key_withdrawn", "not-run"));
        let response = CallerRequest::get("/slots", &other_key).send(caller, *address).await;
        assert_eq!(response.status, 200, "another key of the team is still accepted");
    }
    assert_eq!(inspect::keys_seen(&fleet.target_runs().await, &[&key, &other_key]), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_while_queued() {
    let slow = ["--slots", "1", "--service-time-ms", "4000", "--distribution", "constant"];
    let mut plan = slot("north", "search").target(&slow);
    plan.settings = "limit:\n  initial: 1\n  least: 1\n  most: 1\n".to_owned();
    let fleet = Arc::new(Fleet::start(&[plan]).await);
    let key = fleet.issue_key("garage-1").await;
    let address = fleet.slots[0].callers;
    let send_request = move |path: &'static str, key: String| async move {
        CallerRequest::get(path, &key).send(&http::caller(false), address).await
    };
    let running = tokio::spawn(send_request("/slots/first", key.clone()));
    fleet.wait_for(0, "the first request runs", |status| status.target.running == 1).await;
    let queued = tokio::spawn(send_request("/slots/second", key));
    fleet.wait_for(0, "the second request waits", |status| status.target.queued == 1).await;
    fleet.run_successfully(&["keys", "withdraw", "garage-1"]);

    let CallerResponse { status, reason, outcome, .. } = queued.await.expect("the task ends");
    let found = (status, reason.as_str(), outcome.as_str());
    assert_eq!(found, (401, "key_withdrawn", "not-run"));
    running.await.expect("the task ends");
    let paths: Vec<_> = fleet.target_runs().await.into_iter().map(|run| run.path).collect();
    assert_eq!(paths, ["/slots/first"]);
}
