//! A connection that a peer has made to this node.

use std::{
    collections::HashMap,
    sync::{
        Arc, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use mustardpin_wire::frame::{self, Head};
use mustardpin_world::{
    Event, Millis,
    id::{NodeId, Revision},
    refusal::{Reason, Refusal},
    request::{Origin, Request},
    store::Announcement,
};
use tokio::{net::TcpStream, time};

use crate::traffic::{
    board::Board,
    body::{self, Body, Piece, Writer},
    exchange::{AnswerTo, Attempt, Exchange, Outbound, OutboundHead},
    link::wire::{Error, Wire},
    sender::Sender,
};

/// How long the first frames may take.
const GREETING_TIMEOUT: Duration = Duration::from_millis(1_000);

static LAST_CONNECTION: AtomicU64 = AtomicU64::new(0);

/// Where pieces of bodies go that are still coming.
type Bodies = HashMap<u32, Writer>;

/// Serves a connection of a peer until it ends.
pub(in crate::traffic) async fn accept(board: Arc<Board>, stream: TcpStream) {
    let Ok(mut wire) = Wire::new(stream) else { return };
    let greeted = time::timeout(GREETING_TIMEOUT, greet(&board, &mut wire)).await;
    let Ok(Ok(peer)) = greeted else { return };
    let from = peer.node;
    board.outbox.push(Event::PeerSeen(peer));
    let sender = Arc::new(Sender::default());
    let connection = LAST_CONNECTION.fetch_add(1, Ordering::Relaxed);
    sender.send(&Head::Load(board.load()), &[]);
    let lock = || board.links.incoming.lock().unwrap_or_else(PoisonError::into_inner);
    lock().insert(connection, Arc::clone(&sender));
    // Why a connection ended is told by the peer that made it.
    let _ = carry(&board, from, &mut wire, &sender).await;
    lock().remove(&connection);
    for ticket in sender.close() {
        board.caller_gone(ticket);
    }
}

/// Finds out who has connected, and says who is here.
async fn greet(board: &Board, wire: &mut Wire) -> Result<Announcement, Error> {
    let hello = wire.greeted().await?;
    let credentials = &board.links.credentials;
    if hello.credential() != credentials.fleet || hello.version != frame::PROTOCOL_VERSION {
        return Err(Error::Credential);
    }
    let own = credentials.announcement.node;
    let peer: Result<Announcement, _> = hello.announcement.try_into();
    let peer = peer.map_err(|_| Error::Unexpected)?;
    wire.greet(credentials.hello(Some(peer.node), Revision(board.load().revision))).await?;
    if hello.to != 0 && hello.to != own.0 {
        return Err(Error::Destination);
    }
    Ok(peer)
}

async fn carry(
    board: &Arc<Board>,
    from: NodeId,
    wire: &mut Wire,
    sender: &Arc<Sender>,
) -> Result<(), Error> {
    let mut bodies = Bodies::default();
    loop {
        while let Some((head, payload)) = wire.take()? {
            receive(board, from, sender, &mut bodies, head, payload).await?;
        }
        wire.advance(sender).await?;
    }
}

/// Takes a frame in.
async fn receive(
    board: &Arc<Board>,
    from: NodeId,
    sender: &Arc<Sender>,
    bodies: &mut Bodies,
    head: Head,
    payload: Bytes,
) -> Result<(), Error> {
    match head {
        Head::Request(request) => take_request(board, from, sender, bodies, request, payload)?,
        Head::Cancel(stream) => {
            bodies.remove(&stream);
            sender.stop_chunks(stream);
            if let Some(ticket) = sender.answered(stream) {
                board.caller_gone(ticket);
            }
        }
        Head::Chunk { stream, last } => {
            let Some(writer) = bodies.get(&stream) else { return Ok(()) };
            // A body that nobody takes any more belongs to a request that has ended.
            let _ = match last {
                false => writer.send(Piece::Data(payload)).await,
                true => writer.send(Piece::End(payload)).await,
            };
            if last {
                bodies.remove(&stream);
            }
        }
        Head::Broken { stream } => {
            bodies.remove(&stream);
        }
        Head::Credit { stream } => sender.credited(stream),
        Head::Message(message) => {
            let message = message.try_into()?;
            board.outbox.push(Event::Peer { from, message });
        }
        Head::Ping => {
            sender.send(&Head::Pong, &[]);
        }
        Head::Pong | Head::Load(_) => {}
        Head::Hello(_) | Head::Answer(_) | Head::Refused(_) => return Err(Error::Unexpected),
    }
    Ok(())
}

fn take_request(
    board: &Arc<Board>,
    from: NodeId,
    sender: &Arc<Sender>,
    bodies: &mut Bodies,
    head: frame::Request,
    payload: Bytes,
) -> Result<(), Error> {
    let stream = head.stream;
    let (fields, whole) = frame::split_payload(payload, head.fields)?;
    let body = match head.body {
        frame::Body::Whole | frame::Body::Empty => Body::Whole(whole),
        frame::Body::Chunks { length } => {
            let (writer, rest) = body::from_peer(Arc::clone(sender), stream, length);
            bodies.insert(stream, writer);
            Body::Stream(rest)
        }
    };
    let request = |ticket| {
        sender.opened(stream, ticket);
        Request {
            ticket,
            origin: Origin::Peer(head.forwarded(from)),
            id: head.id.clone(),
            host: Default::default(),
            method: head.method.clone(),
            path: Default::default(),
            fingerprint: head.fingerprint(),
            timeout: Some(Millis(head.timeout_ms)),
        }
    };
    let outbound = OutboundHead {
        id: head.id.clone(),
        method: head.method.clone(),
        target: head.target.clone(),
        fields,
        fingerprint: head.fingerprint(),
        is_from_peer: true,
    };
    let exchange = Exchange {
        request: Arc::new(Outbound::new(outbound, body)),
        answer_to: Some(AnswerTo::Peer { sender: Arc::clone(sender), stream }),
        attempt: Attempt::None,
        held: None,
        expires: None,
    };
    if board.open(exchange, request).is_none() {
        let reason = Reason::InProgressLimit;
        board.outbox.push(Event::Refused(reason));
        sender.refuse(stream, &Refusal::not_run(reason), 0, board.load());
    }
    Ok(())
}
