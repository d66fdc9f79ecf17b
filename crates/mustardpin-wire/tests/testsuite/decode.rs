//! Decoders of untrusted input: any input is decoded or returns an error, and secrets and internal
//! headers are not forwarded.

use bytes::BytesMut;
use mustardpin_http::{
    Headers,
    head::{Request, Response},
    headers::check_lines,
};
use mustardpin_wire::{
    config::decode_digest,
    dialect::{Dialect as _, Port},
    fingerprint, native, scrub,
};
use mustardpin_world::{
    id::KeyDigest,
    refusal::Reason,
    request::{CallToken, Origin},
};
use proptest::{collection::vec, prelude::*, sample::select};

const KNOWN_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "host",
    "idempotency-key",
    "request-id",
    "request-timeout-ms",
    "mustardpin-call",
    "mustardpin-outcome",
    "mustardpin-reason",
    "target-outcome",
    "x-other",
];

fn header_value() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        "[ -~]{0,40}".prop_map(String::into_bytes),
        "Bearer [ -~]{0,20}".prop_map(String::into_bytes),
        "[0-9]{1,25}".prop_map(String::into_bytes),
        "[0-9a-f]{32}".prop_map(String::into_bytes),
        vec(any::<u8>(), 0..20),
    ]
}

/// Any value that a header may have.
fn field_value() -> impl Strategy<Value = Vec<u8>> {
    vec(prop_oneof![Just(b'\t'), b' '..=b'~', 0x80..=0xff_u8], 0..40)
}

fn headers() -> impl Strategy<Value = Vec<(&'static str, Vec<u8>)>> {
    vec((select(KNOWN_HEADERS), header_value()), 0..12)
}

fn collect(fields: &[(&'static str, Vec<u8>)]) -> Headers {
    fields.iter().map(|(name, value)| (*name, &value[..])).collect()
}

fn port() -> impl Strategy<Value = Port> {
    prop_oneof![Just(Port::Callers), Just(Port::Local)]
}

proptest! {
    #[test]
    fn any_head_is_parsed_or_an_error(
        fields in headers(),
        target in "(/|\\*|http://fleet|fleet:80)[!-~]{0,30}",
        port in port(),
    ) {
        let head = Request::new("POST", &target, collect(&fields));
        match native::Native::new("ledger").read_request(port, &head) {
            Ok(_) => prop_assert!(target.starts_with('/')),
            Err(error) => prop_assert!([400, 403].contains(&error.reason.status())),
        }
    }

    #[test]
    fn call_tokens_are_accepted_only_from_the_local_target(token in any::<u128>()) {
        let token_text = format!("{token:032x}");
        let fields = [("mustardpin-call", token_text.as_bytes())];
        let head = Request::new("GET", "/slots", fields.into_iter().collect());
        let dialect = native::Native::new("ledger");
        let local = dialect.read_request(Port::Local, &head).map(|request| request.origin);
        prop_assert_eq!(local, Ok(Origin::Target { token: Some(CallToken(token)) }));
        let caller = dialect.read_request(Port::Callers, &head).map(|request| request.origin);
        prop_assert_eq!(caller.map_err(|error| error.reason), Err(Reason::CallTokenInvalid));
    }

    #[test]
    fn no_header_with_the_secret_is_forwarded(
        fields in headers(),
        copies in vec((select(KNOWN_HEADERS), "[ -~]{0,10}", "[ -~]{0,10}"), 1..5),
        secret in "[a-zA-Z0-9]{6,20}",
    ) {
        // The dialect rejects a request in which one of these occurs twice or has an invalid value.
        const SINGLE: [&str; 5] =
            ["authorization", "host", "request-id", "request-timeout-ms", "mustardpin-call"];
        let copies = copies.into_iter().map(|(name, before, after)| {
            (name, format!("{before}{secret}{after}").into_bytes())
        });
        let mut fields: Vec<_> = fields.into_iter().chain(copies).collect();
        fields.retain(|(name, _)| !SINGLE.contains(name));
        fields.push(("authorization", format!("Bearer garage-1.{secret}").into_bytes()));
        let head = Request::new("GET", "/slots", collect(&fields));
        let dialect = native::Native::new("ledger");
        let request = dialect.read_request(Port::Callers, &head).expect("the head can be read");
        let digest = KeyDigest::of(&format!("garage-1.{secret}"));
        prop_assert_eq!(&request.origin, &Origin::Caller { key: Some(digest) });
        let mut forwarded = Vec::new();
        let forwards = |name: &str, value: &[u8]| dialect.forwards_request_header(&request, name, value);
        scrub::copy_headers(&head.headers, forwards, &mut forwarded);
        let text = String::from_utf8_lossy(&forwarded).to_lowercase();
        prop_assert!(!text.contains(&secret.to_lowercase()), "{}", text);
        prop_assert!(!text.contains("authorization:") && !text.contains("mustardpin-"));
    }

    #[test]
    fn a_key_in_the_request_target_is_refused(secret in "[a-zA-Z0-9]{6,20}") {
        let value = format!("Bearer garage-1.{secret}");
        let headers: Headers = [("authorization", value.as_bytes())].into_iter().collect();
        let head = Request::new("GET", &format!("/slots?key={secret}"), headers);
        let refused = native::Native::new("ledger").read_request(Port::Callers, &head);
        prop_assert_eq!(refused.map(|_| ()).map_err(|error| error.reason), Err(Reason::RequestMalformed));
    }

    #[test]
    fn any_text_is_a_digest_or_an_error(text in "([0-9a-f]{64}|.{0,70})") {
        let is_digest = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        prop_assert_eq!(decode_digest(&text).is_ok(), is_digest);
    }

    #[test]
    fn fingerprints_cover_caller_method_target_and_body(
        one in ("[ab]", "(GET|POST)", "/[a-z]{0,3}(\\?[a-z]{0,2})?", vec(any::<u8>(), 0..3)),
        other in ("[ab]", "(GET|POST)", "/[a-z]{0,3}(\\?[a-z]{0,2})?", vec(any::<u8>(), 0..3)),
    ) {
        let digest = |(caller, method, target, body): &(String, String, String, Vec<u8>)| {
            fingerprint::of(caller, method, target, body)
        };
        prop_assert_eq!(digest(&one) == digest(&other), one == other);
    }
}

proptest! {
    /// Guards against a response that its own node accepts and that the next one takes for malformed.
    #[test]
    fn the_lines_of_every_accepted_response_are_accepted_from_a_peer(
        fields in vec(("[!#-'*+.^-`|~0-9A-Za-z-]{1,20}", field_value()), 0..100),
    ) {
        let mut bytes = BytesMut::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in &fields {
            bytes.extend_from_slice(&[name.as_bytes(), b":", value, b"\r\n"].concat());
        }
        bytes.extend_from_slice(b"\r\n");
        let head = Response::take(&mut bytes, 64 * 1024).expect("a valid head");
        let mut lines = Vec::new();
        scrub::copy_headers(&head.expect("a whole head").headers, |_, _| true, &mut lines);
        prop_assert_eq!(check_lines(&lines), Ok(()));
    }
}
