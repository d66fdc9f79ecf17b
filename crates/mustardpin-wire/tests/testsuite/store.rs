//! The encoding of the store's rows.

use std::fmt::Write as _;

use mustardpin_wire::store;
use mustardpin_world::{
    Millis,
    config::{self, Importance},
    id::{Epoch, KeyDigest, NodeId, StoreVersion, TargetId},
    store::{Announcement, Departure, Head, Member, Roster, RowKey, Value},
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
    let previous = StoreVersion::new(Epoch(1), 7);
    let left = Member { name: "north-9".into(), data_centre: "north".into() };
    let former = Some(vec![vec![left.clone()], vec![member.clone(), left]]);
    let roster = Roster { members: vec![member], epoch: Epoch(2), previous, former };
    rows.push((RowKey::Roster, Value::Roster(roster)));
    let announcement = Announcement {
        node: NodeId(1),
        name: "north-1".into(),
        data_centre: "north".into(),
        service: "ledger".into(),
        address: "127.0.0.1:7101".into(),
    };
    rows.push((RowKey::Node("north-1".into()), Value::Node(announcement)));
    let departure = Departure { node: "north-1".into(), process: TargetId(0xff) };
    rows.push((RowKey::Departure(departure.clone()), Value::Departure(departure)));
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
            Err(error) => match std::error::Error::source(&error) {
                Some(cause) => format!("{error}: {cause}"),
                None => error.to_string(),
            },
        }
    };
    let node = r#"{"node":"zz","name":"north-1","data_centre":"b","service":"c",
        "address":"127.0.0.1:7101"}"#;
    insta::assert_debug_snapshot!([
        read("weather", "1"),
        read("node/north-1", "1"),
        read("node/north-1", node),
        read("row/colour/red", "null"),
        read("row/team/garages", r#"{"team": 1}"#),
        read("head", r#""x""#),
        read("roster", "[]"),
        read("departure/north-1/ff", "{}"),
        read("departure/north-1/00000000000000ff", r#"{"node":"a","process":"ff"}"#),
    ]);
}

/// Guards against peers that nobody can reach, which would become members of the roster, and against
/// a row that replaces the peer or the configuration row of another key.
#[test]
fn a_row_announces_only_the_node_of_its_key_at_a_valid_address() {
    let decode = |key: &str, value: &str| {
        let key = store::decode_key(key).expect("a key of the project");
        store::decode_value(&key, value.as_bytes()).map(|_| ()).map_err(|error| error.to_string())
    };
    let announcement = |address: &str| {
        format!(
            r#"{{"node":"5","name":"north-1","data_centre":"b","service":"c","address":"{address}"}}"#
        )
    };
    assert_eq!(decode("node/north-1", &announcement("127.0.0.1:7101")), Ok(()));
    assert_eq!(decode("node/north-1", &announcement("[::1]:7101")), Ok(()));
    for address in
        ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1", "north-1:7101", ":7101", ""]
    {
        assert!(decode("node/north-1", &announcement(address)).is_err(), "{address}");
    }
    assert!(decode("node/north-2", &announcement("127.0.0.1:7101")).is_err());
    for row in configuration() {
        let value = Value::Configuration(row.clone());
        let value = store::encode_value(&value).expect("the value can be encoded");
        let value = String::from_utf8(value).expect("text");
        let own = store::encode_key(&RowKey::Configuration(row.path()));
        assert_eq!(decode(&own, &value), Ok(()), "{own}");
        assert!(decode("row/team/other", &value).is_err(), "{own}");
        assert!(decode(&format!("{own}-2"), &value).is_err(), "{own}");
    }
}

/// JSON of any shape, also nested too deeply and with numbers of any size.
fn json() -> impl Strategy<Value = String> {
    let number = prop_oneof!["-?[0-9]{1,25}", "-?[0-9]\\.[0-9]{1,3}e-?[0-9]{1,4}"];
    let leaf = prop_oneof![number, "\"[ -!#-\\[\\]-~]{0,9}\"", Just("null".to_owned())];
    let value = leaf.prop_recursive(4, 24, 4, |inner| {
        let names = prop::sample::select(vec![
            "node",
            "name",
            "data_centre",
            "service",
            "address",
            "members",
            "team",
            "route",
            "key",
            "fleet",
            "exception",
            "rate",
            "burst",
            "weight",
            "timeout_ms",
            "parts",
            "x",
        ]);
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4)
                .prop_map(|items| format!("[{}]", items.join(","))),
            prop::collection::vec((names, inner), 0..6).prop_map(|fields| {
                let fields = fields.iter().map(|(name, value)| format!("\"{name}\":{value}"));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }),
        ]
    });
    (value, prop_oneof![Just(0_usize), Just(1), Just(100_000)])
        .prop_map(|(value, depth)| format!("{}{value}{}", "[".repeat(depth), "]".repeat(depth)))
}

proptest! {
    #[test]
    fn any_value_is_decoded_or_an_error(
        key in "(row/(team|route|key|fleet|exception)/[a-z]{0,5}|node/.{0,17}\
            |departure/.{0,9}/[0-9a-f]{16}|head|roster)",
        json in json(),
    ) {
        let key = store::decode_key(&key).expect("a key of the project");
        let _ = store::decode_value(&key, json.as_bytes());
    }

    #[test]
    fn any_row_is_decoded_or_an_error(
        key in "(row/(team|route|key|fleet|exception|x)/[a-z]{0,5}|node/.{0,17}\
            |departure/.{0,9}/[+0-9a-fA-F]{1,17}|head|roster|x)",
        json in "(null|1|\"x\"|\\[\"x\"\\]|\\{\"(team|route|key|fleet|exception|node)\":(1|null|\\{\\})\\})",
    ) {
        if let Ok(row_key) = store::decode_key(&key) {
            prop_assert_eq!(store::encode_key(&row_key), key.as_str());
            let _ = store::decode_value(&row_key, json.as_bytes());
        }
    }
}
