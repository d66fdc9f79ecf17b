//! Between the last request and the end of the process, a request is answered or not read, and is
//! never passed on and then cut.

use std::{io::Write as _, net::TcpStream, thread, time::Duration};

use crate::{
    drain::{Caller, Draining, Failures, LEAVING, STAY, has_run, head, outcomes, start_fleet},
    fake::{End, read_all, read_response},
};

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

/// The node closes these connections as idle at about the time of the requests.
#[test]
fn a_request_on_a_connection_that_is_closed_as_idle_is_answered_or_not_run() {
    let mut fleet = start_fleet();
    let mut idle: Vec<_> = (0..60)
        .map(|number| {
            let mut stream = TcpStream::connect(fleet.callers(0)).expect("the node listens");
            let first = head("GET", &format!("/first/{number}"));
            stream.write_all(first.as_bytes()).expect("the node reads");
            assert_eq!(read_response(&mut stream).status(), 200);
            // Some become idle shortly before the stop signal, so that they are closed after it.
            thread::sleep(Duration::from_millis(5));
            stream
        })
        .collect();
    let draining = Draining::begin(&mut fleet, 0);
    for (number, stream) in idle.iter_mut().enumerate() {
        thread::sleep(Duration::from_millis(4));
        // The node may have closed the connection.
        let _ = stream.write_all(head("GET", &format!("/wait/20/second/{number}")).as_bytes());
    }
    let mut failures = Failures::default();
    for (number, stream) in idle.into_iter().enumerate() {
        let response = read_all(stream);
        failures.require(&format!("{number} is left open"), response.end != End::LeftOpen);
        let outcomes = outcomes(&response.text);
        let ran = has_run(&fleet, &format!("/wait/20/second/{number}"));
        let accepted = if ran { vec!["200, closes"] } else { vec![LEAVING, ""] };
        failures.check(&format!("{number}, ran {ran}"), &outcomes, &accepted);
    }
    failures.check_time("the end of the process", draining.wait());
    failures.assert_none();
}
