//! A relay of TCP connections that a test can cut, slow down or silence.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Bytes that are read at once.
const CHUNK: usize = 16 * 1024;

/// What a relay does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Whole,
    /// Passes them on later, each way.
    Delayed(Duration),
    /// Closes all connections, and new ones at once.
    Cut,
    /// Passes nothing on, in connections that stay open and silent for good. New ones are silent
    /// too.
    Silent,
    /// The same for bytes on the way back only.
    SilentBack,
}

/// Passes bytes on to one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Relay {
    /// Starts a relay to an address.
    pub async fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (mode, watched) = watch::channel(Mode::Whole);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, to, watched.clone()));
            }
        });
        Relay { address, mode }
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the relay does.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn pass(stream: TcpStream, to: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Cut {
        return;
    }
    let Ok(other) = TcpStream::connect(to).await else { return };
    let (from_caller, to_caller) = stream.into_split();
    let (from_server, to_server) = other.into_split();
    let there = pump(from_caller, to_server, mode.clone(), |mode| mode == Mode::Silent);
    let back = pump(from_server, to_caller, mode.clone(), |mode| {
        matches!(mode, Mode::Silent | Mode::SilentBack)
    });
    tokio::select! {
        _ = there => {}
        _ = back => {}
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

/// Moves bytes one way until either side ends.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<Mode>,
    is_silent: impl Fn(Mode) -> bool,
) {
    let mut chunk = vec![0; CHUNK];
    let mut has_fallen_silent = false;
    loop {
        let Ok(length @ 1..) = from.read(&mut chunk).await else { return };
        let now = *mode.borrow();
        has_fallen_silent |= is_silent(now);
        if has_fallen_silent {
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
