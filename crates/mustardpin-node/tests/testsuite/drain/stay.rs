//! During the stay a draining node still serves its callers.

use crate::{
    drain::{Caller, Draining, Failures, LEAVING, STAY, head, http2_outcome, start_fleet},
    fake::http2,
};

/// The number of connections of each protocol.
const CONNECTIONS: u32 = 20;

#[test]
fn new_connections_are_served_during_the_stay() {
    let mut fleet = start_fleet();
    let callers = fleet.callers(0);
    let draining = Draining::begin(&mut fleet, 0);
    let mut failures = Failures::default();
    for number in 0..CONNECTIONS {
        if number > 0 && draining.since.elapsed() > STAY {
            break;
        }
        let response = Caller::send(callers, &head("GET", "/ledger")).finish().0;
        // On a busy machine the stay may end meanwhile.
        let accepted = ["200, closes", LEAVING];
        let accepted = if draining.since.elapsed() > STAY { &accepted } else { &accepted[..1] };
        failures.check(&format!("HTTP/1.1, {number}"), &response, accepted);
        draining.sleep_until(STAY / 2 * number / CONNECTIONS);
    }
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}

/// A caller that speaks HTTP/2 and connects while the node drains gets no empty connection.
#[test]
fn new_http2_connections_are_served_during_the_stay() {
    let mut fleet = start_fleet();
    let callers = fleet.callers(0);
    let draining = Draining::begin(&mut fleet, 0);
    let mut failures = Failures::default();
    for number in 0..CONNECTIONS {
        if number > 0 && draining.since.elapsed() > STAY {
            break;
        }
        let response = fleet.runtime.block_on(async {
            let mut caller = http2(callers).await;
            http2_outcome(&mut caller, "/ledger").await
        });
        let accepted = ["200", "503 leaving, retry later"];
        let accepted = if draining.since.elapsed() > STAY { &accepted } else { &accepted[..1] };
        failures.check(&format!("HTTP/2, {number}"), &[response], accepted);
        draining.sleep_until(STAY / 2 * number / CONNECTIONS);
    }
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}
