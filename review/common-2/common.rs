//! Stand-ins for the platform, its clients and its endpoints, for the scripts of the second review.
//! Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
pub const TENANT: &str = "pulo780";
/// The bounds of the site file, as the settings of DEPLOY show them.
const BOUNDS: [(&str, &str); 5] = [
    ("{{bounds.revocationS}}", "5"),
    ("{{bounds.strictRevocation}}", "true"),
    ("{{bounds.gracePeriodS}}", "6"),
    ("{{bounds.retryBudgetRatio}}", "0.2"),
    ("{{bounds.retryBudgetSlack}}", "49"),
];

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- record

pub struct Record {
    file: Mutex<fs::File>,
    begun: Instant,
}

impl Record {
    pub fn open(case: &Path) -> Arc<Record> {
        let file = fs::File::create(case.join("record.txt")).expect("record.txt can be written");
        Arc::new(Record { file: Mutex::new(file), begun: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> Option<u16> {
        let rest = self.first.strip_prefix("HTTP/1.1 ")?;
        rest.get(..3)?.parse().ok()
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

pub type Conn = BufReader<TcpStream>;

/// Reads a head; `None` if the connection ended before its first byte.
pub fn read_head(conn: &mut Conn) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        let count = conn.read_until(b'\n', &mut line)?;
        if count == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        if !line.ends_with(b"\n") {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = String::from_utf8_lossy(&line).trim_end_matches(['\r', '\n']).to_owned();
        if head.first.is_empty() {
            if !line.is_empty() {
                head.first = line;
            }
            continue;
        }
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or is chunked; without either, it is empty for requests and ends
/// with the connection for responses.
pub fn read_body(conn: &mut Conn, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            if conn.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default().to_owned();
            let size = usize::from_str_radix(&size, 16)
                .map_err(|_| io::Error::other(format!("no chunk size: {line:?}")))?;
            if size == 0 {
                while conn.read_line(&mut line)? > 2 {
                    line.clear();
                }
                return Ok(body);
            }
            let start = body.len();
            body.resize(start + size + 2, 0);
            conn.read_exact(&mut body[start..])?;
            body.truncate(start + size);
        }
    }
    match head.length() {
        Some(length) => {
            body.resize(length, 0);
            conn.read_exact(&mut body)?;
        }
        None if is_response && !matches!(head.status(), Some(204 | 304)) => {
            conn.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// One request on a connection of its own; the response's status and body.
pub fn exchange(address: SocketAddr, head: &str, body: &[u8]) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut conn = BufReader::new(stream);
    let head = read_head(&mut conn)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut conn, &head, true)?;
    Ok((head, body))
}

/// Serves each connection in a thread of its own until the process ends.
pub fn listen(
    address: SocketAddr,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                let _ = serve(stream);
            });
        }
    });
}

pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", 0x9c41_0000_0000_0000_u64 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The head of a client's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    request_of(KEY, method, path, id, deadline_ms, more)
}

/// The head of a request of a client with this key.
pub fn request_of(
    key: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: hulo84.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Remaining-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{more}\r\n"
    )
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(bytes, at)? else { return None };
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                let byte = *bytes.get(*at)?;
                *at += 1;
                match byte {
                    b'"' => return Some(Json::Text(String::from_utf8_lossy(&text).into_owned())),
                    b'\\' => {
                        let escaped = *bytes.get(*at)?;
                        *at += 1;
                        match escaped {
                            b'n' => text.push(b'\n'),
                            b'r' => text.push(b'\r'),
                            b't' => text.push(b'\t'),
                            b'u' => {
                                let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(digits, 16).ok()?;
                                *at += 4;
                                let character = char::from_u32(code).unwrap_or('?');
                                text.extend(character.to_string().bytes());
                            }
                            other => text.push(other),
                        }
                    }
                    byte => text.push(byte),
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(LETTERS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- the platform's store

type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Name, (String, u64)>,
    /// The last change of each row, dropped ones too.
    changes: BTreeMap<Name, (Option<String>, u64)>,
    version: u64,
}

/// The platform's store: rows, transactions and feeds, as PROTOCOL tells.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    begun: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Store> {
        let rows = Mutex::new(Rows { version: 10, ..Rows::default() });
        let begun = Instant::now();
        let store = Arc::new(Store { rows, changed: Condvar::new(), begun, address });
        let shared = Arc::clone(&store);
        listen(address, move |stream| shared.serve(stream));
        store
    }

    /// The operator writes the configuration.
    pub fn configure(&self, document: &str) {
        let name = ("op".to_owned(), String::new(), "config".to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(name.clone(), (base64(document.as_bytes()), version));
        rows.changes.insert(name, (Some(base64(document.as_bytes())), version));
        self.changed.notify_all();
    }

    fn now(&self) -> f64 {
        50.0 + self.begun.elapsed().as_secs_f64()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = BufReader::new(stream);
        while let Some(head) = read_head(&mut conn)? {
            let body = read_body(&mut conn, &head, false)?;
            let (status, text) = self.answer(&head, &body);
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            conn.get_mut().write_all(response.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found.next().map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        match path {
            "/-/rows-tx" => self.transact(body),
            "/-/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let (table, part, from) = (value("table"), value("part"), value("from"));
                let listed = rows.rows.iter().filter(|(name, _)| {
                    name.0 == table && name.1 == part && name.2 >= from
                });
                let mut list = String::new();
                for (name, (value, version)) in listed {
                    append_row(&mut list, name, Some(value), *version);
                }
                let (version, now) = (rows.version, self.now());
                let tail = format!("\"hasMore\":false,\"versionNumber\":{version},\"nowS\":{now:.3}");
                (200, format!("{{\"rows\":[{list}],{tail}}}"))
            }
            "/-/rows-feed" => {
                let after: u64 = value("after").parse().unwrap_or_default();
                let wait: u64 = value("waitMs").parse().unwrap_or_default();
                let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
                let table = value("table");
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let mut changed: Vec<_> = rows
                        .changes
                        .iter()
                        .filter(|(name, (_, version))| name.0 == table && *version > after)
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        changed.sort_by_key(|(_, (_, version))| *version);
                        let mut list = String::new();
                        for (name, (value, version)) in changed {
                            append_row(&mut list, name, value.as_deref(), *version);
                        }
                        let (version, now) = (rows.version, self.now());
                        let tail = format!("\"versionNumber\":{version},\"nowS\":{now:.3}");
                        return (200, format!("{{\"rows\":[{list}],{tail}}}"));
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let name = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let mut rows = self.rows.lock().unwrap();
        let holds = call.list("expected").iter().all(|row| {
            let known = rows.rows.get(&name(row)).map_or(0, |(_, version)| *version);
            known == row.number("versionNumber")
        });
        if !holds {
            let mut list = String::new();
            for row in call.list("expected") {
                if let Some((value, version)) = rows.rows.get(&name(row)) {
                    append_row(&mut list, &name(row), Some(value), *version);
                }
            }
            return (412, format!("{{\"rows\":[{list}]}}"));
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.list("puts") {
            rows.rows.insert(name(row), (row.text("value"), version));
            rows.changes.insert(name(row), (Some(row.text("value")), version));
        }
        for row in call.list("deletes") {
            rows.rows.remove(&name(row));
            rows.changes.insert(name(row), (None, version));
        }
        self.changed.notify_all();
        (200, format!("{{\"versionNumber\":{version},\"nowS\":{:.3}}}", self.now()))
    }
}

fn append_row(list: &mut String, name: &Name, value: Option<&str>, version: u64) {
    if !list.is_empty() {
        list.push(',');
    }
    let (table, part, key) = name;
    let _ = write!(list, "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",");
    let _ = match value {
        Some(value) => write!(list, "\"value\":\"{value}\","),
        None => write!(list, "\"deleted\":true,"),
    };
    let _ = write!(list, "\"versionNumber\":{version}}}");
}

// ---------------------------------------------------------------- machines

/// A machine: the addresses of its node and of the endpoint beside it.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    pub application: SocketAddr,
}

pub struct Deployment {
    pub case: PathBuf,
    pub directory: PathBuf,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    pub nodes: Vec<Node>,
}

/// A node's process, ended when it is dropped.
pub struct Node {
    pub child: Child,
}

impl Node {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The resident memory of the process, in bytes.
    pub fn memory(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kilobytes: usize =
            line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or_default();
        kilobytes * 1_024
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A loopback address with a free port, never the same one twice. Every machine has an address of its
/// own.
pub fn free_address(machine: usize) -> SocketAddr {
    static GIVEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
    let mut given = GIVEN.lock().unwrap();
    loop {
        let address = any_address(machine);
        if !given.contains(&address) {
            given.push(address);
            return address;
        }
    }
}

fn any_address(machine: usize) -> SocketAddr {
    let process = std::process::id();
    let second = 64 + process % 128;
    let third = process / 128 % 254;
    let ip = format!("127.{second}.{third}.{}:0", machine + 1);
    let listener = TcpListener::bind(ip).expect("a loopback address");
    listener.local_addr().expect("a bound address")
}

impl Deployment {
    /// Starts the store; the services name the machines' endpoints.
    pub fn new(services: &[(&str, &str)]) -> Deployment {
        let case = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let record = Record::open(&case);
        let directory =
            std::env::temp_dir().join(format!("mustardpin-review-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let store = Store::start(free_address(200));
        let machines = services.iter().enumerate().map(|(index, (zone, service))| Machine {
            name: format!("sidecar-{zone}-{}", index + 1),
            zone: (*zone).to_owned(),
            service: (*service).to_owned(),
            outbound: free_address(index),
            control: free_address(index),
            ready: free_address(index),
            peers: free_address(index),
            metrics: free_address(index),
            application: free_address(index),
        });
        let machines: Vec<Machine> = machines.collect();
        Deployment { case, directory, record, store, machines, nodes: Vec::new() }
    }

    /// Starts the node of a machine with the command of the deploy file.
    pub fn start_node(&self, index: usize) -> Node {
        let machine = &self.machines[index];
        let template = fs::read_to_string("deploy/settings.yaml").expect("deploy/settings.yaml");
        let mut settings = template
            .replace("{{ipAddress}}:{{internalPortRange.0}}", &machine.peers.to_string())
            .replace("{{ipAddress}}:9464", &machine.metrics.to_string())
            .replace("{{node}}", &machine.name)
            .replace("{{zone}}", &machine.zone)
            .replace("{{service}}", &machine.service)
            .replace("{{listenAddresses.outbound}}", &machine.outbound.to_string())
            .replace("{{listenAddresses.control}}", &machine.control.to_string())
            .replace("{{listenAddresses.ready}}", &machine.ready.to_string())
            .replace("{{platform.address}}", &self.store.address.to_string());
        for (name, value) in BOUNDS {
            settings = settings.replace(name, value);
        }
        assert!(!settings.contains("{{"), "a placeholder is left: {settings}");
        let file = self.directory.join(format!("{}.yaml", machine.name));
        fs::write(&file, settings).expect("the settings can be written");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{}.log", machine.name)))
            .expect("a log file");
        let errors = log.try_clone().expect("a second handle");
        let mut command = Command::new("target/release/mustardpin-platform");
        command.env("MUSTARDPIN_SETTINGS", &file);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // The node ends with this process, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| {
            eprintln!("the node cannot be started: {error}");
            std::process::exit(2);
        });
        self.record.line(format!("{}: node started", machine.name));
        Node { child }
    }

    pub fn start_nodes(&mut self) {
        self.nodes = (0..self.machines.len()).map(|index| self.start_node(index)).collect();
    }

    /// Waits until all nodes say that they are ready and a probe is answered with 200 several times.
    /// Exits with 2 if that takes too long.
    pub fn wait_ready(&self, probes: &[(usize, String)]) {
        let begun = Instant::now();
        let limit = Duration::from_secs(20);
        let give_up = |what: &str| {
            if begun.elapsed() > limit {
                self.record.say(format!("could not run: {what}"));
                self.end(2);
            }
            thread::sleep(Duration::from_millis(100));
        };
        for machine in &self.machines {
            let check = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            while !exchange(machine.ready, check, b"")
                .is_ok_and(|(head, _)| head.status() == Some(200))
            {
                give_up("a node is not ready");
            }
        }
        for (machine, path) in probes {
            let mut served = 0;
            while served < 5 {
                let more = "Connection: close\r\n";
                let request = request("GET", path, &next_id(), 2_000, more);
                let answer = exchange(self.machines[*machine].outbound, &request, b"");
                match answer.is_ok_and(|(head, _)| head.status() == Some(200)) {
                    true => served += 1,
                    false => give_up("a probe is not answered"),
                }
            }
        }
        self.record.line("ready");
    }

    /// Ends all nodes and the process.
    pub fn end(&self, code: i32) -> ! {
        for node in &self.nodes {
            node.signal(SIGKILL);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.directory);
        }
        std::process::exit(code);
    }
}

// ---------------------------------------------------------------- endpoints

/// What an endpoint knows of itself.
pub struct Endpoint {
    pub instance: String,
    pub machine: Machine,
    pub record: Arc<Record>,
    born: u64,
    sequence: AtomicU64,
    pub beats: AtomicBool,
    pub is_draining: AtomicBool,
    pub runs: Mutex<Vec<String>>,
}

impl Endpoint {
    /// An endpoint that sends heartbeats to its node and serves each connection with `serve`.
    pub fn start(
        machine: &Machine,
        instance: &str,
        record: &Arc<Record>,
        serve: impl Fn(&Endpoint, TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Arc<Endpoint> {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let endpoint = Arc::new(Endpoint {
            instance: instance.to_owned(),
            machine: machine.clone(),
            record: Arc::clone(record),
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            runs: Mutex::default(),
        });
        let shared = Arc::clone(&endpoint);
        listen(machine.application, move |stream| serve(&shared, stream));
        let shared = Arc::clone(&endpoint);
        thread::spawn(move || {
            loop {
                if shared.beats.load(Ordering::Relaxed) {
                    shared.beat();
                }
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        endpoint
    }

    fn beat(&self) {
        let _ = exchange(self.machine.control, &self.next_beat(), b"");
    }

    /// The next heartbeat.
    pub fn next_beat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let Machine { service, application, zone, .. } = &self.machine;
        let born = self.born;
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{application}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":223,\"state\":\"{state}\",\"coldRemainingS\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        self.call("instances.heartbeat", &body)
    }

    /// A heartbeat that another writer sends in the endpoint's name: `zone` and `version` are missing.
    pub fn beat_of_other_writer(&self, sequence: u64) -> String {
        let Machine { service, application, .. } = &self.machine;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{application}\",\"slots\":223,\
             \"state\":\"ready\",\"coldRemainingS\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.born
        );
        self.call("instances.heartbeat", &body)
    }

    /// The call by which the endpoint says that it is gone.
    pub fn deregistration(&self) -> String {
        self.call("instances.deregister", &format!("{{\"born\":{}}}", self.born))
    }

    fn call(&self, name: &str, body: &str) -> String {
        format!(
            "POST /-/rpc?call={name}&of={} HTTP/1.1\r\nHost: {}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            self.instance,
            self.machine.control,
            body.len()
        )
    }

    /// Records a run. Returns false if the request expects another instance.
    pub fn begin(&self, head: &Head) -> bool {
        if head.get("x-expected-instance").is_some_and(|expected| expected != self.instance) {
            return false;
        }
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        self.record.line(format!("{} runs {id} {}", self.instance, head.first));
        self.runs.lock().unwrap().push(id);
        true
    }

    /// The head of a success with a body of this length.
    pub fn success(&self, head: &Head, length: usize) -> String {
        let id = head.get("x-attempt-id").unwrap_or_default();
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {}.{id}.{length}\r\n\
             X-Server-Load: 1,0,223\r\nContent-Length: {length}\r\n\r\n",
            self.instance
        )
    }
}

/// The bytes of a body: each position is different from the ones near it.
pub fn pattern(length: usize, seed: &str) -> Vec<u8> {
    let seed: u64 = seed.bytes().fold(17, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    (0..length).map(|at| b'a' + ((at as u64 / 7 + at as u64 + seed) % 26) as u8).collect()
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, service: &str, kind: &str, timeout_s: f64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"hulo84.example\",\"prefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeoutS\":{timeout_s},\"targetLatencyS\":{timeout_s},\
         \"priority\":2,\"service\":\"{service}\",\"attempts\":2,\"public\":false}}"
    )
}

/// A configuration with these routes, the limits of the site file and one tenant.
pub fn configuration(version: u32, routes: &[String], services: &[&str]) -> String {
    configuration_of(version, routes, services, &[tenant(TENANT, KEY, 5_000, 5_000)])
}

pub fn tenant(name: &str, key: &str, rate: u32, burst: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"ratePerS\":{rate},\
         \"burst\":{burst}}}"
    )
}

/// A configuration with these routes and tenants, and the limits of the site file.
pub fn configuration_of(
    version: u32,
    routes: &[String],
    services: &[&str],
    tenants: &[String],
) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthCheckPath\":\"/health\",\"maxConnections\":1438,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
         \"idleTimeoutS\":15}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
