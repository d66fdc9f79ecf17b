//! Bodies of requests and responses, either complete or streamed.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::traffic::sender::Sender;

/// The maximum number of body pieces queued for a slow reader.
pub(super) const MAX_QUEUED_PIECES: usize = 4;

/// A piece of a streamed body.
#[derive(Debug)]
pub(super) enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete. Holds the trailers as encoded lines.
    End(Bytes),
}

/// The sending end of a streamed body. Dropping it before [`Piece::End`] was sent truncates the
/// body.
pub(super) type Writer = mpsc::Sender<Piece>;

/// The source of a streamed body's remaining pieces.
#[derive(Debug)]
enum Source {
    /// The remaining pieces are still being received.
    Receiving {
        receiver: mpsc::Receiver<Piece>,
        /// The peer connection and stream id to which a credit is sent for each piece taken.
        credit: Option<(Arc<Sender>, u32)>,
    },
    /// Only the trailers remain; `None` once they were taken.
    Trailers(Option<Bytes>),
}

/// A body that is read piece by piece.
#[derive(Debug)]
pub(super) struct Stream {
    /// The length in bytes, if it was declared.
    pub(super) length: Option<u64>,
    first: Option<Bytes>,
    source: Source,
    is_started: bool,
}

impl Stream {
    /// A complete body followed by trailers.
    pub(super) fn with_trailers(body: Bytes, trailers: Bytes) -> Stream {
        let source = Source::Trailers(Some(trailers));
        Stream { length: None, first: Some(body), source, is_started: false }
    }

    /// Puts a first piece before the body.
    pub(super) fn with_first(self, first: Bytes) -> Stream {
        Stream { first: Some(first), ..self }
    }

    /// The first piece, or an empty slice if it has not been received.
    pub(super) fn first(&self) -> &[u8] {
        self.first.as_deref().unwrap_or_default()
    }

    /// Whether a piece was taken.
    pub(super) fn is_started(&self) -> bool {
        self.is_started
    }

    /// Returns the next piece; `None` if the body is truncated.
    pub(super) async fn next(&mut self) -> Option<Piece> {
        if let Some(first) = self.first.take_if(|first| !first.is_empty()) {
            self.is_started = true;
            return Some(Piece::Data(first));
        }
        match &mut self.source {
            Source::Trailers(trailers) => {
                self.is_started = true;
                trailers.take().map(Piece::End)
            }
            Source::Receiving { receiver, credit } => {
                let piece = receiver.recv().await;
                self.is_started = true;
                if let (Some(Piece::Data(_)), Some((sender, stream))) = (&piece, credit) {
                    sender.send_credit(*stream);
                }
                piece
            }
        }
    }
}

/// The body of a request or a response.
#[derive(Debug)]
pub(super) enum Body {
    /// No body, and no `content-length` is added to the message.
    Empty,
    /// The complete body.
    Complete(Bytes),
    /// A streamed body, which can be sent only once.
    Stream(Stream),
}

impl Body {
    /// A complete body, with trailers unless they are empty.
    pub(super) fn complete(body: Bytes, trailers: Bytes) -> Body {
        match trailers.is_empty() {
            true => Body::Complete(body),
            false => Body::Stream(Stream::with_trailers(body, trailers)),
        }
    }
}

/// Creates a streamed body of this length in bytes, and its sending end.
pub(super) fn channel(length: Option<u64>) -> (Writer, Stream) {
    let (writer, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
    let source = Source::Receiving { receiver, credit: None };
    (writer, Stream { length, first: None, source, is_started: false })
}

/// Like [`channel`], for a body received from a peer: the peer gets a credit for each piece taken.
pub(super) fn from_peer(sender: Arc<Sender>, stream: u32, length: Option<u64>) -> (Writer, Stream) {
    // One more slot for the end, which needs no credit.
    let (writer, receiver) = mpsc::channel(MAX_QUEUED_PIECES + 1);
    let source = Source::Receiving { receiver, credit: Some((sender, stream)) };
    (writer, Stream { length, first: None, source, is_started: false })
}
