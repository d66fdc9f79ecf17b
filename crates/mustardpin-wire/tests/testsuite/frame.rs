//! Frames between nodes: encoded frames decode to the same values, and any other bytes decode or
//! return an error.

use bytes::BytesMut;
use mustardpin_wire::frame::{
    self, Body, Head, Hello, LoadReport, Nesting, PROTOCOL_VERSION, Request, TargetRate,
};
use mustardpin_wire::store::Announcement;
use mustardpin_world::{
    Millis,
    config::{Importance, Rank},
    id::{NodeId, Revision},
    refusal::{Outcome, Reason, Refusal},
    request,
};
use proptest::{collection::vec, option, prelude::*, sample::select};

fn load() -> impl Strategy<Value = LoadReport> {
    let rate = prop_oneof![
        Just(TargetRate::Unknown),
        Just(TargetRate::Unlimited),
        any::<u64>().prop_map(TargetRate::Limited),
    ];
    let numbers = any::<(u32, u32, u32, u32, u64, u64)>();
    (any::<(bool, bool)>(), numbers, rate).prop_map(|((open, leaving), numbers, rate)| {
        let (running, queued, limit, demand, revision, target) = numbers;
        LoadReport { open, running, queued, limit, demand, revision, target, leaving, rate }
    })
}

fn head() -> impl Strategy<Value = Head> {
    prop_oneof![
        any::<u32>().prop_map(Head::Cancel),
        any::<(u32, bool)>().prop_map(|(stream, last)| Head::Chunk { stream, last }),
        any::<u32>().prop_map(|stream| Head::Credit { stream }),
        any::<u32>().prop_map(|stream| Head::Broken { stream }),
        load().prop_map(Head::Load),
        Just(Head::Ping),
        Just(Head::Pong),
    ]
}

proptest! {
    #[test]
    fn frames_round_trip(heads in vec((head(), vec(any::<u8>(), 0..40)), 1..6)) {
        let mut out = Vec::new();
        for (head, payload) in &heads {
            frame::encode(&mut out, head, &[payload]).expect("the frame is small");
        }
        let mut buffer = BytesMut::from(&out[..]);
        for (head, payload) in &heads {
            let (decoded, rest) = frame::decode(&mut buffer).expect("valid").expect("complete");
            prop_assert_eq!((&decoded, &rest[..]), (head, &payload[..]));
        }
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn an_incomplete_frame_stays_in_the_buffer(head in head(), cut in 0_usize..100) {
        let mut out = Vec::new();
        frame::encode(&mut out, &head, &[b"payload"]).expect("the frame is small");
        let cut = cut.min(out.len() - 1);
        let mut buffer = BytesMut::from(&out[..cut]);
        prop_assert_eq!(frame::decode(&mut buffer), Ok(None));
        prop_assert_eq!(buffer.len(), cut);
    }

    #[test]
    fn any_bytes_decode_or_are_an_error(bytes in vec(any::<u8>(), 0..200)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = frame::decode(&mut buffer) {}
    }

    #[test]
    fn forwarded_requests_round_trip(
        names in vec("[a-zA-Z0-9 é-]{1,20}", 4),
        key_id in option::of("[a-zA-Z0-9 é-]{1,20}"),
        ranks in any::<(u8, u8)>(),
        numbers in any::<(u32, u16, u8, bool, u64)>(),
    ) {
        let (retry_allowance, depth, hops, repeatable, objective) = numbers;
        let forwarded = request::Forwarded {
            from: NodeId(7),
            revision: Revision(9),
            key_id: key_id.map(Into::into),
            team: Some(names[0].as_str().into()),
            route: names[1].as_str().into(),
            service: names[2].as_str().into(),
            rank: Rank { team: Importance(ranks.0), route: Importance(ranks.1) },
            nesting: request::Nesting::Unlinked,
            repeatable,
            objective: Millis(objective),
            retry_allowance,
            depth,
            hops,
        };
        let head = Head::Request(Request {
            stream: 1,
            id: names[3].as_str().into(),
            method: "GET".into(),
            target: "/slots".into(),
            sent_ms: 3,
            timeout_ms: 5,
            fingerprint: 6,
            revision: 9,
            key_id: forwarded.key_id.clone(),
            team: forwarded.team.clone(),
            route: forwarded.route.clone(),
            service: forwarded.service.clone(),
            rank: ranks,
            nesting: Nesting::Unlinked,
            repeatable,
            objective_ms: objective,
            retry_allowance,
            depth,
            hops,
            fields: 0,
            body: Body::Empty,
        });
        let mut out = Vec::new();
        frame::encode(&mut out, &head, &[]).expect("the frame is small");
        let read = frame::decode(&mut BytesMut::from(&out[..]));
        let Ok(Some((Head::Request(read), _))) = read else { panic!("{read:?}") };
        prop_assert_eq!(read.forwarded(NodeId(7)), forwarded);
    }

    #[test]
    fn refusals_round_trip(
        reason in select(Reason::ALL),
        outcome in select(vec![Outcome::NotRun, Outcome::Unknown, Outcome::Run]),
        wait in option::of(any::<u64>()),
        load in load(),
    ) {
        let refusal = Refusal { reason, outcome, retry_after: wait.map(Millis) };
        let refused = frame::Refused::new(3, &refusal, 2, load);
        let mut out = Vec::new();
        frame::encode(&mut out, &Head::Refused(refused.clone()), &[]).expect("the frame is small");
        let (decoded, _) = frame::decode(&mut BytesMut::from(&out[..])).expect("read").expect("whole");
        prop_assert_eq!(&decoded, &Head::Refused(refused.clone()));
        prop_assert_eq!(refused.refusal(), refusal);
    }
}

#[test]
fn a_frame_that_is_too_large_is_neither_encoded_nor_decoded() {
    let payload = vec![0; frame::MAX_FRAME_BYTES + 1];
    let mut out = b"before".to_vec();
    assert!(frame::encode(&mut out, &Head::Ping, &[&payload]).is_err());
    assert_eq!(out, b"before");
    let mut buffer = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    let error = frame::decode(&mut buffer).expect_err("the frame is too large");
    insta::assert_snapshot!(error, @"the frame is too large: 4294967295 bytes");
}

#[test]
fn hello_frames_round_trip() {
    let announcement = Announcement {
        node: "0000000000000007".into(),
        name: "north-1".into(),
        data_centre: "north".into(),
        service: "ledger".into(),
        address: "127.0.0.1:7101".into(),
    };
    let credential = [9; 32];
    let version = PROTOCOL_VERSION;
    let hello = Hello { version, credential, announcement, to: 8, revision: 5, sent_ms: 6 };
    let mut out = Vec::new();
    frame::encode(&mut out, &Head::Hello(hello.clone()), &[]).expect("the frame is small");
    let read = frame::decode(&mut BytesMut::from(&out[..])).expect("the frame can be decoded");
    assert_eq!(read.map(|(head, _)| head), Some(Head::Hello(hello)));
}
