//! What a node checks of a request that a peer has forwarded, before it sends the request to its target.

use std::fmt::Write as _;

use mustardpin_world::{
    Millis, Options,
    config::{Importance, Key, Rank, Route, Row, Team, Update},
    id::{KeyDigest, NodeId, Revision},
    request::{Forwarded, Nesting, Origin},
    store::{Area, Changes},
};

use crate::node::{Node, describe};

/// The revision of the node's configuration.
const REVISION: u64 = 5;

/// A route that needs a key and one that needs none, and a key of the first of two teams.
fn configuration() -> Update {
    let route = Route::new("slots", "/", "slots", Millis::from_secs(10));
    let open = Route { open: true, ..Route::new("open", "/open", "slots", Millis::from_secs(10)) };
    let team = |name: &str| {
        let importance = Importance::default();
        Row::Team(Team { name: name.into(), rate: 0, burst: 0, weight: 1, importance })
    };
    let key = Key {
        id: "garage-1".into(),
        team: "garages".into(),
        digest: KeyDigest::of("garage-1.secret"),
        withdrawn: false,
    };
    let rows =
        vec![Row::Route(route), Row::Route(open), team("garages"), team("sitters"), Row::Key(key)];
    Update::Whole { revision: Revision(REVISION), rows }
}

/// A request that a peer forwarded by an earlier configuration, for a key and a team.
fn forwarded(key_id: Option<&str>, team: Option<&str>) -> Forwarded {
    Forwarded {
        from: NodeId(2),
        revision: Revision(REVISION - 1),
        key_id: key_id.map(Into::into),
        team: team.map(Into::into),
        route: "slots".into(),
        service: "slots".into(),
        rank: Rank::default(),
        nesting: Nesting::Root,
        repeatable: false,
        objective: Millis(1_000),
        retry_allowance: 0,
        depth: 0,
        hops: 1,
    }
}

/// Guards against a request that runs for nobody, or for a team that does not hold its key, because the
/// peer that forwarded it decided by an earlier configuration. What the peer may know better is run.
#[test]
fn forwarded_requests_are_checked_by_the_later_configuration() {
    let own = forwarded(Some("garage-1"), Some("garages"));
    let keyless = forwarded(None, None);
    let later =
        |forwarded: &Forwarded| Forwarded { revision: Revision(REVISION + 1), ..forwarded.clone() };
    let unknown = forwarded(Some("garage-9"), Some("garages"));
    let other_team = forwarded(Some("garage-1"), Some("sitters"));
    let cases = [
        ("its key", own.clone()),
        ("no key", keyless.clone()),
        ("no key, later configuration", later(&keyless)),
        ("no key, open route", Forwarded { route: "open".into(), ..keyless.clone() }),
        ("no key, unknown route", Forwarded { route: "more".into(), ..keyless.clone() }),
        ("no key, made for one", Forwarded { nesting: Nesting::Linked, ..keyless.clone() }),
        ("a key that is not known", unknown.clone()),
        ("a key that is not known, later configuration", later(&unknown)),
        ("the key of another team", other_team.clone()),
        ("the key of another team, later configuration", later(&other_team)),
        ("a key without a team", forwarded(Some("garage-1"), None)),
        ("a team without a key", forwarded(None, Some("garages"))),
    ];
    let mut text = String::new();
    for (name, forwarded) in cases {
        let mut node = Node::start(Options::default());
        node.change(Area::Configuration, 2, Changes::Document(configuration()));
        let commands = node.send(1, Origin::Peer(forwarded), None);
        writeln!(text, "{name}: {}", describe(&commands)).expect("a string grows");
    }
    insta::assert_snapshot!(text);
}
