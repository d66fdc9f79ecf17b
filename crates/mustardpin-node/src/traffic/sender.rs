//! The sending side of a connection between nodes: frames are queued here until the connection's
//! task writes them.

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
    body::{self, Body, Piece, Stream},
    response::CallerResponse,
};

/// The connection is closed once more bytes than this are queued for a slow peer.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

#[derive(Debug, Default)]
struct Queue {
    bytes: Vec<u8>,
    /// The number of bytes queued since the connection was made.
    total: u64,
}

/// The sending side of a connection between nodes.
#[derive(Debug, Default)]
pub(super) struct Sender {
    queue: Mutex<Queue>,
    /// Credits for body chunks that this side may send, by stream id.
    credits: Mutex<HashMap<u32, Arc<Semaphore>>>,
    /// Requests received over the connection that have no response yet, by stream id.
    open_requests: Mutex<HashMap<u32, Ticket>>,
    queued: Notify,
    overflowed: Notify,
    is_closed: AtomicBool,
}

impl Sender {
    /// Queues a frame. Returns its byte offset in the connection's output, or `None` if the frame
    /// was dropped: the frame is too large, the connection has ended, or it is being closed because
    /// its queue is full.
    pub(super) fn send(&self, head: &Head, payload: &[&[u8]]) -> Option<u64> {
        let mut queue = self.queue();
        if self.is_closed.load(Ordering::Relaxed) {
            return None;
        }
        if queue.bytes.len() > MAX_QUEUED_BYTES {
            // The peer must not get later frames without this one.
            self.is_closed.store(true, Ordering::Relaxed);
            self.overflowed.notify_one();
            return None;
        }
        let (start, queued_bytes) = (queue.total, queue.bytes.len());
        frame::encode(&mut queue.bytes, head, payload).ok()?;
        queue.total += (queue.bytes.len() - queued_bytes) as u64;
        drop(queue);
        if queued_bytes == 0 {
            self.queued.notify_one();
        }
        Some(start)
    }

    /// Adds a request that was received over the connection.
    pub(super) fn add_request(&self, stream: u32, ticket: Ticket) {
        self.open_requests().insert(stream, ticket);
    }

    /// Removes a request that was cancelled or whose response has been queued.
    pub(super) fn remove_request(&self, stream: u32) -> Option<Ticket> {
        self.open_requests().remove(&stream)
    }

    /// Queues a refusal instead of a response.
    pub(super) fn refuse(&self, stream: u32, refusal: &Refusal, retries: u32, load: LoadReport) {
        let refused = frame::Refused::new(stream, refusal, retries, load);
        self.send(&Head::Refused(refused), &[]);
        self.end_request(stream);
    }

    /// Queues a response. A streamed body is sent by a separate task.
    pub(super) fn respond(
        self: &Arc<Sender>,
        stream: u32,
        response: CallerResponse,
        retries: u32,
        load: LoadReport,
    ) {
        let CallerResponse { status, header_lines, body } = response;
        let (complete_body, streamed, kind) = match body {
            Body::Empty => (Bytes::new(), None, frame::Body::Empty),
            Body::Complete(bytes) => (bytes, None, frame::Body::Whole),
            Body::Stream(streamed) => {
                let kind = frame::Body::Chunks { length: streamed.length };
                (Bytes::new(), Some(streamed), kind)
            }
        };
        let length = header_lines.len() as u32;
        let head = frame::Response { stream, status, retries, load, fields: length, body: kind };
        self.send(&Head::Answer(head), &[&header_lines, &complete_body]);
        if let Some(streamed) = streamed {
            self.send_body(stream, streamed);
        }
        self.end_request(stream);
    }

    /// Removes a request whose response has been queued. Before that, the connection's task must
    /// not count as idle.
    fn end_request(&self, stream: u32) {
        self.remove_request(stream);
        // The task may have written the response already, and wait for the last request.
        self.queued.notify_one();
    }

    /// Starts sending a body in chunks.
    pub(super) fn send_body(self: &Arc<Sender>, stream: u32, streamed: Stream) {
        let credits = Arc::new(Semaphore::new(body::MAX_QUEUED_PIECES));
        self.credits().insert(stream, Arc::clone(&credits));
        tokio::spawn(Arc::clone(self).send_chunks(stream, streamed, credits));
    }

    /// Sends a body, one chunk for each credit.
    async fn send_chunks(
        self: Arc<Sender>,
        stream: u32,
        mut streamed: Stream,
        credits: Arc<Semaphore>,
    ) {
        loop {
            match streamed.next().await {
                Some(Piece::Data(bytes)) => {
                    let Ok(credit) = credits.acquire().await else {
                        self.send(&Head::Broken { stream }, &[]);
                        break;
                    };
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
        // The connection's task may wait for the last body.
        self.queued.notify_one();
    }

    /// Whether all responses were taken by the connection's task, with their bodies.
    pub(super) fn is_idle(&self) -> bool {
        self.open_requests().is_empty()
            && self.credits().is_empty()
            && self.queue().bytes.is_empty()
    }

    /// Grants the peer a credit for one more chunk.
    pub(super) fn send_credit(&self, stream: u32) {
        self.send(&Head::Credit { stream }, &[]);
    }

    /// Adds a credit that the peer has granted.
    pub(super) fn add_credit(&self, stream: u32) {
        if let Some(credits) = self.credits().get(&stream) {
            credits.add_permits(1);
        }
    }

    /// Stops sending a body that the peer no longer needs.
    pub(super) fn stop_chunks(&self, stream: u32) {
        if let Some(credits) = self.credits().remove(&stream) {
            credits.close();
        }
    }

    /// Moves the queued bytes into an empty buffer.
    pub(super) fn take(&self, into: &mut Vec<u8>) {
        std::mem::swap(&mut self.queue().bytes, into);
    }

    /// Returns once frames have been queued.
    pub(super) async fn queued(&self) {
        self.queued.notified().await;
    }

    /// Returns once a frame was dropped because the queue is full.
    pub(super) async fn overflowed(&self) {
        self.overflowed.notified().await;
    }

    /// Closes the sender after the connection has ended. Returns the requests received over it that
    /// have no response.
    pub(super) fn close(&self) -> Vec<Ticket> {
        self.is_closed.store(true, Ordering::Relaxed);
        self.queue().bytes = Vec::new();
        for (_, credits) in self.credits().drain() {
            credits.close();
        }
        self.open_requests().drain().map(|(_, ticket)| ticket).collect()
    }

    fn open_requests(&self) -> MutexGuard<'_, HashMap<u32, Ticket>> {
        self.open_requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn credits(&self) -> MutexGuard<'_, HashMap<u32, Arc<Semaphore>>> {
        self.credits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
