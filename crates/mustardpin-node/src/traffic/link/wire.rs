//! Bytes of a connection between nodes: frames in and out.

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

/// How much is read at once, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Bytes that were sent and not acknowledged for this long end the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// The first keep-alive probe on a quiet connection, and the time between two.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Why a connection between nodes ended, or was not made.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub(super) enum Error {
    /// The connection could not be made, or broke.
    #[display("the connection could not be made, or broke")]
    Io(io::Error),
    /// The other side took too long.
    #[display("the other side took too long")]
    Timeout(tokio::time::error::Elapsed),
    /// The other side sent something that is no frame.
    #[display("the other side sent something that is no frame")]
    Frame(frame::Error),
    /// The other side sent a message that cannot be read.
    #[display("the other side sent a message that cannot be read")]
    Message(mustardpin_wire::message::Error),
    /// The other side sent a frame that has no place here.
    #[display("the other side sent a frame that has no place here")]
    #[from(skip)]
    Unexpected,
    /// The other side does not have the fleet's credential, or speaks another version.
    #[display("the other side does not have the fleet's credential, or speaks another version")]
    #[from(skip)]
    Credential,
    /// Another node is there than the one that is wanted.
    #[display("another node is there than the one that is wanted")]
    #[from(skip)]
    Destination,
    /// The other side has stopped answering.
    #[display("the other side has stopped answering")]
    #[from(skip)]
    Silent,
    /// This side does not want the connection any more.
    #[display("the connection is not wanted any more")]
    #[from(skip)]
    GivenUp,
}

/// A connection between nodes.
pub(super) struct Wire {
    stream: TcpStream,
    buffer: BytesMut,
    out: Vec<u8>,
    written: usize,
    /// How many bytes have been written since the connection was made.
    pub(super) total_written: u64,
}

impl Wire {
    pub(super) fn new(stream: TcpStream) -> io::Result<Wire> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
        socket.set_tcp_keepalive(&keepalive)?;
        let buffer = BytesMut::new();
        Ok(Wire { stream, buffer, out: Vec::new(), written: 0, total_written: 0 })
    }

    /// Writes the first frame. Its bytes do not count among those of the sender.
    pub(super) async fn greet(&mut self, hello: Hello) -> Result<(), Error> {
        let mut out = Vec::new();
        frame::encode(&mut out, &Head::Hello(hello), &[])?;
        self.stream.write_all(&out).await?;
        Ok(())
    }

    /// Reads the first frame.
    pub(super) async fn greeted(&mut self) -> Result<Hello, Error> {
        loop {
            match self.take()? {
                Some((Head::Hello(hello), _)) => return Ok(hello),
                Some(_) => return Err(Error::Unexpected),
                None => self.read().await?,
            }
        }
    }

    /// The next frame that has been read in full.
    pub(super) fn take(&mut self) -> Result<Option<(Head, bytes::Bytes)>, Error> {
        Ok(frame::decode(&mut self.buffer)?)
    }

    /// Reads more.
    pub(super) async fn read(&mut self) -> Result<(), Error> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(Error::Io(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    /// Reads more or writes what a sender has queued, whichever is possible first. Returns whether
    /// anything was read.
    pub(super) async fn advance(&mut self, sender: &Sender) -> Result<bool, Error> {
        self.write(sender)?;
        let is_stuck = self.written < self.out.len();
        self.buffer.reserve(READ_BYTES);
        let (mut reader, writer) = self.stream.split();
        tokio::select! {
            read = reader.read_buf(&mut self.buffer) => match read? {
                0 => Err(Error::Io(io::ErrorKind::UnexpectedEof.into())),
                _ => Ok(true),
            },
            () = sender.queued(), if !is_stuck => Ok(false),
            ready = writer.writable(), if is_stuck => Ok(ready.map(|()| false)?),
        }
    }

    /// Writes as much as the connection takes.
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
