//! Between the last request and the end of the process, a request is answered or not read, and is
//! never passed on and then cut.

use std::time::Duration;

use crate::drain::{Caller, Draining, Failures, LEAVING, STAY, has_run, head, start_fleet};

#[test]
fn a_request_whose_last_bytes_arrive_while_the_process_ends_is_not_passed_on_and_cut() {
    let mut failures = Failures::default();
    for wait in [0, 100, 250] {
        let mut fleet = start_fleet();
        let path = format!("/wait/1000/{wait}");
        let request = head("GET", &path);
        let mut caller = Caller::send(fleet.callers(0), &request[..30]);
        std::thread::sleep(Duration::from_millis(100));
        let draining = Draining::begin(&mut fleet, 0);
        draining.sleep_until(STAY + Duration::from_millis(wait));
        caller.send_more(&request[30..]);
        let (outcomes, _) = caller.finish();
        let name = format!("{wait} ms after the stay");
        let ran = has_run(&fleet, &path);
        let accepted = if ran { vec!["200, closes"] } else { vec![LEAVING, ""] };
        failures.check(&format!("{name}, ran {ran}"), &outcomes, &accepted);
        failures.check_time(&name, draining.wait());
    }
    failures.assert_none();
}
