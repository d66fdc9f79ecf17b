//! Parsing of request and response heads.

use std::fmt::Write as _;

use bytes::BytesMut;
use mustardpin_http::{
    Error,
    head::{MAX_HEADERS, Request, Response},
};
use proptest::prelude::*;

use crate::name::names_with_any_byte;

const LIMIT: usize = 1_024;

#[test]
fn malformed_heads_are_refused() {
    let cases = [
        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
        "GET  / HTTP/1.1\r\n\r\n",
        "GET / HTTP/2.0\r\n\r\n",
        "GET /\u{1} HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nA: \u{0}\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\n",
        "GET / HTTP/1.1\nHost: a\n\n",
        "GET / HTTP/1.1\r\nHost: a\r\n\nB: c\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\nB: c\r\n\r\n",
        "\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "nonsense",
    ];
    let mut table = String::new();
    for case in cases {
        let parsed = Request::take(&mut BytesMut::from(case), LIMIT);
        let parsed = parsed.map(|head| {
            head.map(|head| (head.method().to_owned(), head.headers.len(), head.is_persistent()))
        });
        writeln!(table, "{case:?}\n  {parsed:?}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn malformed_responses_are_refused() {
    let cases = [
        "HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
        "HTTP/1.1 200\r\n\r\n",
        "HTTP/1.1 20 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\n\r",
        "HTTP/1.1 200 OK\n\n",
        "HTTP/1.1 200 OK\r\nA: b\n\n",
        "HTTP/1.1 200 OK\nA: b\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b\r\n folded\r\n\r\n",
        "HTTP/1.1 200 OK\r\n A: b\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA\r\n\r\n",
        "\r\nHTTP/1.1 200 OK\r\n\r\n",
        "\u{1}\u{2}garbage",
        "SSH-2.0-server\r\n",
    ];
    let mut table = String::new();
    for case in cases {
        let parsed = Response::take(&mut BytesMut::from(case), LIMIT);
        let parsed = parsed.map(|head| head.map(|head| (head.status, head.is_persistent())));
        writeln!(table, "{case:?}\n  {parsed:?}").unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Guards against a number that is no status code, and that is passed on as the status of a
/// response.
#[test]
fn status_codes_outside_100_to_599_are_refused() {
    let accepted: Vec<u16> = (0..1_000)
        .filter(|status| {
            let head = format!("HTTP/1.1 {status:03} X\r\n\r\n");
            Response::take(&mut BytesMut::from(&*head), LIMIT).is_ok()
        })
        .collect();
    assert_eq!(accepted, (100..600).collect::<Vec<_>>());
}

/// Guards against a byte in a name that makes up another header, or ends the head so that the rest
/// of it becomes the body.
#[test]
fn names_with_other_bytes_than_those_of_tokens_are_refused() {
    for (name, is_valid) in names_with_any_byte() {
        let case = name.escape_ascii().to_string();
        let lines = [b"x: 1\r\n", &name[..], b": x\r\n\r\n"].concat();
        let response = [b"HTTP/1.1 200 OK\r\n", &lines[..]].concat();
        let taken = Response::take(&mut BytesMut::from(&response[..]), LIMIT);
        assert_eq!(taken.is_ok(), is_valid, "response, {case:?}: {taken:?}");
        let request = [b"GET / HTTP/1.1\r\n", &lines[..]].concat();
        let taken = Request::take(&mut BytesMut::from(&request[..]), LIMIT);
        assert_eq!(taken.is_ok(), is_valid, "request, {case:?}: {taken:?}");
    }
}

/// Guards against a head that broke off and looks complete.
#[test]
fn every_prefix_of_a_head_is_incomplete() {
    let heads = [
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX: 1\r\n\r\n",
        "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
    ];
    for head in heads {
        for end in 0..head.len() {
            let taken = Response::take(&mut BytesMut::from(&head[..end]), LIMIT);
            assert_eq!(taken, Ok(None), "{:?}", &head[..end]);
        }
        let taken = Response::take(&mut BytesMut::from(head), LIMIT);
        assert!(matches!(taken, Ok(Some(_))), "{head:?}: {taken:?}");
    }
}

/// Guards against an LF in a head that is taken for the end of a line, or of the head.
#[test]
fn no_prefix_of_a_head_with_a_bare_line_feed_is_a_head() {
    let heads = [
        "HTTP/1.1 200 OK\nContent-Length: 12\n\n",
        "HTTP/1.1 200 OK\nContent-Length: 12\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\nX: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\nX: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\n",
        "\nHTTP/1.1 200 OK\r\n\r\n",
    ];
    for head in heads {
        for end in 0..head.len() {
            let taken = Response::take(&mut BytesMut::from(&head[..end]), LIMIT);
            assert!(
                matches!(taken, Ok(None) | Err(Error::LineEnd)),
                "{:?}: {taken:?}",
                &head[..end]
            );
        }
        let taken = Response::take(&mut BytesMut::from(head), LIMIT);
        assert_eq!(taken, Err(Error::LineEnd), "{head:?}");
    }
}

#[test]
fn heads_over_the_limit_are_refused() {
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(LIMIT));
    assert_eq!(Request::take(&mut BytesMut::from(&*long), LIMIT), Err(Error::HeadTooLarge));
    let lines = "a: b\r\n".repeat(MAX_HEADERS + 1);
    let many = format!("GET / HTTP/1.1\r\n{lines}\r\n");
    assert_eq!(Request::take(&mut BytesMut::from(&*many), 64 * 1024), Err(Error::HeadTooLarge));
}

/// A byte that may change the meaning of a head.
fn damage() -> impl Strategy<Value = u8> {
    prop_oneof![any::<u8>(), prop::sample::select(&b"\r\n\t :0123456789\0"[..])]
}

proptest! {
    /// Arbitrary bytes never make the parser panic or read past the end of the buffer.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = Request::take(&mut buffer, LIMIT);
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = Response::take(&mut buffer, LIMIT);
    }

    /// Guards against a damaged head that is accepted and ends elsewhere than at its empty line, or that
    /// has a status or a header that is none.
    #[test]
    fn a_damaged_head_is_refused_or_ends_at_its_empty_line(
        damages in prop::collection::vec((0_usize..60, damage()), 1..4),
    ) {
        let mut bytes = b"HTTP/1.1 200 OK\r\nx: 1\r\ncontent-length: 5\r\n\r\nhello\r\n\r\nrest".to_vec();
        for (place, byte) in damages {
            let place = place % bytes.len();
            bytes[place] = byte;
        }
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some(head)) = Response::take(&mut buffer, LIMIT) {
            // Empty lines before the head are skipped.
            let start = bytes.iter().position(|byte| !byte.is_ascii_whitespace()).unwrap_or(0);
            let end = bytes[start..].windows(4).position(|window| window == b"\r\n\r\n");
            prop_assert_eq!(Some(bytes.len() - buffer.len()), end.map(|end| start + end + 4));
            prop_assert!((100..600).contains(&head.status));
            for (name, value) in head.headers.iter() {
                prop_assert!(!name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic()));
                prop_assert!(!value.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t'));
            }
        }
    }

    /// A head received in two parts is parsed like one received at once.
    #[test]
    fn a_head_parses_the_same_however_it_is_split(cut in 0_usize..60) {
        let text = b"POST /bookings HTTP/1.1\r\nHost: a\r\nX: 1\r\n\r\nbody";
        let unsplit = Request::take(&mut BytesMut::from(&text[..]), LIMIT).unwrap();
        let cut = cut.min(text.len());
        let mut buffer = BytesMut::from(&text[..cut]);
        let first = Request::take(&mut buffer, LIMIT).unwrap();
        buffer.extend_from_slice(&text[cut..]);
        let parsed = first.or_else(|| Request::take(&mut buffer, LIMIT).unwrap());
        prop_assert_eq!(parsed, unsplit);
        prop_assert_eq!(&buffer[..], b"body");
    }
}
