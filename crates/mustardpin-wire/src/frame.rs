//! Frames on the connections between nodes.
//!
//! A frame is its length in four bytes, a head in postcard's encoding, and a payload whose length
//! follows from the first two. The payload holds what is passed on as it is: fields and bodies.

use bytes::{Buf as _, Bytes, BytesMut};
use compact_str::CompactString;
use derive_more::{Display, Error, From};
use mustardpin_world::{
    Millis,
    config::{Importance, Rank},
    id::{KeyDigest, NodeId, Revision},
    refusal::{Outcome, Reason, Refusal},
    request::{self, Fingerprint, Forwarded, Load},
};
use serde::{Deserialize, Serialize};

use crate::{message, store::Announcement};

/// The largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// The length of a frame's length, in bytes.
const PREFIX_BYTES: usize = 4;
/// The version of the protocol between nodes.
pub const PROTOCOL_VERSION: u16 = 2;

/// Why a frame cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error, From)]
pub enum Error {
    /// The frame is larger than any frame may be.
    #[display("the frame is too large: {_0} bytes")]
    #[from(skip)]
    TooLarge(#[error(not(source))] usize),
    /// The head cannot be read.
    #[display("the frame's head cannot be read")]
    Head(postcard::Error),
    /// The payload is shorter than the head says.
    #[display("the frame's payload is too short")]
    Payload,
}

/// Names a request on a connection. Chosen by the node that passes it on.
pub type StreamId = u32;

/// How a body follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// It is the rest of the payload.
    Whole,
    /// It comes in [`Head::Chunk`] frames.
    Chunks {
        /// How many bytes it has, if that was said.
        length: Option<u64>,
    },
    /// There is none, and the message may not say how long it is.
    Empty,
}

/// The first frame on a connection, from both sides.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Hello {
    /// The version of the protocol.
    pub version: u16,
    /// The digest of the fleet's credential.
    pub credential: [u8; 32],
    /// Who the sender is.
    pub announcement: Announcement,
    /// The node that is wanted; zero for whichever is there.
    pub to: u64,
    /// The revision of the sender's configuration.
    pub revision: u64,
}

impl Hello {
    /// The digest of the fleet's credential, which is compared in constant time.
    pub fn credential(&self) -> KeyDigest {
        KeyDigest(self.credential)
    }
}

/// Where in a chain of calls a request stands.
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

/// A request that one node passes to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[allow(missing_docs, reason = "mirrors mustardpin_world::request::Forwarded")]
pub struct Request {
    pub stream: StreamId,
    pub id: CompactString,
    pub method: CompactString,
    pub target: CompactString,
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
    /// The length of the fields at the start of the payload, in bytes.
    pub fields: u32,
    /// How the body follows.
    pub body: Body,
}

impl Request {
    /// What decisions need to know of the request.
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

    /// The digest of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint(self.fingerprint)
    }
}

/// What a node says of its target.
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
        }
    }
}

/// The answer of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Response {
    /// The request.
    pub stream: StreamId,
    /// The HTTP status code.
    pub status: u16,
    /// The retries that are left of those lent with the request.
    pub retries: u32,
    /// What the node says of its target.
    pub load: LoadReport,
    /// The length of the fields at the start of the payload, in bytes.
    pub fields: u32,
    /// How the body follows.
    pub body: Body,
}

/// A refusal in place of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refused {
    /// The request.
    pub stream: StreamId,
    /// The name of the reason.
    pub reason: CompactString,
    /// Whether the request ran: 0 it did not, 1 it may have, 2 it did.
    pub outcome: u8,
    /// How long the caller should wait before it sends again, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The retries that are left of those lent with the request.
    pub retries: u32,
    /// What the node says of its target.
    pub load: LoadReport,
}

impl Refused {
    /// A refusal of the request on this stream.
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

    /// The refusal. A reason that this node does not know is one of the peer's.
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

/// What a frame holds.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Head {
    /// Who is there. The first frame from each side.
    Hello(Hello),
    /// A request.
    Request(Request),
    /// The answer of a target.
    Answer(Response),
    /// A refusal in place of an answer.
    Refused(Refused),
    /// The sender does not want the answer any more.
    Cancel(StreamId),
    /// A part of a body. The payload of the last one are the fields that follow the body, as lines.
    Chunk {
        /// The request.
        stream: StreamId,
        /// Whether the body is complete.
        last: bool,
    },
    /// The receiver has taken a chunk, and has room for one more.
    Credit {
        /// The request.
        stream: StreamId,
    },
    /// The rest of a body will not come.
    Broken {
        /// The request.
        stream: StreamId,
    },
    /// What the node says of its target, without being asked.
    Load(LoadReport),
    /// A message between worlds.
    Message(message::Message),
    /// Asks for a sign of life.
    Ping,
    /// A sign of life.
    Pong,
}

/// Writes a frame whose payload stands in parts.
///
/// # Errors
///
/// If the frame would be too large, or its head cannot be encoded.
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

/// Takes a frame off the front of a buffer. Returns `None` if it is not there in full.
///
/// # Errors
///
/// If the frame is too large, or its head cannot be read.
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
    let taken = frame.len() - rest.len();
    frame.advance(taken);
    Ok(Some((head, frame)))
}

/// Splits a payload into fields and body.
///
/// # Errors
///
/// If it is too short.
///
/// ```
/// use bytes::Bytes;
/// use mustardpin_wire::frame;
///
/// let (fields, body) = frame::split_payload(Bytes::from_static(b"a: b\r\nbody"), 6)?;
/// assert_eq!((&fields[..], &body[..]), (&b"a: b\r\n"[..], &b"body"[..]));
/// # Ok::<(), mustardpin_wire::frame::Error>(())
/// ```
pub fn split_payload(mut payload: Bytes, fields: u32) -> Result<(Bytes, Bytes), Error> {
    let fields = fields as usize;
    if payload.len() < fields {
        return Err(Error::Payload);
    }
    let body = payload.split_off(fields);
    Ok((payload, body))
}
