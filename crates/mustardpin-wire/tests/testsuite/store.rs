//! The encoding of the store's rows.

use std::fmt::Write as _;

use mustardpin_wire::store;
use mustardpin_world::{
    Millis,
    config::{self, Importance},
    id::{Epoch, KeyDigest, NodeId},
    store::{Announcement, Head, Member, Roster, RowKey, Value},
};
use proptest::prelude::*;

/// One row of each kind of the configuration.
pub fn configuration() -> Vec<config::Row> {
    let route = config::Route::new("book", "/bookings", "ledger", Millis(2_000));
    vec![
        config::Row::Fleet(config::Fleet::default()),
        config::Row::Team(config::Team {
            name: "garages".into(),
            rate: 100,
            burst: 20,
            weight: 1,
            importance: Importance::HIGH,
        }),
        config::Row::Route(config::Route {
            method: Some("POST".into()),
            host: Some("fleet.example".into()),
            importance: Importance::CRITICAL,
            objective: Some(Millis(800)),
            attempts: Some(2),
            teams: vec!["garages".into()],
            parts: vec![
                config::Part { service: "ledger".into(), weight: 3 },
                config::Part { service: "archive".into(), weight: 1 },
            ],
            ..route
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
    ]
}

fn rows() -> Vec<(RowKey, Value)> {
    let rows = configuration().into_iter();
    let mut rows: Vec<(RowKey, Value)> =
        rows.map(|row| (RowKey::Configuration(row.path()), Value::Configuration(row))).collect();
    rows.push((
        RowKey::Head,
        Value::Head(Head { recent: vec!["change-1".into()], epoch: Epoch(2) }),
    ));
    let member = Member { name: "north-1".into(), data_centre: "north".into() };
    rows.push((RowKey::Roster, Value::Roster(Roster { members: vec![member], epoch: Epoch(2) })));
    let announcement = Announcement {
        node: NodeId(1),
        name: "north-1".into(),
        data_centre: "north".into(),
        service: "ledger".into(),
        address: "127.0.0.1:7101".into(),
    };
    rows.push((RowKey::Node("north-1".into()), Value::Node(announcement)));
    rows
}

#[test]
fn encoding_of_rows() {
    let mut text = String::new();
    for (row_key, value) in rows() {
        let value = store::encode_value(&value).expect("the value can be encoded");
        writeln!(text, "{} {}", store::encode_key(&row_key), String::from_utf8_lossy(&value))
            .unwrap();
    }
    insta::assert_snapshot!(text);
}

#[test]
fn rows_round_trip() {
    for (row_key, value) in rows() {
        let key = store::encode_key(&row_key);
        let bytes = store::encode_value(&value).expect("the value can be encoded");
        assert_eq!(store::decode_key(&key).expect("the key can be decoded"), row_key);
        assert_eq!(store::decode_value(&row_key, &bytes).expect("the value can be decoded"), value);
    }
}

/// Guards against a store whose head row was written before rows had epochs.
#[test]
fn a_head_row_without_an_epoch_is_read() {
    let value = store::decode_value(&RowKey::Head, br#"["change-1"]"#).expect("the old form");
    let head = Head { recent: vec!["change-1".into()], epoch: Epoch(0) };
    assert_eq!(value, Value::Head(head));
}

#[test]
fn unknown_keys_and_invalid_values_are_errors() {
    let read = |key: &str, value: &str| {
        let read = store::decode_key(key)
            .and_then(|row_key| store::decode_value(&row_key, value.as_bytes()));
        match read {
            Ok(value) => format!("{value:?}"),
            Err(error) => error.to_string(),
        }
    };
    let node = r#"{"node":"zz","name":"a","data_centre":"b","service":"c","address":"d"}"#;
    insta::assert_debug_snapshot!([
        read("weather", "1"),
        read("node/north-1", "1"),
        read("node/north-1", node),
        read("row/colour/red", "null"),
        read("row/team/garages", r#"{"team": 1}"#),
        read("head", r#""x""#),
        read("roster", "[]"),
    ]);
}

proptest! {
    #[test]
    fn any_row_is_decoded_or_an_error(
        key in "(row/(team|route|key|fleet|exception|x)/[a-z]{0,5}|node/.{0,17}|head|roster|x)",
        json in "(null|1|\"x\"|\\[\"x\"\\]|\\{\"(team|route|key|fleet|exception|node)\":(1|null|\\{\\})\\})",
    ) {
        if let Ok(row_key) = store::decode_key(&key) {
            prop_assert_eq!(store::encode_key(&row_key), key.as_str());
            let _ = store::decode_value(&row_key, json.as_bytes());
        }
    }
}
