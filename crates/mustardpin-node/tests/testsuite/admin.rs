//! The administration API: requests of operators and the responses to them.

use std::{fmt::Write as _, sync::Arc};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use mustardpin_node::admin::{AdminService, Control, ProposalResult, Stopping};
use mustardpin_wire::admin::{Configuration, status::Status};
use mustardpin_world::{
    Identity, Millis, Options, World,
    config::{ChangeError, Kind, Path},
    event::Proposal,
    id::{KeyDigest, NodeId, Revision},
    store::Announcement,
};

/// A control thread that accepts each change, or fails in the way that the change id names.
struct FakeControl;

fn world() -> World {
    let announcement = Announcement {
        node: NodeId(1),
        name: "north-1".into(),
        data_centre: "north".into(),
        service: "ledger".into(),
        address: "127.0.0.1:7101".into(),
    };
    World::new(Identity { announcement }, Options::default(), 42)
}

impl Control for FakeControl {
    fn propose(&self, proposal: Proposal) -> BoxFuture<'_, Result<ProposalResult, Stopping>> {
        let path = Path { kind: Kind::Team, name: "garages".into() };
        let result = match proposal.id.as_str() {
            "conflict" => Err(ChangeError::Conflict {
                expected: proposal.expected,
                actual: Revision(9),
                changed: vec![path],
            }),
            "invalid" => Err(ChangeError::Invalid { path, problem: "no such team".into() }),
            "lost" => Err(ChangeError::StoreUnavailable),
            "stopping" => return Box::pin(async { Err(Stopping) }),
            _ => Ok(Revision(proposal.expected.0 + 1)),
        };
        Box::pin(async { Ok(result) })
    }

    fn status(&self) -> BoxFuture<'_, Result<Status, Stopping>> {
        Box::pin(async { Ok(Status::of(&world(), Millis(5))) })
    }

    fn configuration(&self) -> BoxFuture<'_, Result<Configuration, Stopping>> {
        Box::pin(async { Ok(Configuration::from(&world())) })
    }
}

const CREDENTIAL: &str = "an-operator-credential";

async fn send(method: &str, path: &str, credential: &str, body: &str) -> String {
    let service = AdminService::new(KeyDigest::of(CREDENTIAL), Arc::new(FakeControl));
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", credential)
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a well-formed request");
    let response = service.respond(request).await;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("a body in memory").to_bytes();
    format!("{status} {}", String::from_utf8_lossy(&body))
}

#[tokio::test]
async fn requests_without_the_credential_are_refused() {
    let mut log = String::new();
    for credential in ["", "Bearer", "Bearer wrong", "an-operator-credential"] {
        let response = send("GET", "/admin/status", credential, "").await;
        writeln!(log, "{credential:?}: {response}").expect("a string accepts all writes");
    }
    insta::assert_snapshot!(log);
}

#[tokio::test]
async fn operations() {
    let team =
        r#"{"team":{"name":"garages","rate":100,"burst":20,"weight":1,"importance":"normal"}}"#;
    let change = |id: &str| format!(r#"{{"id":"{id}","expected":3,"rows":[{team}]}}"#);
    let row = |row: &str| format!(r#"{{"id":"a","expected":3,"rows":[{row}]}}"#);
    let removal = r#"{"id":"a","expected":3,"removals":[{"kind":"team","name":"garages"}]}"#;
    let exception = r#"{"exception":{"name":"e","change":{"serve-cut-off":
        {"team":"garages","grace_ms":60000}},"reason":"  "}}"#;
    let key = r#"{"key":{"id":"k","team":"garages","digest":"abc","withdrawn":false}}"#;
    let route = r#"{"route":{"name":"r","parts":[{"service":"ledger","weight":1}],"host":null,
        "method":null,"path_prefix":"bookings","importance":"low","repeatable":true,"open":true,
        "timeout_ms":100,"objective_ms":null,"attempts":null,"teams":[]}}"#;
    let cases = [
        ("GET", "/admin/status", String::new()),
        ("GET", "/admin/configuration", String::new()),
        ("GET", "/admin/changes", String::new()),
        ("POST", "/admin/changes", change("a")),
        ("POST", "/admin/changes", removal.to_owned()),
        ("POST", "/admin/changes", change("conflict")),
        ("POST", "/admin/changes", change("invalid")),
        ("POST", "/admin/changes", change("lost")),
        ("POST", "/admin/changes", change("stopping")),
        ("POST", "/admin/changes", change("not an id")),
        ("POST", "/admin/changes", "{".to_owned()),
        ("POST", "/admin/changes", r#"{"id":"a","expected":3,"row":[]}"#.to_owned()),
        ("POST", "/admin/changes", r#"{"id":"a","expected":3}"#.to_owned()),
        ("POST", "/admin/changes", row(&team.replace("100", "0"))),
        ("POST", "/admin/changes", row(&team.replace("garages", "the garages"))),
        ("POST", "/admin/changes", row(&team.replace("rate", "rates"))),
        ("POST", "/admin/changes", row(exception)),
        ("POST", "/admin/changes", row(key)),
        ("POST", "/admin/changes", row(route)),
        ("POST", "/admin/changes", "x".repeat(2 << 20)),
    ];
    let mut log = String::new();
    for (method, path, body) in cases {
        let response = send(method, path, &format!("Bearer {CREDENTIAL}"), &body).await;
        let shown: String = body.split_whitespace().collect::<Vec<_>>().join(" ");
        let shown: String = shown.chars().take(200).collect();
        writeln!(log, "{method} {path} {shown}\n  {response}")
            .expect("a string accepts all writes");
    }
    insta::assert_snapshot!(log);
}

/// Guards against a node that ends by itself when the body of an operator's request is nested too
/// deeply, or holds a number out of range.
#[tokio::test]
async fn odd_bodies_are_refused() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let bodies = [
        nested.clone(),
        format!(r#"{{"id":"a","expected":3,"rows":{nested}}}"#),
        format!(r#"{{"id":"a","expected":3,"rows":[{{"team":{nested}}}]}}"#),
        r#"{"id":"a","expected":1e999,"rows":[]}"#.to_owned(),
        r#"{"id":"a","expected":99999999999999999999,"rows":[]}"#.to_owned(),
        r#"{"id":"a","expected":-1,"rows":[]}"#.to_owned(),
    ];
    for body in bodies {
        let credential = format!("Bearer {CREDENTIAL}");
        let response = send("POST", "/admin/changes", &credential, &body).await;
        assert!(response.starts_with("400 "), "{response}");
    }
}
