//! One path from end to end: a caller, two nodes, two targets.

use mustardpin_virtual::{Fleet, Request, Service};
use mustardpin_world::{
    Millis, Options,
    config::{Importance, Key, Path, Route, Row, Team},
    id::KeyDigest,
    platform,
};

fn put(fleet: &mut Fleet, rows: Vec<Row>) {
    let rows = rows
        .into_iter()
        .map(|row| {
            let path: Path = row.path();
            platform::Row::Configuration(path, Some(row))
        })
        .collect();
    fleet.platform.put(rows);
}

fn route(name: &str) -> Row {
    Row::Route(Route {
        name: name.into(),
        service: name.into(),
        method: None,
        path_prefix: format!("/{name}").into(),
        importance: Importance::Normal,
        repeatable: true,
        open: false,
        timeout: Millis::from_secs(5),
        teams: Vec::new(),
    })
}

#[test]
fn a_request_goes_through_a_chain_of_two_services() {
    let mut fleet = Fleet::new(1, Options::default());
    let mut search = Service::leaf("search", 4, 5.0);
    search.calls = vec!["/ledger".to_owned()];
    let search = fleet.add("north", search);
    fleet.add("south", Service::leaf("ledger", 4, 5.0));
    let team = Team { name: "garage".into(), rate: 100, burst: 100, weight: 1 };
    let key = Key {
        id: "garage-1".into(),
        team: "garage".into(),
        digest: KeyDigest::of("garage-1.secret"),
        withdrawn: false,
    };
    put(&mut fleet, vec![Row::Team(team), Row::Key(key), route("search"), route("ledger")]);
    fleet.platform.put(
        fleet
            .sites()
            .map(|site| {
                let announcement = fleet.world_at(site).identity().announcement.clone();
                platform::Row::Node(announcement.node, Some(announcement))
            })
            .collect(),
    );
    fleet.run_for(Millis::from_secs(2));
    let root = fleet.send(search, Request::get("/search/slots", "garage-1.secret"));
    fleet.run_for(Millis::from_secs(1));
    assert!(fleet.answer_to(root).is_some_and(|received| received.is_whole()));
    let paths: Vec<&str> = fleet.ran.iter().map(|ran| ran.path.as_str()).collect();
    assert_eq!(paths, ["/search/slots", "/ledger"]);
}
