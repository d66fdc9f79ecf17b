//! The two deployments of the experiments, scaled down to a fifth of their slots.

use mustardpin_world::{
    config::{self, CutOffPolicy, Importance, Key, Route, Row, Team},
    id::KeyDigest,
};

use crate::{
    experiment::{END, TIMEOUT, scenario::BASE_LOAD},
    fleet::Fleet,
    target::Service,
};

/// The demand for one route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The path of the requests; the route is named after it.
    pub path: &'static str,
    /// The importance of the route.
    pub importance: Importance,
    /// Requests per second of all teams together, before and after the overload.
    pub rate: f64,
    /// Whether the requests need the deep service, directly or through a call.
    pub is_deep: bool,
}

/// Services, routes, teams and demand.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// The name in the printed tables.
    pub name: &'static str,
    /// The name of the service at the end of the call chains.
    pub deep_service: &'static str,
    /// The services and the number of targets of each.
    pub services: Vec<(Service, usize)>,
    /// The demand by route.
    pub demand: Vec<Demand>,
    /// The paths that only targets call, and the services that run them.
    pub internal: Vec<(&'static str, &'static str)>,
    /// The weights of the teams; their shares of the demand are in the same proportion.
    pub teams: Vec<u32>,
}

const DATA_CENTRES: [&str; 3] = ["one", "two", "three"];
/// A rate, in requests per second, far above the demand of any team.
const NO_LIMIT: u32 = 1_000_000;
/// The weights of eight teams, a few of them large.
const TEAMS: [u32; 8] = [30, 25, 15, 10, 8, 6, 4, 2];

/// Returns the key of a team, `ID.SECRET`.
pub(super) fn key(team: usize) -> String {
    format!("team-{team}.secret")
}

fn calling_service(name: &str, slots: usize, mean_ms: f64, path: &str) -> Service {
    Service { calls: vec![path.to_owned()], ..Service::leaf(name, slots, mean_ms) }
}

/// Returns the demand for three routes that need the deep service, and for one that doesn't.
fn demand(paths: [&'static str; 4], deep_rate: f64, other_rate: f64) -> Vec<Demand> {
    let [critical, high, normal, low] = paths;
    vec![
        Demand {
            path: critical,
            importance: Importance::CRITICAL,
            rate: 0.15 * deep_rate,
            is_deep: true,
        },
        Demand { path: high, importance: Importance::HIGH, rate: 0.25 * deep_rate, is_deep: true },
        Demand {
            path: normal,
            importance: Importance::NORMAL,
            rate: 0.6 * deep_rate,
            is_deep: true,
        },
        Demand { path: low, importance: Importance::LOW, rate: other_rate, is_deep: false },
    ]
}

impl Deployment {
    /// The Association: four services with three or four targets each.
    pub fn association() -> Deployment {
        let capacity = 4.0 * 20.0 / 0.050;
        Deployment {
            name: "Association",
            deep_service: "ledger",
            services: vec![
                (calling_service("search", 50, 10.0, "/ledger"), 4),
                (calling_service("counter", 30, 10.0, "/ledger"), 3),
                (Service::leaf("ledger", 20, 50.0), 4),
                (Service::leaf("archive", 10, 50.0), 3),
            ],
            demand: demand(
                ["/book", "/lookup", "/search", "/certificate"],
                capacity * BASE_LOAD,
                200.0,
            ),
            internal: vec![("/ledger", "ledger")],
            teams: TEAMS.to_vec(),
        }
    }

    /// Nestwell: four services with three or four targets each.
    pub fn nestwell() -> Deployment {
        let capacity = 4.0 * 20.0 / 0.060;
        Deployment {
            name: "Nestwell",
            deep_service: "matching",
            services: vec![
                (calling_service("profiles", 60, 15.0, "/matching"), 4),
                (calling_service("bookings", 40, 20.0, "/matching"), 3),
                (Service::leaf("matching", 20, 60.0), 4),
                (Service::leaf("documents", 15, 80.0), 3),
            ],
            demand: demand(
                ["/confirm", "/booking", "/profile", "/pack"],
                capacity * BASE_LOAD,
                150.0,
            ),
            internal: vec![("/matching", "matching")],
            teams: TEAMS.to_vec(),
        }
    }

    /// Returns the requests per second that the deep service can run while it is healthy.
    pub fn deep_capacity(&self) -> f64 {
        self.services
            .iter()
            .filter(|(service, _)| service.name == self.deep_service)
            .map(|(service, count)| (service.slots * count) as f64 / (service.mean_ms / 1_000.0))
            .sum()
    }

    /// Returns an entry per target: its index within its service, and the service.
    pub(super) fn targets(&self) -> impl Iterator<Item = (usize, &Service)> {
        self.services
            .iter()
            .flat_map(|(service, count)| (0..*count).map(move |index| (index, service)))
    }

    pub(super) fn data_centre(&self, index: usize) -> &'static str {
        DATA_CENTRES[index % DATA_CENTRES.len()]
    }

    /// Returns the index of each team and its share of the demand, from 0 to 1.
    pub fn team_shares(&self) -> impl Iterator<Item = (usize, f64)> {
        let sum: u32 = self.teams.iter().sum();
        self.teams
            .iter()
            .enumerate()
            .map(move |(team, &weight)| (team, f64::from(weight) / f64::from(sum)))
    }

    /// Returns the service that runs the requests of a demand, given by its index.
    fn service_of(&self, index: usize) -> &str {
        // The first path goes directly to the deep service. The services of the next two call it,
        // and that of the last doesn't need it.
        match index {
            0 => self.deep_service,
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
