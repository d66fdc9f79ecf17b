//! The load generator: sends open-loop load from several teams and reports the results.
//!
//! Traffic tasks send requests and pass a sample of each to the control thread, which owns the
//! tables of the report.

pub mod arguments;
pub mod inspect;
pub mod report;
pub mod sender;
pub mod tally;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::{sync::Semaphore, task::JoinSet};

use crate::{
    control::{self, Handle},
    load::{
        arguments::Arguments,
        report::Report,
        sender::{Job, Sender},
        tally::{Event, RouteKey, Tally, TeamKey},
    },
};

/// The maximum number of requests in flight. Requests that are due beyond it are not sent.
const MAX_IN_FLIGHT: usize = 4_000;

/// Sends the load, inspects the target stand-ins and returns the report.
pub async fn run(arguments: Arguments) -> Report {
    let arguments = Arc::new(arguments);
    let (handle, thread) = control::start(Tally::new(&arguments));
    let started = Instant::now();
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let sender = Arc::new(Sender::new(Arc::clone(&arguments), handle.clone()));
    let mut teams = JoinSet::new();
    for index in 0..arguments.teams.len() {
        let source = Source {
            arguments: Arc::clone(&arguments),
            sender: Arc::clone(&sender),
            handle: handle.clone(),
            permits: Arc::clone(&permits),
            team: TeamKey(index),
        };
        teams.spawn(source.run(started));
    }
    teams.join_all().await;
    let elapsed = started.elapsed();
    drop((sender, handle));
    let tally = tokio::task::spawn_blocking(move || thread.join()).await;
    let tally = tally.ok().and_then(Result::ok).unwrap_or_else(|| Tally::new(&arguments));
    let inspection = inspect::inspect(&arguments, &tally.not_run).await;
    Report::new(&arguments, tally, inspection, elapsed)
}

/// Generates the requests of one team.
struct Source {
    arguments: Arc<Arguments>,
    sender: Arc<Sender>,
    handle: Handle<Event>,
    permits: Arc<Semaphore>,
    team: TeamKey,
}

impl Source {
    /// Sends requests at exponentially distributed intervals, then waits for all to end.
    async fn run(self, started: Instant) {
        let rate = self.arguments.teams[self.team.0].rate;
        if rate <= 0.0 {
            return;
        }
        let mut rng = Pcg64Mcg::seed_from_u64(self.arguments.seed ^ (self.team.0 as u64 + 1));
        let mut requests = JoinSet::new();
        let mut due = Duration::ZERO;
        let mut number = 0;
        loop {
            let uniform: f64 = rng.random();
            due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            if due > self.arguments.duration {
                break;
            }
            tokio::time::sleep_until((started + due).into()).await;
            while requests.try_join_next().is_some() {}
            let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
                self.handle.send(Event::NotSent(self.team));
                continue;
            };
            number += 1;
            let route = self.arguments.select_route(rng.random());
            let job = Job { team: self.team, route, number, due: started + due };
            let sender = Arc::clone(&self.sender);
            requests.spawn(async move {
                sender.run(job).await;
                drop(permit);
            });
        }
        requests.join_all().await;
    }
}

impl Arguments {
    /// Selects a route by weight. `uniform` is a random number from 0 to 1.
    fn select_route(&self, uniform: f64) -> RouteKey {
        let total: f64 = self.routes.iter().map(|route| route.weight).sum();
        let mut left = uniform * total;
        for (index, route) in self.routes.iter().enumerate() {
            left -= route.weight;
            if left < 0.0 {
                return RouteKey(index);
            }
        }
        RouteKey(self.routes.len() - 1)
    }
}
