//! The platform's stand-in over HTTP.

use std::{fmt::Write as _, net::SocketAddr, sync::Arc};

use mustardpin_standin::{
    control, http,
    platform::{front::Platform, table::Store},
};
use serde_json::{Value, json};
use tokio::net::TcpListener;

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (handle, _thread) = control::start(Store::default());
    tokio::spawn(http::serve(listener, Arc::new(Platform::new(handle))));
    address
}

#[tokio::test]
async fn operations_and_modes() {
    let address = start().await;
    let caller = http::caller(false);
    let transact = |guard: u64, value: Value| {
        json!({
            "guards": [{"path": "configuration/head", "revision": guard}],
            "writes": [{"path": "configuration/head", "value": value}],
        })
    };
    let mode = |mode: &str| ("POST", "/standin/mode", Some(json!({ "mode": mode })));
    let steps = [
        ("GET", "/table/changes?after=0", None),
        ("POST", "/table/transact", Some(transact(0, json!(["a"])))),
        ("POST", "/table/transact", Some(transact(0, json!(["b"])))),
        ("POST", "/table/transact", Some(transact(1, Value::Null))),
        ("GET", "/table/changes?after=1", None),
        ("POST", "/table/transact", Some(transact(0, json!(["c"])))),
        ("GET", "/table/changes", None),
        ("POST", "/table/transact", Some(json!({"guards": 3}))),
        mode("lose-answer"),
        ("POST", "/table/transact", Some(transact(3, json!(["d"])))),
        ("GET", "/table/changes?after=3", None),
        mode("error"),
        ("GET", "/table/changes?after=3", None),
        mode("down"),
        ("GET", "/table/changes?after=3", None),
        mode("up"),
        ("GET", "/table/changes?after=4", None),
        ("GET", "/standin/counts", None),
        mode("sideways"),
    ];
    let mut log = String::new();
    for (method, path, body) in steps {
        let shown = body.as_ref().map(Value::to_string).unwrap_or_default();
        let result: Result<Value, _> =
            http::call(&caller, method, address, path, body.as_ref()).await;
        let shown_result = match result {
            Ok(value) => value.to_string(),
            Err(error) => format!("failed: {error}"),
        };
        writeln!(log, "{method} {path} {shown}\n  {shown_result}").expect("a string grows");
    }
    insta::assert_snapshot!(log);
}
