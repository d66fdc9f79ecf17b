//! Tests of the load generator against a target's stand-in, without a node in between.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use mustardpin_standin::{
    control, http,
    load::{self, arguments::Arguments as Load},
    target::{arguments::Arguments, handler::Target, run::TargetState},
};
use tokio::net::TcpListener;

async fn start(slots: u32) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let mut arguments = Arguments::new(address, address, "ledger".into());
    arguments.slots = slots;
    arguments.service_time = Duration::from_millis(1);
    let (handle, _thread) = control::start(TargetState::new(&arguments));
    let target = Target::new(handle, http::caller(false), &arguments);
    tokio::spawn(http::serve(listener, Arc::new(target)));
    address
}

fn load(address: SocketAddr, route: &str) -> Load {
    Load {
        entries: vec![address],
        teams: vec!["garage,-,100".parse().expect("a team")],
        routes: vec![route.parse().expect("a route")],
        duration: Duration::from_millis(500),
        inspected: vec![address],
        ..Load::default()
    }
}

#[tokio::test]
async fn complete_responses_are_counted() {
    let address = start(64).await;
    let report = load::run(load(address, "1 GET /slots?bytes=100000")).await;
    let row = &report.tally().teams[0];
    assert!(row.due > 0);
    assert_eq!((row.complete, report.broken_promises()), (row.due, &[][..]), "{report}");
}

#[tokio::test]
async fn truncated_responses_count_as_cut_off() {
    let address = start(64).await;
    let arguments =
        Load { strict_cuts: true, ..load(address, "1 GET /slots?bytes=100000&cut-after=50000") };
    let report = load::run(arguments).await;
    let row = &report.tally().teams[0];
    let expected = format!("{} requests were cut off", row.due);
    assert_eq!((row.complete, report.broken_promises()), (0, &[expected][..]), "{report}");
}

#[tokio::test]
async fn a_target_without_slots_declines() {
    let address = start(0).await;
    let report = load::run(load(address, "1 GET /slots")).await;
    let row = &report.tally().teams[0];
    assert_eq!(report.tally().failures_of("status 503"), row.due, "{report}");
}

#[tokio::test]
async fn a_key_received_by_a_target_is_a_broken_promise() {
    let address = start(64).await;
    let teams = vec!["garage,garage-1.s3cret,100".parse().expect("a team")];
    let report = load::run(Load { teams, ..load(address, "1 POST /bookings once") }).await;
    let expected = format!("{} headers showed a target a tenant key", report.tally().teams[0].due);
    assert_eq!(report.broken_promises(), [expected], "{report}");
}
