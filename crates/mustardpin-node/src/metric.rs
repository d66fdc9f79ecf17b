//! Counters, sent in the statsd format by cadence.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted as _, NopMetricSink, StatsdClient, UdpMetricSink};
use derive_more::{Display, Error, From};
use mustardpin_world::{
    refusal::Reason,
    table::counter::{Counters, Retry, Work},
};

const PREFIX: &str = "mustardpin";

/// Why counters cannot be sent.
#[derive(Debug)]
#[derive(Display, Error, From)]
pub enum Error {
    /// The socket could not be opened.
    #[display("cannot open a socket for counters")]
    Socket(std::io::Error),
    /// The address could not be used.
    #[display("cannot send counters to this address")]
    Address(cadence::MetricError),
}

/// Sends what has been counted since it was last asked to.
pub struct Meter {
    client: StatsdClient,
    sent: Counters,
}

impl Meter {
    /// Sends counters over UDP to this address, or nowhere.
    ///
    /// # Errors
    ///
    /// If no socket could be opened.
    pub fn open(address: Option<SocketAddr>) -> Result<Meter, Error> {
        let Some(address) = address else {
            return Ok(Meter::to(StatsdClient::from_sink(PREFIX, NopMetricSink)));
        };
        let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        // A full buffer loses counters rather than time of the control thread.
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket)?;
        Ok(Meter::to(StatsdClient::from_sink(PREFIX, sink)))
    }

    /// Sends counters through this client.
    pub fn to(client: StatsdClient) -> Meter {
        Meter { client, sent: Counters::default() }
    }

    /// Sends each counter that has grown, by how much it has grown.
    pub fn flush(&mut self, counters: &Counters) {
        for &reason in Reason::ALL {
            let grown = counters.refusals(reason) - self.sent.refusals(reason);
            self.send("refused", &reason, grown);
        }
        for retry in Retry::ALL {
            let grown = counters.retries(retry) - self.sent.retries(retry);
            self.send("retried", &retry, grown);
        }
        for work in Work::ALL {
            let grown = counters.worked(work) - self.sent.worked(work);
            self.send("work", &work, grown);
        }
        self.sent = counters.clone();
    }

    fn send(&self, group: &str, name: &dyn std::fmt::Display, grown: u64) {
        if grown == 0 {
            return;
        }
        // Counters are sent without a promise to arrive.
        let _ = self.client.count(&format!("{group}.{name}"), grown);
    }
}
