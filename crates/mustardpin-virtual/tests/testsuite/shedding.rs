//! Important requests are refused last, at every node of a chain.

use mustardpin_virtual::{Fleet, Request, Service, Site};
use mustardpin_world::{
    Millis, Options,
    config::{Importance, Row},
    options::{Discipline, Queueing},
};

use crate::support;

const SERVICES: [&str; 3] = ["front", "middle", "deep"];
/// The size of the service that is the bottleneck of the chain; it has two targets.
#[derive(Clone, Copy)]
struct BottleneckSize {
    /// The slots of each target.
    slots: usize,
    /// The mean time that a request runs, in milliseconds.
    mean_ms: f64,
    /// The flood, as a multiple of the capacity.
    flood_factor: f64,
}

const SIZES: [BottleneckSize; 2] = [
    BottleneckSize { slots: 5, mean_ms: 50.0, flood_factor: 10.0 },
    BottleneckSize { slots: 20, mean_ms: 100.0, flood_factor: 5.0 },
];

impl BottleneckSize {
    /// The requests a second that the two targets can run.
    fn capacity(self) -> f64 {
        2.0 * self.slots as f64 * 1_000.0 / self.mean_ms
    }
}

/// The minimum share of more important requests that is served during a flood of unimportant ones.
const MIN_SERVED_SHARE: f64 = 0.99;

/// What callers send: team, path, importance and rate as a share of the bottleneck's capacity. The
/// rate of the last, the flood, is multiplied by the flood factor.
const DEMAND: [(&str, &str, Importance, f64); 3] = [
    ("desk", "/front/book", Importance::CRITICAL, 0.3),
    ("garage", "/front/search", Importance::NORMAL, 0.3),
    ("flood", "/front/browse", Importance::LOW, 1.0),
];

fn fleet(seed: u64, bottleneck: usize, size: BottleneckSize, discipline: Discipline) -> Fleet {
    let queueing = Queueing { discipline, ..Queueing::default() };
    let mut fleet = Fleet::new(seed, Options { queueing, ..Options::default() });
    let mut rows = Vec::new();
    for (level, name) in SERVICES.into_iter().enumerate() {
        let slots = if level == bottleneck { size.slots } else { 100 };
        let mut service =
            Service::leaf(name, slots, if level == bottleneck { size.mean_ms } else { 5.0 });
        service.calls =
            SERVICES.get(level + 1).map(|next| format!("/{next}")).into_iter().collect();
        service.resends = 2;
        for data_centre in ["north", "south"] {
            fleet.add(data_centre, service.clone());
        }
        rows.push(Row::Route(support::route(name)));
    }
    for (team, path, importance, _) in DEMAND {
        let mut route = support::route("front");
        route.name = path.trim_start_matches("/front/").into();
        route.path_prefix = path.into();
        route.importance = importance;
        route.timeout = Millis::from_secs(2);
        rows.extend([Row::Route(route), support::team(team, 10_000, 10_000), support::key(team)]);
    }
    support::put(&mut fleet, rows);
    fleet.run_for(Millis::from_secs(3));
    fleet
}

/// The share of each kind of request that was served, in the order of [`DEMAND`].
fn served(seed: u64, bottleneck: usize, size: BottleneckSize, discipline: Discipline) -> Vec<f64> {
    const LENGTH_MS: u64 = 15_000;
    /// Requests of the first seconds aren't counted: limits and admitted shares aren't known yet.
    const WARM_UP_MS: u64 = 3_000;

    let mut fleet = fleet(seed, bottleneck, size, discipline);
    let mut sent = vec![Vec::new(); DEMAND.len()];
    for now in 0..LENGTH_MS {
        for (kind, (team, path, _, share)) in DEMAND.into_iter().enumerate() {
            let factor = if kind + 1 == DEMAND.len() { size.flood_factor } else { 1.0 };
            let rate = share * factor * size.capacity();
            let due = |now: u64| (now as f64 * rate / 1_000.0) as u64;
            for number in due(now)..due(now + 1) {
                let key = format!("{team}-1.secret");
                let request = Request { fingerprint: number, ..Request::get(path, &key) };
                let root = fleet.send(Site((number % 6) as usize), request);
                if now >= WARM_UP_MS {
                    sent[kind].push(root);
                }
            }
        }
        fleet.run_for(Millis(1));
    }
    fleet.run_for(Millis::from_secs(3));
    let is_complete =
        |root: &&u64| fleet.response_to(**root).is_some_and(|response| response.is_complete());
    sent.iter()
        .map(|roots| roots.iter().filter(is_complete).count() as f64 / roots.len() as f64)
        .collect()
}

#[test]
fn a_flood_of_unimportant_requests_costs_no_important_one() {
    let mut report = String::new();
    for seed in support::seeds(2) {
        report.clear();
        let levels = SERVICES.into_iter().enumerate();
        for ((bottleneck, name), size) in
            levels.flat_map(|level| SIZES.into_iter().map(move |size| (level, size)))
        {
            let served = served(seed, bottleneck, size, Discipline::Fair);
            let line = |what: &str, holds: bool| {
                let verdict = if holds { "holds" } else { "fails" };
                format!("narrow {name} of {} slots: {what}: {verdict}\n", size.slots)
            };
            report += &line("critical at least 99%", served[0] >= MIN_SERVED_SHARE);
            report += &line("normal at least 99%", served[1] >= MIN_SERVED_SHARE);
            report += &line("low less than normal", served[2] < served[1]);
            assert!(!report.contains("fails"), "seed {seed}: {report}{served:?}");
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn a_fifo_queue_refuses_important_requests() {
    let served = served(0, 2, SIZES[1], Discipline::Fifo);
    assert!(served[0] < MIN_SERVED_SHARE, "{served:?}");
}
