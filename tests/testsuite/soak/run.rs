//! Runs a soak test: each tick starts and ends the faults that are due in the schedule.

use std::{
    collections::HashSet,
    fs,
    path::PathBuf,
    time::{Duration, Instant},
};

use mustardpin_standin::{
    http,
    load::{
        self,
        arguments::{Arguments, Team},
        report::Report,
    },
    target::chain,
};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::{
    fleet::{CallerRequest, Fleet, SlotPlan, slot},
    process::output,
    relay::Mode,
    soak::{
        fault::{Fault, Row, Schedule},
        keeper::{Drain, Keepers, Stop},
    },
};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a node may take to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(35);
/// How long the fleet may take to serve all requests after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay of the store's replies in its slow mode.
const STORE_DELAY: Duration = Duration::from_millis(200);
/// Service time of a slow target.
const SLOW_SERVICE_TIME_MS: u64 = 150;
/// Service time of any other target.
const FAST_SERVICE_TIME_MS: u64 = 5;

/// Rate, in requests per second, of the team whose load exceeds its rate.
const LIMITED_RATE: u32 = 40;
/// Burst, in requests, of that team.
const LIMITED_BURST: u32 = 40;

/// Progress of one scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The fault has not started.
    Pending,
    /// The fault is in effect.
    Active,
    /// SIGTERM was sent to the node at this time.
    Stopping(Duration),
    /// The fault has ended, or was skipped.
    Done,
}

/// A fleet with its load and its schedule of faults.
pub struct Soak {
    fleet: Fleet,
    schedule: Schedule,
    /// One stage for each row of the schedule.
    stages: Vec<Stage>,
    key: String,
    loads: Vec<JoinHandle<Report>>,
    /// File that is created once the withdrawal of the key is in force, for the load generator.
    withdrawn_file: PathBuf,
    /// The callers that watch planned stops.
    keepers: Option<Keepers>,
    /// The planned stops so far.
    stops: Vec<Stop>,
    /// Task that withdraws the key.
    operator: Option<JoinHandle<()>>,
    started: Instant,
}

/// The settings of a node for planned stops.
fn settings(drain: Drain) -> String {
    let (stay, grace) = (drain.stay.as_millis(), drain.grace.as_millis());
    format!(
        "stop:\n  stay: {stay}ms\n  grace: {grace}ms\n\
         limits:\n  close-linger: 200ms\n"
    )
}

impl Soak {
    /// Starts the fleet and its load.
    pub async fn new(schedule: Schedule) -> Soak {
        let plans: Vec<_> = (0..schedule.shape.nodes)
            .map(|index| {
                let data_centre = ["north", "south"][index % 2];
                let service = ["search", "ledger"][index / 2 % 2];
                let settings = schedule.drain.map(settings).unwrap_or_default();
                SlotPlan { settings, ..slot(data_centre, service).relayed() }
            })
            .collect();
        let fleet = Fleet::start(&plans).await;
        let rate = [format!("rate={LIMITED_RATE}"), format!("burst={LIMITED_BURST}")];
        fleet.run_successfully(&["defaults", "set", "team", "sellers", "rate=2000", "burst=2000"]);
        fleet.run_successfully(&["defaults", "set", "team", "limited", &rate[0], &rate[1]]);
        let key = fleet.issue_key("garage-1").await;
        let withdrawn = fleet.run_successfully(&["keys", "issue", "sellers", "--id", "seller-1"]);
        let limited = fleet.run_successfully(&["keys", "issue", "limited", "--id", "limited-1"]);
        fleet.wait_until_in_force().await;

        let withdrawn_file = fleet.directory().join("withdrawn");
        let team = |name: &str, key: &str, rate| Team {
            name: name.into(),
            key: Some(key.into()),
            rate,
            withdrawal_file: (name == "sellers").then(|| withdrawn_file.clone()),
        };
        let unlimited = [team("garages", &key, 150.0), team("sellers", &withdrawn, 50.0)];
        let routes = ["4 GET /slots", "2 GET /ledger", "3 POST /bookings once"];
        let arguments = |teams: Vec<Team>| Arguments {
            entries: fleet.slots.iter().map(|slot| slot.callers).collect(),
            teams,
            routes: routes.map(|route| route.parse().expect("a route")).to_vec(),
            duration: schedule.length,
            retries: 1,
            seed: schedule.seed,
            inspected: fleet.slots.iter().map(|slot| slot.target).collect(),
            ..Arguments::default()
        };
        let limited = vec![team("limited", &limited, 120.0)];
        let loads = vec![
            tokio::spawn(load::run(arguments(unlimited.to_vec()))),
            tokio::spawn(load::run(arguments(limited))),
        ];
        let stages = vec![Stage::Pending; schedule.rows.len()];
        let started = Instant::now();
        let nodes: Vec<_> = fleet.slots.iter().map(|slot| slot.callers).collect();
        let keepers = schedule.drain.map(|_| Keepers::start(&nodes, &key, started));
        Soak {
            fleet,
            schedule,
            stages,
            key,
            loads,
            withdrawn_file,
            keepers,
            stops: Vec::new(),
            operator: None,
            started,
        }
    }

    /// Injects all faults and returns the promises that were broken.
    pub async fn run(mut self) -> Vec<String> {
        while self.stages.iter().any(|stage| *stage != Stage::Done) {
            self.tick().await;
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        if let Some(operator) = self.operator.take() {
            operator.await.expect("the operator ends");
        }
        let mut broken = self.wait_until_served().await;
        let mut reports = Vec::new();
        for load in std::mem::take(&mut self.loads) {
            reports.push(load.await.expect("the load ends"));
        }
        let elapsed = self.started.elapsed();
        for report in &reports {
            broken.extend(report.broken_promises().iter().cloned());
        }
        let max_runs = f64::from(LIMITED_BURST) + f64::from(LIMITED_RATE) * elapsed.as_secs_f64();
        let ran = self.count_runs("limited").await;
        if ran as f64 > max_runs {
            broken.push(format!(
                "{ran} requests of team `limited` ran, but its rate allows at most {max_runs:.0}"
            ));
        }
        if let (Some(keepers), Some(drain)) = (self.keepers.take(), self.schedule.drain) {
            let ran = self.names_of_runs().await;
            broken.extend(keepers.check(drain, &self.stops, &ran, &self.breaking_faults()).await);
        }
        if !broken.is_empty() {
            eprintln!("{}", self.schedule);
            reports.iter().for_each(|report| eprintln!("{report}"));
            eprintln!("logs: {}", self.fleet.keep_directory().display());
        }
        broken
    }

    async fn tick(&mut self) {
        let now = self.started.elapsed();
        for index in 0..self.stages.len() {
            let row = self.schedule.rows[index];
            self.stages[index] = match self.stages[index] {
                Stage::Pending if row.at <= now => self.begin(row).await,
                Stage::Active if row.until <= now => self.end(index).await,
                Stage::Stopping(since) => self.restart_once_exited(row.slot, since, now),
                stage => stage,
            };
        }
    }

    /// Whether another fault has killed, stopped or suspended the node of a slot.
    fn has_process_fault(&self, slot: usize) -> bool {
        self.schedule.rows.iter().zip(&self.stages).any(|(row, stage)| {
            let is_process = matches!(row.fault, Fault::Kill | Fault::Stop | Fault::Pause);
            let is_in_effect = matches!(stage, Stage::Active | Stage::Stopping(_));
            is_process && is_in_effect && row.slot == slot
        })
    }

    async fn begin(&mut self, row: Row) -> Stage {
        let is_process = matches!(row.fault, Fault::Kill | Fault::Stop | Fault::Pause);
        if is_process && self.has_process_fault(row.slot) {
            let node = &mut self.fleet.slots[row.slot].node;
            if row.fault == Fault::Stop && self.schedule.drain.is_some() && !node.has_ended() {
                // A planned stop may be signalled again.
                node.signal("TERM");
            }
            return Stage::Done;
        }
        let slot = &mut self.fleet.slots[row.slot];
        let relays = slot.relays.as_ref().expect("the plan asks for relays");
        match row.fault {
            Fault::Kill => slot.node.kill(),
            Fault::Stop => {
                slot.node.signal("TERM");
                let at = self.started.elapsed();
                self.stops.push(Stop { slot: row.slot, at, last_seen: at, gone: Duration::MAX });
                return Stage::Stopping(at);
            }
            Fault::Hangup if !slot.node.has_ended() => slot.node.signal("HUP"),
            Fault::Hangup => {}
            Fault::Settings => slot.set_queue_wait(row.until - row.at),
            Fault::Pause => slot.node.signal("STOP"),
            Fault::PauseTarget => slot.target_process.signal("STOP"),
            Fault::SlowTarget => {
                self.set_target(row.slot, json!({ "service-time-ms": SLOW_SERVICE_TIME_MS })).await
            }
            Fault::Declines => self.set_target(row.slot, json!({ "draining": true })).await,
            Fault::StoreLink(mode) => relays.store.set(mode),
            Fault::PeerLink(mode) => relays.peers.set(mode),
            Fault::Store(mode) => self.fleet.set_platform(mode, STORE_DELAY).await,
            Fault::Compact => self.fleet.compact_platform().await,
            Fault::Withdraw => self.withdraw(),
        }
        Stage::Active
    }

    /// Ends a fault. Its effect stays while another fault of the same kind is active on the same
    /// slot, or on the store.
    async fn end(&mut self, index: usize) -> Stage {
        let row = self.schedule.rows[index];
        let is_same_effect = |other: &Row| {
            let is_store_fault = matches!(row.fault, Fault::Store(_));
            let is_same_kind =
                std::mem::discriminant(&other.fault) == std::mem::discriminant(&row.fault);
            is_same_kind && (is_store_fault || other.slot == row.slot)
        };
        let rows = self.schedule.rows.iter().zip(&self.stages).enumerate();
        let mut others = rows.filter(|(other, _)| *other != index);
        if others.any(|(_, (other, stage))| *stage == Stage::Active && is_same_effect(other)) {
            return Stage::Done;
        }
        let slot = &mut self.fleet.slots[row.slot];
        let relays = slot.relays.as_ref().expect("the plan asks for relays");
        match row.fault {
            Fault::Kill => self.fleet.restart(row.slot),
            Fault::Pause => slot.node.signal("CONT"),
            Fault::PauseTarget => slot.target_process.signal("CONT"),
            Fault::SlowTarget => {
                self.set_target(row.slot, json!({ "service-time-ms": FAST_SERVICE_TIME_MS })).await
            }
            Fault::Declines => self.set_target(row.slot, json!({ "draining": false })).await,
            Fault::StoreLink(_) => relays.store.set(Mode::Whole),
            Fault::PeerLink(_) => relays.peers.set(Mode::Whole),
            Fault::Store(_) => self.fleet.set_platform("up", Duration::ZERO).await,
            Fault::Stop | Fault::Hangup | Fault::Settings | Fault::Compact | Fault::Withdraw => {}
        }
        Stage::Done
    }

    fn restart_once_exited(&mut self, slot: usize, since: Duration, now: Duration) -> Stage {
        let has_ended = self.fleet.slots[slot].node.has_ended();
        let checked = self.started.elapsed();
        if let Some(stop) = self.stops.iter_mut().rev().find(|stop| stop.slot == slot) {
            match has_ended {
                true => stop.gone = checked,
                false => stop.last_seen = now,
            }
        }
        if !has_ended {
            assert!(
                now - since < EXIT_TIMEOUT,
                "slot {slot}: timed out waiting until the node exits\n{}",
                self.schedule
            );
            return Stage::Stopping(since);
        }
        self.fleet.restart(slot);
        Stage::Done
    }

    /// Withdraws a key. The command fails while the store is unavailable, so it is repeated until
    /// it succeeds or the schedule ends.
    fn withdraw(&mut self) {
        let slots: Vec<_> = (0..self.fleet.slots.len()).collect();
        let mut command = self.fleet.build_command(&slots, &["keys", "withdraw", "seller-1"]);
        let (withdrawn_file, until) =
            (self.withdrawn_file.clone(), self.started + self.schedule.length);
        self.operator = Some(tokio::task::spawn_blocking(move || {
            while Instant::now() < until {
                if output(&mut command).status.success() {
                    return fs::write(&withdrawn_file, "")
                        .expect("the scratch directory can be written");
                }
            }
        }));
    }

    async fn set_target(&self, slot: usize, mode: Value) {
        let address = self.fleet.slots[slot].target;
        let caller = http::caller(false);
        let set = http::call::<Value>(&caller, "POST", address, "/standin/mode", Some(&mode));
        // A suspended target does not respond, and keeps its mode.
        let _result = tokio::time::timeout(Duration::from_millis(100), set).await;
    }

    /// Waits until every node serves a keyed request of each service.
    async fn wait_until_served(&self) -> Vec<String> {
        // A target that was suspended at the end of a fault may have missed the change of its mode.
        for slot in 0..self.fleet.slots.len() {
            let mode = json!({ "service-time-ms": FAST_SERVICE_TIME_MS, "draining": false });
            self.set_target(slot, mode).await;
        }
        let ended = Instant::now();
        let mut broken = Vec::new();
        for (index, slot) in self.fleet.slots.iter().enumerate() {
            for path in ["/slots", "/ledger"] {
                let caller = http::caller(false);
                for number in 0.. {
                    // Distinct paths, as identical requests would be subject to the resend budget.
                    let path = format!("{path}?number={number}");
                    let response =
                        CallerRequest::get(&path, &self.key).send(&caller, slot.callers).await;
                    if response.status == 200 {
                        break;
                    }
                    if ended.elapsed() > RECOVERY_TIMEOUT {
                        broken.push(format!(
                            "slot {index} does not serve {path} after the last fault: {response:?}"
                        ));
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        broken
    }

    /// Names of all requests that ran.
    async fn names_of_runs(&self) -> HashSet<String> {
        let runs = self.fleet.target_runs().await;
        let headers = runs.into_iter().flat_map(|run| run.headers);
        headers
            .filter(|header| header.name == chain::REQUEST_HEADER)
            .map(|header| header.value)
            .collect()
    }

    /// The times of faults that may break a response that is being sent.
    fn breaking_faults(&self) -> Vec<(Duration, Duration)> {
        let breaks = |fault| matches!(fault, Fault::Kill | Fault::PeerLink(_) | Fault::PauseTarget);
        let rows = self.schedule.rows.iter().filter(|row| breaks(row.fault));
        rows.map(|row| (row.at, row.until)).collect()
    }

    /// Number of requests of a team that ran.
    async fn count_runs(&self, team: &str) -> usize {
        let runs = self.fleet.target_runs().await;
        let names = runs.iter().filter_map(|run| {
            run.headers.iter().find(|header| header.name == chain::REQUEST_HEADER)
        });
        names.filter(|header| header.value.starts_with(team)).count()
    }
}
