//! Executes the commands of the control thread.

use std::sync::Arc;

use mustardpin_wire::dialect::EntryHeaders;
use mustardpin_world::request::{Forward, ForwardEnd, Run, RunEnd, Verdict};
use tokio::sync::{mpsc, oneshot};

use crate::traffic::{
    Traffic, TrafficCommand,
    exchange::{Attempt, Outbound},
    exchanges::Exchanges,
    link::SendResult,
    listener::Stage,
    target,
};

/// The control thread's sending end: passes commands to the task that executes them.
pub struct Dispatcher {
    commands: mpsc::UnboundedSender<Vec<TrafficCommand>>,
}

impl Dispatcher {
    /// Creates a dispatcher, and the task that executes its commands until the runtime ends.
    pub fn new(exchanges: Arc<Exchanges>) -> (Dispatcher, impl Future<Output = ()> + Send) {
        let (sender, mut commands) = mpsc::unbounded_channel::<Vec<TrafficCommand>>();
        let task = async move {
            while let Some(batch) = commands.recv().await {
                for command in batch {
                    execute(&exchanges, command);
                }
            }
        };
        (Dispatcher { commands: sender }, task)
    }
}

impl Traffic for Dispatcher {
    fn execute(&mut self, commands: Vec<TrafficCommand>) {
        // Fails only once the runtime has ended; then no connections are left.
        let _ = self.commands.send(commands);
    }
}

fn execute(exchanges: &Arc<Exchanges>, command: TrafficCommand) {
    match command {
        TrafficCommand::Run(run) => start_run(exchanges, run),
        TrafficCommand::Forward(forward) => forward_to_peer(exchanges, forward),
        TrafficCommand::Finish { ticket, verdict, retries } => {
            let refusal = match verdict {
                Verdict::Pass => None,
                Verdict::Refuse(refusal) => Some(refusal),
            };
            exchanges.finish(ticket, refusal, retries);
        }
        TrafficCommand::Cancel(ticket) => exchanges.cancel(ticket),
        TrafficCommand::Send { to, message } => exchanges.links.send(to, message),
        TrafficCommand::OpenLink(announcement) => exchanges.links.connect(exchanges, announcement),
        TrafficCommand::CloseLink(node) => exchanges.links.disconnect(node),
        TrafficCommand::AnswerReport { report, is_recorded } => {
            exchanges.reports.answer(report, is_recorded);
        }
        TrafficCommand::Target(address) => exchanges.target.set(address),
        TrafficCommand::Publish { load, urgent } => {
            exchanges.set_load(load);
            if urgent {
                exchanges.links.publish(load.into());
            }
        }
        TrafficCommand::CallerLimits(callers) => exchanges.set_caller_limits(callers),
        TrafficCommand::Ready(ready) => exchanges.set_ready(ready),
        TrafficCommand::CloseIdle => exchanges.advance_stage(Stage::Leaving),
        TrafficCommand::Exit { by } => exchanges.advance_stage(Stage::Exiting { by }),
    }
}

fn start_run(exchanges: &Arc<Exchanges>, run: Run) {
    let (stop, stopped) = oneshot::channel();
    let ticket = run.ticket;
    match exchanges.begin_attempt(ticket, Attempt::Running(stop)) {
        Some(request) => {
            tokio::spawn(target::run(Arc::clone(exchanges), run, request, stopped));
        }
        // The request has finished, which the control thread may not have processed yet.
        None => exchanges.run_ended(ticket, RunEnd::Cancelled, None),
    }
}

fn forward_to_peer(exchanges: &Arc<Exchanges>, forward: Forward) {
    let ticket = forward.ticket;
    let Some(link) = exchanges.links.get(forward.to) else {
        return exchanges.forward_ended(ticket, ForwardEnd::NotSent, 0, None);
    };
    let stream = link.next_stream();
    let attempt = Attempt::Forwarded { link: Arc::clone(&link), stream };
    let Some(request) = exchanges.begin_attempt(ticket, attempt) else {
        // The request has finished, which the control thread may not have processed yet.
        return exchanges.forward_ended(ticket, ForwardEnd::Cancelled, 0, None);
    };
    let entry = entry_headers(exchanges, &request, forward.forwarded.team.as_deref());
    let now = exchanges.clock.now();
    match link.send_request(stream, &forward, &request, &entry, now) {
        SendResult::Sent => {}
        SendResult::NotSent => exchanges.forward_ended(ticket, ForwardEnd::NotSent, 0, None),
        SendResult::BodyConsumed => exchanges.forward_ended(ticket, ForwardEnd::Broken, 0, None),
    }
}

/// The entry headers, if this node received the request from its caller; else empty.
fn entry_headers(exchanges: &Exchanges, request: &Outbound, team: Option<&str>) -> Vec<u8> {
    let mut header_lines = Vec::new();
    if !request.is_from_peer {
        let entry = EntryHeaders { caller_service: &exchanges.service, team };
        exchanges.dialect.write_entry_headers(entry, &mut header_lines);
    }
    header_lines
}
