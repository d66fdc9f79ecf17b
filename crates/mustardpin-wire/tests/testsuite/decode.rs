//! Decoders that face the network: no input makes them fail otherwise than by an error, and what
//! was encoded is decoded to the same.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use mustardpin_wire::{
    config::decode_digest,
    forward,
    peer::{
        Message,
        handshake::{GREETING_BYTES, Greeting},
    },
    platform::Row,
    refusal,
    request::{self, Incoming, Port},
    scrub::{self, Secret},
};
use mustardpin_world::{
    Millis,
    config::Importance,
    id::{KeyDigest, NodeId},
    message,
    platform::Versioned,
    refusal::{Outcome, Reason, Refusal},
    request::{Forwarded, Pressure, Ticket},
};
use proptest::{collection::vec, option, prelude::*, sample::select};
use tarpc::tokio_serde::{Deserializer as _, Serializer as _, formats::Bincode};

const KNOWN_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "idempotency-key",
    "request-timeout-ms",
    "mustardpin-call",
    "mustardpin-depth",
    "mustardpin-hops",
    "mustardpin-importance",
    "mustardpin-key-id",
    "mustardpin-outcome",
    "mustardpin-pressure",
    "mustardpin-reason",
    "mustardpin-retry-after-ms",
    "mustardpin-retry-allowance",
    "mustardpin-route",
    "x-other",
];

fn header_value() -> impl Strategy<Value = HeaderValue> {
    let text = prop_oneof![
        "[ -~]{0,40}".prop_map(String::into_bytes),
        "Bearer [ -~]{0,20}".prop_map(String::into_bytes),
        "[0-9]{1,25}".prop_map(String::into_bytes),
        "[0-9a-f]{32}".prop_map(String::into_bytes),
        vec(any::<u8>(), 0..20),
    ];
    text.prop_filter_map("no header value", |bytes| HeaderValue::from_bytes(&bytes).ok())
}

fn headers() -> impl Strategy<Value = HeaderMap> {
    vec((select(KNOWN_HEADERS), header_value()), 0..12).prop_map(|entries| {
        let entries = entries.into_iter();
        entries.map(|(name, value)| (HeaderName::from_static(name), value)).collect()
    })
}

fn port() -> impl Strategy<Value = Port> {
    prop_oneof![
        Just(Port::Callers),
        Just(Port::Local),
        any::<u64>().prop_map(|node| Port::Peers(NodeId(node))),
    ]
}

fn uri() -> impl Strategy<Value = Uri> {
    "(/|\\*|http://fleet|fleet:80)[!-~]{0,30}"
        .prop_filter_map("no request target", |text| text.parse().ok())
}

fn importance() -> impl Strategy<Value = Importance> {
    select(&Importance::ALL[..])
}

proptest! {
    #[test]
    fn any_head_becomes_a_request_or_an_error(
        headers in headers(),
        uri in uri(),
        port in port(),
        body in option::of(vec(any::<u8>(), 0..20)),
    ) {
        let (mut parts, ()) = Request::new(()).into_parts();
        parts.method = Method::POST;
        parts.uri = uri;
        parts.headers = headers;
        let incoming = Incoming { ticket: Ticket(1), port, parts: &parts, body: body.as_deref() };
        let decoded = mustardpin_world::request::Request::try_from(incoming);
        let again = mustardpin_world::request::Request::try_from(incoming);
        prop_assert_eq!(&decoded, &again);
        if let Ok(request) = decoded {
            prop_assert!(request.path.starts_with('/'));
        } else if let Err(error) = decoded {
            prop_assert!([400, 403].contains(&error.reason().status()));
        }
    }

    #[test]
    fn any_answer_of_a_peer_is_read_or_ignored(headers in headers()) {
        let _ = forward::decode_refusal(&headers);
        let _ = forward::decode_pressure(&headers);
        let _ = forward::decode(NodeId(1), &headers);
    }

    #[test]
    fn forwarded_requests_come_back_the_same(
        key_id in option::of("[a-zA-Z0-9 é-]{1,20}"),
        route in "[a-zA-Z0-9 é-]{1,20}",
        importance in importance(),
        numbers in any::<(u32, u16, u8)>(),
    ) {
        let forwarded = Forwarded {
            from: NodeId(7),
            key_id: key_id.map(Into::into),
            route: route.into(),
            importance,
            retry_allowance: numbers.0,
            depth: numbers.1,
            hops: numbers.2,
        };
        let mut headers = HeaderMap::new();
        forward::encode(&forwarded, &mut headers).expect("letters can stand in headers");
        prop_assert_eq!(forward::decode(NodeId(7), &headers), Ok(forwarded));
    }

    #[test]
    fn pressure_comes_back_the_same(
        least_importance in importance(),
        numbers in any::<(u32, u32, u32)>(),
    ) {
        let (running, queued, limit) = numbers;
        let pressure = Pressure { least_importance, running, queued, limit };
        let mut headers = HeaderMap::new();
        forward::encode_pressure(pressure, &mut headers);
        prop_assert_eq!(forward::decode_pressure(&headers), Some(pressure));
    }

    #[test]
    fn refusals_come_back_the_same(
        reason in select(Reason::ALL),
        outcome in select(vec![Outcome::NotRun, Outcome::Unknown, Outcome::Run]),
        wait in option::of(any::<u64>()),
    ) {
        let refusal = Refusal { reason, outcome, retry_after: wait.map(Millis) };
        let mut response = refusal::response(refusal);
        forward::encode_wait(refusal.retry_after, response.headers_mut());
        prop_assert_eq!(forward::decode_refusal(response.headers()), Some(refusal));
    }

    #[test]
    fn no_header_with_the_secret_is_left(
        headers in headers(),
        copies in vec((select(KNOWN_HEADERS), "[ -~]{0,10}", "[ -~]{0,10}"), 1..5),
        secret in "[a-zA-Z0-9]{6,20}",
    ) {
        let mut headers = headers;
        for (name, before, after) in &copies {
            let value = format!("{before}{secret}{after}");
            let value = HeaderValue::from_str(&value).expect("visible letters");
            headers.append(HeaderName::from_static(name), value);
        }
        scrub::remove_key(&mut headers, &Secret::of(&format!("garage-1.{secret}")));
        let text = format!("{headers:?}");
        prop_assert!(!text.contains(&secret), "{}", text);
        prop_assert!(!headers.contains_key("authorization"));
    }

    #[test]
    fn any_bytes_are_a_greeting_or_an_error(bytes in vec(any::<u8>(), GREETING_BYTES)) {
        let bytes: [u8; GREETING_BYTES] = bytes.try_into().expect("the length fits");
        let _ = Greeting::try_from(bytes);
    }

    #[test]
    fn greetings_come_back_the_same(
        from in any::<u64>(),
        to in option::of(1..u64::MAX),
        credential in any::<[u8; 32]>(),
    ) {
        let greeting = Greeting {
            from: NodeId(from),
            to: to.map(NodeId),
            credential: KeyDigest(credential),
        };
        let bytes = <[u8; GREETING_BYTES]>::from(greeting);
        prop_assert_eq!(Greeting::try_from(bytes), Ok(greeting));
    }

    #[test]
    fn any_bytes_are_messages_or_an_error(bytes in vec(any::<u8>(), 0..200)) {
        let mut codec = Bincode::<Vec<Message>, Vec<Message>>::default();
        let decoded = Pin::new(&mut codec).deserialize(&BytesMut::from(&bytes[..]));
        for message in decoded.into_iter().flatten() {
            let _ = message::Message::try_from(message);
        }
    }

    #[test]
    fn messages_about_the_configuration_come_back_the_same(after in any::<u64>()) {
        let want = message::configuration::Message::Want {
            after: mustardpin_world::id::Revision(after),
        };
        let sent = message::Message::from(want);
        let mut codec = Bincode::<Message, Message>::default();
        let bytes: Bytes = Pin::new(&mut codec)
            .serialize(&Message::from(sent.clone()))
            .expect("messages can be written");
        let read = Pin::new(&mut codec)
            .deserialize(&BytesMut::from(&bytes[..]))
            .expect("what was written can be read");
        prop_assert_eq!(message::Message::try_from(read), Ok(sent));
    }

    #[test]
    fn any_row_of_the_platform_is_read_or_an_error(
        path in "(configuration/(team|route|key|fleet|exception|x)/[a-z]{0,5}|node/[0-9a-f]{0,17}|head|epoch|x)",
        json in "(null|1|\"x\"|\\[\"x\"\\]|\\{\"(team|route|key|fleet|exception|number)\":(1|null|\\{\\})\\})",
    ) {
        let value = serde_json::from_str(&json).expect("the pattern is JSON");
        let _ = Versioned::try_from(Row { path: path.into(), revision: 1, value });
    }

    #[test]
    fn any_text_is_a_digest_or_an_error(text in "([0-9a-f]{64}|.{0,70})") {
        let is_digest = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        prop_assert_eq!(decode_digest(&text).is_ok(), is_digest);
    }

    #[test]
    fn fingerprints_cover_method_target_and_body(
        one in ("(GET|POST)", "/[a-z]{0,3}(\\?[a-z]{0,2})?", vec(any::<u8>(), 0..3)),
        other in ("(GET|POST)", "/[a-z]{0,3}(\\?[a-z]{0,2})?", vec(any::<u8>(), 0..3)),
    ) {
        let digest = |(method, target, body): &(String, String, Vec<u8>)| {
            let method = method.parse().expect("a method");
            request::fingerprint(&method, &target.parse().expect("a target"), body)
        };
        prop_assert_eq!(digest(&one) == digest(&other), one == other);
    }
}
