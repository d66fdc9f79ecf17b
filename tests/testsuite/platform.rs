//! Nodes serve requests during an outage of the platform for the grace period that operators allow,
//! and changes whose reply from the store was lost are still confirmed.

use std::time::{Duration, Instant};

use mustardpin_standin::http;

use crate::{
    fleet::{CallerRequest, Fleet, slot},
    port::free_address,
    relay::{Mode, Relay},
};

/// Longer than the freshness window of the nodes, which is 2.625 s with the default settings.
const OUTAGE: Duration = Duration::from_secs(4);
/// How long nodes may take to serve keyed requests again after the platform recovers, including the
/// delays of the test itself.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(4);

/// Sets a failure mode of the platform and checks that, within the grace period, every request is
/// served.
async fn serves_during(mode: &str) {
    let plans = [slot("north", "search"), slot("south", "search")];
    let fleet = Fleet::start(&plans).await;
    let key = fleet.issue_key("garage-1").await;
    fleet.run_successfully(&["defaults", "set", "fleet", "cut-off=serve:30s"]);
    fleet.wait_until_in_force().await;
    fleet.set_platform(mode, OUTAGE).await;
    let started = Instant::now();
    while started.elapsed() < OUTAGE {
        for slot in &fleet.slots {
            let response =
                CallerRequest::get("/slots", &key).send(&http::caller(false), slot.callers).await;
            assert_eq!((response.status, response.reason.as_str()), (200, ""), "{}", fleet.logs());
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

/// Without a grace period, keyed requests are refused unrun once the node's view of the store is
/// stale, and are served again soon after the platform recovers.
#[tokio::test(flavor = "multi_thread")]
async fn down_without_a_grace_period() {
    let fleet = Fleet::start(&[slot("north", "ledger"), slot("south", "ledger")]).await;
    let key = fleet.issue_key("garage-1").await;
    let caller = http::caller(false);
    let address = fleet.slots[0].callers;
    fleet.set_platform("down", Duration::ZERO).await;
    fleet.wait_for(0, "the node is cut off", |status| !status.view.fresh).await;
    let response = CallerRequest::get("/ledger", &key).send(&caller, address).await;
    let found = (response.status, response.reason.as_str(), response.outcome.as_str());
    assert_eq!(found, (503, "cut_off", "not-run"));
    let open = CallerRequest { method: "GET", path: "/help", key: None, idempotency_key: None };
    assert_eq!(open.send(&caller, address).await.status, 200);
    fleet.set_platform("up", Duration::ZERO).await;
    let started = Instant::now();
    while CallerRequest::get("/ledger", &key).send(&caller, address).await.status != 200 {
        assert!(started.elapsed() < RECOVERY_TIMEOUT, "{}", fleet.logs());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_reply_was_lost_is_confirmed() {
    let fleet = Fleet::start(&[slot("north", "search"), slot("south", "search")]).await;
    fleet.set_platform("lose-answer", Duration::ZERO).await;
    let output = fleet.run_successfully(&["defaults", "set", "team", "garages", "rate=1234"]);
    assert!(output.starts_with("accepted as revision"), "{output}");
    fleet.set_platform("up", Duration::ZERO).await;
    fleet.wait_until_in_force().await;
    let defaults = fleet.run_successfully(&["defaults", "show"]);
    assert!(defaults.contains("1234/s"), "{defaults}");
}

/// A node that reaches neither the store nor a peer refuses keyed requests unrun and still serves
/// open routes.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off() {
    let platform = free_address();
    let relay = Relay::start(platform).await;
    let plans = [slot("north", "ledger"), slot("south", "ledger")];
    let fleet = Fleet::start_with_platform(&plans, platform, relay.address()).await;
    let key = fleet.issue_key("garage-1").await;
    let address = fleet.slots[0].callers;
    let caller = http::caller(false);
    assert_eq!(CallerRequest::get("/ledger", &key).send(&caller, address).await.status, 200);

    relay.set(Mode::Cut);
    fleet.slots[1].node.signal("STOP");
    fleet.wait_for(0, "the node is cut off", |status| !status.view.fresh).await;
    let response = CallerRequest::get("/ledger", &key).send(&caller, address).await;
    let found = (response.status, response.reason.as_str(), response.outcome.as_str());
    assert_eq!(found, (503, "cut_off", "not-run"));
    let open = CallerRequest { method: "GET", path: "/help", key: None, idempotency_key: None };
    assert_eq!(open.send(&caller, address).await.status, 200);

    relay.set(Mode::Whole);
    fleet.wait_for(0, "the node's view is fresh again", |status| status.view.fresh).await;
    assert_eq!(CallerRequest::get("/ledger", &key).send(&caller, address).await.status, 200);
}

/// Guards against a withdrawn key that works again, and changes that nobody gets, after the store
/// came back from an older copy.
#[tokio::test(flavor = "multi_thread")]
async fn restored() {
    let plans = [slot("north", "ledger"), slot("south", "ledger")];
    let fleet = Fleet::start(&plans).await;
    let (withdrawn, valid) = (fleet.issue_key("garage-1").await, fleet.issue_key("garage-2").await);
    fleet.copy_platform().await;
    fleet.run_successfully(&["keys", "withdraw", "garage-1"]);
    fleet.run_successfully(&["defaults", "set", "team", "garages", "rate=1234"]);
    fleet.wait_until_in_force().await;
    fleet.set_platform("down", Duration::ZERO).await;
    fleet.restore_platform().await;
    fleet.set_platform("up", Duration::ZERO).await;
    let started = Instant::now();
    while started.elapsed() < RECOVERY_TIMEOUT {
        for slot in &fleet.slots {
            let caller = http::caller(false);
            for (key, status) in [(&withdrawn, 401), (&valid, 200)] {
                let response = CallerRequest::get("/ledger", key).send(&caller, slot.callers).await;
                assert_eq!(response.status, status, "{}", fleet.logs());
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let defaults = fleet.run_successfully(&["defaults", "show"]);
    assert!(defaults.contains("1234/s"), "{defaults}");
    fleet.run_successfully(&["defaults", "set", "team", "garages", "rate=2345"]);
    fleet.wait_until_in_force().await;
    let defaults = fleet.run_successfully(&["defaults", "show"]);
    assert!(defaults.contains("2345/s"), "{defaults}");
    let keys = fleet.run_successfully(&["keys", "list"]);
    assert!(
        keys.lines().any(|line| line.contains("garage-1") && line.contains("withdrawn")),
        "{keys}"
    );
}
