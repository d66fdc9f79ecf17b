//! Control messages between nodes.

use std::{net::SocketAddr, sync::mpsc::Receiver, time::Duration};

use mustardpin_node::{
    control::{Handle, Input},
    peer::{self, Identity, Link as _},
};
use mustardpin_world::{
    Event,
    id::{KeyDigest, NodeId, Revision},
    message::{Message, configuration},
    platform::Announcement,
};
use tokio::{net::TcpListener, runtime::Runtime};

fn identity(node: u64, credential: &str) -> Identity {
    Identity { node: NodeId(node), credential: KeyDigest::of(credential) }
}

/// Node 1, as far as control messages go.
fn serve(runtime: &Runtime) -> (SocketAddr, Receiver<Input>) {
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (control, inputs) = Handle::channel();
    let announcement = Announcement {
        node: NodeId(1),
        data_centre: "north".into(),
        service: "slots".into(),
        control_address: address.to_string().into(),
        traffic_address: "127.0.0.1:1".into(),
    };
    runtime.spawn(peer::serve(listener, identity(1, "fleet"), announcement, control));
    (address, inputs)
}

fn message(after: u64) -> Message {
    Message::Configuration(configuration::Message::Want { after: Revision(after) })
}

fn next(inputs: &Receiver<Input>) -> Event {
    match inputs.recv_timeout(Duration::from_secs(5)) {
        Ok(Input::Event(event)) => event,
        _ => panic!("an event should have come"),
    }
}

#[test]
fn messages_come_in_the_order_they_were_sent() {
    let runtime = Runtime::new().expect("threads");
    let (address, inputs) = serve(&runtime);
    let (control, _own) = Handle::channel();
    let mut link = peer::Tarpc::new(identity(2, "fleet"), runtime.handle().clone(), control);
    for after in 0..200 {
        link.send(NodeId(1), &address.to_string(), message(after));
    }
    for after in 0..200 {
        let event = Event::Peer { from: NodeId(2), message: message(after) };
        assert_eq!(next(&inputs), event);
    }
}

#[test]
fn a_message_that_cannot_be_delivered_is_reported() {
    let runtime = Runtime::new().expect("threads");
    let (address, inputs) = serve(&runtime);
    let nobody = "127.0.0.1:1".to_owned();
    let cases = [
        ("fleet", NodeId(1), nobody),
        ("fleet", NodeId(3), address.to_string()),
        ("guess", NodeId(1), address.to_string()),
    ];
    for (credential, to, address) in cases {
        let (control, own) = Handle::channel();
        let mut link = peer::Tarpc::new(identity(2, credential), runtime.handle().clone(), control);
        link.send(to, &address, message(1));
        assert_eq!(next(&own), Event::Undelivered { to });
    }
    assert!(inputs.try_recv().is_err());
}

#[test]
fn a_seed_says_who_it_is() {
    let runtime = Runtime::new().expect("threads");
    let (address, _inputs) = serve(&runtime);
    let (control, own) = Handle::channel();
    runtime.spawn(peer::find(address, identity(2, "fleet"), control));
    let Event::SeedFound(announcement) = next(&own) else { panic!("the seed answers") };
    assert_eq!(announcement.node, NodeId(1));
    assert_eq!(announcement.control_address, address.to_string());
}
