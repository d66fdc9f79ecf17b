//! Asks the seed addresses of the settings who is there.

use std::{net::SocketAddr, time::Duration};

use mustardpin_world::{Event, platform::Announcement};
use tokio::time;

use crate::{
    control::Handle,
    peer::{
        Identity,
        tarpc::{Error, call_context, connect},
    },
};

/// The time between two questions to a seed that has not answered.
const RETRY_PERIOD: Duration = Duration::from_secs(2);
/// The time between two questions to a seed that has answered.
const REFRESH_PERIOD: Duration = Duration::from_secs(30);

/// Asks a seed again and again who it is, until the runtime ends.
pub async fn find(seed: SocketAddr, identity: Identity, control: Handle) {
    loop {
        let pause = match ask(seed, identity).await {
            Ok(announcement) => {
                if announcement.node != identity.node {
                    control.event(Event::SeedFound(announcement));
                }
                REFRESH_PERIOD
            }
            Err(_) => RETRY_PERIOD,
        };
        time::sleep(pause).await;
    }
}

async fn ask(seed: SocketAddr, identity: Identity) -> Result<Announcement, Error> {
    let stream = identity.connect(&seed.to_string(), None).await?;
    Ok(connect(stream).announcement(call_context()).await?.into())
}
