//! Callers that use their connections until the process behind them is gone, some with pipelined
//! requests, and what they must see of planned stops.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use mustardpin_standin::target::{chain, response_body};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time,
};

/// How long a caller waits for a response. Routes have shorter timeouts.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The time between two batches of requests, and before a new connection is tried.
const PAUSE: Duration = Duration::from_millis(40);
/// Numbers of requests that the callers of a slot send at once.
const DEPTHS: [usize; 2] = [1, 3];
/// One in this many requests has a response that is sent slowly.
const SLOW_ONE_IN: usize = 6;
/// What a node may take to notice a signal on a busy machine.
const SIGNAL_SLACK: Duration = Duration::from_millis(300);
/// How long after its end a fault may still break connections.
const FAULT_SLACK: Duration = Duration::from_secs(3);

/// A planned stop. Times are since the start of the soak.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// The slot of the node.
    pub slot: usize,
    /// When the signal had been sent.
    pub at: Duration,
    /// When the process was last seen.
    pub last_seen: Duration,
    /// When it was first seen to be gone.
    pub gone: Duration,
}

/// The settings that a planned stop is held to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// How long a node serves new requests after the signal.
    pub stay: Duration,
    /// How long its process may take to end.
    pub grace: Duration,
}

/// What came of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Outcome {
    /// A complete response.
    Answered { status: u16, reason: String, is_valid: bool },
    /// A part of a response.
    Cut,
    /// The connection ended, or the caller gave up, before any byte of the response.
    Unanswered,
}

/// A request that a caller has sent.
#[derive(Debug)]
struct Sent {
    name: String,
    slot: usize,
    at: Duration,
    ended: Duration,
    outcome: Outcome,
}

/// The callers of all slots.
pub struct Keepers {
    is_over: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<Vec<Sent>>>,
}

impl Keepers {
    /// Starts the callers of these nodes.
    pub fn start(nodes: &[SocketAddr], key: &str, started: Instant) -> Keepers {
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = nodes.iter().enumerate().flat_map(|(slot, &address)| {
            DEPTHS.map(|depth| Keeper {
                slot,
                address,
                depth,
                key: key.to_owned(),
                started,
                is_over: Arc::clone(&is_over),
                sent: Vec::new(),
            })
        });
        let tasks = callers.map(|caller| tokio::spawn(caller.run())).collect();
        Keepers { is_over, tasks }
    }

    /// Ends the callers, and returns which promises about planned stops were broken. `ran` has the
    /// names of all requests that targets ran; `faults` are the times of faults that may break a
    /// response that is being sent.
    pub async fn check(
        self,
        drain: Drain,
        stops: &[Stop],
        ran: &HashSet<String>,
        faults: &[(Duration, Duration)],
    ) -> Vec<String> {
        self.is_over.store(true, Ordering::Relaxed);
        let mut sent = Vec::new();
        for task in self.tasks {
            sent.extend(task.await.expect("the caller ends"));
        }
        let mut broken = BTreeMap::new();
        for request in &sent {
            for (stop, promise) in broken_promises(request, drain, stops, ran, faults) {
                let name = (stop.at, stop.slot, promise);
                broken.entry(name).or_insert_with(Vec::new).push(&request.name);
            }
        }
        let broken = broken.into_iter().map(|((at, slot, promise), names)| {
            let (count, first) = (names.len(), names[0]);
            format!("slot {slot}, stopped at {at:?}: {count} {promise}; the first is {first}")
        });
        let late = stops.iter().filter(|stop| stop.last_seen - stop.at > drain.grace).map(|stop| {
            let after = stop.last_seen - stop.at;
            format!("slot {}, stopped at {:?}: still there after {after:?}", stop.slot, stop.at)
        });
        broken.chain(late).collect()
    }
}

/// Returns the promises that a request shows to be broken, each with the stop that broke it.
fn broken_promises<'a>(
    request: &Sent,
    drain: Drain,
    stops: &'a [Stop],
    ran: &HashSet<String>,
    faults: &[(Duration, Duration)],
) -> Vec<(&'a Stop, &'static str)> {
    let has_run = ran.contains(&request.name);
    let overlaps = |stop: &Stop| request.ended >= stop.at && request.at <= stop.gone;
    let mut broken = Vec::new();
    for stop in stops.iter().filter(|stop| overlaps(stop)) {
        let is_own = stop.slot == request.slot;
        match &request.outcome {
            Outcome::Answered { status, reason, is_valid } => {
                let is_leaving = *status == 503 && reason == "leaving";
                let is_new = request.at >= stop.at + drain.stay + SIGNAL_SLACK;
                if is_own && is_new && request.at < stop.last_seen && !is_leaving {
                    broken.push((stop, "were not refused after the stay"));
                }
                if *status == 200 && !is_valid {
                    broken.push((stop, "got another body"));
                }
            }
            Outcome::Unanswered if is_own && has_run => {
                broken.push((stop, "ran without a response"));
            }
            Outcome::Unanswered => {}
            Outcome::Cut => {
                // A response that has begun cannot be replaced.
                let is_end_of_grace = request.ended >= stop.at + drain.grace * 5 / 6;
                let is_disturbed = faults
                    .iter()
                    .any(|&(from, to)| request.ended >= from && request.at <= to + FAULT_SLACK);
                if !is_end_of_grace && !is_disturbed {
                    broken.push((stop, "got a part of their response"));
                }
            }
        }
    }
    broken
}

/// One caller of one node.
struct Keeper {
    slot: usize,
    address: SocketAddr,
    depth: usize,
    key: String,
    started: Instant,
    is_over: Arc<AtomicBool>,
    sent: Vec<Sent>,
}

impl Keeper {
    async fn run(mut self) -> Vec<Sent> {
        while !self.is_over.load(Ordering::Relaxed) {
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                while !self.is_over.load(Ordering::Relaxed) && self.send_batch(&mut stream).await {
                    time::sleep(PAUSE).await;
                }
            }
            time::sleep(PAUSE).await;
        }
        self.sent
    }

    /// Sends a batch of requests at once. Returns whether the connection can be used again.
    async fn send_batch(&mut self, stream: &mut TcpStream) -> bool {
        let first = self.sent.len();
        let numbers = first..first + self.depth;
        let names: Vec<_> = numbers
            .clone()
            .map(|number| format!("keeper-{}-{}-{number}", self.slot, self.depth))
            .collect();
        let requests: String =
            names.iter().zip(numbers).map(|(name, number)| self.request(name, number)).collect();
        let at = self.started.elapsed();
        let mut is_open = stream.write_all(requests.as_bytes()).await.is_ok();
        let mut buffer = Vec::new();
        for name in names {
            let outcome = match is_open {
                true => {
                    let read = time::timeout(TIMEOUT, read_response(stream, &mut buffer)).await;
                    let response = read.ok().flatten();
                    is_open = response.as_ref().is_some_and(|response| !response.closes);
                    match response {
                        Some(response) => response.outcome(&name),
                        None if buffer.is_empty() => Outcome::Unanswered,
                        None => Outcome::Cut,
                    }
                }
                false => Outcome::Unanswered,
            };
            let ended = self.started.elapsed();
            self.sent.push(Sent { name, slot: self.slot, at, ended, outcome });
        }
        is_open
    }

    fn request(&self, name: &str, number: usize) -> String {
        let path = ["/slots", "/ledger"][number % 2];
        let shape = match number.is_multiple_of(SLOW_ONE_IN) {
            true => "bytes=64000&pace-ms=100",
            false => "bytes=100",
        };
        format!(
            "GET {path}?{shape}&name={name} HTTP/1.1\r\nhost: fleet\r\n\
             authorization: Bearer {}\r\n{}: {name}\r\n\r\n",
            self.key,
            chain::REQUEST_HEADER,
        )
    }
}

/// A complete response.
struct Response {
    status: u16,
    reason: String,
    closes: bool,
    body: Vec<u8>,
}

impl Response {
    fn outcome(self, name: &str) -> Outcome {
        let is_valid = response_body::check(&self.body, name).is_ok();
        Outcome::Answered { status: self.status, reason: self.reason, is_valid }
    }
}

/// Reads one response. Leaves what follows it in the buffer, and on failure what has arrived of it.
async fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Response> {
    let head_size = read_until(stream, buffer, 0, b"\r\n\r\n").await?;
    let head = String::from_utf8_lossy(&buffer[..head_size]).to_ascii_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut end = head_size;
    let mut body = Vec::new();
    if header("transfer-encoding: chunked").is_some() {
        loop {
            let begin = read_until(stream, buffer, end, b"\r\n").await?;
            let size = std::str::from_utf8(&buffer[end..begin - 2]).ok()?;
            let size = usize::from_str_radix(size, 16).ok()?;
            end = begin + size + 2;
            read_to(stream, buffer, end).await?;
            body.extend_from_slice(&buffer[begin..begin + size]);
            if size == 0 {
                break;
            }
        }
    } else {
        let length: usize = header("content-length: ").unwrap_or("0").parse().ok()?;
        end += length;
        read_to(stream, buffer, end).await?;
        body.extend_from_slice(&buffer[head_size..end]);
    }
    let reason = header("mustardpin-reason: ").unwrap_or_default().to_owned();
    let closes = header("connection: close").is_some();
    buffer.drain(..end);
    Some(Response { status, reason, closes, body })
}

/// Reads until a pattern occurs after `from`. Returns the position after it.
async fn read_until(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    from: usize,
    pattern: &[u8],
) -> Option<usize> {
    loop {
        let found = buffer[from..].windows(pattern.len()).position(|part| part == pattern);
        if let Some(position) = found {
            return Some(from + position + pattern.len());
        }
        read_to(stream, buffer, buffer.len() + 1).await?;
    }
}

/// Reads until the buffer has this size.
async fn read_to(stream: &mut TcpStream, buffer: &mut Vec<u8>, size: usize) -> Option<()> {
    while buffer.len() < size {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    Some(())
}
