//! Outages of the platform stop nothing within the grace that operators allow, and lost answers are
//! settled.

use std::time::{Duration, Instant};

use mustardpin_standin::http;

use crate::{
    fleet::{Ask, Fleet, slot},
    process::free_address,
    relay::{Mode, Relay},
};

/// Longer than the largest window of freshness.
const OUTAGE: Duration = Duration::from_secs(4);
/// The time within which keyed requests are served again once the platform is back, and the tests'
/// own delays.
const BACK_WITHIN: Duration = Duration::from_secs(4);

/// Within the grace that operators allow, everything is served.
async fn serves_during(mode: &str) {
    let plans = [slot("north", "search"), slot("south", "search")];
    let fleet = Fleet::start(&plans).await;
    let key = fleet.issue_key("garage-1").await;
    fleet.operate(&["defaults", "set", "fleet", "cut-off=serve:30s"]);
    fleet.wait_until_in_force().await;
    fleet.set_platform(mode, OUTAGE).await;
    let started = Instant::now();
    while started.elapsed() < OUTAGE {
        for slot in &fleet.slots {
            let reply = Ask::get("/slots", &key).send(&http::caller(false), slot.callers).await;
            assert_eq!((reply.status, reply.reason.as_str()), (200, ""), "{}", fleet.logs());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn down() {
    serves_during("down").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent() {
    serves_during("silent").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow() {
    serves_during("slow").await;
}

/// Without a grace, keyed requests are refused unrun once knowledge is too old, and are served
/// again soon after the platform is back.
#[tokio::test(flavor = "multi_thread")]
async fn down_without_a_grace() {
    let fleet = Fleet::start(&[slot("north", "ledger"), slot("south", "ledger")]).await;
    let key = fleet.issue_key("garage-1").await;
    let caller = http::caller(false);
    let address = fleet.slots[0].callers;
    fleet.set_platform("down", Duration::ZERO).await;
    fleet.wait_for(0, "the node is cut off", |status| !status.view.fresh).await;
    let reply = Ask::get("/ledger", &key).send(&caller, address).await;
    let found = (reply.status, reply.reason.as_str(), reply.outcome.as_str());
    assert_eq!(found, (503, "cut_off", "not-run"));
    let open = Ask { method: "GET", path: "/help", key: None, idempotency_key: None };
    assert_eq!(open.send(&caller, address).await.status, 200);
    fleet.set_platform("up", Duration::ZERO).await;
    let started = Instant::now();
    while Ask::get("/ledger", &key).send(&caller, address).await.status != 200 {
        assert!(started.elapsed() < BACK_WITHIN, "{}", fleet.logs());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_settled() {
    let fleet = Fleet::start(&[slot("north", "search"), slot("south", "search")]).await;
    fleet.set_platform("lose-answer", Duration::ZERO).await;
    let output = fleet.operate(&["defaults", "set", "team", "garages", "rate=1234"]);
    assert!(output.starts_with("accepted as revision"), "{output}");
    fleet.set_platform("up", Duration::ZERO).await;
    fleet.wait_until_in_force().await;
    let shown = fleet.operate(&["defaults", "show"]);
    assert!(shown.contains("1234/s"), "{shown}");
}

/// Cut off from everyone, a node refuses keyed requests unrun and goes on with routes open to all.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off() {
    let platform = free_address();
    let relay = Relay::start(platform).await;
    let plans = [slot("north", "ledger"), slot("south", "ledger")];
    let fleet = Fleet::start_with_platform(&plans, platform, relay.address()).await;
    let key = fleet.issue_key("garage-1").await;
    let address = fleet.slots[0].callers;
    let caller = http::caller(false);
    assert_eq!(Ask::get("/ledger", &key).send(&caller, address).await.status, 200);

    relay.set(Mode::Cut);
    fleet.slots[1].node.signal("STOP");
    fleet.wait_for(0, "the node is cut off", |status| !status.view.fresh).await;
    let reply = Ask::get("/ledger", &key).send(&caller, address).await;
    let found = (reply.status, reply.reason.as_str(), reply.outcome.as_str());
    assert_eq!(found, (503, "cut_off", "not-run"));
    let open = Ask { method: "GET", path: "/help", key: None, idempotency_key: None };
    assert_eq!(open.send(&caller, address).await.status, 200);

    relay.set(Mode::Whole);
    fleet.wait_for(0, "the node has news again", |status| status.view.fresh).await;
    assert_eq!(Ask::get("/ledger", &key).send(&caller, address).await.status, 200);
}
