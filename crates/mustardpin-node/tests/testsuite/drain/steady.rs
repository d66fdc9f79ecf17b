//! Callers that use their connections until the process is gone.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use mustardpin_world::Event;

use crate::{
    drain::{
        Draining, Failures, GRACE, LEAVING, STAY, TURNED_AWAY, has_run, head, http2_outcome,
        outcomes, start_fleet,
    },
    fake::{Fleet, read_response, try_http2},
};

/// A request that a caller sent, and its outcome.
struct Sent {
    path: String,
    /// When its last byte was sent.
    at: Instant,
    outcome: String,
}

/// Sends requests over kept connections until the node accepts no more connections. `depth` is the
/// number of requests that are sent at once.
fn use_until_gone(address: SocketAddr, name: &str, depth: usize) -> Vec<Sent> {
    let mut sent: Vec<Sent> = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(address) {
        loop {
            let first = sent.len();
            let paths: Vec<_> = (first..first + depth)
                .map(|number| format!("/wait/{}/{name}-{number}", 7 * number % 40))
                .collect();
            let requests: String = paths.iter().map(|path| head("GET", path)).collect();
            let written = stream.write_all(requests.as_bytes());
            let at = Instant::now();
            let mut is_open = written.is_ok();
            for path in paths {
                let outcome = match is_open {
                    true => outcomes(&read_response(&mut stream).text).concat(),
                    false => String::new(),
                };
                is_open &= !outcome.is_empty()
                    && !outcome.ends_with("closes")
                    && !outcome.ends_with("cut");
                sent.push(Sent { path, at, outcome });
            }
            if !is_open {
                break;
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    sent
}

/// Checks each request that was sent while the node drained.
fn check(fleet: &Fleet, failures: &mut Failures, draining: &Draining, sent: &[Sent]) {
    // The node's clock has a resolution of a millisecond.
    let late = draining.noticed + STAY + Duration::from_millis(2);
    for Sent { path, at, outcome } in sent {
        let ran = has_run(fleet, path);
        let is_served = ["200", "200, closes"].contains(&outcome.as_str());
        let is_refused = outcome.starts_with("503 ") && !outcome.ends_with("cut");
        let after = at.saturating_duration_since(draining.since);
        let case = format!("{path}, sent {after:?} after the stop signal, ran {ran}: `{outcome}`");
        failures.require(&case, is_served && ran || !ran && (is_refused || outcome.is_empty()));
        let is_refused = outcome.is_empty() || LEAVING.starts_with(outcome);
        failures.require(&format!("{case}, late"), *at < late || is_refused);
    }
}

/// Stops a node under callers that do not let go of their connections.
fn run(disturb: impl Fn(&Fleet, &Draining)) {
    let mut fleet = start_fleet();
    let callers = fleet.callers(0);
    let tasks: Vec<_> = (0..12)
        .map(|number| {
            let depth = [1, 1, 3][number % 3];
            thread::spawn(move || use_until_gone(callers, &format!("caller-{number}"), depth))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let draining = Draining::begin(&mut fleet, 0);
    disturb(&fleet, &draining);
    let ended = draining.wait();
    let mut failures = Failures::default();
    for task in tasks {
        let sent = task.join().expect("the caller thread ends");
        check(&fleet, &mut failures, &draining, &sent);
    }
    failures.check_time("the end of the process", ended);
    failures.assert_none();
}

/// Sends requests over HTTP/2, four at a time, until the node accepts no more connections.
async fn use_http2_until_gone(address: SocketAddr, name: String) -> Vec<Sent> {
    let mut sent: Vec<Sent> = Vec::new();
    let mut first = 0;
    while let Some(caller) = try_http2(address).await {
        loop {
            let numbers = first..first + 4;
            first += 4;
            let requests = numbers.map(|number| {
                let path = format!("/wait/{}/{name}-{number}", 7 * number % 40);
                let (mut caller, at) = (caller.clone(), Instant::now());
                async move {
                    let outcome = http2_outcome(&mut caller, &path).await;
                    let outcome = outcome.replace("no response", "");
                    Sent { path, at, outcome }
                }
            });
            let batch = futures::future::join_all(requests).await;
            let is_open = batch.iter().all(|sent| sent.outcome.parse() == Ok(200));
            sent.extend(batch.into_iter().filter(|sent| sent.outcome != TURNED_AWAY));
            if !is_open {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    sent
}

#[test]
fn no_request_over_http2_is_passed_on_and_cut_while_callers_use_their_connections() {
    let mut fleet = start_fleet();
    let callers = fleet.callers(0);
    let tasks: Vec<_> = (0..6)
        .map(|number| fleet.runtime.spawn(use_http2_until_gone(callers, format!("http2-{number}"))))
        .collect();
    thread::sleep(Duration::from_millis(300));
    let draining = Draining::begin(&mut fleet, 0);
    let ended = draining.wait();
    let mut failures = Failures::default();
    for task in tasks {
        let sent = fleet.runtime.block_on(task).expect("no panic");
        check(&fleet, &mut failures, &draining, &sent);
    }
    failures.check_time("the end of the process", ended);
    failures.assert_none();
}

#[test]
fn no_request_is_passed_on_and_cut_while_callers_use_their_connections() {
    run(|_, _| {});
}

/// Both nodes of a service are stopped, so that neither can forward requests to the other.
#[test]
fn no_request_is_passed_on_and_cut_while_a_peer_is_stopped_too() {
    run(|fleet, draining| {
        draining.sleep_until(STAY / 3);
        fleet.nodes[1].control().event(Event::Stop);
        draining.sleep_until(GRACE / 2);
    });
}
