//! Framing of requests and responses.

use std::fmt::Write as _;

use mustardpin_http::{Headers, framing::Framing};

fn headers(lines: &[(&str, &str)]) -> Headers {
    lines.iter().map(|&(name, value)| (name, value.as_bytes())).collect()
}

#[test]
fn ambiguous_lengths_are_refused() {
    let cases: &[&[(&str, &str)]] = &[
        &[],
        &[("Content-Length", "5")],
        &[("Content-Length", "5"), ("content-length", "5")],
        &[("Content-Length", "5"), ("Content-Length", "6")],
        &[("Content-Length", "5, 5")],
        &[("Content-Length", "+5")],
        &[("Content-Length", "")],
        &[("Content-Length", "99999999999999999999")],
        &[("Transfer-Encoding", "chunked")],
        &[("Transfer-Encoding", "Chunked")],
        &[("Transfer-Encoding", "gzip, chunked")],
        &[("Transfer-Encoding", "chunked"), ("Transfer-Encoding", "chunked")],
        &[("Transfer-Encoding", "chunked"), ("Content-Length", "5")],
        &[("Content-Length", "5"), ("Transfer-Encoding", "identity")],
    ];
    let mut table = String::new();
    for case in cases {
        let request = Framing::of_request(&headers(case));
        let response = Framing::of_response("GET", 200, &headers(case));
        writeln!(table, "{case:?}\n  request {request:?}\n  response {response:?}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn some_responses_never_have_a_body() {
    let length = headers(&[("Content-Length", "5")]);
    for (method, status) in [("HEAD", 200), ("GET", 204), ("GET", 304), ("GET", 100)] {
        assert_eq!(Framing::of_response(method, status, &length), Ok(Framing::Empty));
    }
}
