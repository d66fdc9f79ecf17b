//! The body of a request: kept in memory so that it can be sent again, or passed on once.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::HeaderMap;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use mustardpin_wire::scrub::{self, Secret};
use mustardpin_world::refusal::Reason;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};

use crate::launch::Limits;

/// How a body is taken in.
pub(super) struct Intake<'a> {
    pub(super) limits: &'a Limits,
    pub(super) kept_bytes: &'a Arc<Semaphore>,
    /// Whether the whole body is needed before the request may go anywhere.
    pub(super) whole: bool,
}

/// The body of a request.
pub(super) struct Payload {
    kept: Vec<Bytes>,
    trailers: Option<HeaderMap>,
    rest: Rest,
    /// Permits for the bytes kept.
    permit: Option<OwnedSemaphorePermit>,
}

/// What has not been read of a body.
enum Rest {
    /// Everything has been read.
    Nothing,
    /// This much more may come.
    Unread { body: Incoming, allowed: usize },
    /// It was passed on already.
    Gone,
}

impl Payload {
    /// Takes a body in. A body too large to be kept is left unread from there on.
    pub(super) async fn read(mut body: Incoming, intake: Intake<'_>) -> Result<Payload, Reason> {
        let limits = intake.limits;
        if body.size_hint().lower() > limits.body_size as u64 {
            return Err(Reason::BodyTooLarge);
        }
        let mut payload =
            Payload { kept: Vec::new(), trailers: None, rest: Rest::Nothing, permit: None };
        let mut size = 0;
        while !body.is_end_stream() {
            let frame = time::timeout(limits.body_timeout, body.frame()).await;
            let frame = match frame.map_err(|_| Reason::BodyTimeout)? {
                None => break,
                Some(frame) => frame.map_err(|_| Reason::RequestMalformed)?,
            };
            let data = match frame.into_data() {
                Ok(data) => data,
                Err(frame) => {
                    payload.trailers = frame.into_trailers().ok();
                    continue;
                }
            };
            size += data.len();
            if size > limits.body_size {
                return Err(Reason::BodyTooLarge);
            }
            payload.keep(data, intake.kept_bytes)?;
            if size > limits.replay_size && !intake.whole {
                payload.rest = Rest::Unread { body, allowed: limits.body_size - size };
                return Ok(payload);
            }
        }
        Ok(payload)
    }

    /// The whole body, if it was kept.
    pub(super) fn whole(&self) -> Option<Bytes> {
        match (&self.rest, self.kept.as_slice()) {
            (Rest::Nothing, []) => Some(Bytes::new()),
            (Rest::Nothing, [bytes]) => Some(bytes.clone()),
            (Rest::Nothing, many) => Some(many.concat().into()),
            _ => None,
        }
    }

    /// Whether the body can be sent more than once.
    pub(super) fn is_kept(&self) -> bool {
        matches!(self.rest, Rest::Nothing)
    }

    /// The body to send; `None` if it was passed on already and not kept. Trailers that contain
    /// the secret are left out.
    pub(super) fn send(&mut self, secret: &Secret) -> Option<Outgoing> {
        let mut frames: VecDeque<Frame<Bytes>> =
            self.kept.iter().cloned().map(Frame::data).collect();
        if let Some(trailers) = &self.trailers {
            let mut trailers = trailers.clone();
            clean_trailers(&mut trailers, secret);
            frames.push_back(Frame::trailers(trailers));
        }
        let rest = match std::mem::replace(&mut self.rest, Rest::Gone) {
            Rest::Nothing => {
                self.rest = Rest::Nothing;
                None
            }
            Rest::Unread { body, allowed } => Some((body, allowed)),
            Rest::Gone => return None,
        };
        Some(Outgoing { frames, rest, secret: secret.clone() })
    }

    fn keep(&mut self, data: Bytes, kept_bytes: &Arc<Semaphore>) -> Result<(), Reason> {
        let count = u32::try_from(data.len()).map_err(|_| Reason::BodyTooLarge)?;
        let permit = Arc::clone(kept_bytes)
            .try_acquire_many_owned(count)
            .map_err(|_| Reason::InProgressLimit)?;
        match &mut self.permit {
            Some(own) => own.merge(permit),
            own => *own = Some(permit),
        }
        self.kept.push(data);
        Ok(())
    }
}

/// A body on its way to a target or a peer.
pub(super) struct Outgoing {
    frames: VecDeque<Frame<Bytes>>,
    rest: Option<(Incoming, usize)>,
    secret: Secret,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let Outgoing { rest: Some((body, allowed)), secret, .. } = &mut *self else {
            return Poll::Ready(None);
        };
        let Some(frame) = std::task::ready!(Pin::new(body).poll_frame(cx)) else {
            self.rest = None;
            return Poll::Ready(None);
        };
        let mut frame = frame.map_err(io::Error::other)?;
        if let Some(data) = frame.data_ref() {
            *allowed = allowed
                .checked_sub(data.len())
                .ok_or_else(|| io::Error::other("the body is larger than the limit"))?;
        }
        if let Some(trailers) = frame.trailers_mut() {
            clean_trailers(trailers, secret);
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.frames.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        // Trailers need a body without a length.
        let has_trailers = self.frames.back().is_some_and(Frame::is_trailers);
        if self.rest.is_some() || has_trailers {
            return SizeHint::default();
        }
        let size = self.frames.iter().filter_map(Frame::data_ref).map(Bytes::len).sum::<usize>();
        SizeHint::with_exact(size as u64)
    }
}

fn clean_trailers(trailers: &mut HeaderMap, secret: &Secret) {
    scrub::remove_key(trailers, secret);
    scrub::remove_internal(trailers);
}
