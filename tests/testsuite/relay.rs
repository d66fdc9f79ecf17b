//! A relay of TCP connections that a test can cut.

use std::net::SocketAddr;

use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Passes bytes on to one address, while it is whole.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    whole: watch::Sender<bool>,
}

impl Relay {
    /// Starts a relay to an address.
    pub async fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (whole, watched) = watch::channel(true);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, to, watched.clone()));
            }
        });
        Relay { address, whole }
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections, and new ones at once.
    pub fn cut(&self) {
        self.whole.send_replace(false);
    }

    /// Passes bytes on again.
    pub fn mend(&self) {
        self.whole.send_replace(true);
    }
}

async fn pass(mut stream: TcpStream, to: SocketAddr, mut whole: watch::Receiver<bool>) {
    if !*whole.borrow() {
        return;
    }
    let Ok(mut other) = TcpStream::connect(to).await else { return };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut other) => {}
        _ = whole.wait_for(|whole| !whole) => {}
    }
}
