//! A node is killed while non-repeatable requests run. Each request that a caller sends must still
//! run at most once, and the outcome `not-run` must not be reported for one that ran, so that a
//! caller that retries only after `not-run` never runs its request twice.

use std::time::{Duration, Instant};

use futures::future::join_all;
use mustardpin_standin::{http, load::inspect};

use crate::fleet::{CallerRequest, CallerResponse, Fleet, slot};

/// How long callers retry.
const RESEND_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_at_most_once_when_a_node_is_killed() {
    let slow = ["--service-time-ms", "400", "--distribution", "constant"];
    let plan = |data_centre| slot(data_centre, "ledger").target(&slow);
    let mut fleet = Fleet::start(&[plan("north"), plan("south"), plan("south")]).await;
    let key = fleet.issue_key("garage-1").await;
    let addresses: Vec<_> = fleet.slots.iter().map(|slot| slot.callers).collect();

    let bookings: Vec<_> =
        (0..30).map(|number| tokio::spawn(book(number, key.clone(), addresses.clone()))).collect();
    fleet.wait_for(1, "bookings run", |status| status.target.running > 0).await;
    fleet.slots[1].node.kill();
    let results = join_all(bookings).await;

    let runs = fleet.target_runs().await;
    assert_eq!(inspect::run_twice(&runs), Vec::<String>::new());
    assert_eq!(inspect::keys_seen(&runs, &[&key]), 0);
    for (number, response) in results.into_iter().enumerate() {
        let CallerResponse { status, outcome, .. } = response.expect("the task ends");
        let name = format!("booking-{number}");
        let ran = runs.iter().any(|run| run.idempotency_key.as_deref() == Some(&name));
        assert!(status != 200 || ran, "{name} got status 200, but never ran");
        assert!(outcome != "not-run" || !ran, "{name} ran although the outcome was `not-run`");
    }
}

/// Sends a booking to one node after the other until the outcome is no longer `not-run`.
async fn book(number: usize, key: String, addresses: Vec<std::net::SocketAddr>) -> CallerResponse {
    let name = format!("booking-{number}");
    let started = Instant::now();
    let mut attempt = number;
    loop {
        let address = addresses[attempt % addresses.len()];
        let response = CallerRequest::book(&key, &name).send(&http::caller(false), address).await;
        if response.outcome != "not-run" || started.elapsed() > RESEND_TIMEOUT {
            return response;
        }
        attempt += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
