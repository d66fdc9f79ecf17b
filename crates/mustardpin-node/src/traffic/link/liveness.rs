//! Notices peers that no longer respond.

use mustardpin_wire::frame::Head;
use mustardpin_world::{Event, Millis};

use crate::traffic::{
    exchanges::Exchanges,
    link::{outgoing::OutgoingLink, wire::Error},
    sender::Sender,
};

/// A peer is pinged after nothing has been received from it for this long, at least.
const IDLE_PING_TIMEOUT: Millis = Millis(700);
/// The least time between two pings of this node to idle peers. With many peers, each is pinged
/// less often; the keep-alive probes of TCP still show a dead instance.
const PING_SPACING: Millis = Millis(30);
/// Like `IDLE_PING_TIMEOUT`, while requests wait for the peer.
const BUSY_PING_TIMEOUT: Millis = Millis(250);
/// A peer counts as silent if it has sent nothing for this long after a ping.
const SILENT_TIMEOUT: Millis = Millis(500);
/// The connection is closed if the peer has sent nothing for this long after a ping.
const LOST_TIMEOUT: Millis = Millis(1_500);

/// Monitors whether a peer is alive.
pub(super) struct Monitor {
    last_received: Millis,
    pinged_at: Option<Millis>,
    is_silent: bool,
}

impl Monitor {
    /// Starts when the connection is made.
    pub(super) fn new(now: Millis) -> Monitor {
        Monitor { last_received: now, pinged_at: None, is_silent: false }
    }

    /// Records that bytes were received from the peer.
    pub(super) fn record_received(&mut self, exchanges: &Exchanges, link: &OutgoingLink) {
        self.last_received = exchanges.clock.now();
        self.pinged_at = None;
        if self.is_silent {
            self.is_silent = false;
            let peer = link.node();
            exchanges.outbox.push(Event::LinkSilent { peer, silent: false });
        }
    }

    /// Pings a peer that has sent nothing for some time. Fails once it does not respond.
    pub(super) fn check(
        &mut self,
        exchanges: &Exchanges,
        link: &OutgoingLink,
        sender: &Sender,
    ) -> Result<(), Error> {
        let now = exchanges.clock.now();
        let Some(pinged_at) = self.pinged_at else {
            let is_waiting = link.has_streams();
            let timeout_before_ping = match is_waiting {
                true => BUSY_PING_TIMEOUT,
                false => idle_ping_timeout(exchanges.links.count()),
            };
            if now - self.last_received >= timeout_before_ping {
                self.pinged_at = Some(now);
                sender.send(&Head::Ping, &[]);
            }
            return Ok(());
        };
        let since_ping = now - pinged_at;
        if since_ping >= LOST_TIMEOUT {
            return Err(Error::PingTimeout);
        }
        if since_ping >= SILENT_TIMEOUT && !self.is_silent {
            self.is_silent = true;
            let peer = link.node();
            exchanges.outbox.push(Event::LinkSilent { peer, silent: true });
        }
        Ok(())
    }
}

/// How long a connection to a peer may be idle before the peer is pinged, if the node maintains
/// this number of connections. The pings of a node do not grow with the fleet.
///
/// ```
/// use mustardpin_node::traffic::idle_ping_timeout;
/// use mustardpin_world::Millis;
///
/// assert_eq!(idle_ping_timeout(13), Millis(700));
/// assert_eq!(idle_ping_timeout(300), Millis(9_000));
/// ```
pub fn idle_ping_timeout(links: usize) -> Millis {
    IDLE_PING_TIMEOUT.max(Millis(PING_SPACING.0 * links as u64))
}
