//! What callers see of a node from its stop signal to the end of its process.

mod exiting;
mod grace;
mod late;
mod peer;
mod pipelined;
mod refusal;
mod slow_reader;
mod start;
mod stay;
mod steady;
mod upload;

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    sync::{Arc, mpsc},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use futures::executor::block_on;
use mustardpin_node::{Launch, Node, launch::Limits};
use mustardpin_world::{Millis, Options, options::Stop};

use crate::fake::{Fleet, Http2, KEY, RawResponse, Script, Step, read_all, text};

/// The minimum time that the nodes drain.
const STAY: Duration = Duration::from_millis(500);
/// The time from the stop signal within which the process must have ended.
const GRACE: Duration = Duration::from_secs(2);

/// The time between two pieces of a response that the target sends slowly.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// The size of such a piece. Fourteen of them are more than a node keeps of a response.
const PIECE_BYTES: usize = 20_000;

/// Returns start parameters with short times for draining.
fn with_short_times(launch: Launch) -> Launch {
    Launch {
        limits: Limits { drain_idle_timeout: Duration::from_millis(200), ..launch.limits },
        options: Options {
            stop: Stop { stay: millis(STAY), grace: millis(GRACE), closing: Millis(300) },
            ..launch.options
        },
        ..launch
    }
}

fn millis(length: Duration) -> Millis {
    Millis(length.as_millis() as u64)
}

/// Starts nodes 0 and 2 in front of the service `slots`, and node 1 in front of `ledger`.
fn start_fleet() -> Fleet {
    let services = [("slots", script()), ("ledger", script()), ("slots", script())];
    Fleet::start_with(&services, with_short_times)
}

/// A target that waits as many milliseconds as the path says after `wait/`, and then sends a body
/// of as many bytes as it says after `bytes/`; or waits as it says after `close/`, and breaks off. After `pieces/`, the path has the number of pieces
/// that the target sends instead, one every [`PIECE_INTERVAL`].
fn script() -> Script {
    Arc::new(|request| {
        let path = request.split(' ').nth(1).unwrap_or_default();
        let number = |name: &str| {
            let value = path.split_once(name).map(|(_, rest)| rest.split('/').next());
            value.flatten().and_then(|number| number.parse().ok())
        };
        if let Some(count) = number("pieces/") {
            let length = count as usize * PIECE_BYTES;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            let piece = [Step::Wait(PIECE_INTERVAL), Step::Send(vec![b'x'; PIECE_BYTES])];
            return text(&head).into_iter().chain(vec![piece; count as usize].concat()).collect();
        }
        let length = number("bytes/").unwrap_or(5) as usize;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let wait = Duration::from_millis(number("wait/").unwrap_or(0));
        if let Some(wait) = number("close/") {
            return vec![Step::Wait(Duration::from_millis(wait)), Step::Close];
        }
        let body = Step::Send(vec![b'x'; length]);
        [vec![Step::Wait(wait)], text(&head), vec![body]].concat()
    })
}

/// A node that is draining.
struct Draining {
    /// Before the stop signal.
    since: Instant,
    /// After the node had noticed the signal. On a busy machine that may take a while.
    noticed: Instant,
    ended: mpsc::Receiver<Instant>,
}

impl Draining {
    /// Stops a node as a signal does.
    fn begin(fleet: &mut Fleet, node: usize) -> Draining {
        Draining::begin_node(fleet.nodes.remove(node))
    }

    fn begin_node(node: Node) -> Draining {
        let since = Instant::now();
        node.stop();
        let is_serving = || node.control().report(|world| !world.tables().leaving);
        while block_on(is_serving()) == Ok(true) {
            thread::sleep(Duration::from_millis(1));
        }
        let noticed = Instant::now();
        let (sender, ended) = mpsc::channel();
        thread::spawn(move || {
            node.wait();
            sender.send(Instant::now())
        });
        Draining { since, noticed, ended }
    }

    /// Sleeps until this time after the node has noticed the stop signal.
    fn sleep_until(&self, after: Duration) {
        thread::sleep(after.saturating_sub(self.noticed.elapsed()));
    }

    /// Waits for the end of the process. Returns its time since the stop signal.
    fn wait(&self) -> Duration {
        let ended = self.ended.recv_timeout(4 * GRACE).expect("the process ends");
        ended - self.since
    }
}

/// Returns the head of a request without a body, which keeps its connection open.
fn head(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: {path}\r\n\r\n"
    )
}

/// A caller that has sent something and reads until its connection ends.
struct Caller {
    stream: TcpStream,
    reader: JoinHandle<(RawResponse, Instant)>,
}

impl Caller {
    fn send(address: SocketAddr, text: &str) -> Caller {
        let mut stream = TcpStream::connect(address).expect("the node listens");
        stream.write_all(text.as_bytes()).expect("the node reads");
        let reading = stream.try_clone().expect("a second handle of the socket");
        let reader = thread::spawn(move || (read_all(reading), Instant::now()));
        Caller { stream, reader }
    }

    /// Sends more on the same connection, which the node may have closed.
    fn send_more(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Waits until the connection has ended. Returns the responses, and when it ended.
    fn finish(self) -> (Vec<String>, Instant) {
        let (response, at) = self.reader.join().expect("the reader ends");
        (outcomes(&response.text), at)
    }
}

/// Describes the responses of one connection in order, by status, reason of a refusal and what
/// follows. A response that is incomplete is described as `cut`.
fn outcomes(mut text: &str) -> Vec<String> {
    let mut outcomes = Vec::new();
    while !text.is_empty() {
        let Some((head, rest)) = text.split_once("\r\n\r\n") else {
            outcomes.push("cut".to_owned());
            break;
        };
        let status = head.split(' ').nth(1).unwrap_or_default();
        let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length = header("content-length: ").and_then(|length| length.parse().ok());
        let length = length.unwrap_or(usize::MAX);
        if rest.len() < length {
            outcomes.push(format!("{status} cut"));
            break;
        }
        let reason = header("mustardpin-reason: ").map(|reason| format!(" {reason}"));
        let retry = header("retry-after: ").map(|_| ", retry later");
        let close = header("connection: close").map(|_| ", closes");
        let parts = [Some(status.to_owned()), reason, retry.map(Into::into), close.map(Into::into)];
        outcomes.push(parts.into_iter().flatten().collect());
        text = &rest[length..];
    }
    outcomes
}

/// The outcome of a request over HTTP/2 that the caller's library gave up when GOAWAY arrived. It
/// may do so for a request that it has just sent, although the node processes it.
const TURNED_AWAY: &str = "turned away";

/// Describes the response to a GET request of an HTTP/2 caller, like [`outcomes`].
async fn http2_outcome(caller: &mut Http2, path: &str) -> String {
    let response = match caller.get(path).await {
        Ok(response) => response,
        Err(error) if format!("{error:?}").contains("GoAway(b\"\", NO_ERROR, Remote)") => {
            return TURNED_AWAY.to_owned();
        }
        Err(_) => return "no response".to_owned(),
    };
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let reason = header("mustardpin-reason").map(|reason| format!(" {reason}"));
    let retry = header("retry-after").map(|_| ", retry later".to_owned());
    let status = response.status().as_u16().to_string();
    let outcome: String = [Some(status), reason, retry].into_iter().flatten().collect();
    match http_body_util::BodyExt::collect(response.into_body()).await {
        Ok(_) => outcome,
        Err(_) => format!("{outcome} cut"),
    }
}

/// Whether a target has begun to run the request with this path.
fn has_run(fleet: &Fleet, path: &str) -> bool {
    let line = format!(" {path} ");
    fleet.targets.iter().any(|target| target.seen().iter().any(|seen| seen.contains(&line)))
}

/// Cases whose outcome is not among the accepted ones.
#[derive(Default)]
struct Failures(Vec<String>);

impl Failures {
    fn check(&mut self, case: &str, outcomes: &[String], accepted: &[&str]) {
        let found = outcomes.join("; ");
        if !accepted.contains(&found.as_str()) {
            self.0.push(format!("{case}: `{found}`, not {accepted:?}"));
        }
    }

    /// Checks that an explicit response, or the end of a process, comes within the grace time.
    fn check_time(&mut self, case: &str, after: Duration) {
        if after > GRACE {
            self.0.push(format!("{case}: {after:?} after the stop signal"));
        }
    }

    fn require(&mut self, case: &str, holds: bool) {
        if !holds {
            self.0.push(case.to_owned());
        }
    }

    fn assert_none(&self) {
        assert!(self.0.is_empty(), "{:#?}", self.0);
    }
}

/// The response to a new request after the stay.
const LEAVING: &str = "503 leaving, retry later, closes";
