//! The sending side of a connection between nodes: frames queue here until the connection's task
//! writes them.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use mustardpin_wire::frame::{self, Head, LoadReport};
use mustardpin_world::{refusal::Refusal, request::Ticket};
use tokio::sync::{Notify, Semaphore};

use crate::traffic::{
    answer::Answer,
    body::{self, Body, Piece, Stream},
};

/// A connection whose peer has not read so many bytes is given up.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

#[derive(Debug, Default)]
struct Queue {
    bytes: Vec<u8>,
    /// How many bytes have been queued since the connection was made.
    total: u64,
}

/// The sending side of a connection between nodes.
#[derive(Debug, Default)]
pub(super) struct Sender {
    queue: Mutex<Queue>,
    /// Room for chunks of the bodies that this side sends.
    credits: Mutex<HashMap<u32, Arc<Semaphore>>>,
    /// Requests that came over the connection and have no answer yet.
    open: Mutex<HashMap<u32, Ticket>>,
    queued: Notify,
    is_closed: AtomicBool,
}

impl Sender {
    /// Queues a frame. Returns where it starts in the bytes of the connection.
    pub(super) fn send(&self, head: &Head, payload: &[&[u8]]) -> Option<u64> {
        let mut queue = self.queue();
        if self.is_closed.load(Ordering::Relaxed) || queue.bytes.len() > MAX_QUEUED_BYTES {
            return None;
        }
        let (start, before) = (queue.total, queue.bytes.len());
        frame::encode(&mut queue.bytes, head, payload).ok()?;
        queue.total += (queue.bytes.len() - before) as u64;
        drop(queue);
        if before == 0 {
            self.queued.notify_one();
        }
        Some(start)
    }

    /// A request has come over the connection.
    pub(super) fn opened(&self, stream: u32, ticket: Ticket) {
        self.open().insert(stream, ticket);
    }

    /// A request has its answer, or needs none any more.
    pub(super) fn answered(&self, stream: u32) -> Option<Ticket> {
        self.open().remove(&stream)
    }

    /// Queues a refusal in place of an answer.
    pub(super) fn refuse(&self, stream: u32, refusal: &Refusal, retries: u32, load: LoadReport) {
        self.answered(stream);
        let refused = frame::Refused::new(stream, refusal, retries, load);
        self.send(&Head::Refused(refused), &[]);
    }

    /// Queues an answer. A body that is still coming follows in a task of its own.
    pub(super) fn answer(
        self: &Arc<Sender>,
        stream: u32,
        answer: Answer,
        retries: u32,
        load: LoadReport,
    ) {
        self.answered(stream);
        let Answer { status, fields, body } = answer;
        let (whole, rest, kind) = match body {
            Body::Empty => (Bytes::new(), None, frame::Body::Empty),
            Body::Whole(bytes) => (bytes, None, frame::Body::Whole),
            Body::Stream(rest) => {
                let kind = frame::Body::Chunks { length: rest.length };
                (Bytes::new(), Some(rest), kind)
            }
        };
        let length = fields.len() as u32;
        let head = frame::Response { stream, status, retries, load, fields: length, body: kind };
        self.send(&Head::Answer(head), &[&fields, &whole]);
        if let Some(rest) = rest {
            tokio::spawn(Arc::clone(self).send_chunks(stream, rest));
        }
    }

    /// Sends the rest of a body as there is room for it.
    pub(super) async fn send_chunks(self: Arc<Sender>, stream: u32, mut rest: Stream) {
        let credits = Arc::new(Semaphore::new(body::MAX_WAITING));
        self.credits().insert(stream, Arc::clone(&credits));
        loop {
            match rest.next().await {
                Some(Piece::Data(bytes)) => {
                    let Ok(credit) = credits.acquire().await else { break };
                    credit.forget();
                    self.send(&Head::Chunk { stream, last: false }, &[&bytes]);
                }
                Some(Piece::End(trailers)) => {
                    self.send(&Head::Chunk { stream, last: true }, &[&trailers]);
                    break;
                }
                None => {
                    self.send(&Head::Broken { stream }, &[]);
                    break;
                }
            }
        }
        self.credits().remove(&stream);
    }

    /// Tells the other side that there is room for one more chunk.
    pub(super) fn credit(&self, stream: u32) {
        self.send(&Head::Credit { stream }, &[]);
    }

    /// The other side has room for one more chunk.
    pub(super) fn credited(&self, stream: u32) {
        if let Some(credits) = self.credits().get(&stream) {
            credits.add_permits(1);
        }
    }

    /// The other side does not want the rest of a body any more.
    pub(super) fn stop_chunks(&self, stream: u32) {
        if let Some(credits) = self.credits().remove(&stream) {
            credits.close();
        }
    }

    /// Takes what has been queued.
    pub(super) fn take(&self, into: &mut Vec<u8>) {
        std::mem::swap(&mut self.queue().bytes, into);
    }

    /// Returns once something has been queued.
    pub(super) async fn queued(&self) {
        self.queued.notified().await;
    }

    /// The connection has ended. Returns the requests that came over it and have no answer.
    pub(super) fn close(&self) -> Vec<Ticket> {
        self.is_closed.store(true, Ordering::Relaxed);
        self.queue().bytes = Vec::new();
        for (_, credits) in self.credits().drain() {
            credits.close();
        }
        self.open().drain().map(|(_, ticket)| ticket).collect()
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u32, Ticket>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn credits(&self) -> MutexGuard<'_, HashMap<u32, Arc<Semaphore>>> {
        self.credits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
