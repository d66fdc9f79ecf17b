//! Carries out the orders of the control thread.

use std::sync::Arc;

use mustardpin_wire::dialect::EntryHeaders;
use mustardpin_world::request::{Forward, ForwardEnd, Run, RunEnd, Verdict};
use tokio::sync::{mpsc, oneshot};

use crate::traffic::{
    Traffic, TrafficCommand,
    exchange::{Attempt, Outbound},
    exchanges::Exchanges,
    link::Passed,
    listener::Stage,
    target,
};

/// The control thread's end: hands orders to the task that carries them out.
pub struct Dispatcher {
    orders: mpsc::UnboundedSender<Vec<TrafficCommand>>,
}

impl Dispatcher {
    /// A dispatcher, and the task that carries its orders out until the runtime ends.
    pub fn new(board: Arc<Exchanges>) -> (Dispatcher, impl Future<Output = ()> + Send) {
        let (sender, mut orders) = mpsc::unbounded_channel::<Vec<TrafficCommand>>();
        let task = async move {
            while let Some(batch) = orders.recv().await {
                for order in batch {
                    carry_out(&board, order);
                }
            }
        };
        (Dispatcher { orders: sender }, task)
    }
}

impl Traffic for Dispatcher {
    fn execute(&mut self, orders: Vec<TrafficCommand>) {
        // Fails only once the runtime has ended; then nobody is left to serve.
        let _ = self.orders.send(orders);
    }
}

fn carry_out(board: &Arc<Exchanges>, order: TrafficCommand) {
    match order {
        TrafficCommand::Run(run) => start_run(board, run),
        TrafficCommand::Forward(forward) => pass(board, forward),
        TrafficCommand::Finish { ticket, verdict, retries } => {
            let refusal = match verdict {
                Verdict::Pass => None,
                Verdict::Refuse(refusal) => Some(refusal),
            };
            board.finish(ticket, refusal, retries);
        }
        TrafficCommand::Cancel(ticket) => board.cancel(ticket),
        TrafficCommand::Send { to, message } => board.links.send(to, message),
        TrafficCommand::Link(announcement) => board.links.keep(board, announcement),
        TrafficCommand::Unlink(node) => board.links.drop(node),
        TrafficCommand::Target(place) => board.target.set(place),
        TrafficCommand::Publish { load, urgent } => {
            board.set_load(load);
            if urgent {
                board.links.publish(load.into());
            }
        }
        TrafficCommand::Callers(callers) => board.set_callers(callers),
        TrafficCommand::Ready(ready) => board.set_ready(ready),
        TrafficCommand::CloseIdle => board.advance_stage(Stage::Leaving),
        TrafficCommand::Exit => board.advance_stage(Stage::Exiting),
    }
}

fn start_run(board: &Arc<Exchanges>, run: Run) {
    let (stop, stopped) = oneshot::channel();
    let ticket = run.ticket;
    match board.begin(ticket, Attempt::Running(stop)) {
        Some(request) => {
            tokio::spawn(target::run(Arc::clone(board), run, request, stopped));
        }
        // The request is over, which the control thread may not know yet.
        None => board.run_ended(ticket, RunEnd::Cancelled, None),
    }
}

fn pass(board: &Arc<Exchanges>, forward: Forward) {
    let ticket = forward.ticket;
    let Some(link) = board.links.to(forward.to) else {
        return board.forward_ended(ticket, ForwardEnd::NotSent, 0, None);
    };
    let stream = link.next_stream();
    let attempt = Attempt::Forwarded { link: Arc::clone(&link), stream };
    let Some(request) = board.begin(ticket, attempt) else {
        // The request is over, which the control thread may not know yet.
        return board.forward_ended(ticket, ForwardEnd::Cancelled, 0, None);
    };
    let entry = entry_fields(board, &request, forward.forwarded.team.as_deref());
    match link.pass(stream, &forward, &request, &entry) {
        Passed::Sent => {}
        Passed::NotSent => board.forward_ended(ticket, ForwardEnd::NotSent, 0, None),
        Passed::Gone => board.forward_ended(ticket, ForwardEnd::Broken, 0, None),
    }
}

/// The fields that this node adds, if the request began here.
fn entry_fields(board: &Exchanges, request: &Outbound, team: Option<&str>) -> Vec<u8> {
    let mut fields = Vec::new();
    if !request.is_from_peer {
        let entry = EntryHeaders { caller_service: &board.service, team };
        board.dialect.write_entry_headers(entry, &mut fields);
    }
    fields
}
