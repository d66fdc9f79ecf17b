//! The administration API.

use mustardpin_world::id::KeyDigest;
use tokio::net::TcpListener;

use crate::control::Handle;

/// Who may ask, and whom the answers come from.
#[derive(Clone)]
pub struct Access {
    /// The way to the control thread.
    pub control: Handle,
    /// The digest of the credential that operators show.
    pub credential: KeyDigest,
}

/// Serves operators until the runtime ends.
pub async fn serve(listener: TcpListener, access: Access) {
    // Nothing is offered yet: the port is held, and connections wait.
    let _held = (listener, access);
    std::future::pending::<()>().await;
}
