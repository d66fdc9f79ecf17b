//! Bodies of requests and answers: there as a whole, or still coming.

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
    /// The body is complete.
    End,
}

/// The writing end of a body. Unless [`Piece::End`] was sent, dropping it breaks the body.
pub(super) type Writer = mpsc::Sender<Piece>;

/// A body that is still coming.
#[derive(Debug)]
pub(super) struct Stream {
    receiver: mpsc::Receiver<Piece>,
    /// Where room for one more piece is announced once one has been taken.
    credit: Option<(std::sync::Arc<Sender>, u32)>,
}

impl Stream {
    /// The next piece; `None` if the rest will not come.
    pub(super) async fn next(&mut self) -> Option<Piece> {
        let piece = self.receiver.recv().await;
        if let (Some(Piece::Data(_)), Some((sender, stream))) = (&piece, &self.credit) {
            sender.credit(*stream);
        }
        piece
    }
}

/// The body of a request or an answer.
#[derive(Debug)]
pub(super) enum Body {
    /// There is none, and the message may not say how long it is.
    Empty,
    /// It is there as a whole.
    Whole(Bytes),
    /// It is still coming.
    Stream(Stream),
}

/// A body and the end by which it is filled.
pub(super) fn channel() -> (Writer, Stream) {
    let (writer, receiver) = mpsc::channel(MAX_WAITING);
    (writer, Stream { receiver, credit: None })
}

/// The same for a body that comes from a peer, which is told when there is room for more.
pub(super) fn from_peer(sender: std::sync::Arc<Sender>, stream: u32) -> (Writer, Stream) {
    // One place more for the end, which needs no credit.
    let (writer, receiver) = mpsc::channel(MAX_WAITING + 1);
    (writer, Stream { receiver, credit: Some((sender, stream)) })
}
