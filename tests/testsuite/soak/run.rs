//! Runs a soak: a tick begins and ends what is due in the table of faults.

use std::{
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
    fleet::{Ask, Fleet, slot},
    process::output,
    relay::Mode,
    soak::fault::{Fault, Row, Schedule},
};

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// How long a process may take to end after it was asked to.
const END_TIMEOUT: Duration = Duration::from_secs(35);
/// How long the fleet may take to serve again after the last fault.
const RECOVERY: Duration = Duration::from_secs(15);
/// The delay of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(200);
/// The time of a run on a slow target, and on another.
const SLOW_MS: u64 = 150;
const QUICK_MS: u64 = 5;

/// The rate and the burst of the team that sends more than it may.
const RATE: u32 = 40;
const BURST: u32 = 40;

/// Where a row of the table of faults stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    Active,
    /// The node was asked to end at this time.
    Ending(Duration),
    Over,
}

/// A fleet with its load and the faults that come.
pub struct Soak {
    fleet: Fleet,
    schedule: Schedule,
    stages: Vec<Stage>,
    key: String,
    loads: Vec<JoinHandle<Report>>,
    /// Exists once the key of a team is withdrawn.
    mark: PathBuf,
    /// The operator who withdraws it.
    operator: Option<JoinHandle<()>>,
    started: Instant,
}

impl Soak {
    /// Starts the fleet and its load.
    pub async fn new(schedule: Schedule) -> Soak {
        let plans: Vec<_> = (0..schedule.shape.nodes)
            .map(|index| {
                let data_centre = ["north", "south"][index % 2];
                let service = ["search", "ledger"][index / 2 % 2];
                slot(data_centre, service).relayed()
            })
            .collect();
        let fleet = Fleet::start(&plans).await;
        let rate = [format!("rate={RATE}"), format!("burst={BURST}")];
        fleet.operate(&["defaults", "set", "team", "sellers", "rate=2000", "burst=2000"]);
        fleet.operate(&["defaults", "set", "team", "limited", &rate[0], &rate[1]]);
        let key = fleet.issue_key("garage-1").await;
        let withdrawn = fleet.operate(&["keys", "issue", "sellers", "--id", "seller-1"]);
        let limited = fleet.operate(&["keys", "issue", "limited", "--id", "limited-1"]);
        fleet.wait_until_in_force().await;

        let mark = fleet.directory().join("withdrawn");
        let team = |name: &str, key: &str, rate| Team {
            name: name.into(),
            key: Some(key.into()),
            rate,
            withdrawal_file: (name == "sellers").then(|| mark.clone()),
        };
        let all = [team("garages", &key, 150.0), team("sellers", &withdrawn, 50.0)];
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
            tokio::spawn(load::run(arguments(all.to_vec()))),
            tokio::spawn(load::run(arguments(limited))),
        ];
        let stages = vec![Stage::Waiting; schedule.rows.len()];
        Soak { fleet, schedule, stages, key, loads, mark, operator: None, started: Instant::now() }
    }

    /// Lets all faults come and go, and tells which promises were broken.
    pub async fn run(mut self) -> Vec<String> {
        while self.stages.iter().any(|stage| *stage != Stage::Over) {
            self.tick().await;
            tokio::time::sleep(TICK).await;
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
        let most = f64::from(BURST) + f64::from(RATE) * elapsed.as_secs_f64();
        let ran = self.ran_for("limited").await;
        if ran as f64 > most {
            broken.push(format!("{ran} requests of a team ran, at most {most:.0} may"));
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
                Stage::Waiting if row.at <= now => self.begin(row).await,
                Stage::Active if row.until <= now => self.end(index).await,
                Stage::Ending(since) => self.restart_once_ended(row.slot, since, now),
                stage => stage,
            };
        }
    }

    /// Whether another fault has the process of a node already.
    fn is_taken(&self, slot: usize) -> bool {
        self.schedule.rows.iter().zip(&self.stages).any(|(row, stage)| {
            let is_process = matches!(row.fault, Fault::Kill | Fault::Stop | Fault::Pause);
            let is_on = matches!(stage, Stage::Active | Stage::Ending(_));
            is_process && is_on && row.slot == slot
        })
    }

    async fn begin(&mut self, row: Row) -> Stage {
        let is_process = matches!(row.fault, Fault::Kill | Fault::Stop | Fault::Pause);
        if is_process && self.is_taken(row.slot) {
            return Stage::Over;
        }
        let slot = &mut self.fleet.slots[row.slot];
        let relays = slot.relays.as_ref().expect("the plan wants relays");
        match row.fault {
            Fault::Kill => slot.node.kill(),
            Fault::Stop => {
                slot.node.signal("TERM");
                return Stage::Ending(self.started.elapsed());
            }
            Fault::Pause => slot.node.signal("STOP"),
            Fault::PauseTarget => slot.target_process.signal("STOP"),
            Fault::SlowTarget => {
                self.set_target(row.slot, json!({ "service-time-ms": SLOW_MS })).await
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

    /// Ends a fault, unless another one of its kind goes on at the same place.
    async fn end(&mut self, index: usize) -> Stage {
        let row = self.schedule.rows[index];
        let is_same = |other: &Row| {
            let is_everywhere = matches!(row.fault, Fault::Store(_));
            let is_kind =
                std::mem::discriminant(&other.fault) == std::mem::discriminant(&row.fault);
            is_kind && (is_everywhere || other.slot == row.slot)
        };
        let rows = self.schedule.rows.iter().zip(&self.stages).enumerate();
        let mut others = rows.filter(|(other, _)| *other != index);
        if others.any(|(_, (other, stage))| *stage == Stage::Active && is_same(other)) {
            return Stage::Over;
        }
        let slot = &mut self.fleet.slots[row.slot];
        let relays = slot.relays.as_ref().expect("the plan wants relays");
        match row.fault {
            Fault::Kill => self.fleet.restart(row.slot),
            Fault::Pause => slot.node.signal("CONT"),
            Fault::PauseTarget => slot.target_process.signal("CONT"),
            Fault::SlowTarget => {
                self.set_target(row.slot, json!({ "service-time-ms": QUICK_MS })).await
            }
            Fault::Declines => self.set_target(row.slot, json!({ "draining": false })).await,
            Fault::StoreLink(_) => relays.store.set(Mode::Whole),
            Fault::PeerLink(_) => relays.peers.set(Mode::Whole),
            Fault::Store(_) => self.fleet.set_platform("up", Duration::ZERO).await,
            Fault::Stop | Fault::Compact | Fault::Withdraw => {}
        }
        Stage::Over
    }

    fn restart_once_ended(&mut self, slot: usize, since: Duration, now: Duration) -> Stage {
        if !self.fleet.slots[slot].node.has_ended() {
            assert!(now - since < END_TIMEOUT, "slot {slot} does not end\n{}", self.schedule);
            return Stage::Ending(since);
        }
        self.fleet.restart(slot);
        Stage::Over
    }

    /// Withdraws a key. While the store is away operators are told so, and try again.
    fn withdraw(&mut self) {
        let slots: Vec<_> = (0..self.fleet.slots.len()).collect();
        let mut command = self.fleet.prepare(&slots, &["keys", "withdraw", "seller-1"]);
        let (mark, until) = (self.mark.clone(), self.started + self.schedule.length);
        self.operator = Some(tokio::task::spawn_blocking(move || {
            while Instant::now() < until {
                if output(&mut command).status.success() {
                    return fs::write(&mark, "").expect("the scratch directory can be written");
                }
            }
        }));
    }

    async fn set_target(&self, slot: usize, mode: Value) {
        let address = self.fleet.slots[slot].target;
        let caller = http::caller(false);
        let set = http::call::<Value>(&caller, "POST", address, "/standin/mode", Some(&mode));
        // The target may be suspended; then it stays as it is.
        let _unanswered = tokio::time::timeout(Duration::from_millis(100), set).await;
    }

    /// Waits until every node serves a keyed request of each service.
    async fn wait_until_served(&self) -> Vec<String> {
        // Targets that were suspended at the time may have missed the end of a fault.
        for slot in 0..self.fleet.slots.len() {
            let mode = json!({ "service-time-ms": QUICK_MS, "draining": false });
            self.set_target(slot, mode).await;
        }
        let ended = Instant::now();
        let mut broken = Vec::new();
        for (index, slot) in self.fleet.slots.iter().enumerate() {
            for path in ["/slots", "/ledger"] {
                let caller = http::caller(false);
                for number in 0.. {
                    // The same request again and again would be held to the resend budget.
                    let path = format!("{path}?number={number}");
                    let reply = Ask::get(&path, &self.key).send(&caller, slot.callers).await;
                    if reply.status == 200 {
                        break;
                    }
                    if ended.elapsed() > RECOVERY {
                        broken.push(format!("slot {index} does not serve {path} again: {reply:?}"));
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        broken
    }

    /// How many requests of a team ran.
    async fn ran_for(&self, team: &str) -> usize {
        let runs = self.fleet.ran().await;
        let names = runs.iter().filter_map(|run| {
            run.headers.iter().find(|header| header.name == chain::REQUEST_HEADER)
        });
        names.filter(|header| header.value.starts_with(team)).count()
    }
}
