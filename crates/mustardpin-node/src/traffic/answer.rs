//! The body of an answer on its way to the caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// Frames of an answer that may wait for a slow caller.
const MAX_WAITING: usize = 4;

/// The answer ended before it was whole. The connection to the caller has to break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the answer ended before it was whole")]
pub struct Broken;

/// A piece of an answer.
#[derive(Debug)]
pub enum Piece {
    /// Data or trailers.
    Frame(Frame<Bytes>),
    /// The answer is whole.
    End,
}

/// The sending end of a body. Unless [`Piece::End`] was sent, dropping it breaks the answer.
pub type Sender = mpsc::Sender<Piece>;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// A body that is there as a whole.
    Whole(Option<Bytes>),
    /// A body that is still coming.
    Stream(mpsc::Receiver<Piece>),
    /// A body that has come to its end.
    Ended,
}

/// A body and the end by which it is filled.
pub fn channel() -> (Sender, Body) {
    let (sender, receiver) = mpsc::channel(MAX_WAITING);
    (sender, Body::Stream(receiver))
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Body {
        Body::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let piece = match &mut *self {
            Body::Whole(bytes) => return Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Body::Ended => return Poll::Ready(None),
            Body::Stream(receiver) => std::task::ready!(receiver.poll_recv(cx)),
        };
        Poll::Ready(match piece {
            Some(Piece::Frame(frame)) => Some(Ok(frame)),
            Some(Piece::End) => {
                *self = Body::Ended;
                None
            }
            None => {
                *self = Body::Ended;
                Some(Err(Broken))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None) | Body::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Body::Stream(_) => SizeHint::default(),
            Body::Ended => SizeHint::with_exact(0),
        }
    }
}
