//! A connection to the own target.

use std::{
    io,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use mustardpin_http::Headers;
use tokio::net::TcpStream;

use crate::traffic::target::{MAX_IDLE_AGE, Place};

/// A connection is given up this much before the target would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// A connection to the own target.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: BytesMut,
    pub(super) generation: u64,
    pub(super) idle_since: Instant,
    /// How long it may be idle before it is not used again.
    pub(super) keep_for: Duration,
}

impl Connection {
    /// Connects to the target.
    pub(super) async fn open(place: &Place) -> io::Result<Connection> {
        let stream = TcpStream::connect(place.address).await?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            buffer: BytesMut::new(),
            generation: place.generation,
            idle_since: Instant::now(),
            keep_for: MAX_IDLE_AGE,
        })
    }

    /// Whether there is nothing to read: an answer that nobody asked for would be taken for the
    /// answer to the next request, and the end of the connection is the end of it.
    pub(super) fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Takes in how long the target keeps the connection.
    pub(super) fn note_keep_alive(&mut self, headers: &Headers) {
        let Some(text) = headers.text("keep-alive") else { return };
        let parameters = text.split(',').filter_map(|part| part.trim().split_once('='));
        let timeout = parameters
            .filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
            .find_map(|(_, value)| value.trim().parse().ok());
        if let Some(seconds) = timeout {
            let kept = Duration::from_secs(seconds);
            self.keep_for = kept.saturating_sub(KEEP_ALIVE_MARGIN).min(MAX_IDLE_AGE);
        }
    }
}
