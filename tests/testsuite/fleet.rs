//! Runs a small fleet as processes: the platform's stand-in, and nodes with their targets.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use mustardpin_standin::{
    http::{self, Caller},
    load::inspect,
    target::run::Run,
};
use mustardpin_wire::admin::status::Status;
use serde_json::{Value, json};

use crate::{
    port::free_address,
    process::{Process, output, program},
    relay::Relay,
};

/// The operator credential of every test fleet.
const CREDENTIAL: &str = "test-operator-credential";

/// Settings that let requests wait longer for their team's tokens, as the machine may be busy with
/// other tests.
const TOKEN_WAIT_SETTINGS: &str = "rating:\n  patience: 2s\n  reply-within: 1s\n";

/// How long to wait until a fleet is ready or a condition on a node's status holds.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A node and its target.
#[derive(Debug)]
pub struct Slot {
    /// The node's address for callers.
    pub callers: SocketAddr,
    /// The node's address for its target.
    pub local: SocketAddr,
    /// The node's administration API.
    pub admin: SocketAddr,
    /// The address that the target listens on.
    pub target: SocketAddr,
    /// The node process.
    pub node: Process,
    /// The target process.
    pub target_process: Process,
    /// The relays on the node's connections, if the plan asks for them.
    pub relays: Option<Relays>,
    settings: PathBuf,
}

/// Relays on the connections from a node to the store and from peers to the node.
#[derive(Debug)]
pub struct Relays {
    /// Relay from the node to the platform's stand-in.
    pub store: Relay,
    /// Relay from peers to the node.
    pub peers: Relay,
}

/// Configuration of a slot.
#[derive(Debug, Clone)]
pub struct SlotPlan {
    /// Data centre of the node.
    pub data_centre: &'static str,
    /// Service of the target.
    pub service: &'static str,
    /// Additional command-line arguments of the target.
    pub target: Vec<String>,
    /// Additional YAML lines of the node's settings.
    pub settings: String,
    /// Whether the node's connections to the store and from peers pass through relays.
    pub is_relayed: bool,
}

/// A slot with the default target and settings, and no relays.
pub fn slot(data_centre: &'static str, service: &'static str) -> SlotPlan {
    let settings = String::new();
    SlotPlan { data_centre, service, target: Vec::new(), settings, is_relayed: false }
}

impl SlotPlan {
    /// Adds command-line arguments of the target.
    pub fn target(mut self, arguments: &[&str]) -> SlotPlan {
        self.target.extend(arguments.iter().map(|text| (*text).to_owned()));
        self
    }

    /// Adds relays to the store and from peers.
    pub fn relayed(mut self) -> SlotPlan {
        self.is_relayed = true;
        self
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// One slot for each plan, in the same order.
    pub slots: Vec<Slot>,
    /// Address of the platform's stand-in.
    pub platform: SocketAddr,
    platform_process: Process,
    directory: PathBuf,
    keeps_directory: bool,
    caller: Caller,
    /// Number of nodes that were started again.
    restarts: usize,
}

/// The response to a [`CallerRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// The HTTP status; 0 if the connection could not be opened or broke.
    pub status: u16,
    /// The value of `mustardpin-outcome`; empty if the header is absent.
    pub outcome: String,
    /// The value of `mustardpin-reason`; empty if the header is absent.
    pub reason: String,
    /// The complete body.
    pub body: Bytes,
}

impl Fleet {
    /// Starts a fleet, configures the tests' routes and team, and waits until they are in force.
    pub async fn start(plans: &[SlotPlan]) -> Fleet {
        let platform = free_address();
        Fleet::start_with_platform(plans, platform, platform).await
    }

    /// Starts a fleet whose nodes connect to the platform's stand-in through another address, such
    /// as that of a relay.
    pub async fn start_with_platform(
        plans: &[SlotPlan],
        platform: SocketAddr,
        platform_for_nodes: SocketAddr,
    ) -> Fleet {
        let directory = scratch_directory();
        let mut command = Command::new(program("platform-standin"));
        command.args(["--address", &platform.to_string()]);
        let platform_process = Process::start(&mut command, &directory, "platform");
        let mut fleet = Fleet {
            slots: Vec::new(),
            platform,
            platform_process,
            directory,
            keeps_directory: false,
            caller: http::caller(false),
            restarts: 0,
        };
        for plan in plans {
            let slot = fleet.start_slot(plan, platform_for_nodes).await;
            fleet.slots.push(slot);
        }
        fleet.wait_until_ready().await;
        fleet.configure();
        fleet.wait_until_in_force().await;
        fleet
    }

    async fn start_slot(&self, plan: &SlotPlan, platform: SocketAddr) -> Slot {
        let name = format!("{}-{}-{}", plan.data_centre, plan.service, self.slots.len());
        let [callers, local, peers, admin, target] = std::array::from_fn(|_| free_address());
        let relays = match plan.is_relayed {
            true => Some(Relays {
                store: Relay::start(platform).await,
                peers: Relay::start(peers).await,
            }),
            false => None,
        };
        let platform = relays.as_ref().map_or(platform, |relays| relays.store.address());
        let announced = relays.as_ref().map_or(peers, |relays| relays.peers.address());
        let settings = self.directory.join(format!("{name}.yaml"));
        let seeds: Vec<_> = self.slots.iter().map(|slot| slot.announced_address()).collect();
        let yaml = format!(
            "name: {name}\ndata-centre: {}\nservice: {}\naddresses:\n  callers: {callers}\n  \
             local: {local}\n  peers: {peers}\n  \
             announced: {announced}\n  admin: {admin}\n\
             fleet-credential: test-fleet-credential\noperator-credential: {CREDENTIAL}\n\
             platform:\n  address: {platform}\n  timeout: 1s\nseeds: [{}]\n{TOKEN_WAIT_SETTINGS}{}",
            plan.data_centre,
            plan.service,
            seeds.join(", "),
            plan.settings,
        );
        fs::write(&settings, yaml).expect("the scratch directory can be written");
        let node = start_node(&settings, &self.directory, &name);
        let mut command = Command::new(program("target-standin"));
        command
            .args(["--address", &target.to_string(), "--node", &local.to_string()])
            .args(["--service", plan.service, "--announce-ms", "200"])
            .args(&plan.target);
        let target_process =
            Process::start(&mut command, &self.directory, &format!("{name}-target"));
        Slot { callers, local, admin, target, node, target_process, relays, settings }
    }

    /// Runs the `mustardpin` command with the administration APIs of these slots.
    pub fn run_command(&self, slots: &[usize], arguments: &[&str]) -> Output {
        output(&mut self.build_command(slots, arguments))
    }

    /// Builds the `mustardpin` command with the administration APIs of these slots.
    pub fn build_command(&self, slots: &[usize], arguments: &[&str]) -> Command {
        let mut command = Command::new(program("mustardpin"));
        command.args(arguments).env("MUSTARDPIN_OPERATOR_CREDENTIAL", CREDENTIAL);
        for &slot in slots {
            command.args(["--admin", &self.slots[slot].admin.to_string()]);
        }
        command
    }

    /// Runs the `mustardpin` command, asserts that it succeeds, and returns its standard output.
    pub fn run_successfully(&self, arguments: &[&str]) -> String {
        let all: Vec<_> = (0..self.slots.len()).collect();
        let output = self.run_command(&all, arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {errors}");
        String::from_utf8_lossy(&output.stdout).trim().to_owned()
    }

    /// Issues a key of the tests' team, and waits until it is in force.
    pub async fn issue_key(&self, id: &str) -> String {
        let key = self.run_successfully(&["keys", "issue", "garages", "--id", id]);
        self.wait_until_in_force().await;
        key
    }

    /// Sets the failure mode of the platform's stand-in and the delay of its slow mode.
    pub async fn set_platform(&self, mode: &str, delay: Duration) {
        let mode = json!({ "mode": mode, "delay-ms": delay.as_millis() as u64 });
        let path = "/standin/mode";
        let set: Result<Value, _> =
            http::call(&self.caller, "POST", self.platform, path, Some(&mode)).await;
        set.expect("the platform's stand-in runs");
    }

    /// Makes the platform's stand-in compact its history.
    pub async fn compact_platform(&self) {
        self.command_platform("/standin/compact").await;
    }

    /// Makes the platform's stand-in copy its rows.
    pub async fn copy_platform(&self) {
        self.command_platform("/standin/copy").await;
    }

    /// Makes the platform's stand-in restore its rows from the copy.
    pub async fn restore_platform(&self) {
        self.command_platform("/standin/restore").await;
    }

    async fn command_platform(&self, path: &str) {
        let request = Request::post(format!("http://{}{path}", self.platform));
        let request = request.body(Full::default()).expect("a well-formed request");
        self.caller.request(request).await.expect("the platform's stand-in runs");
    }

    /// Keeps the logs of all processes after the test, and returns their directory.
    pub fn keep_directory(&mut self) -> &std::path::Path {
        self.keeps_directory = true;
        &self.directory
    }

    /// The scratch directory, with the logs and settings of the processes.
    pub fn directory(&self) -> &std::path::Path {
        &self.directory
    }

    /// The runs that all targets report.
    pub async fn target_runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for slot in &self.slots {
            let report = inspect::report(&self.caller, slot.target).await;
            runs.extend(report.expect("the target's stand-in runs").ran);
        }
        runs
    }

    /// The status of a node; `None` if it does not respond.
    pub async fn status(&self, slot: usize) -> Option<Status> {
        let request = Request::builder()
            .uri(format!("http://{}/admin/status", self.slots[slot].admin))
            .header("authorization", format!("Bearer {CREDENTIAL}"))
            .body(Full::default())
            .expect("a well-formed request");
        let response = self.caller.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    /// Waits until a condition on a node's status holds; panics after [`READY_TIMEOUT`].
    pub async fn wait_for(&self, slot: usize, description: &str, holds: impl Fn(&Status) -> bool) {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < READY_TIMEOUT {
            last = self.status(slot).await;
            if last.as_ref().is_some_and(&holds) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        panic!("slot {slot}: timed out waiting until {description}: {last:#?}\n{}", self.logs());
    }

    /// Starts the node of a slot again after it has exited. The target has kept running.
    pub fn restart(&mut self, slot: usize) {
        self.restarts += 1;
        let name = format!("{slot}-again-{}", self.restarts);
        self.slots[slot].node = start_node(&self.slots[slot].settings, &self.directory, &name);
    }

    /// The last five lines of every process's log, latest first.
    pub fn logs(&self) -> String {
        let files = fs::read_dir(&self.directory).expect("the scratch directory exists");
        let mut text = String::new();
        for file in files.flatten() {
            let log = fs::read_to_string(file.path()).unwrap_or_default();
            let lines: Vec<_> = log.lines().rev().take(5).collect();
            text += &format!("{}: {lines:#?}\n", file.path().display());
        }
        text
    }

    async fn wait_until_ready(&self) {
        let nodes = self.slots.len();
        for slot in 0..nodes {
            self.wait_for(slot, "the fleet is ready", |status| {
                let connected = status.peers.iter().filter(|peer| peer.link == "up");
                status.target.present
                    && status.view.fresh
                    && status.view.members as usize == nodes
                    && connected.count() + 1 == nodes
            })
            .await;
        }
    }

    /// Waits until every node has reached the latest revision that any node has.
    pub async fn wait_until_in_force(&self) {
        let mut revisions = Vec::new();
        for slot in 0..self.slots.len() {
            revisions.extend(self.status(slot).await.map(|status| status.view.revision));
        }
        let latest = revisions.into_iter().max().unwrap_or(0);
        for slot in 0..self.slots.len() {
            self.wait_for(slot, "the change is in force", |status| status.view.revision >= latest)
                .await;
        }
    }

    fn configure(&self) {
        let search = "search service=search method=GET path=/slots repeatable=true timeout=8s";
        let ledger = "free service=ledger method=GET path=/ledger repeatable=true timeout=8s";
        let book = "book service=ledger method=POST path=/bookings importance=critical timeout=8s";
        let help = "help service=ledger method=GET path=/help repeatable=true open=true";
        for route in [search, ledger, book, help] {
            let words: Vec<_> =
                ["defaults", "set", "route"].into_iter().chain(route.split(' ')).collect();
            self.run_successfully(&words);
        }
        self.run_successfully(&["defaults", "set", "team", "garages", "rate=2000", "burst=2000"]);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.platform_process.kill();
        if std::thread::panicking() {
            eprintln!("{}", self.logs());
        }
        if !self.keeps_directory {
            let _remove_result = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Slot {
    /// Sets how long requests may wait in the node's queue, in its settings file.
    pub fn set_queue_wait(&self, wait: Duration) {
        let settings = fs::read_to_string(&self.settings).expect("the settings file exists");
        let (start, _) = settings.split_once("queueing:").unwrap_or((&settings, ""));
        let changed = format!("{start}queueing:\n  wait: {}ms\n", wait.as_millis());
        fs::write(&self.settings, changed).expect("the settings file can be written");
    }

    fn announced_address(&self) -> String {
        let settings = fs::read_to_string(&self.settings).expect("the settings file exists");
        let line = settings.lines().find_map(|line| line.trim().strip_prefix("announced: "));
        line.expect("the settings contain the announced address").to_owned()
    }
}

/// Starts a node with a settings file. Its log is `NAME.log` in the directory.
pub fn start_node(settings: &std::path::Path, directory: &std::path::Path, name: &str) -> Process {
    let mut command = Command::new(program("mustardpin"));
    command.args(["node", "--settings"]).arg(settings);
    Process::start(&mut command, directory, name)
}

/// Creates a directory for one test.
pub fn scratch_directory() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("mustardpin-test-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    fs::create_dir_all(&directory).expect("the scratch directory can be created");
    directory
}

/// A request that a caller sends to a node.
#[derive(Debug, Clone)]
pub struct CallerRequest<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The tenant key, if any.
    pub key: Option<&'a str>,
    /// The idempotency key, if any.
    pub idempotency_key: Option<&'a str>,
}

impl<'a> CallerRequest<'a> {
    /// A GET request, which is repeatable on the tests' routes.
    pub fn get(path: &'a str, key: &'a str) -> CallerRequest<'a> {
        CallerRequest { method: "GET", path, key: Some(key), idempotency_key: None }
    }

    /// A booking, which is non-repeatable.
    pub fn book(key: &'a str, idempotency_key: &'a str) -> CallerRequest<'a> {
        let idempotency_key = Some(idempotency_key);
        CallerRequest { method: "POST", path: "/bookings", key: Some(key), idempotency_key }
    }

    /// Sends the request and waits for the complete response.
    pub async fn send(&self, caller: &Caller, address: SocketAddr) -> CallerResponse {
        let mut builder =
            Request::builder().method(self.method).uri(format!("http://{address}{}", self.path));
        if let Some(key) = self.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        if let Some(key) = self.idempotency_key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder.body(Full::default()).expect("a well-formed request");
        let failed = CallerResponse {
            status: 0,
            outcome: String::new(),
            reason: String::new(),
            body: Bytes::new(),
        };
        let Ok(response) = caller.request(request).await else { return failed };
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await else { return failed };
        let header_text = |name| {
            let value = parts.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        CallerResponse {
            status: parts.status.as_u16(),
            outcome: header_text("mustardpin-outcome"),
            reason: header_text("mustardpin-reason"),
            body: body.to_bytes(),
        }
    }
}
