//! A request from end to end: a caller, two nodes and two targets.

use mustardpin_virtual::{Fleet, Request, Service};
use mustardpin_world::{Millis, Options, config::Row};

use crate::support::{key, put, route, team};

#[test]
fn a_request_goes_through_a_chain_of_two_services() {
    let mut fleet = Fleet::new(1, Options::default());
    let mut search = Service::leaf("search", 4, 5.0);
    search.calls = vec!["/ledger".to_owned()];
    let search = fleet.add("north", search);
    fleet.add("south", Service::leaf("ledger", 4, 5.0));
    let routes = [route("search"), route("ledger")].map(Row::Route);
    put(&mut fleet, vec![team("garage", 100, 100), key("garage")]);
    put(&mut fleet, routes.into());
    fleet.run_for(Millis::from_secs(5));
    let root = fleet.send(search, Request::get("/search/slots", "garage-1.secret"));
    fleet.run_for(Millis::from_secs(1));
    assert!(fleet.response_to(root).is_some_and(|received| received.is_complete()));
    let paths: Vec<&str> = fleet.ran.iter().map(|record| record.path.as_str()).collect();
    assert_eq!(paths, ["/search/slots", "/ledger"]);
}
