//! The connection that a node keeps to one of its peers.

mod response;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use mustardpin_wire::frame::{self, Head};
use mustardpin_world::{
    Event, Millis,
    id::{NodeId, Revision},
    request::{Forward, ForwardEnd, Ticket},
    store::Announcement,
};
use tokio::{net::TcpStream, sync::Notify, time};

use crate::traffic::{
    body::Writer,
    exchange::{Outbound, Payload},
    exchanges::Exchanges,
    link::{
        liveness::Monitor,
        wire::{Error, Wire},
    },
    sender::Sender,
};

/// The timeout for connecting, including the exchange of hello frames.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The delay before the first reconnect after a connection failed or could not be made.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// The maximum delay between two attempts to connect.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_millis(800);
/// The interval between two liveness checks of the peer.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The interval between two queries to a seed address.
const SEED_QUERY_INTERVAL: Duration = Duration::from_secs(2);

/// A request that was sent to the peer and has not ended.
#[derive(Debug)]
struct Stream {
    ticket: Ticket,
    /// The byte offset of the request's frame in the connection's output.
    frame_offset: u64,
    /// The sending end of a response body that is being streamed, and the response's status.
    response: Option<(Writer, u16)>,
}

/// A maintained connection to a peer.
#[derive(Debug)]
pub(in crate::traffic) struct OutgoingLink {
    announcement: Announcement,
    sender: Mutex<Option<Arc<Sender>>>,
    streams: Mutex<HashMap<u32, Stream>>,
    last_stream: AtomicU32,
    is_closed: AtomicBool,
    closed: Notify,
}

/// Whether a request was sent to a peer.
pub(in crate::traffic) enum SendResult {
    /// The request was queued on the connection.
    Sent,
    /// There is no connection, its queue is full or the frame is too large.
    NotSent,
    /// The body was a stream that an earlier attempt has consumed.
    BodyConsumed,
}

impl OutgoingLink {
    pub(super) fn new(announcement: Announcement) -> OutgoingLink {
        OutgoingLink {
            announcement,
            sender: Mutex::default(),
            streams: Mutex::default(),
            last_stream: AtomicU32::new(0),
            is_closed: AtomicBool::new(false),
            closed: Notify::new(),
        }
    }

    /// Queues a frame, if the peer is connected.
    pub(super) fn send(&self, head: &Head) {
        if let Some(sender) = self.sender() {
            sender.send(head, &[]);
        }
    }

    /// Allocates the id of a new stream.
    pub(in crate::traffic) fn next_stream(&self) -> u32 {
        self.last_stream.fetch_add(1, Ordering::Relaxed).wrapping_add(1)
    }

    /// Sends a request to the peer. `entry` holds the headers that this node adds, as encoded
    /// lines.
    pub(in crate::traffic) fn send_request(
        &self,
        stream: u32,
        forward: &Forward,
        request: &Outbound,
        entry: &[u8],
        now: Millis,
    ) -> SendResult {
        let Some(sender) = self.sender() else { return SendResult::NotSent };
        let (complete_body, streamed, kind) = match request.payload() {
            Payload::Complete(bytes) => (bytes, None, frame::Body::Whole),
            Payload::Stream(streamed) => {
                let kind = frame::Body::Chunks { length: streamed.length };
                (Bytes::new(), Some(streamed), kind)
            }
            Payload::Consumed => return SendResult::BodyConsumed,
        };
        let length = (request.header_lines.len() + entry.len()) as u32;
        let head = request_head(stream, forward, request, length, kind, now);
        let mut streams = self.streams();
        let Some(frame_offset) =
            sender.send(&head, &[&request.header_lines, entry, &complete_body])
        else {
            if let Some(streamed) = streamed {
                request.keep_unused(streamed);
            }
            return SendResult::NotSent;
        };
        streams.insert(stream, Stream { ticket: forward.ticket, frame_offset, response: None });
        drop(streams);
        if let Some(streamed) = streamed {
            sender.send_body(stream, streamed);
        }
        SendResult::Sent
    }

    /// Cancels a request. Returns whether it was still in progress.
    pub(in crate::traffic) fn cancel(&self, stream: u32) -> bool {
        let was_open = self.streams().remove(&stream).is_some();
        if was_open && let Some(sender) = self.sender() {
            sender.stop_chunks(stream);
            sender.send(&Head::Cancel(stream), &[]);
        }
        was_open
    }

    /// Closes the connection permanently, once no request is in progress over it.
    pub(super) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.closed.notify_one();
    }

    /// The peer.
    pub(super) fn node(&self) -> NodeId {
        self.announcement.node
    }

    /// Whether requests wait for the peer.
    pub(super) fn has_streams(&self) -> bool {
        !self.streams().is_empty()
    }

    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    fn sender(&self) -> Option<Arc<Sender>> {
        self.sender.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_sender(&self, sender: Option<Arc<Sender>>) {
        *self.sender.lock().unwrap_or_else(PoisonError::into_inner) = sender;
    }

    fn streams(&self) -> MutexGuard<'_, HashMap<u32, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn request_head(
    stream: u32,
    forward: &Forward,
    request: &Outbound,
    fields: u32,
    body: frame::Body,
    now: Millis,
) -> Head {
    let forwarded = &forward.forwarded;
    Head::Request(frame::Request {
        stream,
        id: request.id.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
        sent_ms: now.0,
        timeout_ms: forward.timeout.0,
        fingerprint: request.fingerprint.0,
        revision: forwarded.revision.0,
        key_id: forwarded.key_id.clone(),
        team: forwarded.team.clone(),
        route: forwarded.route.clone(),
        service: forwarded.service.clone(),
        rank: (forwarded.rank.team.0, forwarded.rank.route.0),
        nesting: forwarded.nesting.into(),
        repeatable: forwarded.repeatable,
        objective_ms: forwarded.objective.0,
        retry_allowance: forwarded.retry_allowance,
        depth: forwarded.depth,
        hops: forwarded.hops,
        fields,
        body,
    })
}

/// Maintains the connection to a peer until `OutgoingLink::close` was called and no request is in
/// progress over it.
pub(super) async fn maintain(exchanges: Arc<Exchanges>, link: Arc<OutgoingLink>) {
    let node = link.announcement.node;
    let mut backoff = MIN_RECONNECT_BACKOFF;
    while !link.is_closed() {
        let connected = time::timeout(CONNECT_TIMEOUT, connect(&exchanges, &link)).await;
        let error = match connected.map_err(Error::from).flatten() {
            Err(error) => error,
            Ok((mut wire, revision)) => {
                backoff = MIN_RECONNECT_BACKOFF;
                let sender = Arc::new(Sender::default());
                link.set_sender(Some(Arc::clone(&sender)));
                let peer = link.announcement.clone();
                exchanges.outbox.push(Event::LinkUp { peer, revision });
                let error = process_frames(&exchanges, &link, &mut wire, &sender).await;
                link.set_sender(None);
                // Peers send no requests over this connection.
                let _ = sender.close();
                fail_streams(&exchanges, &link, wire.total_written);
                if !matches!(error, Error::Closed) {
                    // The requests that the connection holds have ended. Fails if the connection
                    // has ended too.
                    let _ = wire.reset();
                }
                error
            }
        };
        if link.is_closed() {
            return;
        }
        exchanges.outbox.push(Event::LinkDown { peer: node, refused: is_refused(&error) });
        tokio::select! {
            () = time::sleep(backoff) => {}
            () = link.closed.notified() => return,
        }
        backoff = (backoff * 2).min(MAX_RECONNECT_BACKOFF);
    }
}

fn is_refused(error: &Error) -> bool {
    match error {
        Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        Error::WrongNode => true,
        _ => false,
    }
}

/// Connects to the peer. Returns the connection and the revision of the peer's configuration.
async fn connect(exchanges: &Exchanges, link: &OutgoingLink) -> Result<(Wire, Revision), Error> {
    let stream = TcpStream::connect(link.announcement.address.as_str()).await?;
    let mut wire = Wire::new(stream)?;
    let credentials = &exchanges.links.credentials;
    let own = Revision(exchanges.load().revision);
    wire.send_hello(credentials.hello(Some(link.announcement.node), own, exchanges.clock.now()))
        .await?;
    let hello = wire.receive_hello().await?;
    if hello.credential() != credentials.fleet || hello.version != frame::PROTOCOL_VERSION {
        return Err(Error::Credential);
    }
    let revision = Revision(hello.revision);
    let peer: Result<Announcement, _> = hello.announcement.try_into();
    if peer.map_err(|_| Error::UnexpectedFrame)?.node != link.announcement.node {
        return Err(Error::WrongNode);
    }
    Ok((wire, revision))
}

/// Processes frames until the connection ends. Returns the reason.
async fn process_frames(
    exchanges: &Arc<Exchanges>,
    link: &OutgoingLink,
    wire: &mut Wire,
    sender: &Sender,
) -> Error {
    let mut monitor = Monitor::new(exchanges.clock.now());
    let mut checks = time::interval(LIVENESS_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        loop {
            match wire.take() {
                Ok(Some((head, payload))) => {
                    if let Err(error) = process_frame(exchanges, link, sender, head, payload).await
                    {
                        return error;
                    }
                }
                Ok(None) => break,
                Err(error) => return error,
            }
        }
        if link.is_closed() && !link.has_streams() {
            return Error::Closed;
        }
        tokio::select! {
            advanced = wire.advance(sender) => match advanced {
                Ok(true) => monitor.record_received(exchanges, link),
                // A write by this node does not show that the peer is alive.
                Ok(false) => {}
                Err(error) => return error,
            },
            _ = checks.tick() => {
                if let Err(error) = monitor.check(exchanges, link, sender) {
                    return error;
                }
            }
            () = link.closed.notified() => {}
        }
    }
}

/// Processes a received frame.
async fn process_frame(
    exchanges: &Arc<Exchanges>,
    link: &OutgoingLink,
    sender: &Sender,
    head: Head,
    payload: Bytes,
) -> Result<(), Error> {
    let from = link.announcement.node;
    match head {
        Head::Answer(response) => {
            exchanges.outbox.push(Event::Load { from, load: response.load.into() });
            // The peer sends no more of the request to its target.
            sender.stop_chunks(response.stream);
            response::receive(exchanges, link, response, payload)?;
        }
        Head::Refused(refused) => {
            exchanges.outbox.push(Event::Load { from, load: refused.load.into() });
            if let Some(stream) = link.streams().remove(&refused.stream) {
                sender.stop_chunks(refused.stream);
                let end = ForwardEnd::Refused(refused.refusal());
                exchanges.forward_ended(stream.ticket, end, refused.retries, None);
            }
        }
        Head::Chunk { stream, last } => {
            response::receive_chunk(exchanges, link, stream, last, payload).await
        }
        Head::Broken { stream } => {
            sender.stop_chunks(stream);
            if let Some(stream) = link.streams().remove(&stream) {
                exchanges.forward_ended(stream.ticket, ForwardEnd::Broken, 0, None);
            }
        }
        Head::Credit { stream } => sender.add_credit(stream),
        Head::Load(load) => exchanges.outbox.push(Event::Load { from, load: load.into() }),
        Head::Message(message) => {
            let message = message.try_into()?;
            exchanges.outbox.push(Event::Peer { from, message });
        }
        Head::Ping => {
            sender.send(&Head::Pong, &[]);
        }
        Head::Pong => {}
        Head::Hello(_) | Head::Request(_) | Head::Cancel(_) => return Err(Error::UnexpectedFrame),
    }
    Ok(())
}

/// Ends all requests in progress when the connection has ended. A request counts as not sent if
/// none of its bytes were written.
fn fail_streams(exchanges: &Exchanges, link: &OutgoingLink, written: u64) {
    let streams = std::mem::take(&mut *link.streams());
    for stream in streams.into_values() {
        let was_sent = stream.frame_offset < written;
        let end = if was_sent { ForwardEnd::Broken } else { ForwardEnd::NotSent };
        exchanges.forward_ended(stream.ticket, end, 0, None);
    }
}

/// Queries a seed address periodically. Reports to the control thread which node replies.
pub(in crate::traffic) async fn query_seed(exchanges: &Exchanges, seed: SocketAddr) {
    loop {
        let reply = time::timeout(CONNECT_TIMEOUT, query(exchanges, seed)).await;
        if let Ok(Ok(announcement)) = reply {
            exchanges.outbox.push(Event::PeerSeen(announcement));
        }
        time::sleep(SEED_QUERY_INTERVAL).await;
    }
}

async fn query(exchanges: &Exchanges, seed: SocketAddr) -> Result<Announcement, Error> {
    let mut wire = Wire::new(TcpStream::connect(seed).await?)?;
    let credentials = &exchanges.links.credentials;
    wire.send_hello(credentials.hello(
        None,
        Revision(exchanges.load().revision),
        exchanges.clock.now(),
    ))
    .await?;
    let hello = wire.receive_hello().await?;
    if hello.credential() != credentials.fleet {
        return Err(Error::Credential);
    }
    let announcement: Result<Announcement, _> = hello.announcement.try_into();
    announcement.map_err(|_| Error::UnexpectedFrame)
}
