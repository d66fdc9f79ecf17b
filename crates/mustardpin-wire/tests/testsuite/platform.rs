//! Rows of the platform's table.

use mustardpin_wire::platform::{Changes, Transaction};
use mustardpin_world::{
    Millis,
    config::{self, Importance},
    id::{KeyDigest, NodeId, Revision},
    message::epoch::{Epoch, Member},
    platform::{Announcement, Guard, Reply, Row},
};

fn rows() -> Vec<Row> {
    let configuration = [
        config::Row::Fleet(config::Fleet::default()),
        config::Row::Team(config::Team { name: "garages".into(), rate: 100, burst: 20, weight: 1 }),
        config::Row::Route(config::Route {
            name: "book".into(),
            service: "ledger".into(),
            method: Some("POST".into()),
            path_prefix: "/bookings".into(),
            importance: Importance::Critical,
            repeatable: false,
            open: false,
            timeout: Millis(2_000),
            teams: vec!["garages".into()],
        }),
        config::Row::Key(config::Key {
            id: "garage-1".into(),
            team: "garages".into(),
            digest: KeyDigest::of("garage-1.s3cret"),
            withdrawn: false,
        }),
        config::Row::Exception(config::Exception {
            name: "easter".into(),
            change: config::Change::TeamRate { team: "garages".into(), rate: 200, burst: 40 },
            reason: "Easter rush".into(),
        }),
    ];
    let mut rows: Vec<Row> =
        configuration.into_iter().map(|row| Row::Configuration(row.path(), Some(row))).collect();
    let gone = config::Path { kind: config::Kind::Team, name: "gone".into() };
    rows.push(Row::Configuration(gone, None));
    rows.push(Row::Head(vec!["change-1".into()]));
    rows.push(Row::Epoch(Epoch {
        number: 3,
        revision: Revision(9),
        members: vec![Member {
            node: NodeId(1),
            data_centre: "north".into(),
            service: "ledger".into(),
        }],
    }));
    let announcement = Announcement {
        node: NodeId(1),
        data_centre: "north".into(),
        service: "ledger".into(),
        control_address: "127.0.0.1:7101".into(),
        traffic_address: "127.0.0.1:7102".into(),
    };
    rows.push(Row::Node(NodeId(1), Some(announcement)));
    rows.push(Row::Node(NodeId(2), None));
    rows
}

#[test]
fn transaction_as_json() {
    let transaction = Transaction::new(vec![(Guard::Head, Revision(8))], rows());
    insta::assert_json_snapshot!(transaction);
}

#[test]
fn rows_come_back_as_they_were_written() {
    let written = Transaction::new(Vec::new(), rows());
    let read: Vec<_> = written
        .writes
        .into_iter()
        .map(|write| serde_json::json!({"path": write.path, "revision": 9, "value": write.value}))
        .collect();
    let changes: Changes = serde_json::from_value(serde_json::json!({"upto": 9, "rows": read}))
        .expect("the shape is that of changes");
    let Ok(Reply::Changes { upto, rows: read }) = Reply::try_from(changes) else {
        panic!("the rows can be read")
    };
    assert_eq!(upto, Revision(9));
    assert_eq!(read.into_iter().map(|row| row.row).collect::<Vec<_>>(), rows());
}

#[test]
fn unknown_paths_are_left_out_and_wrong_values_are_errors() {
    let read = |path: &str, value: serde_json::Value| {
        let row = serde_json::json!({"path": path, "revision": 1, "value": value});
        let changes = serde_json::json!({"upto": 1, "rows": [row]});
        let changes: Changes =
            serde_json::from_value(changes).expect("the shape is that of changes");
        match Reply::try_from(changes) {
            Ok(reply) => format!("{reply:?}"),
            Err(error) => error.to_string(),
        }
    };
    insta::assert_debug_snapshot!([
        read("weather", serde_json::json!(1)),
        read("node/zz", serde_json::Value::Null),
        read("configuration/colour/red", serde_json::Value::Null),
        read("configuration/team/garages", serde_json::json!({"team": 1})),
        read("head", serde_json::json!("x")),
    ]);
}
