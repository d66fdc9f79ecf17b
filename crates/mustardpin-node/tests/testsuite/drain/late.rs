//! Requests of any length that arrive at any time of the grace.

use std::{io::Write as _, net::TcpStream, time::Duration};

use crate::{
    drain::{
        Caller, Draining, Failures, GRACE, LEAVING, STAY, has_run, head, outcomes, start_fleet,
    },
    fake::{RawResponse, read_all},
};

/// The time between two requests.
const INTERVAL: Duration = Duration::from_millis(40);
/// How long the targets work on the requests in turn, in milliseconds.
const WORK: [u64; 4] = [0, 300, 1_200, 2_500];

/// A caller that sent one request, with its path and when it was sent.
struct Sent {
    path: String,
    after: Duration,
    caller: Caller,
}

/// Opens a connection and sends a request on it, unless the node accepts none.
fn send(address: std::net::SocketAddr, kept: Option<TcpStream>, request: &str) -> Option<Caller> {
    let mut stream = match kept {
        Some(stream) => stream,
        None => TcpStream::connect(address).ok()?,
    };
    stream.write_all(request.as_bytes()).ok()?;
    let reading = stream.try_clone().ok()?;
    let reader = std::thread::spawn(move || (read_all(reading), std::time::Instant::now()));
    Some(Caller { stream, reader })
}

/// Guards against a request, of a kind that may not run twice too, that is taken and passed on late
/// in the grace and cut without a response at its end.
#[test]
fn no_request_that_arrives_late_in_the_grace_is_run_and_cut() {
    let mut fleet = start_fleet();
    let callers = fleet.callers(0);
    // Connections from before the stop signal, which callers go on using.
    let count = (GRACE.as_millis() / INTERVAL.as_millis()) as usize;
    let mut kept: Vec<_> = (0..count / 2).map(|_| TcpStream::connect(callers).ok()).collect();
    let draining = Draining::begin(&mut fleet, 0);
    let mut sent = Vec::new();
    for number in 0..count {
        draining.sleep_until(INTERVAL * number as u32);
        let work = WORK[number % WORK.len()];
        let (method, path) = match number / WORK.len() % 3 {
            0 => ("POST", format!("/bookings/wait/{work}/late-{number}")),
            1 => ("GET", format!("/wait/{work}/late-{number}")),
            _ => ("GET", format!("/ledger/wait/{work}/late-{number}")),
        };
        let connection = if number % 2 == 0 { kept.pop().flatten() } else { None };
        let after = draining.since.elapsed();
        if let Some(caller) = send(callers, connection, &head(method, &path)) {
            sent.push(Sent { path, after, caller });
        }
    }
    let mut failures = Failures::default();
    failures.check_time("the end of the process", draining.wait());
    failures.require("requests were sent during the stay", sent.len() > 10);
    for Sent { path, after, caller } in sent {
        let (RawResponse { text, .. }, at) = caller.reader.join().expect("the reader ends");
        let found = outcomes(&text).join("; ");
        let ran = has_run(&fleet, &path);
        let is_refused = found == LEAVING;
        let is_explicit = ["200", "502", "504"].iter().any(|status| found.starts_with(status));
        // A request that nobody has read has no response; its caller sends it again.
        let holds = if ran {
            is_explicit && !found.contains("cut")
        } else {
            is_refused || found.is_empty()
        };
        let case = format!("{path}, sent {after:?} after the stop signal, ran {ran}: `{found}`");
        failures.require(&case, holds);
        // The node's clock has a resolution of a millisecond.
        let is_late = draining_is_over(after, draining.noticed - draining.since);
        failures.require(&format!("{case}, late"), !(is_late && ran));
        failures.check_time(&case, at - draining.since);
    }
    failures.assert_none();
}

/// Whether a request that was sent this long after the stop signal came after the stay.
fn draining_is_over(after: Duration, noticed: Duration) -> bool {
    after > noticed + STAY + Duration::from_millis(2)
}
