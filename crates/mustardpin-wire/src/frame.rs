//! Frames on the connections between nodes.
//!
//! A frame consists of its length in four bytes, a head in postcard's encoding, and a payload that
//! takes up the rest of the length. The payload holds what is forwarded unchanged: headers and
//! bodies.

use bytes::{Buf as _, Bytes, BytesMut};
use compact_str::CompactString;
use derive_more::{Display, Error, From};
use mustardpin_world::{
    Millis,
    config::{Importance, Rank},
    id::{KeyDigest, NodeId, Revision, TargetId},
    notice::Rate,
    refusal::{Outcome, Reason, Refusal},
    request::{self, Fingerprint, Forwarded, Load},
};
use serde::{Deserialize, Serialize};

use crate::{message, store::Announcement};

/// The maximum length of a frame without its prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// The size of the prefix that holds a frame's length, in bytes.
const PREFIX_BYTES: usize = 4;
/// The version of the protocol between nodes.
pub const PROTOCOL_VERSION: u16 = 6;

/// Why a frame can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error, From)]
pub enum Error {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[display("the frame is too large: {_0} bytes")]
    #[from(skip)]
    TooLarge(#[error(not(source))] usize),
    /// The head can't be encoded or decoded.
    #[display("the frame's head cannot be read")]
    Head(postcard::Error),
    /// The payload is shorter than the length of the headers in the frame's head.
    #[display("the frame's payload is too short")]
    Payload,
}

/// Identifies a request on a connection. Chosen by the node that forwards the request.
pub type StreamId = u32;

/// How the body of a request or response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// The rest of the payload is the complete body.
    Whole,
    /// The body follows in [`Head::Chunk`] frames.
    Chunks {
        /// The length of the body in bytes, if its sender declared one.
        length: Option<u64>,
    },
    /// The message has no body, and must not be given a `Content-Length` header.
    Empty,
}

/// The first frame that each side of a connection sends.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// The sender's version of the protocol.
    pub version: u16,
    /// The digest of the fleet's credential.
    pub credential: [u8; 32],
    /// The sender's announcement of itself.
    pub announcement: Announcement,
    /// The id of the node that the sender wants to reach; zero if any node is accepted.
    pub to: u64,
    /// The revision of the sender's configuration.
    pub revision: u64,
    /// The time on the sender's clock, in milliseconds.
    pub sent_ms: u64,
}

impl Hello {
    /// The digest of the fleet's credential, as a type that compares in constant time.
    pub fn credential(&self) -> KeyDigest {
        KeyDigest(self.credential)
    }
}

/// The position of a request in a chain of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::request::Nesting")]
pub enum Nesting {
    Root,
    Linked,
    Unlinked,
}

impl From<request::Nesting> for Nesting {
    fn from(nesting: request::Nesting) -> Nesting {
        match nesting {
            request::Nesting::Root => Nesting::Root,
            request::Nesting::Linked => Nesting::Linked,
            request::Nesting::Unlinked => Nesting::Unlinked,
        }
    }
}

impl From<Nesting> for request::Nesting {
    fn from(nesting: Nesting) -> request::Nesting {
        match nesting {
            Nesting::Root => request::Nesting::Root,
            Nesting::Linked => request::Nesting::Linked,
            Nesting::Unlinked => request::Nesting::Unlinked,
        }
    }
}

/// A request that one node forwards to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::request::Forwarded")]
pub struct Request {
    pub stream: StreamId,
    pub id: CompactString,
    pub method: CompactString,
    pub target: CompactString,
    /// The time on the sender's clock at which the frame was queued, in milliseconds.
    pub sent_ms: u64,
    pub timeout_ms: u64,
    pub fingerprint: u64,
    pub revision: u64,
    pub key_id: Option<CompactString>,
    pub team: Option<CompactString>,
    pub route: CompactString,
    pub service: CompactString,
    pub rank: (u8, u8),
    pub nesting: Nesting,
    pub repeatable: bool,
    pub objective_ms: u64,
    pub retry_allowance: u32,
    pub depth: u16,
    pub hops: u8,
    /// The length of the headers at the start of the payload, in bytes.
    pub fields: u32,
    /// How the body is sent.
    pub body: Body,
}

impl Request {
    /// The part of the request that the world decides by, as forwarded by the node `from`.
    pub fn forwarded(&self, from: NodeId) -> Forwarded {
        let (team, route) = self.rank;
        Forwarded {
            from,
            revision: Revision(self.revision),
            key_id: self.key_id.clone(),
            team: self.team.clone(),
            route: self.route.clone(),
            service: self.service.clone(),
            rank: Rank { team: Importance(team), route: Importance(route) },
            nesting: self.nesting.into(),
            repeatable: self.repeatable,
            objective: Millis(self.objective_ms),
            retry_allowance: self.retry_allowance,
            depth: self.depth,
            hops: self.hops,
        }
    }

    /// The digest that identifies client retries of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint(self.fingerprint)
    }
}

/// What a node knows of the rate limit of its target, in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::request::TargetRate")]
pub enum TargetRate {
    Unknown,
    Unlimited,
    Limited(u64),
}

impl From<request::TargetRate> for TargetRate {
    fn from(rate: request::TargetRate) -> TargetRate {
        match rate {
            request::TargetRate::Unknown => TargetRate::Unknown,
            request::TargetRate::Unlimited => TargetRate::Unlimited,
            request::TargetRate::Limited(rate) => TargetRate::Limited(rate.0),
        }
    }
}

impl From<TargetRate> for request::TargetRate {
    fn from(rate: TargetRate) -> request::TargetRate {
        match rate {
            TargetRate::Unknown => request::TargetRate::Unknown,
            TargetRate::Unlimited => request::TargetRate::Unlimited,
            TargetRate::Limited(rate) => request::TargetRate::Limited(Rate(rate).min(Rate::MAX)),
        }
    }
}

/// The load of a node's target, as the node reports it to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::request::Load")]
pub struct LoadReport {
    pub open: bool,
    pub running: u32,
    pub queued: u32,
    pub limit: u32,
    pub demand: u32,
    pub revision: u64,
    pub target: u64,
    pub leaving: bool,
    pub rate: TargetRate,
}

impl From<Load> for LoadReport {
    fn from(load: Load) -> LoadReport {
        LoadReport {
            open: load.open,
            running: load.running,
            queued: load.queued,
            limit: load.limit,
            demand: load.demand,
            revision: load.revision.0,
            target: load.target.0,
            leaving: load.leaving,
            rate: load.rate.into(),
        }
    }
}

impl From<LoadReport> for Load {
    fn from(load: LoadReport) -> Load {
        Load {
            open: load.open,
            running: load.running,
            queued: load.queued,
            limit: load.limit,
            demand: load.demand,
            revision: Revision(load.revision),
            target: TargetId(load.target),
            leaving: load.leaving,
            rate: load.rate.into(),
        }
    }
}

/// The response of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Response {
    /// The stream of the request.
    pub stream: StreamId,
    /// The HTTP status code.
    pub status: u16,
    /// How many of the retries lent with the request are unused.
    pub retries: u32,
    /// The load of the sender's target.
    pub load: LoadReport,
    /// The length of the headers at the start of the payload, in bytes.
    pub fields: u32,
    /// How the body is sent.
    pub body: Body,
}

/// A refusal in place of a target's response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refused {
    /// The stream of the request.
    pub stream: StreamId,
    /// The name of the reason.
    pub reason: CompactString,
    /// Whether the request ran: 0 if it did not, 1 if it may have, 2 if it did.
    pub outcome: u8,
    /// How long the caller should wait before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// How many of the retries lent with the request are unused.
    pub retries: u32,
    /// The load of the sender's target.
    pub load: LoadReport,
}

impl Refused {
    /// Encodes a refusal of the request on this stream.
    pub fn new(stream: StreamId, refusal: &Refusal, retries: u32, load: LoadReport) -> Refused {
        let outcome = match refusal.outcome {
            Outcome::NotRun => 0,
            Outcome::Unknown => 1,
            Outcome::Run => 2,
        };
        Refused {
            stream,
            reason: compact_str::format_compact!("{}", refusal.reason),
            outcome,
            retry_after_ms: refusal.retry_after.map(|wait| wait.0),
            retries,
            load,
        }
    }

    /// Decodes the refusal. A reason that this node does not know becomes
    /// [`Reason::PeerFailed`].
    pub fn refusal(&self) -> Refusal {
        let outcome = match self.outcome {
            0 => Outcome::NotRun,
            2 => Outcome::Run,
            _ => Outcome::Unknown,
        };
        Refusal {
            reason: Reason::from_name(&self.reason).unwrap_or(Reason::PeerFailed),
            outcome,
            retry_after: self.retry_after_ms.map(Millis),
        }
    }
}

/// The head of a frame.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Head {
    /// Identifies the sender. The first frame from each side.
    Hello(Hello),
    /// A forwarded request.
    Request(Request),
    /// The response of a target.
    Answer(Response),
    /// A refusal in place of a target's response.
    Refused(Refused),
    /// The sender no longer needs the response to its request.
    Cancel(StreamId),
    /// A part of a body. The payload of the last chunk holds the trailers instead, as lines.
    Chunk {
        /// The stream of the request.
        stream: StreamId,
        /// Whether this chunk ends the body.
        last: bool,
    },
    /// The receiver of a body has consumed a chunk, and can buffer one more.
    Credit {
        /// The stream of the request.
        stream: StreamId,
    },
    /// The body was aborted before its end.
    Broken {
        /// The stream of the request.
        stream: StreamId,
    },
    /// The load of the sender's target, sent unsolicited.
    Load(LoadReport),
    /// A message between worlds.
    Message(message::Message),
    /// Checks that the peer responds. The peer replies with `Pong`.
    Ping,
    /// The reply to `Ping`.
    Pong,
}

/// Appends a frame to `out`. Its payload is the concatenation of the given parts.
///
/// # Errors
///
/// If the frame would be too large, or its head can't be encoded.
///
/// ```
/// use bytes::BytesMut;
/// use mustardpin_wire::frame::{self, Head};
///
/// let mut out = Vec::new();
/// frame::encode(&mut out, &Head::Chunk { stream: 7, last: true }, &[b"ab", b"c"])?;
/// let mut buffer = BytesMut::from(&out[..]);
/// let (head, payload) = frame::decode(&mut buffer)?.unwrap();
/// assert_eq!((head, &payload[..]), (Head::Chunk { stream: 7, last: true }, &b"abc"[..]));
/// # Ok::<(), mustardpin_wire::frame::Error>(())
/// ```
pub fn encode(out: &mut Vec<u8>, head: &Head, payload: &[&[u8]]) -> Result<(), Error> {
    let start = out.len();
    out.extend_from_slice(&[0; PREFIX_BYTES]);
    *out = postcard::to_extend(head, std::mem::take(out))?;
    for part in payload {
        out.extend_from_slice(part);
    }
    let length = out.len() - start - PREFIX_BYTES;
    if length > MAX_FRAME_BYTES {
        out.truncate(start);
        return Err(Error::TooLarge(length));
    }
    let prefix = (length as u32).to_be_bytes();
    out[start..start + PREFIX_BYTES].copy_from_slice(&prefix);
    Ok(())
}

/// Decodes the frame at the start of a buffer and removes it. Returns `None` and leaves the buffer
/// unchanged while the frame is incomplete.
///
/// # Errors
///
/// If the frame is too large, or its head can't be decoded.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<(Head, Bytes)>, Error> {
    let Some(prefix) = buffer.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(length));
    }
    if buffer.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(PREFIX_BYTES);
    let mut frame = buffer.split_to(length).freeze();
    let (head, rest) = postcard::take_from_bytes(&frame)?;
    let head_bytes = frame.len() - rest.len();
    frame.advance(head_bytes);
    Ok(Some((head, frame)))
}

/// Splits a payload into headers and body. The headers take up the first `header_bytes` bytes.
///
/// # Errors
///
/// If the payload is shorter than the headers.
///
/// ```
/// use bytes::Bytes;
/// use mustardpin_wire::frame;
///
/// let (headers, body) = frame::split_payload(Bytes::from_static(b"a: b\r\nbody"), 6)?;
/// assert_eq!((&headers[..], &body[..]), (&b"a: b\r\n"[..], &b"body"[..]));
/// # Ok::<(), mustardpin_wire::frame::Error>(())
/// ```
pub fn split_payload(mut payload: Bytes, header_bytes: u32) -> Result<(Bytes, Bytes), Error> {
    let header_bytes = header_bytes as usize;
    if payload.len() < header_bytes {
        return Err(Error::Payload);
    }
    let body = payload.split_off(header_bytes);
    Ok((payload, body))
}
