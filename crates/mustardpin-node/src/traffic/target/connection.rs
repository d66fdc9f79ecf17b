//! A connection to the local target.

use std::{
    io,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use compact_str::CompactString;
use mustardpin_http::Headers;
use tokio::net::TcpStream;

use crate::traffic::target::{Endpoint, MAX_IDLE_AGE};

/// A connection is discarded this long before the target would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// A connection is not kept once the target has declined this many requests on it.
const MAX_DECLINED: usize = 32;

/// A connection to the local target.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: BytesMut,
    pub(super) generation: u64,
    pub(super) idle_since: Instant,
    /// The maximum idle time at which the connection is still reused.
    pub(super) max_idle_age: Duration,
    /// The ids of the requests that the target has declined on the connection.
    declined: Vec<CompactString>,
}

impl Connection {
    /// Connects to the target.
    pub(super) async fn open(endpoint: &Endpoint) -> io::Result<Connection> {
        let stream = TcpStream::connect(endpoint.address).await?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            buffer: BytesMut::new(),
            generation: endpoint.generation,
            idle_since: Instant::now(),
            max_idle_age: MAX_IDLE_AGE,
            declined: Vec::new(),
        })
    }

    /// Records that the target has declined a request. Returns whether the connection may be kept.
    pub(super) fn record_declined(&mut self, id: &str) -> bool {
        self.declined.push(id.into());
        self.declined.len() < MAX_DECLINED
    }

    /// Whether the target has declined a request with this id on the connection. If the request is
    /// sent again there, a late copy of that response cannot be told from its own.
    pub(super) fn has_declined(&self, id: &str) -> bool {
        self.declined.iter().any(|declined| declined == id)
    }

    /// Whether the connection is open and has nothing to read. Unsolicited bytes would be taken for
    /// the response to the next request.
    pub(super) fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Applies the timeout of the target's `keep-alive` header.
    pub(super) fn apply_keep_alive(&mut self, headers: &Headers) {
        let Some(text) = headers.text("keep-alive") else { return };
        let parameters = text.split(',').filter_map(|part| part.trim().split_once('='));
        let timeout = parameters
            .filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
            .find_map(|(_, value)| value.trim().parse().ok());
        if let Some(seconds) = timeout {
            let timeout = Duration::from_secs(seconds);
            self.max_idle_age = timeout.saturating_sub(KEEP_ALIVE_MARGIN).min(MAX_IDLE_AGE);
        }
    }
}
