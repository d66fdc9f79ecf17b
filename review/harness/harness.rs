//! Stand-ins and scripts of the review's cases. Uses the standard library only.
//!
//! `harness CASE RECORD` starts the platform's stand-in and a few nodes with the deploy file's
//! settings template, plays one case on loopback addresses, writes what was sent, answered and run
//! to RECORD, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

#[path = "cases.rs"]
mod cases;

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::{fd::AsRawFd, unix::process::CommandExt},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: std::ffi::c_ulong = 9;

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const NODE_PROGRAM: &str = "target/release/mustardpin-platform";
const STORE_PROGRAM: &str = "target/release/platform-standin";
const TEMPLATE: &str = "deploy/settings.yaml";
/// The case ends all processes and gives up after this time.
const WATCHDOG: Duration = Duration::from_secs(112);

// ---------------------------------------------------------------------------------------------
// The record

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Debug, Clone)]
pub struct Head {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map(String::as_str).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or_default()
    }
}

/// A connection with its unread bytes.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

fn eof() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn open(address: &str, timeout: Duration) -> io::Result<Conn> {
        let address: SocketAddr = address.parse().map_err(|_| eof())?;
        Ok(Conn::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Gives the connection the small window of a slow link.
    pub fn limit_receive_buffer(&self) {
        let (sol_socket, so_rcvbuf, size) = (1, 8, 32 * 1024);
        unsafe { setsockopt(self.stream.as_raw_fd(), sol_socket, so_rcvbuf, &size, 4) };
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(eof());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().split(' ').map(String::from).collect();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
                    .collect();
                return Ok(Head { first, headers });
            }
            self.fill()?;
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(text);
            }
            self.fill()?;
        }
    }

    pub fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the body that follows a head. `until_close` tells whether a message without a length
    /// ends with its connection.
    pub fn read_body(&mut self, head: &Head, until_close: bool) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| eof())?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.read_exact(size)?);
                self.read_exact(2)?;
            }
        }
        if let Some(length) = head.get("content-length") {
            return self.read_exact(length.parse().map_err(|_| eof())?);
        }
        if !until_close {
            return Ok(Vec::new());
        }
        let mut body = std::mem::take(&mut self.buffer);
        self.stream.read_to_end(&mut body)?;
        Ok(body)
    }
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; 0 if there was no complete answer.
    pub status: u16,
    pub head: Option<Head>,
    pub body: Vec<u8>,
    pub error: String,
}

impl Answer {
    fn failed(error: impl ToString) -> Answer {
        Answer { status: 0, head: None, body: Vec::new(), error: error.to_string() }
    }

    pub fn text(&self) -> String {
        match self.status {
            0 => format!("no answer ({})", self.error),
            status => {
                let body = String::from_utf8_lossy(&self.body[..self.body.len().min(60)]);
                format!("{status} {:?}", body.trim())
            }
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000u64 | NEXT_ID.fetch_add(1, SeqCst))
}

/// A client's request.
#[derive(Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub host: &'static str,
    pub id: String,
    pub key: Option<String>,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &'static str, host: &'static str, path: &str) -> Call {
        let (path, id) = (path.to_string(), new_id());
        Call { method, path, host, id, key: None, deadline_ms: 5_000, body: Vec::new() }
    }

    pub fn head(&self) -> String {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Remaining-Ms: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        );
        if let Some(key) = &self.key {
            head += &format!("Authorization: Bearer {key}\r\n");
        }
        if self.method != "GET" {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head + "\r\n"
    }

    /// Sends the request on a connection and waits for the answer up to the deadline.
    pub fn send_on(&self, conn: &mut Conn) -> Answer {
        let wait = Duration::from_millis(self.deadline_ms + 1_000);
        let _ = conn.stream.set_read_timeout(Some(wait));
        let _ = conn.stream.set_write_timeout(Some(wait));
        let mut bytes = self.head().into_bytes();
        bytes.extend_from_slice(&self.body);
        if let Err(error) = conn.stream.write_all(&bytes) {
            return Answer::failed(error);
        }
        read_answer(conn)
    }

    /// Like `send_on`, but sends the body in pieces of so many bytes, with pauses in milliseconds.
    pub fn send_paced(&self, conn: &mut Conn, (piece, pause): (usize, u64)) -> Answer {
        let wait = Duration::from_millis(self.deadline_ms + 1_000);
        let _ = conn.stream.set_read_timeout(Some(wait));
        let _ = conn.stream.set_write_timeout(Some(wait));
        if let Err(error) = conn.stream.write_all(self.head().as_bytes()) {
            return Answer::failed(error);
        }
        for bytes in self.body.chunks(piece) {
            if let Err(error) = conn.stream.write_all(bytes) {
                return Answer::failed(error);
            }
            sleep_ms(pause);
        }
        read_answer(conn)
    }

    /// Sends the request on a new connection.
    pub fn send(&self, address: &str) -> Answer {
        match Conn::open(address, Duration::from_secs(1)) {
            Ok(mut conn) => self.send_on(&mut conn),
            Err(error) => Answer::failed(error),
        }
    }
}

pub fn read_answer(conn: &mut Conn) -> Answer {
    let head = match conn.read_head() {
        Ok(head) => head,
        Err(error) => return Answer::failed(error),
    };
    match conn.read_body(&head, true) {
        Ok(body) => Answer { status: head.status(), head: Some(head), body, error: String::new() },
        Err(error) => Answer::failed(format!("the answer broke off: {error}")),
    }
}

/// An exchange of the harness itself, with the store or a node's ports.
pub fn exchange(address: &str, method: &str, path: &str, body: &str, wait: Duration) -> Answer {
    let mut conn = match Conn::open(address, Duration::from_secs(1)) {
        Ok(conn) => conn,
        Err(error) => return Answer::failed(error),
    };
    let _ = conn.stream.set_read_timeout(Some(wait));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    if let Err(error) = conn.stream.write_all(head.as_bytes()) {
        return Answer::failed(error);
    }
    read_answer(&mut conn)
}

// ---------------------------------------------------------------------------------------------
// Endpoints

/// A request at an endpoint.
pub struct Arrival {
    pub head: Head,
    pub at_ms: u64,
}

/// What an endpoint does with a request. It reads the body and writes the answer itself.
pub type Behaviour = dyn Fn(&Endpoint, &Arrival, &mut Conn) -> io::Result<()> + Send + Sync;

/// A stand-in for an endpoint, beside one node.
pub struct Endpoint {
    pub name: String,
    pub service: String,
    pub address: String,
    /// The address of the node's `control` port.
    pub control: String,
    pub record: Arc<Record>,
    behaviour: Box<Behaviour>,
    state: Mutex<State>,
    /// Increases with each end, so that threads of an earlier incarnation stop.
    incarnation: AtomicU64,
    pub is_leaving: AtomicBool,
    pub pauses_heartbeats: AtomicBool,
}

#[derive(Default)]
struct State {
    instance: String,
    born: u64,
    sequence: u64,
    connections: Vec<TcpStream>,
    is_up: bool,
}

impl Endpoint {
    pub fn new(
        name: &str,
        node: &Node,
        record: &Arc<Record>,
        behaviour: Box<Behaviour>,
    ) -> Arc<Endpoint> {
        Arc::new(Endpoint {
            name: name.into(),
            service: node.service.clone(),
            address: format!("{}:8547", node.ip),
            control: node.control.clone(),
            record: Arc::clone(record),
            behaviour,
            state: Mutex::default(),
            incarnation: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            pauses_heartbeats: AtomicBool::new(false),
        })
    }

    pub fn instance(&self) -> String {
        self.state.lock().unwrap().instance.clone()
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().unwrap().is_up
    }

    /// Starts a new incarnation: listens, and sends heartbeats.
    pub fn start(self: &Arc<Endpoint>) -> io::Result<()> {
        let listener = bind_again(&self.address)?;
        let incarnation = self.incarnation.fetch_add(1, SeqCst) + 1;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        {
            let mut state = self.state.lock().unwrap();
            state.instance = format!("i-{}-{incarnation}-{:05x}", self.name, born & 0xfffff);
            state.born = born;
            state.sequence = 0;
            state.is_up = true;
        }
        self.is_leaving.store(false, SeqCst);
        self.record.line(format!("endpoint {} starts as {}", self.name, self.instance()));
        listener.set_nonblocking(true)?;
        let endpoint = Arc::clone(self);
        thread::spawn(move || {
            while endpoint.incarnation.load(SeqCst) == incarnation {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            endpoint.state.lock().unwrap().connections.push(copy);
                        }
                        let endpoint = Arc::clone(&endpoint);
                        thread::spawn(move || endpoint.serve(stream, incarnation));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        });
        let endpoint = Arc::clone(self);
        thread::spawn(move || {
            while endpoint.incarnation.load(SeqCst) == incarnation {
                if !endpoint.pauses_heartbeats.load(SeqCst) {
                    let (path, body) = endpoint.next_heartbeat("ready");
                    let answer =
                        exchange(&endpoint.control, "POST", &path, &body, Duration::from_secs(1));
                    if answer.status != 200 {
                        endpoint.record.line(format!(
                            "endpoint {}: heartbeat without acknowledgement: {}",
                            endpoint.name,
                            answer.text()
                        ));
                    }
                }
                let next = Instant::now() + HEARTBEAT;
                while Instant::now() < next && endpoint.incarnation.load(SeqCst) == incarnation {
                    sleep_ms(10);
                }
            }
        });
        Ok(())
    }

    /// The path and the body of the next heartbeat.
    pub fn next_heartbeat(&self, state_name: &str) -> (String, String) {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        let path = format!("/-/rpc?call=instances.heartbeat&of={}", state.instance);
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":64,"state":"{state_name}","coldRemainingS":0,"sequence":{},"born":{}}}"#,
            self.service, self.address, state.sequence, state.born
        );
        (path, body)
    }

    /// Sends `instances.deregister`; returns whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        let (instance, born) = {
            let state = self.state.lock().unwrap();
            (state.instance.clone(), state.born)
        };
        let path = format!("/-/rpc?call=instances.deregister&of={instance}");
        let body = format!(r#"{{"born":{born}}}"#);
        exchange(&self.control, "POST", &path, &body, Duration::from_secs(1)).status == 200
    }

    /// Ends the process: its port is closed and all its connections break.
    pub fn end(&self, why: &str) {
        self.incarnation.fetch_add(1, SeqCst);
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record.line(format!("endpoint {} ends: {why}", self.name));
    }

    fn serve(self: Arc<Endpoint>, stream: TcpStream, incarnation: u64) {
        let mut conn = Conn::new(stream);
        while self.incarnation.load(SeqCst) == incarnation {
            let Ok(head) = conn.read_head() else { return };
            let arrival = Arrival { head, at_ms: self.record.ms() };
            if arrival.head.path() == "/health" {
                let _ = self.answer(&arrival, &mut conn, 200, b"");
                continue;
            }
            let expected = arrival.head.get("x-expected-instance").map(String::from);
            if expected.is_some_and(|expected| expected != self.instance()) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                    self.instance()
                );
                let _ = conn.stream.write_all(text.as_bytes());
                return;
            }
            let header = |name| arrival.head.get(name).unwrap_or("-").to_string();
            self.record.line(format!(
                "endpoint {} runs {} {} id {} tenant {} caller {}",
                self.name,
                arrival.head.first[0],
                arrival.head.path(),
                header("x-attempt-id"),
                header("x-tenant"),
                header("x-caller-service"),
            ));
            if (self.behaviour)(&self, &arrival, &mut conn).is_err() {
                return;
            }
            if self.is_leaving.load(SeqCst) {
                return;
            }
        }
    }

    /// Writes an answer of the endpoint.
    pub fn answer(
        &self,
        arrival: &Arrival,
        conn: &mut Conn,
        status: u16,
        body: &[u8],
    ) -> io::Result<()> {
        let id = arrival.head.get("x-attempt-id").unwrap_or("-");
        let mut text = format!(
            "HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal.{}.{id}\r\nX-Instance-Id: {}\r\nX-Server-Load: 1,0,64\r\nContent-Length: {}\r\n",
            self.name,
            self.instance(),
            body.len()
        );
        if self.is_leaving.load(SeqCst) {
            text += "Server-Leaving: 1\r\nConnection: close\r\n";
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        conn.stream.write_all(&bytes)
    }
}

/// Binds an address that an ended listener of this process may still hold for a moment.
fn bind_again(address: &str) -> io::Result<TcpListener> {
    let mut last = eof();
    for _ in 0..100 {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => last = error,
        }
        sleep_ms(20);
    }
    Err(last)
}

// ---------------------------------------------------------------------------------------------
// Processes

pub struct Node {
    pub name: String,
    pub service: String,
    pub ip: String,
    pub outbound: String,
    pub ready: String,
    pub control: String,
    settings: String,
    log: String,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: String,
    pub directory: String,
    pub nodes: Vec<Node>,
    /// The relays of the nodes that have one, by the node's name.
    pub relays: HashMap<&'static str, Arc<Relay>>,
    prefix: String,
    version: AtomicU64,
}

/// The processes that this harness has started, to be ended by it.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

pub fn end_all() {
    for (_, child) in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends one process by its name, with SIGKILL.
pub fn kill(name: &str) {
    let mut children = CHILDREN.lock().unwrap();
    if let Some(index) = children.iter().position(|(n, _)| n == name) {
        let (_, mut child) = children.remove(index);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The resident memory of a process that this harness has started, in KiB.
pub fn resident_kb(name: &str) -> u64 {
    let children = CHILDREN.lock().unwrap();
    let child = children.iter().find(|(n, _)| n == name).map(|(_, child)| child.id());
    let status = child.and_then(|id| fs::read_to_string(format!("/proc/{id}/status")).ok());
    let status = status.unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
}

pub struct NodePlan {
    pub name: &'static str,
    pub service: &'static str,
    /// Whether the node is started later, by the case.
    pub is_spare: bool,
    /// Whether its connections to the store pass through a relay.
    pub has_relay: bool,
}

/// A node that starts at once and reaches the store directly.
pub fn node(name: &'static str, service: &'static str) -> NodePlan {
    NodePlan { name, service, is_spare: false, has_relay: false }
}

/// A relay between one node and the store. While it is cut, it resets connections.
pub struct Relay {
    is_cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Relay {
    fn start(address: &str, store: &str) -> io::Result<Arc<Relay>> {
        let listener = TcpListener::bind(address)?;
        let relay = Arc::new(Relay { is_cut: AtomicBool::new(false), streams: Mutex::default() });
        let (accepting, store) = (Arc::clone(&relay), store.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_cut.load(SeqCst) {
                    continue;
                }
                let Ok(other) = TcpStream::connect(&store) else { continue };
                let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                for (from, to) in [(&stream, &other), (&other, &stream)] {
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    thread::spawn(move || {
                        let _ = io::copy(&mut from, &mut to);
                        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                    });
                }
                accepting.streams.lock().unwrap().extend([stream, other]);
            }
        });
        Ok(relay)
    }

    /// Cuts the node off from the store, or ends that.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, SeqCst);
        if is_cut {
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

impl Deployment {
    /// Starts the store and the nodes; the first configuration is written before the nodes start.
    pub fn start(
        record: &Arc<Record>,
        plans: &[NodePlan],
        config: impl Fn(u64) -> String,
    ) -> io::Result<Deployment> {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos() as u64
            ^ (u64::from(std::process::id()) << 13);
        let prefix = format!("127.{}.{}", 20 + seed % 200, 1 + (seed / 200) % 250);
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let directory = directory.to_string_lossy().into_owned();
        let store = format!("{prefix}.2:8545");
        let mut deployment = Deployment {
            record: Arc::clone(record),
            store: store.clone(),
            directory,
            nodes: Vec::new(),
            relays: HashMap::new(),
            prefix,
            version: AtomicU64::new(0),
        };
        deployment.spawn("store", Command::new(STORE_PROGRAM).args(["--address", &store]))?;
        let until = Instant::now() + Duration::from_secs(5);
        while Conn::open(&store, Duration::from_millis(200)).is_err() {
            if Instant::now() > until {
                return Err(io::Error::other("the store does not start"));
            }
            sleep_ms(20);
        }
        if deployment.configure(config) == 0 {
            return Err(io::Error::other("the store does not take the configuration"));
        }
        for (index, plan) in plans.iter().enumerate() {
            let node = deployment.plan(index, plan)?;
            deployment.nodes.push(node);
        }
        for (index, plan) in plans.iter().enumerate() {
            if !plan.is_spare {
                deployment.start_node(index)?;
            }
        }
        Ok(deployment)
    }

    fn spawn(&self, name: &str, command: &mut Command) -> io::Result<()> {
        let log = format!("{}/{name}.log", self.directory);
        let file = fs::OpenOptions::new().create(true).append(true).open(&log)?;
        command.stdin(Stdio::null()).stdout(file.try_clone()?).stderr(file);
        // The process ends with the harness, even if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        CHILDREN.lock().unwrap().push((name.to_string(), child));
        Ok(())
    }

    /// Fills in the deploy file's template of settings.
    fn plan(&mut self, index: usize, plan: &NodePlan) -> io::Result<Node> {
        let mut store = self.store.clone();
        if plan.has_relay {
            store = format!("{}.3:{}", self.prefix, 8545 + index);
            self.relays.insert(plan.name, Relay::start(&store, &self.store)?);
        }
        let ip = format!("{}.{}", self.prefix, 10 + index);
        let at = |port: u16| format!("{ip}:{port}");
        let values: HashMap<&str, String> = HashMap::from([
            ("node", plan.name.to_string()),
            ("zone", "zone-a".to_string()),
            ("service", plan.service.to_string()),
            ("ipAddress", ip.clone()),
            ("listenAddresses.outbound", at(8548)),
            ("listenAddresses.control", at(8540)),
            ("listenAddresses.ready", at(8546)),
            ("internalPortRange.0", "7000".to_string()),
            ("platform.address", store),
            ("bounds.revocationS", "5".to_string()),
            ("bounds.strictRevocation", "true".to_string()),
            ("bounds.gracePeriodS", "6".to_string()),
            ("bounds.retryBudgetRatio", "0.2".to_string()),
            ("bounds.retryBudgetSlack", "49".to_string()),
        ]);
        let mut text = fs::read_to_string(TEMPLATE)?;
        for (name, value) in &values {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        if text.contains("{{") {
            return Err(io::Error::other("a placeholder of the settings is not known"));
        }
        let settings = format!("{}/{}.yaml", self.directory, plan.name);
        fs::write(&settings, text)?;
        Ok(Node {
            name: plan.name.into(),
            service: plan.service.into(),
            outbound: at(8548),
            ready: at(8546),
            control: at(8540),
            log: format!("{}/{}.log", self.directory, plan.name),
            ip,
            settings,
        })
    }

    pub fn start_node(&self, index: usize) -> io::Result<()> {
        let node = &self.nodes[index];
        let mut command = Command::new(NODE_PROGRAM);
        command.env_clear().env("MUSTARDPIN_SETTINGS", &node.settings);
        self.spawn(&node.name, &mut command)?;
        self.record.line(format!("node {} ({}) starts at {}", node.name, node.service, node.ip));
        Ok(())
    }

    /// Writes the next version of the configuration. Returns the version, or 0 if that failed.
    pub fn configure(&self, config: impl Fn(u64) -> String) -> u64 {
        let version = self.version.fetch_add(1, SeqCst) + 1;
        let value = base64(config(version).as_bytes());
        let body = format!(
            r#"{{"expected":[],"puts":[{{"table":"op","part":"","key":"config","value":"{value}"}}],"deletes":[]}}"#
        );
        let answer = exchange(&self.store, "POST", "/-/rows-tx", &body, Duration::from_secs(2));
        self.record.line(format!("operator writes version {version}: {}", answer.status));
        if answer.status == 200 { version } else { 0 }
    }

    /// Waits until these nodes are ready.
    pub fn wait_ready(&self, count: usize) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(25);
        for node in &self.nodes[..count] {
            let wait = Duration::from_millis(500);
            while exchange(&node.ready, "GET", "/-/readiness", "", wait).status != 200 {
                if Instant::now() > until {
                    let log = fs::read_to_string(&node.log).unwrap_or_default();
                    let tail: String = log.lines().rev().take(5).collect::<Vec<_>>().join("\n");
                    self.record.line(format!("node {} is not ready: {tail}", node.name));
                    return Err(io::Error::other("a node is not ready"));
                }
                sleep_ms(50);
            }
        }
        self.record.line("all nodes are ready");
        Ok(())
    }

    pub fn clean_up(&self) {
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs in {}", self.directory);
            return;
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub kind: &'static str,
    pub timeout_s: f64,
    pub is_public: bool,
}

/// The operators' document. `tenants` is the text of the list.
pub fn document(version: u64, routes: &[Route], services: &[&str], tenants: &str) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                r#"{{"name":"{}","host":"shop.example","prefix":"{}","kind":"{}","timeoutS":{},"targetLatencyS":1,"priority":0,"service":"{}","attempts":2,"public":{}}}"#,
                r.name, r.prefix, r.kind, r.timeout_s, r.service, r.is_public
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|s| {
            format!(
                r#"{{"name":"{s}","healthCheckPath":"/health","maxConnections":400,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":"{version:08x}","routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"tenants":[{tenants}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = match File::create(path) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        }
    };
    let record = Arc::new(Record { start: Instant::now(), file: Mutex::new(file) });
    record.line(format!("case {case}, TROUBLE={}", u8::from(has_trouble)));
    thread::spawn({
        let record = Arc::clone(&record);
        move || {
            thread::sleep(WATCHDOG);
            record.line("the case took too long");
            end_all();
            std::process::exit(2);
        }
    });
    let run = std::panic::AssertUnwindSafe(|| cases::run(case, &record, has_trouble));
    let result = std::panic::catch_unwind(run);
    end_all();
    let code = match result {
        Ok(Ok(true)) => {
            record.line("the rule was broken");
            1
        }
        Ok(Ok(false)) => {
            record.line("the rule held");
            0
        }
        Ok(Err(error)) => {
            record.line(format!("the case could not run: {error}"));
            2
        }
        Err(_) => {
            record.line("the case could not run: the harness failed");
            2
        }
    };
    std::process::exit(code);
}
