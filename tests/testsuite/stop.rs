//! A graceful shutdown aborts no request.

use std::time::{Duration, Instant};

use futures::future::join_all;
use mustardpin_standin::{http, target::response_body};
use tokio::{io::AsyncWriteExt as _, net::TcpStream};

use crate::fleet::{CallerRequest, Fleet, SlotPlan, slot};

/// Settings of nodes with short times for draining.
const SHORT_DRAIN: &str = "stop:\n  stay: 500ms\n  grace: 4s\nlimits:\n  close-linger: 100ms\n";
/// The grace time in these settings.
const GRACE: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn under_load_with_slow_bodies_and_idle_connections() {
    let plans = [slot("north", "search"), slot("north", "search"), slot("south", "search")];
    let mut fleet = Fleet::start(&plans).await;
    let key = fleet.issue_key("garage-1").await;
    let addresses: Vec<_> = fleet.slots.iter().map(|slot| slot.callers).collect();
    let mut idle = TcpStream::connect(addresses[0]).await.expect("the node listens");
    idle.write_all(b"GET /slots HTTP/1.1\r\n").await.expect("half a request is sent");

    let slow_request = |index: usize| {
        let key = key.clone();
        let address = addresses[index % addresses.len()];
        tokio::spawn(async move {
            let request = CallerRequest::get("/slots?bytes=64000&pace-ms=100", &key);
            request.send(&http::caller(index.is_multiple_of(2)), address).await
        })
    };
    let slow: Vec<_> = (0..24).map(slow_request).collect();
    fleet.wait_for(0, "slow responses are in progress", |status| status.calls > 0).await;
    fleet.slots[0].node.signal("TERM");
    // The other nodes keep serving, and send no more requests to the node that shuts down.
    for _ in 0..20 {
        for &address in &addresses[1..] {
            let response =
                CallerRequest::get("/slots", &key).send(&http::caller(false), address).await;
            assert_eq!((response.status, response.reason.as_str()), (200, ""));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for response in join_all(slow).await {
        let response = response.expect("the task ends");
        assert_eq!((response.status, response.reason.as_str()), (200, ""), "{}", fleet.logs());
        assert_eq!(response_body::check(&response.body, "/slots"), Ok(()));
    }
    let status = fleet.slots[0].node.wait();
    assert_eq!(status.code(), Some(0), "{}", fleet.logs());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_restarts_while_its_target_keeps_running() {
    let mut fleet = Fleet::start(&[slot("north", "search"), slot("south", "ledger")]).await;
    let key = fleet.issue_key("garage-1").await;
    fleet.slots[0].node.signal("TERM");
    assert_eq!(fleet.slots[0].node.wait().code(), Some(0), "{}", fleet.logs());

    fleet.restart(0);
    fleet
        .wait_for(0, "the new node serves", |status| status.target.present && status.view.fresh)
        .await;
    fleet
        .wait_for(1, "the other node is connected to the new one", |status| {
            status.peers.iter().any(|peer| peer.link == "up")
        })
        .await;
    for slot in &fleet.slots {
        let response =
            CallerRequest::get("/slots", &key).send(&http::caller(false), slot.callers).await;
        assert_eq!((response.status, response.reason.as_str()), (200, ""), "{}", fleet.logs());
    }
}

/// Signals, and the time in milliseconds before each of them.
const SIGNALS: [(&str, &[(u64, &str)]); 8] = [
    ("SIGTERM", &[(0, "TERM")]),
    ("SIGINT", &[(0, "INT")]),
    ("SIGTERM twice", &[(0, "TERM"), (300, "TERM")]),
    ("SIGTERM, then SIGINT", &[(0, "TERM"), (300, "INT")]),
    ("SIGHUP before SIGTERM", &[(0, "HUP"), (100, "TERM")]),
    ("SIGHUP together with SIGTERM", &[(0, "HUP"), (0, "TERM")]),
    ("SIGHUP after SIGTERM", &[(0, "TERM"), (300, "HUP")]),
    ("SIGHUP and SIGTERM many times", &[(0, "HUP"), (20, "TERM"), (20, "HUP"), (600, "HUP")]),
];

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_are_served_whatever_signals_stop_the_node() {
    let plan = || SlotPlan { settings: SHORT_DRAIN.into(), ..slot("north", "search") };
    let mut fleet = Fleet::start(&[plan(), plan()]).await;
    let key = fleet.issue_key("garage-1").await;
    for (name, signals) in SIGNALS {
        let address = fleet.slots[0].callers;
        // 64,000 bytes in pieces, some 1.6 s.
        let slow = (0..6).map(|number| {
            let (key, path) = (key.clone(), format!("/slots?bytes=64000&pace-ms=100&n={number}"));
            tokio::spawn(async move {
                CallerRequest::get(&path, &key).send(&http::caller(false), address).await
            })
        });
        let slow: Vec<_> = slow.collect();
        fleet.wait_for(0, "slow responses are in progress", |status| status.calls >= 1).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let started = Instant::now();
        for (wait, signal) in signals {
            tokio::time::sleep(Duration::from_millis(*wait)).await;
            fleet.slots[0].node.signal(signal);
        }
        for response in join_all(slow).await {
            let response = response.expect("the task ends");
            let found = (response.status, response.reason.as_str());
            assert_eq!(found, (200, ""), "{name}: {}", fleet.logs());
        }
        let status = fleet.slots[0].node.wait();
        assert_eq!(status.code(), Some(0), "{name}: {}", fleet.logs());
        assert!(started.elapsed() < GRACE, "{name}: {:?}", started.elapsed());
        fleet.restart(0);
        fleet.wait_for(0, "the new node serves", |status| status.target.present).await;
    }
}

/// A signal that comes before its handler is installed ends the process at once, with whatever its
/// callers have sent.
#[tokio::test(flavor = "multi_thread")]
async fn signals_are_handled_as_soon_as_a_node_listens() {
    let plan = SlotPlan { settings: SHORT_DRAIN.into(), ..slot("north", "search") };
    let mut fleet = Fleet::start(&[plan]).await;
    fleet.slots[0].node.signal("TERM");
    fleet.slots[0].node.wait();
    let mut failures = Vec::new();
    for round in 0..5 {
        for signal in ["HUP", "TERM", "INT"] {
            fleet.restart(0);
            let address = fleet.slots[0].callers;
            let node = &mut fleet.slots[0].node;
            node.signal_once_listening(signal, address);
            tokio::time::sleep(Duration::from_millis(100)).await;
            if !node.has_ended() {
                node.signal("TERM");
            }
            let status = node.wait();
            if status.code() != Some(0) {
                failures.push(format!("round {round}: {status}"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
