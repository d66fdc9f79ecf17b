//! Bodies of requests and answers: there as a whole, or still coming.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::traffic::sender::Sender;

/// Pieces of a body that may wait for a slow reader.
pub(super) const MAX_WAITING: usize = 4;

/// A piece of a body.
#[derive(Debug)]
pub(super) enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete. These fields follow it, as lines.
    End(Bytes),
}

/// The writing end of a body. Unless [`Piece::End`] was sent, dropping it breaks the body.
pub(super) type Writer = mpsc::Sender<Piece>;

/// Where the pieces of a body come from.
#[derive(Debug)]
enum Source {
    /// They are still coming.
    Coming {
        receiver: mpsc::Receiver<Piece>,
        /// Where room for one more piece is announced once one has been taken.
        credit: Option<(Arc<Sender>, u32)>,
    },
    /// Only these trailers are left; `None` once they were taken.
    There(Option<Bytes>),
}

/// A body in pieces.
#[derive(Debug)]
pub(super) struct Stream {
    /// How many bytes it has, if that was said.
    pub(super) length: Option<u64>,
    first: Option<Bytes>,
    source: Source,
}

impl Stream {
    /// A body that is there, with the trailers that follow it.
    pub(super) fn with_trailers(body: Bytes, trailers: Bytes) -> Stream {
        Stream { length: None, first: Some(body), source: Source::There(Some(trailers)) }
    }

    /// The same body after a first piece.
    pub(super) fn after(self, first: Bytes) -> Stream {
        Stream { first: Some(first), ..self }
    }

    /// The first piece, if it is there already.
    pub(super) fn first(&self) -> &[u8] {
        self.first.as_deref().unwrap_or_default()
    }

    /// The next piece; `None` if the rest will not come.
    pub(super) async fn next(&mut self) -> Option<Piece> {
        if let Some(first) = self.first.take_if(|first| !first.is_empty()) {
            return Some(Piece::Data(first));
        }
        match &mut self.source {
            Source::There(trailers) => trailers.take().map(Piece::End),
            Source::Coming { receiver, credit } => {
                let piece = receiver.recv().await;
                if let (Some(Piece::Data(_)), Some((sender, stream))) = (&piece, credit) {
                    sender.credit(*stream);
                }
                piece
            }
        }
    }
}

/// The body of a request or an answer.
#[derive(Debug)]
pub(super) enum Body {
    /// There is none, and the message may not say how long it is.
    Empty,
    /// It is there as a whole.
    Whole(Bytes),
    /// It comes in pieces, and can be sent once.
    Stream(Stream),
}

impl Body {
    /// A body that is there, with the trailers that follow it, if there are any.
    pub(super) fn there(body: Bytes, trailers: Bytes) -> Body {
        match trailers.is_empty() {
            true => Body::Whole(body),
            false => Body::Stream(Stream::with_trailers(body, trailers)),
        }
    }
}

/// A body of this length and the end by which it is filled.
pub(super) fn channel(length: Option<u64>) -> (Writer, Stream) {
    let (writer, receiver) = mpsc::channel(MAX_WAITING);
    (writer, Stream { length, first: None, source: Source::Coming { receiver, credit: None } })
}

/// The same for a body that comes from a peer, which is told when there is room for more.
pub(super) fn from_peer(sender: Arc<Sender>, stream: u32, length: Option<u64>) -> (Writer, Stream) {
    // One place more for the end, which needs no credit.
    let (writer, receiver) = mpsc::channel(MAX_WAITING + 1);
    let source = Source::Coming { receiver, credit: Some((sender, stream)) };
    (writer, Stream { length, first: None, source })
}
