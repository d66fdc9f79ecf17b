//! Takes control messages in.

use std::sync::Arc;

use futures::StreamExt as _;
use mustardpin_wire::peer::{Announcement, Control, Message};
use mustardpin_world::{Event, id::NodeId, platform};
use tarpc::{
    context, serde_transport,
    server::{BaseChannel, Channel as _},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};

use crate::{
    control::Handle,
    peer::{Identity, tarpc::frames},
    traffic::ACCEPT_PAUSE,
};

/// Connections from peers at once.
const MAX_CONNECTIONS: usize = 1_024;
/// Calls in progress on one connection.
const MAX_CALLS: usize = 8;

/// Takes connections in until the runtime ends. Those without the fleet's credential are closed.
pub async fn serve(
    listener: TcpListener,
    identity: Identity,
    announcement: platform::Announcement,
    control: Handle,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let service = Service { from: NodeId(0), announcement, control };
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
        let service = service.clone();
        tokio::spawn(async move {
            if let Ok(from) = identity.accept(&mut stream).await {
                Service { from, ..service }.run(stream).await;
            }
            drop(permit);
        });
    }
}

#[derive(Clone)]
struct Service {
    from: NodeId,
    announcement: platform::Announcement,
    control: Handle,
}

impl Service {
    async fn run(self, stream: TcpStream) {
        let transport = serde_transport::new(frames(stream), Bincode::default());
        let calls = BaseChannel::with_defaults(transport)
            .max_concurrent_requests(MAX_CALLS)
            .execute(self.serve());
        calls.for_each(|call| call).await;
    }
}

impl Control for Service {
    async fn deliver(self, _: context::Context, messages: Vec<Message>) {
        for message in messages {
            // A message that cannot be read counts as lost.
            if let Ok(message) = message.try_into() {
                self.control.event(Event::Peer { from: self.from, message });
            }
        }
    }

    async fn announcement(self, _: context::Context) -> Announcement {
        self.announcement.into()
    }
}
