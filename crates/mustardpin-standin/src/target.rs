//! A stand-in for a target: runs requests in slots, calls downstream services and reports what it
//! ran.

pub mod announce;
pub mod arguments;
pub mod chain;
pub mod handler;
pub mod response_body;
pub mod run;

use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};

use crate::{
    control, http,
    target::{announce::Announcer, arguments::Arguments, handler::Target, run::Event},
};

/// Serves until SIGTERM arrives and all running requests have ended.
pub async fn run(arguments: Arguments) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(arguments.address).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let (handle, _thread) = control::start(run::TargetState::new(&arguments));
    let caller = http::caller(false);
    let target = Target::new(handle.clone(), caller.clone(), &arguments);
    tokio::spawn(http::serve(listener, Arc::new(target)));
    let announcer = Announcer::new(handle.clone(), caller, &arguments);
    tokio::select! {
        () = announcer.run() => {}
        _ = terminate.recv() => {}
    }
    let (sender, idle) = tokio::sync::oneshot::channel();
    handle.send(Event::Drain(sender));
    announcer.announce().await;
    let _idle_or_ending = idle.await;
    // The sockets may still hold parts of the last responses.
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    Ok(())
}
