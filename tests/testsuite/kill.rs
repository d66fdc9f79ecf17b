//! A non-repeatable request runs at most once for each sending, also when a node is killed while it
//! runs, and "not-run" is true. So a caller that sends again only then runs it once.

use std::time::{Duration, Instant};

use futures::future::join_all;
use mustardpin_standin::{http, load::inspect};

use crate::fleet::{Ask, Fleet, Reply, slot};

/// How long callers send again.
const RESEND_TIME: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn resends_to_other_nodes() {
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

    let runs = fleet.ran().await;
    assert_eq!(inspect::run_twice(&runs), Vec::<String>::new());
    assert_eq!(inspect::keys_seen(&runs, &[&key]), 0);
    for (number, reply) in results.into_iter().enumerate() {
        let Reply { status, outcome, .. } = reply.expect("the task ends");
        let name = format!("booking-{number}");
        let ran = runs.iter().any(|run| run.idempotency_key.as_deref() == Some(&name));
        assert!(status != 200 || ran, "{name} was answered, but never ran");
        assert!(outcome != "not-run" || !ran, "{name} ran in spite of `not-run`");
    }
}

/// Sends a booking to one node after the other, for as long as it has not run.
async fn book(number: usize, key: String, addresses: Vec<std::net::SocketAddr>) -> Reply {
    let name = format!("booking-{number}");
    let started = Instant::now();
    let mut attempt = number;
    loop {
        let address = addresses[attempt % addresses.len()];
        let reply = Ask::book(&key, &name).send(&http::caller(false), address).await;
        if reply.outcome != "not-run" || started.elapsed() > RESEND_TIME {
            return reply;
        }
        attempt += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
