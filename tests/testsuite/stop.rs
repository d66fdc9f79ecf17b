//! A graceful shutdown aborts no request.

use std::time::Duration;

use futures::future::join_all;
use mustardpin_standin::{http, target::response_body};
use tokio::{io::AsyncWriteExt as _, net::TcpStream};

use crate::fleet::{CallerRequest, Fleet, slot};

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
