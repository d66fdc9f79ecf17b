//! The metrics that a node serves.

use std::sync::Arc;

use crate::fake::{Fleet, Script, call, get, text};

#[test]
fn metrics_count_served_and_refused_requests() {
    let script: Script = Arc::new(|_| text("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"));
    let fleet = Fleet::start(&[("slots", Arc::clone(&script)), ("ledger", script)]);
    assert_eq!(get(fleet.callers(0), "/slots").status(), 200);
    assert_eq!(get(fleet.callers(1), "/slots").status(), 200);
    assert_eq!(call(fleet.callers(0), "GET /slots", &[], "").status(), 401);
    let address = fleet.nodes[0].addresses().metrics.expect("the node serves metrics");
    let page = call(address, "GET /metrics", &[], "");
    assert_eq!(page.status(), 200, "{page:?}");
    assert!(page.head().contains("content-type: application/openmetrics-text"), "{page:?}");
    let shown = [
        "mustardpin_refusals_total{reason=\"key_missing\"}",
        "mustardpin_retries_total{cause=\"broken\"}",
        "mustardpin_work_total{kind=\"run\"}",
        "mustardpin_request_duration_seconds_count",
        "mustardpin_peers_open",
        "mustardpin_target_limit",
        "# TYPE",
    ];
    let body = page.body();
    let lines = body.lines().filter(|line| shown.iter().any(|name| line.starts_with(name)));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
    assert!(body.ends_with("# EOF\n") || body.contains("# EOF"), "{body}");
    assert_eq!(call(address, "POST /metrics", &[], "").status(), 405);
}
