//! Builders of small fleets and of configuration rows.

use mustardpin_virtual::{Fleet, Service};
use mustardpin_world::{
    Millis, Options,
    config::{Importance, Key, Route, Row, Team},
    id::KeyDigest,
};

/// The seeds of a test: `default_count` of them, or as many as `MUSTARDPIN_SEEDS` says.
pub fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let count = std::env::var("MUSTARDPIN_SEEDS").ok().and_then(|text| text.parse().ok());
    0..count.unwrap_or(default_count)
}

pub fn team(name: &str, rate: u32, burst: u32) -> Row {
    let importance = Importance::default();
    Row::Team(Team { name: name.into(), rate, burst, weight: 1, importance })
}

/// The key `TEAM-1.secret` of a team, whose id is `TEAM-1`.
pub fn key(team: &str) -> Row {
    Row::Key(Key {
        id: format!("{team}-1").into(),
        team: team.into(),
        digest: KeyDigest::of(&format!("{team}-1.secret")),
        withdrawn: false,
    })
}

/// A repeatable route of normal importance, named after its service.
pub fn route(service: &str) -> Route {
    let route = Route::new(service, &format!("/{service}"), service, Millis::from_secs(5));
    Route { repeatable: true, ..route }
}

/// Writes configuration rows into the platform.
pub fn put(fleet: &mut Fleet, rows: Vec<Row>) {
    fleet.platform.put_configuration(rows);
}

/// Three data centres with `nodes` nodes of one service in each.
pub fn fleet(seed: u64, options: Options, service: &Service, nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, options);
    for data_centre in ["north", "south", "west"] {
        for _ in 0..nodes {
            fleet.add(data_centre, service.clone());
        }
    }
    fleet
}
