//! The connection that a node keeps to one of its peers.

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
    id::Revision,
    request::{Forward, ForwardEnd, Ticket},
    store::Announcement,
};
use tokio::{net::TcpStream, sync::Notify, time};

use crate::traffic::{
    answer::Answer,
    board::Board,
    body::{self, Body, Piece, Writer},
    exchange::{Outbound, Payload},
    link::wire::{Error, Wire},
    sender::Sender,
};

/// How long making a connection may take, with the first frames.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The first pause after a connection that was not made or broke.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between two attempts to make a connection.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// The time between two looks whether the peer still answers.
const WATCH_PERIOD: Duration = Duration::from_millis(250);
/// A peer from which nothing has come for this long is asked for a sign of life.
const QUIET: Millis = Millis(700);
/// The same while requests wait for it.
const QUIET_WITH_REQUESTS: Millis = Millis(250);
/// A peer that was asked this long ago and has not answered counts as silent.
const SILENT: Millis = Millis(500);
/// A connection to a peer that was asked this long ago and has not answered is given up.
const LOST: Millis = Millis(1_500);
/// The time between two questions to a seed.
const SEEK_PERIOD: Duration = Duration::from_secs(2);

/// A request that the peer has.
#[derive(Debug)]
struct Stream {
    ticket: Ticket,
    /// Where its frame starts in the bytes of the connection.
    starts_at: u64,
    /// Where pieces of the answer go that is still coming, and its status.
    answer: Option<(Writer, u16)>,
}

/// The connection to a peer.
#[derive(Debug)]
pub(in crate::traffic) struct Outgoing {
    announcement: Announcement,
    sender: Mutex<Option<Arc<Sender>>>,
    streams: Mutex<HashMap<u32, Stream>>,
    last_stream: AtomicU32,
    is_given_up: AtomicBool,
    given_up: Notify,
}

/// Whether a request was passed to a peer.
pub(in crate::traffic) enum Passed {
    /// It is on its way.
    Sent,
    /// There is no connection.
    NotSent,
    /// Its body was sent before.
    Gone,
}

impl Outgoing {
    pub(super) fn new(announcement: Announcement) -> Outgoing {
        Outgoing {
            announcement,
            sender: Mutex::default(),
            streams: Mutex::default(),
            last_stream: AtomicU32::new(0),
            is_given_up: AtomicBool::new(false),
            given_up: Notify::new(),
        }
    }

    /// Queues a frame, if there is a connection.
    pub(super) fn send(&self, head: &Head) {
        if let Some(sender) = self.sender() {
            sender.send(head, &[]);
        }
    }

    /// A name for a request that is to be passed to the peer.
    pub(in crate::traffic) fn next_stream(&self) -> u32 {
        self.last_stream.fetch_add(1, Ordering::Relaxed).wrapping_add(1)
    }

    /// Passes a request to the peer. `entry` are the fields that this node adds.
    pub(in crate::traffic) fn pass(
        &self,
        stream: u32,
        forward: &Forward,
        request: &Outbound,
        entry: &[u8],
    ) -> Passed {
        let Some(sender) = self.sender() else { return Passed::NotSent };
        let (whole, rest, kind) = match request.payload() {
            Payload::Whole(bytes) => (bytes, None, frame::Body::Whole),
            Payload::Stream(rest) => {
                let kind = frame::Body::Chunks { length: rest.length };
                (Bytes::new(), Some(rest), kind)
            }
            Payload::Gone => return Passed::Gone,
        };
        let length = (request.fields.len() + entry.len()) as u32;
        let head = request_head(stream, forward, request, length, kind);
        let mut streams = self.streams();
        let Some(starts_at) = sender.send(&head, &[&request.fields, entry, &whole]) else {
            return Passed::NotSent;
        };
        streams.insert(stream, Stream { ticket: forward.ticket, starts_at, answer: None });
        drop(streams);
        if let Some(rest) = rest {
            tokio::spawn(sender.send_chunks(stream, rest));
        }
        Passed::Sent
    }

    /// Does not wait for an answer any more. Returns whether it was still to come.
    pub(in crate::traffic) fn cancel(&self, stream: u32) -> bool {
        let was_open = self.streams().remove(&stream).is_some();
        if was_open && let Some(sender) = self.sender() {
            sender.stop_chunks(stream);
            sender.send(&Head::Cancel(stream), &[]);
        }
        was_open
    }

    /// Ends the connection for good.
    pub(super) fn give_up(&self) {
        self.is_given_up.store(true, Ordering::Relaxed);
        self.given_up.notify_one();
    }

    fn is_given_up(&self) -> bool {
        self.is_given_up.load(Ordering::Relaxed)
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
) -> Head {
    let forwarded = &forward.forwarded;
    Head::Request(frame::Request {
        stream,
        id: request.id.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
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

/// Keeps the connection to a peer until it is given up.
pub(super) async fn keep(board: Arc<Board>, link: Arc<Outgoing>) {
    let node = link.announcement.node;
    let mut pause = FIRST_PAUSE;
    while !link.is_given_up() {
        let connected = time::timeout(CONNECT_TIMEOUT, connect(&board, &link)).await;
        let error = match connected.map_err(Error::from).flatten() {
            Err(error) => error,
            Ok((mut wire, revision)) => {
                pause = FIRST_PAUSE;
                let sender = Arc::new(Sender::default());
                link.set_sender(Some(Arc::clone(&sender)));
                let peer = link.announcement.clone();
                board.outbox.push(Event::LinkUp { peer, revision });
                let error = carry(&board, &link, &mut wire, &sender).await;
                link.set_sender(None);
                // Peers send no requests over this connection.
                let _ = sender.close();
                fail_streams(&board, &link, wire.total_written);
                error
            }
        };
        if link.is_given_up() {
            return;
        }
        board.outbox.push(Event::LinkDown { peer: node, refused: is_refused(&error) });
        tokio::select! {
            () = time::sleep(pause) => {}
            () = link.given_up.notified() => return,
        }
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

fn is_refused(error: &Error) -> bool {
    match error {
        Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        Error::Destination => true,
        _ => false,
    }
}

/// Makes the connection. Returns the revision of the peer's configuration with it.
async fn connect(board: &Board, link: &Outgoing) -> Result<(Wire, Revision), Error> {
    let stream = TcpStream::connect(link.announcement.address.as_str()).await?;
    let mut wire = Wire::new(stream)?;
    let credentials = &board.links.credentials;
    let own = Revision(board.load().revision);
    wire.greet(credentials.hello(Some(link.announcement.node), own)).await?;
    let hello = wire.greeted().await?;
    if hello.credential() != credentials.fleet || hello.version != frame::PROTOCOL_VERSION {
        return Err(Error::Credential);
    }
    let revision = Revision(hello.revision);
    let peer: Result<Announcement, _> = hello.announcement.try_into();
    if peer.map_err(|_| Error::Unexpected)?.node != link.announcement.node {
        return Err(Error::Destination);
    }
    Ok((wire, revision))
}

/// Carries frames until the connection ends. Returns why it did.
async fn carry(board: &Arc<Board>, link: &Outgoing, wire: &mut Wire, sender: &Sender) -> Error {
    let mut watch = Watch::new(board.clock.now());
    let mut period = time::interval(WATCH_PERIOD);
    period.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        loop {
            match wire.take() {
                Ok(Some((head, payload))) => {
                    if let Err(error) = receive(board, link, sender, head, payload).await {
                        return error;
                    }
                }
                Ok(None) => break,
                Err(error) => return error,
            }
        }
        tokio::select! {
            advanced = wire.advance(sender) => match advanced {
                Ok(true) => watch.heard(board, link),
                // What this node writes is no sign of life of its peer.
                Ok(false) => {}
                Err(error) => return error,
            },
            _ = period.tick() => {
                if let Err(error) = watch.look(board, link, sender) {
                    return error;
                }
            }
            () = link.given_up.notified() => return Error::GivenUp,
        }
    }
}

/// Watches whether a peer still answers.
struct Watch {
    heard: Millis,
    asked: Option<Millis>,
    is_silent: bool,
}

impl Watch {
    fn new(now: Millis) -> Watch {
        Watch { heard: now, asked: None, is_silent: false }
    }

    /// Something has come.
    fn heard(&mut self, board: &Board, link: &Outgoing) {
        self.heard = board.clock.now();
        self.asked = None;
        if self.is_silent {
            self.is_silent = false;
            let peer = link.announcement.node;
            board.outbox.push(Event::LinkSilent { peer, silent: false });
        }
    }

    fn look(&mut self, board: &Board, link: &Outgoing, sender: &Sender) -> Result<(), Error> {
        let now = board.clock.now();
        let Some(asked) = self.asked else {
            let is_waiting = !link.streams().is_empty();
            let quiet = if is_waiting { QUIET_WITH_REQUESTS } else { QUIET };
            if now - self.heard >= quiet {
                self.asked = Some(now);
                sender.send(&Head::Ping, &[]);
            }
            return Ok(());
        };
        let waited = now - asked;
        if waited >= LOST {
            return Err(Error::Silent);
        }
        if waited >= SILENT && !self.is_silent {
            self.is_silent = true;
            let peer = link.announcement.node;
            board.outbox.push(Event::LinkSilent { peer, silent: true });
        }
        Ok(())
    }
}

/// Takes a frame in.
async fn receive(
    board: &Arc<Board>,
    link: &Outgoing,
    sender: &Sender,
    head: Head,
    payload: Bytes,
) -> Result<(), Error> {
    let from = link.announcement.node;
    match head {
        Head::Answer(answer) => {
            board.outbox.push(Event::Load { from, load: answer.load.into() });
            answered(board, link, answer, payload)?;
        }
        Head::Refused(refused) => {
            board.outbox.push(Event::Load { from, load: refused.load.into() });
            if let Some(stream) = link.streams().remove(&refused.stream) {
                sender.stop_chunks(refused.stream);
                let end = ForwardEnd::Refused(refused.refusal());
                board.forward_ended(stream.ticket, end, refused.retries, None);
            }
        }
        Head::Chunk { stream, last } => chunk(board, link, stream, last, payload).await,
        Head::Broken { stream } => {
            if let Some(stream) = link.streams().remove(&stream) {
                board.forward_ended(stream.ticket, ForwardEnd::Broken, 0, None);
            }
        }
        Head::Credit { stream } => sender.credited(stream),
        Head::Load(load) => board.outbox.push(Event::Load { from, load: load.into() }),
        Head::Message(message) => {
            let message = message.try_into()?;
            board.outbox.push(Event::Peer { from, message });
        }
        Head::Ping => {
            sender.send(&Head::Pong, &[]);
        }
        Head::Pong => {}
        Head::Hello(_) | Head::Request(_) | Head::Cancel(_) => return Err(Error::Unexpected),
    }
    Ok(())
}

fn answered(
    board: &Arc<Board>,
    link: &Outgoing,
    head: frame::Response,
    payload: Bytes,
) -> Result<(), Error> {
    let (fields, whole) = frame::split_payload(payload, head.fields)?;
    let status = head.status;
    let mut streams = link.streams();
    let Some(stream) = streams.get_mut(&head.stream) else { return Ok(()) };
    let ticket = stream.ticket;
    let body = match head.body {
        frame::Body::Whole => Body::Whole(whole),
        frame::Body::Empty => Body::Empty,
        frame::Body::Chunks { length } => {
            let Some(sender) = link.sender() else { return Ok(()) };
            let (writer, rest) = body::from_peer(sender, head.stream, length);
            stream.answer = Some((writer, status));
            drop(streams);
            board.pass_on(ticket, Answer { status, fields, body: Body::Stream(rest) });
            return Ok(());
        }
    };
    streams.remove(&head.stream);
    drop(streams);
    let answer = Answer { status, fields, body };
    board.forward_ended(ticket, ForwardEnd::Answered { status }, head.retries, Some(answer));
    Ok(())
}

/// Passes a piece of an answer on. The peer sends no more than there is room for.
async fn chunk(board: &Board, link: &Outgoing, name: u32, last: bool, bytes: Bytes) {
    let writer = {
        let streams = link.streams();
        let stream = streams.get(&name);
        stream.and_then(|stream| stream.answer.clone().map(|answer| (stream.ticket, answer)))
    };
    let Some((ticket, (writer, status))) = writer else { return };
    if !last {
        if writer.send(Piece::Data(bytes)).await.is_err() {
            board.caller_gone(ticket);
        }
        return;
    }
    link.streams().remove(&name);
    // Whoever does not wait any more has been reported.
    let _ = writer.send(Piece::End(bytes)).await;
    board.forward_ended(ticket, ForwardEnd::Answered { status }, 0, None);
}

/// Ends all requests that the peer had as the connection ended. Those of which no byte was written
/// were not sent.
fn fail_streams(board: &Board, link: &Outgoing, written: u64) {
    let streams = std::mem::take(&mut *link.streams());
    for stream in streams.into_values() {
        let was_sent = stream.starts_at < written;
        let end = if was_sent { ForwardEnd::Broken } else { ForwardEnd::NotSent };
        board.forward_ended(stream.ticket, end, 0, None);
    }
}

/// Asks whoever is at an address who it is, again and again, and tells the control thread.
pub(in crate::traffic) async fn find(board: &Board, seed: SocketAddr) {
    loop {
        let asked = time::timeout(CONNECT_TIMEOUT, ask(board, seed)).await;
        if let Ok(Ok(announcement)) = asked {
            board.outbox.push(Event::PeerSeen(announcement));
        }
        time::sleep(SEEK_PERIOD).await;
    }
}

async fn ask(board: &Board, seed: SocketAddr) -> Result<Announcement, Error> {
    let mut wire = Wire::new(TcpStream::connect(seed).await?)?;
    let credentials = &board.links.credentials;
    wire.greet(credentials.hello(None, Revision(board.load().revision))).await?;
    let hello = wire.greeted().await?;
    if hello.credential() != credentials.fleet {
        return Err(Error::Credential);
    }
    let announcement: Result<Announcement, _> = hello.announcement.try_into();
    announcement.map_err(|_| Error::Unexpected)
}
