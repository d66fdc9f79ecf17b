//! The two deployments, with a fifth of their slots.

use mustardpin_world::{
    config::{self, CutOffPolicy, Importance, Key, Route, Row, Team},
    id::KeyDigest,
};

use crate::{
    experiment::{END, TIMEOUT, scenario::REST},
    fleet::Fleet,
    target::Service,
};

/// Requests of one kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Their path; the route has the same name.
    pub path: &'static str,
    /// How much they matter.
    pub importance: Importance,
    /// Requests a second at rest, of all teams together.
    pub rate: f64,
    /// Whether they need the deep service.
    pub is_deep: bool,
}

/// Services, routes, teams and demand.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// The service that the chains end in.
    pub deep: &'static str,
    /// Services and how many targets each has.
    pub services: Vec<(Service, usize)>,
    /// What callers send.
    pub demand: Vec<Demand>,
    /// The paths that only targets call, and the services behind them.
    pub internal: Vec<(&'static str, &'static str)>,
    /// The weights of the teams.
    pub teams: Vec<u32>,
}

const DATA_CENTRES: [&str; 3] = ["one", "two", "three"];
/// Far above what any team sends.
const NO_LIMIT: u32 = 1_000_000;
/// Eight teams, a few of them large.
const TEAMS: [u32; 8] = [30, 25, 15, 10, 8, 6, 4, 2];

/// The text of a team's key.
pub(super) fn key(team: usize) -> String {
    format!("team-{team}.secret")
}

fn calling(name: &str, slots: usize, mean_ms: f64, path: &str) -> Service {
    Service { calls: vec![path.to_owned()], ..Service::leaf(name, slots, mean_ms) }
}

/// Three kinds of request that need the deep service, and one that does not.
fn demand(paths: [&'static str; 4], deep: f64, other: f64) -> Vec<Demand> {
    let [important, second, third, last] = paths;
    vec![
        Demand {
            path: important,
            importance: Importance::CRITICAL,
            rate: 0.15 * deep,
            is_deep: true,
        },
        Demand { path: second, importance: Importance::HIGH, rate: 0.25 * deep, is_deep: true },
        Demand { path: third, importance: Importance::NORMAL, rate: 0.6 * deep, is_deep: true },
        Demand { path: last, importance: Importance::LOW, rate: other, is_deep: false },
    ]
}

impl Deployment {
    /// The Association: four services with three or four targets each.
    pub fn association() -> Deployment {
        let capacity = 4.0 * 20.0 / 0.050;
        Deployment {
            name: "Association",
            deep: "ledger",
            services: vec![
                (calling("search", 50, 10.0, "/ledger"), 4),
                (calling("counter", 30, 10.0, "/ledger"), 3),
                (Service::leaf("ledger", 20, 50.0), 4),
                (Service::leaf("archive", 10, 50.0), 3),
            ],
            demand: demand(["/book", "/lookup", "/search", "/certificate"], capacity * REST, 200.0),
            internal: vec![("/ledger", "ledger")],
            teams: TEAMS.to_vec(),
        }
    }

    /// Nestwell: four services with three or four targets each.
    pub fn nestwell() -> Deployment {
        let capacity = 4.0 * 20.0 / 0.060;
        Deployment {
            name: "Nestwell",
            deep: "matching",
            services: vec![
                (calling("profiles", 60, 15.0, "/matching"), 4),
                (calling("bookings", 40, 20.0, "/matching"), 3),
                (Service::leaf("matching", 20, 60.0), 4),
                (Service::leaf("documents", 15, 80.0), 3),
            ],
            demand: demand(["/confirm", "/booking", "/profile", "/pack"], capacity * REST, 150.0),
            internal: vec![("/matching", "matching")],
            teams: TEAMS.to_vec(),
        }
    }

    /// Requests a second that the deep service can run when nothing is wrong with it.
    pub fn deep_capacity(&self) -> f64 {
        self.services
            .iter()
            .filter(|(service, _)| service.name == self.deep)
            .map(|(service, count)| (service.slots * count) as f64 / (service.mean_ms / 1_000.0))
            .sum()
    }

    /// The services of all targets, with the index of each among those of its service.
    pub(super) fn targets(&self) -> impl Iterator<Item = (usize, &Service)> {
        self.services
            .iter()
            .flat_map(|(service, count)| (0..*count).map(move |index| (index, service)))
    }

    pub(super) fn data_centre(&self, index: usize) -> &'static str {
        DATA_CENTRES[index % DATA_CENTRES.len()]
    }

    /// The teams and their parts of the demand.
    pub fn team_shares(&self) -> impl Iterator<Item = (usize, f64)> {
        let sum: u32 = self.teams.iter().sum();
        self.teams
            .iter()
            .enumerate()
            .map(move |(team, &weight)| (team, f64::from(weight) / f64::from(sum)))
    }

    /// The service that runs a path.
    fn service_of(&self, index: usize) -> &str {
        // Bookings go to the deep service itself; the others to the services in order.
        match index {
            0 => self.deep,
            1 => &self.services[1].0.name,
            2 => &self.services[0].0.name,
            _ => &self.services[3].0.name,
        }
    }

    /// Writes the configuration to the platform.
    pub(super) fn configure(&self, fleet: &mut Fleet, rate_factor: Option<f64>) {
        let external =
            self.demand.iter().enumerate().map(|(index, demand)| {
                route(demand.path, self.service_of(index), demand.importance)
            });
        let internal =
            self.internal.iter().map(|(path, service)| route(path, service, Importance::NORMAL));
        let demand: f64 = self.demand.iter().map(|demand| demand.rate).sum();
        let teams = self.team_shares().flat_map(|(index, share)| {
            let rate = rate_factor.map(|factor| (demand * share * factor) as u32);
            team(index, self.teams[index], rate.unwrap_or(NO_LIMIT))
        });
        let cut_off = CutOffPolicy::Serve(END);
        let fleet_row = Row::Fleet(config::Fleet { cut_off, ..config::Fleet::default() });
        let rows = external.chain(internal).chain(teams).chain([fleet_row]);
        fleet.platform.put_configuration(rows.collect());
    }
}

fn route(path: &str, service: &str, importance: Importance) -> Row {
    let name = path.trim_start_matches('/');
    let route = Route::new(name, path, service, TIMEOUT);
    Row::Route(Route { importance, repeatable: true, ..route })
}

fn team(index: usize, weight: u32, rate: u32) -> [Row; 2] {
    let name = format!("team-{index}");
    let importance = Importance::default();
    let team = Team { name: name.as_str().into(), rate, burst: rate / 4, weight, importance };
    let digest = KeyDigest::of(&key(index));
    let key = Key { id: name.as_str().into(), team: name.into(), digest, withdrawn: false };
    [Row::Team(team), Row::Key(key)]
}
