//! When connections to peers are closed.

use mustardpin_world::{
    Event, Options,
    id::{Epoch, NodeId, StoreVersion},
    request::Origin,
    store::{Area, Changes, Row, RowKey},
};

use crate::node::{Node, announcement, describe};

/// Guards against the loss of requests that a peer is about to answer: a draining peer removes its
/// row, and has not replied to a ping for half a second.
#[test]
fn a_connection_stays_open_if_the_peer_is_silent_when_its_row_is_removed() {
    let mut node = Node::start(Options::default());
    let peer = NodeId(2);
    node.connect(2);
    node.tick(vec![Event::TargetLost]);
    let forwarded = node.send(1, Origin::Caller { key: None }, None);
    node.tick(vec![Event::LinkSilent { peer, silent: true }]);
    let key = RowKey::Node(announcement(2).name);
    let row = Row { key, version: StoreVersion::new(Epoch(0), 3), value: None };
    let removed = node.change(Area::Fleet, 3, Changes::Rows(vec![row]));
    let replied = node.tick(vec![Event::LinkSilent { peer, silent: false }]);
    let ended = node.tick(vec![Event::LinkDown { peer, refused: false }]);
    let report = [
        ("sent", forwarded),
        ("row removed", removed),
        ("not silent", replied),
        ("link down", ended),
    ]
    .map(|(name, commands)| format!("{name}: {}\n", describe(&commands)))
    .concat();
    insta::assert_snapshot!(report, @r"
    sent: forward 1
    row removed: nothing
    not silent: nothing
    link down: close link 2
    ");
}
