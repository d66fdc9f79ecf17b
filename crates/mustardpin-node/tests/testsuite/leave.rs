//! A graceful shutdown aborts no request.

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use crate::fake::{End, Fleet, KEY, Script, Step, get, http2, read_all, text, wait_until};

fn script() -> Script {
    Arc::new(|request| {
        if !request.contains("/slow") {
            return text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello");
        }
        let mut steps = text("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n");
        for _ in 0..4 {
            steps.push(Step::Wait(Duration::from_millis(200)));
            steps.push(Step::Send(b"hello".to_vec()));
        }
        steps
    })
}

/// Stops a node. The receiver gets a message when its process would have ended.
fn stop(fleet: &mut Fleet, node: usize) -> mpsc::Receiver<()> {
    let node = fleet.nodes.remove(node);
    node.stop();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        node.wait();
        sender.send(())
    });
    receiver
}

#[test]
fn responses_in_progress_are_completed_and_idle_connections_closed() {
    let mut fleet = Fleet::start(&[("slots", script()), ("ledger", script())]);
    let (direct, through) = (fleet.callers(0), fleet.callers(1));
    let mut idle = TcpStream::connect(direct).expect("the node listens");
    let request =
        format!("GET /slots HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\r\n");
    idle.write_all(request.as_bytes()).expect("the node reads");
    let _ = idle.read(&mut [0; 4096]).expect("a response");
    let (sender, responses) = mpsc::channel();
    for address in [direct, direct, through, through] {
        let sender = sender.clone();
        thread::spawn(move || sender.send(get(address, "/slow")));
    }
    let http2 = {
        let mut caller = fleet.runtime.block_on(http2(direct));
        fleet.runtime.spawn(async move { caller.collect("/slow").await })
    };
    wait_until(|| fleet.targets[0].seen().len() >= 6);
    let ended = stop(&mut fleet, 0);
    let start = Instant::now();
    for _ in 0..4 {
        let response = responses.recv().expect("the caller thread ends");
        assert_eq!(response.body(), "hello".repeat(4), "{response:?}");
    }
    let response = fleet.runtime.block_on(http2).expect("no panic").expect("a complete response");
    assert_eq!(response.1, "hello".repeat(4));
    assert_eq!(read_all(idle).end, End::Closed);
    ended.recv_timeout(Duration::from_secs(5)).expect("the process ends");
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_request_on_an_idle_connection_gets_a_response_while_the_node_drains() {
    let mut fleet = Fleet::start_with(&[("slots", script())], |mut launch| {
        launch.limits.drain_idle_timeout = Duration::from_millis(1_000);
        launch
    });
    let callers = fleet.callers(0);
    let mut idle = TcpStream::connect(callers).expect("the node listens");
    let request =
        format!("GET /slots HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\r\n");
    idle.write_all(request.as_bytes()).expect("the node reads");
    let _ = idle.read(&mut [0; 4096]).expect("a response");
    let ended = stop(&mut fleet, 0);
    thread::sleep(Duration::from_millis(200));
    idle.write_all(request.as_bytes()).expect("the node reads");
    let response = read_all(idle);
    assert!([200, 503].contains(&response.status()), "{response:?}");
    assert!(response.head().contains("connection: close"), "{response:?}");
    ended.recv_timeout(Duration::from_secs(5)).expect("the process ends");
}
