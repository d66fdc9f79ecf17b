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
    log::{Entry, Level},
    refusal::{Reason, Refusal},
    request::{Origin, Request},
    store::Announcement,
};
use tokio::{net::TcpStream, select, time};

use crate::traffic::{
    body::{self, Body, Piece, Writer},
    exchange::{Attempt, Exchange, Outbound, OutboundHead, ResponseRecipient},
    exchanges::Exchanges,
    link::{
        transit::Transit,
        wire::{Error, Wire},
    },
    sender::Sender,
};

/// The timeout of the exchange of hello frames.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A request that was held up for this long on its way has a line in the log.
const MIN_LOGGED_DELAY: Millis = Millis(250);
/// How long to wait for a peer to close its side when the node exits.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);

static NEXT_CONNECTION_ID: AtomicU64 = AtomicU64::new(0);

/// The sending ends of streamed request bodies, by stream id.
type Bodies = HashMap<u32, Writer>;

/// Serves a connection of a peer until it ends.
pub(in crate::traffic) async fn accept(exchanges: Arc<Exchanges>, stream: TcpStream) {
    let Ok(mut wire) = Wire::new(stream) else { return };
    let handshaken = time::timeout(HANDSHAKE_TIMEOUT, handshake(&exchanges, &mut wire)).await;
    let Ok(Ok((peer, transit))) = handshaken else { return };
    let from = peer.node;
    exchanges.outbox.push(Event::PeerSeen(peer));
    let sender = Arc::new(Sender::default());
    let connection = NEXT_CONNECTION_ID.fetch_add(1, Ordering::Relaxed);
    let lock = || exchanges.links.incoming.lock().unwrap_or_else(PoisonError::into_inner);
    {
        // A load that is published later reaches the peer after this one.
        let mut incoming = lock();
        sender.send(&Head::Load(exchanges.load()), &[]);
        incoming.insert(connection, Arc::clone(&sender));
    }
    // The peer reports why the connection ended, since the peer made it.
    let _ = process_frames(&exchanges, (from, transit), &mut wire, &sender).await;
    lock().remove(&connection);
    for ticket in sender.close() {
        exchanges.caller_gone(ticket);
    }
}

/// Receives the peer's hello frame, verifies it, and sends this node's.
async fn handshake(
    exchanges: &Exchanges,
    wire: &mut Wire,
) -> Result<(Announcement, Transit), Error> {
    let hello = wire.receive_hello().await?;
    let transit = Transit::new(Millis(hello.sent_ms), exchanges.clock.now());
    let credentials = &exchanges.links.credentials;
    if hello.credential() != credentials.fleet || hello.version != frame::PROTOCOL_VERSION {
        return Err(Error::Credential);
    }
    let own = credentials.announcement.node;
    let peer: Result<Announcement, _> = hello.announcement.try_into();
    let peer = peer.map_err(|_| Error::UnexpectedFrame)?;
    let revision = Revision(exchanges.load().revision);
    wire.send_hello(credentials.hello(Some(peer.node), revision, exchanges.clock.now())).await?;
    if hello.to != 0 && hello.to != own.0 {
        return Err(Error::WrongNode);
    }
    Ok((peer, transit))
}

async fn process_frames(
    exchanges: &Arc<Exchanges>,
    (from, mut transit): (NodeId, Transit),
    wire: &mut Wire,
    sender: &Arc<Sender>,
) -> Result<(), Error> {
    let mut bodies = Bodies::default();
    let mut stage = exchanges.stage();
    loop {
        while let Some((head, payload)) = wire.take()? {
            let head = match head {
                Head::Request(request) => {
                    Head::Request(shorten(exchanges, from, &mut transit, request))
                }
                head => head,
            };
            process_frame(exchanges, from, sender, &mut bodies, head, payload).await?;
        }
        wire.write(sender)?;
        let is_exiting = stage.borrow().is_exiting();
        if is_exiting && sender.is_idle() && wire.is_flushed() {
            // Closing a socket with unread data would reset the connection, and the peer could
            // lose the last responses.
            return time::timeout(CLOSE_TIMEOUT, wire.close()).await?;
        }
        select! {
            advanced = wire.advance(sender) => {
                advanced?;
            }
            _ = stage.wait_for(|stage| stage.is_exiting()), if !is_exiting => {}
        }
    }
}

/// Takes the time for which a request was held up on its way from the time that is left for it.
fn shorten(
    exchanges: &Exchanges,
    from: NodeId,
    transit: &mut Transit,
    request: frame::Request,
) -> frame::Request {
    let delay = transit.delay(Millis(request.sent_ms), exchanges.clock.now());
    let timeout_ms = request.timeout_ms.saturating_sub(delay.0);
    let objective_ms = request.objective_ms.saturating_sub(delay.0);
    if delay >= MIN_LOGGED_DELAY {
        let entry = Entry::new(Level::Warn, "request_delayed")
            .on(&request.id)
            .with("from", from)
            .with("delay", delay)
            .with("left", Millis(timeout_ms));
        exchanges.outbox.log(entry);
    }
    frame::Request { timeout_ms, objective_ms, ..request }
}

/// Processes a received frame.
async fn process_frame(
    exchanges: &Arc<Exchanges>,
    from: NodeId,
    sender: &Arc<Sender>,
    bodies: &mut Bodies,
    head: Head,
    payload: Bytes,
) -> Result<(), Error> {
    match head {
        Head::Request(request) => {
            receive_request(exchanges, from, sender, bodies, request, payload)?
        }
        Head::Cancel(stream) => {
            bodies.remove(&stream);
            sender.stop_chunks(stream);
            if let Some(ticket) = sender.remove_request(stream) {
                exchanges.caller_gone(ticket);
            }
        }
        Head::Chunk { stream, last } => {
            let Some(writer) = bodies.get(&stream) else { return Ok(()) };
            // Fails if the request of this body has already finished.
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
        Head::Credit { stream } => sender.add_credit(stream),
        Head::Message(message) => {
            let message = message.try_into()?;
            exchanges.outbox.push(Event::Peer { from, message });
        }
        Head::Ping => {
            sender.send(&Head::Pong, &[]);
        }
        Head::Pong | Head::Load(_) => {}
        Head::Hello(_) | Head::Answer(_) | Head::Refused(_) => return Err(Error::UnexpectedFrame),
    }
    Ok(())
}

fn receive_request(
    exchanges: &Arc<Exchanges>,
    from: NodeId,
    sender: &Arc<Sender>,
    bodies: &mut Bodies,
    head: frame::Request,
    payload: Bytes,
) -> Result<(), Error> {
    let stream = head.stream;
    let (header_lines, complete_body) = frame::split_payload(payload, head.fields)?;
    let mut reservation = exchanges.body_budget.reservation();
    if !reservation.grow_to(complete_body.len()) {
        refuse_without_room(exchanges, sender, stream);
        return Ok(());
    }
    let body = match head.body {
        frame::Body::Whole | frame::Body::Empty => Body::Complete(complete_body),
        frame::Body::Chunks { length } => {
            let (writer, streamed) = body::from_peer(Arc::clone(sender), stream, length);
            bodies.insert(stream, writer);
            Body::Stream(streamed)
        }
    };
    let request = |ticket| {
        sender.add_request(stream, ticket);
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
        header_lines,
        fingerprint: head.fingerprint(),
        is_from_peer: true,
    };
    let exchange = Exchange {
        request: Arc::new(Outbound::new(outbound, body, reservation)),
        recipient: Some(ResponseRecipient::Peer { sender: Arc::clone(sender), stream }),
        attempt: Attempt::None,
        undecided: None,
        expires: None,
    };
    if exchanges.open(exchange, request).is_none() {
        refuse_without_room(exchanges, sender, stream);
    }
    Ok(())
}

/// Refuses a request because the limit of requests in progress or of kept bodies is reached.
fn refuse_without_room(exchanges: &Exchanges, sender: &Sender, stream: u32) {
    let reason = Reason::InProgressLimit;
    exchanges.outbox.push(Event::Refused(reason));
    sender.refuse(stream, &Refusal::not_run(reason), 0, exchanges.load());
}
