//! Frame input and output of a connection between nodes.

use std::{io, time::Duration};

use bytes::BytesMut;
use derive_more::{Display, Error, From};
use mustardpin_wire::frame::{self, Head, Hello};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::traffic::sender::Sender;

/// The number of bytes reserved for each read.
const READ_BYTES: usize = 16 * 1024;
/// The connection ends if sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection is idle before the first TCP keep-alive probe, and the interval between
/// probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection between nodes failed or could not be made.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub(super) enum Error {
    /// An I/O error, while connecting or later.
    #[display("the connection could not be made, or broke")]
    Io(io::Error),
    /// The peer did not complete the connection in time.
    #[display("the peer did not complete the connection in time")]
    Timeout(tokio::time::error::Elapsed),
    /// The peer sent a malformed frame.
    #[display("the peer sent a malformed frame")]
    Frame(frame::Error),
    /// The peer sent a malformed message.
    #[display("the peer sent a malformed message")]
    Message(mustardpin_wire::message::Error),
    /// The peer sent a frame that is not valid in this state.
    #[display("the peer sent a frame that is not valid in this state")]
    #[from(skip)]
    UnexpectedFrame,
    /// The peer has a wrong fleet credential or another protocol version.
    #[display("the peer has a wrong fleet credential or another protocol version")]
    #[from(skip)]
    Credential,
    /// The node at the other end is not the expected one.
    #[display("the node at the other end is not the expected one")]
    #[from(skip)]
    WrongNode,
    /// The peer stopped responding to pings.
    #[display("the peer stopped responding to pings")]
    #[from(skip)]
    PingTimeout,
    /// More is queued for the peer than it reads.
    #[display("more is queued for the peer than it reads")]
    #[from(skip)]
    QueueFull,
    /// The connection was closed by this node.
    #[display("the connection was closed by this node")]
    #[from(skip)]
    Closed,
}

/// A connection between nodes.
pub(super) struct Wire {
    stream: TcpStream,
    buffer: BytesMut,
    out: Vec<u8>,
    written: usize,
    /// The number of bytes written since the connection was made, without the hello frame.
    pub(super) total_written: u64,
}

impl Wire {
    pub(super) fn new(stream: TcpStream) -> io::Result<Wire> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive)?;
        let buffer = BytesMut::new();
        Ok(Wire { stream, buffer, out: Vec::new(), written: 0, total_written: 0 })
    }

    /// Writes the hello frame. Its bytes are not part of the sender's byte offsets.
    pub(super) async fn send_hello(&mut self, hello: Hello) -> Result<(), Error> {
        let mut out = Vec::new();
        frame::encode(&mut out, &Head::Hello(hello), &[])?;
        self.stream.write_all(&out).await?;
        Ok(())
    }

    /// Reads the peer's hello frame.
    pub(super) async fn receive_hello(&mut self) -> Result<Hello, Error> {
        loop {
            match self.take()? {
                Some((Head::Hello(hello), _)) => return Ok(hello),
                Some(_) => return Err(Error::UnexpectedFrame),
                None => self.read().await?,
            }
        }
    }

    /// Takes the next complete frame from the read buffer.
    pub(super) fn take(&mut self) -> Result<Option<(Head, bytes::Bytes)>, Error> {
        Ok(frame::decode(&mut self.buffer)?)
    }

    /// Reads more bytes into the buffer.
    pub(super) async fn read(&mut self) -> Result<(), Error> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(Error::Io(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// Reads bytes or writes queued frames, whichever is possible first. Returns whether bytes were
    /// read.
    pub(super) async fn advance(&mut self, sender: &Sender) -> Result<bool, Error> {
        self.write(sender)?;
        let is_write_blocked = self.written < self.out.len();
        self.buffer.reserve(READ_BYTES);
        let (mut reader, writer) = self.stream.split();
        tokio::select! {
            read = reader.read_buf(&mut self.buffer) => match read? {
                0 => Err(Error::Io(io::ErrorKind::UnexpectedEof.into())),
                _ => Ok(true),
            },
            () = sender.overflowed() => Err(Error::QueueFull),
            () = sender.queued(), if !is_write_blocked => Ok(false),
            ready = writer.writable(), if is_write_blocked => Ok(ready.map(|()| false)?),
        }
    }

    /// Whether all bytes that were taken from the sender have been written.
    pub(super) fn is_flushed(&self) -> bool {
        self.written == self.out.len()
    }

    /// Ends the output, and waits until the peer has ended its own.
    pub(super) async fn close(&mut self) -> Result<(), Error> {
        self.stream.shutdown().await?;
        loop {
            self.buffer.clear();
            self.read().await?;
        }
    }

    /// Resets the connection. What it still holds is discarded, and does not reach the peer once the
    /// two can reach each other again.
    pub(super) fn reset(self) -> io::Result<()> {
        // With zero linger time, dropping the socket resets the connection.
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Writes as much as the socket accepts.
    pub(super) fn write(&mut self, sender: &Sender) -> Result<(), Error> {
        loop {
            if self.written == self.out.len() {
                self.out.clear();
                self.written = 0;
                sender.take(&mut self.out);
                if self.out.is_empty() {
                    return Ok(());
                }
            }
            match self.stream.try_write(&self.out[self.written..]) {
                Ok(count) => {
                    self.written += count;
                    self.total_written += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
    }
}
