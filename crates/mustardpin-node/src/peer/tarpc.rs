//! Sends control messages by tarpc, over one connection to each peer in use.

use std::{collections::HashMap, io, time::Duration};

use compact_str::CompactString;
use derive_more::{Display, Error, From};
use mustardpin_wire::peer::{ControlClient, MAX_FRAME_BYTES, Message};
use mustardpin_world::{Event, id::NodeId, message};
use tarpc::{
    client, context, serde_transport,
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio::{net::TcpStream, runtime, sync::mpsc, time};

use crate::{
    control::Handle,
    peer::{Identity, Link, handshake},
};

/// Messages that may wait for one peer; further ones get lost.
const MAX_WAITING: usize = 256;
/// Messages in one frame at most.
const MAX_BATCH: usize = 64;
/// A connection that has carried nothing for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why messages were not delivered.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub(super) enum Error {
    /// No connection could be made.
    #[display("no connection could be made")]
    Handshake(handshake::Error),
    /// The call failed.
    #[display("the call failed")]
    Call(client::RpcError),
}

/// Sends messages to peers by tarpc.
pub struct Tarpc {
    identity: Identity,
    runtime: runtime::Handle,
    control: Handle,
    queues: HashMap<(NodeId, CompactString), mpsc::Sender<Message>>,
}

impl Tarpc {
    /// A link without connections.
    pub fn new(identity: Identity, runtime: runtime::Handle, control: Handle) -> Tarpc {
        Tarpc { identity, runtime, control, queues: HashMap::new() }
    }

    fn start_courier(&mut self, to: NodeId, address: CompactString) -> mpsc::Sender<Message> {
        self.queues.retain(|_, queue| !queue.is_closed());
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        let courier = Courier {
            identity: self.identity,
            control: self.control.clone(),
            to,
            address: address.clone(),
            client: None,
        };
        self.runtime.spawn(courier.run(receiver));
        self.queues.insert((to, address), sender.clone());
        sender
    }
}

impl Link for Tarpc {
    fn send(&mut self, to: NodeId, address: &str, message: message::Message) {
        let address = CompactString::from(address);
        let queue = self.queues.get(&(to, address.clone()));
        let queue = match queue.filter(|queue| !queue.is_closed()) {
            Some(queue) => queue.clone(),
            None => self.start_courier(to, address),
        };
        // A full queue means that the peer does not keep up: the message gets lost.
        let _ = queue.try_send(message.into());
    }
}

/// Delivers the messages for one peer, in order.
struct Courier {
    identity: Identity,
    control: Handle,
    to: NodeId,
    address: CompactString,
    client: Option<ControlClient>,
}

impl Courier {
    async fn run(mut self, mut queue: mpsc::Receiver<Message>) {
        loop {
            let mut batch = Vec::new();
            let received = queue.recv_many(&mut batch, MAX_BATCH);
            match time::timeout(IDLE_TIMEOUT, received).await {
                Ok(1..) => {}
                Ok(0) | Err(_) => return,
            }
            if self.deliver(batch).await.is_err() {
                self.client = None;
                self.control.event(Event::Undelivered { to: self.to });
            }
        }
    }

    async fn deliver(&mut self, batch: Vec<Message>) -> Result<(), Error> {
        let client = match &self.client {
            Some(client) => client,
            None => {
                let stream = self.identity.connect(&self.address, Some(self.to)).await?;
                self.client.insert(connect(stream))
            }
        };
        client.deliver(call_context(), batch).await?;
        Ok(())
    }
}

/// A client on a connection after the handshake.
pub(super) fn connect(stream: TcpStream) -> ControlClient {
    let transport = serde_transport::new(frames(stream), Bincode::default());
    ControlClient::new(client::Config::default(), transport).spawn()
}

/// The frames of a connection, bounded in length.
pub(super) fn frames(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// The context of a call that has to end within a second.
pub(super) fn call_context() -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + Duration::from_secs(1);
    context
}

impl From<Error> for io::Error {
    fn from(error: Error) -> io::Error {
        io::Error::other(error)
    }
}
