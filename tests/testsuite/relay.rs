//! A TCP relay that can close connections, delay bytes or discard them.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Maximum number of bytes read at once.
const CHUNK_SIZE: usize = 16 * 1024;

/// How a relay treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all bytes.
    Whole,
    /// Forwards all bytes in both directions after this delay.
    Delayed(Duration),
    /// Closes all connections, and new ones as soon as they are accepted.
    Cut,
    /// Discards all bytes, on new connections too. A connection on which bytes were discarded stays
    /// open and forwards nothing more, whatever the mode becomes.
    Silent,
    /// As [`Mode::Silent`], for bytes from the server to the client only.
    SilentBack,
}

/// A relay that forwards connections to one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Relay {
    /// Starts a relay to an address, in the mode [`Mode::Whole`].
    pub async fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (mode, mode_receiver) = watch::channel(Mode::Whole);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_connection(stream, to, mode_receiver.clone()));
            }
        });
        Relay { address, mode }
    }

    /// The address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of all connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn relay_connection(stream: TcpStream, to: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else { return };
    let (from_client, to_client) = stream.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = forward(from_client, to_server, mode.clone(), |mode| mode == Mode::Silent);
    let replies = forward(from_server, to_client, mode.clone(), |mode| {
        matches!(mode, Mode::Silent | Mode::SilentBack)
    });
    tokio::select! {
        _ = requests => {}
        _ = replies => {}
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

/// Forwards bytes in one direction until either side closes. Once the mode requires it, discards
/// all bytes that follow.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<Mode>,
    discards: impl Fn(Mode) -> bool,
) {
    let mut chunk = vec![0; CHUNK_SIZE];
    let mut is_discarding = false;
    loop {
        let Ok(length @ 1..) = from.read(&mut chunk).await else { return };
        let now = *mode.borrow();
        is_discarding |= discards(now);
        if is_discarding {
            continue;
        }
        if let Mode::Delayed(delay) = now {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
