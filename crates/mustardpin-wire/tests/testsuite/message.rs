//! Messages between worlds are unchanged by encoding and decoding.

use mustardpin_wire::message::Message;
use mustardpin_world::{
    Millis,
    id::{Epoch, NodeId, Revision, StoreVersion, TargetId},
    message::{self, configuration, departure, fleet, freshness, quarantine, rate_limit, shedding},
    request::Fingerprint,
    store::Announcement,
};

use crate::store::configuration;

fn messages() -> Vec<message::Message> {
    let announcement = Announcement {
        node: NodeId(1),
        name: "north-1".into(),
        data_centre: "north".into(),
        service: "ledger".into(),
        address: "127.0.0.1:7101".into(),
    };
    let request =
        rate_limit::LeaseRequest { team: "garages".into(), shard: rate_limit::Shard(3), wanted: 7 };
    let cost = shedding::Cost {
        route: "book".into(),
        slot_time: Millis(90),
        calls: vec![("look".into(), 1.5)],
    };
    vec![
        fleet::Message::Known(vec![announcement]).into(),
        configuration::Message::Want { after: Revision(4) }.into(),
        configuration::Message::Have { revision: Revision(5), rows: configuration() }.into(),
        freshness::Message::Query { number: 6 }.into(),
        freshness::Message::Reply {
            number: 6,
            age: Millis(800),
            revision: Revision(5),
            fleet_age: Millis(900),
            roster: StoreVersion::new(Epoch(2), 3),
        }
        .into(),
        rate_limit::Message::Request { number: 8, requests: vec![request] }.into(),
        rate_limit::Message::Grant {
            number: 8,
            grants: vec![rate_limit::LeaseGrant { tokens: 5, next_in: Millis(20) }],
        }
        .into(),
        rate_limit::Message::Handover {
            roster: StoreVersion::new(Epoch(2), 3),
            team: "garages".into(),
            shard: rate_limit::Shard(1),
            level: 1_500_000,
        }
        .into(),
        shedding::Message::Costs(vec![cost]).into(),
        quarantine::Message::Crashed {
            crash: 9,
            requests: vec![Fingerprint(1), Fingerprint(2)],
            tried: Some(Fingerprint(2)),
        }
        .into(),
        quarantine::Message::Cleared(Fingerprint(1)).into(),
        departure::Message::Write(TargetId(5)).into(),
        departure::Message::Written { process: TargetId(5), epoch: Epoch(2) }.into(),
        departure::Message::Remembered { departed: vec![TargetId(5), TargetId(6)] }.into(),
    ]
}

#[test]
fn messages_round_trip() {
    for sent in messages() {
        let bytes = postcard::to_allocvec(&Message::from(sent.clone()))
            .expect("the message can be encoded");
        let read: Message = postcard::from_bytes(&bytes).expect("the bytes can be decoded");
        assert_eq!(message::Message::try_from(read).as_ref(), Ok(&sent));
    }
}

/// Guards against a connection that ends, with all requests on it, since one of the peers that the
/// other node knows has an address that is none.
#[test]
fn a_peer_without_a_valid_address_spoils_no_other() {
    let [known, ..] = &messages()[..] else { panic!("there are messages") };
    let Message::Known(mut announcements) = Message::from(known.clone()) else {
        panic!("not the peers that a node knows")
    };
    let mut odd = announcements[0].clone();
    odd.address = "127.0.0.1:99999".into();
    announcements.insert(0, odd);
    assert_eq!(message::Message::try_from(Message::Known(announcements)).as_ref(), Ok(known));
}
