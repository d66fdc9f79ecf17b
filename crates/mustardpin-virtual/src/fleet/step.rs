//! Steps, which are due at a point of virtual time, and the execution of a world's commands.

use std::cmp::Reverse;

use mustardpin_world::{Command, Event, Millis};

use crate::fleet::{Fleet, Site, Step};

impl Fleet {
    pub(super) fn schedule(&mut self, site: Site, at: Millis, step: Step) {
        self.sequence += 1;
        let slot = self.free_steps.pop().unwrap_or_else(|| {
            self.steps.push(None);
            self.steps.len() - 1
        });
        self.steps[slot] = Some(step);
        self.queue.push(Reverse((at, self.sequence, site.0, slot)));
    }

    pub(super) fn tick_at(&mut self, site: Site, at: Millis) {
        let node = &mut self.nodes[site.0];
        if at >= node.next_tick {
            return;
        }
        node.next_tick = at;
        let epoch = node.epoch;
        self.schedule(site, at, Step::Tick { epoch });
    }

    pub(super) fn deliver_later(&mut self, site: Site, delay: Millis, event: Event) {
        let epoch = self.nodes[site.0].epoch;
        self.schedule(site, self.now + delay, Step::Deliver { epoch, event });
    }

    pub(super) fn run_step(&mut self, site: Site, step: Step) {
        let node = &mut self.nodes[site.0];
        let is_deferred = !matches!(
            step,
            Step::ServiceDone { .. } | Step::ChildDone { .. } | Step::EndForward { .. }
        );
        if node.frozen && is_deferred {
            node.deferred.push(step);
            return;
        }
        match step {
            Step::Tick { epoch } => self.tick(site, epoch),
            Step::Deliver { epoch, event } => {
                if self.nodes[site.0].epoch == epoch && self.nodes[site.0].up {
                    self.nodes[site.0].pending.push(event);
                    self.tick_at(site, self.now);
                }
            }
            Step::Arrive { inbound } => self.arrive(site, inbound),
            Step::Disconnect { requester } => self.disconnect(site, requester),
            Step::SendForward { epoch, to, inbound } => self.send_forward(site, epoch, to, inbound),
            Step::EndForward { from, requester } => self.end_forward(from, site, requester),
            Step::ForwardResponse { to, epoch, ticket, result, retries } => {
                self.receive_forward_response(site, (to, epoch, ticket), result, retries);
            }
            Step::StartRun { epoch, run } => self.start_run(site, epoch, run),
            Step::ServiceDone { epoch, ticket, run } => self.service_done(site, epoch, ticket, run),
            Step::ChildDone { epoch, parent, run, index, status } => {
                self.child_done(site, epoch, parent, (run, index), status);
            }
            Step::Resend { root } => self.send_root(root),
            Step::RunDeadline { epoch, ticket } => self.run_deadline(site, epoch, ticket),
            Step::ForwardDeadline { epoch, ticket } => self.forward_deadline(site, epoch, ticket),
            Step::Report { epoch } => self.report(site, epoch),
            Step::LateReport { report } => {
                self.deliver_later(site, Millis(0), Event::Target(report));
            }
            Step::Connect { epoch, to } => self.connect(site, epoch, to),
            Step::CheckLinks { epoch } => self.check_links(site, epoch),
            Step::LongPollTimeout { epoch, ticket } => self.long_poll_timeout(site, epoch, ticket),
        }
    }

    pub(super) fn tick(&mut self, site: Site, epoch: u32) {
        let now = self.now;
        let node = &mut self.nodes[site.0];
        if node.epoch != epoch || !node.up || now < node.next_tick {
            return;
        }
        node.next_tick = Millis::MAX;
        node.ticks += 1;
        let events = std::mem::take(&mut node.pending);
        let commands = node.world.tick(now, events);
        for command in commands {
            self.execute(site, command);
        }
    }

    pub(super) fn execute(&mut self, site: Site, command: Command) {
        let epoch = self.nodes[site.0].epoch;
        match command {
            Command::Run(run) => self.schedule(site, self.now, Step::StartRun { epoch, run }),
            Command::Forward(forward) => self.forward(site, forward),
            Command::Finish { ticket, verdict, retries } => {
                self.finish(site, ticket, verdict, retries);
            }
            Command::Cancel(ticket) => self.cancel(site, ticket),
            Command::Send { to, message } => self.send_message(site, to, message),
            Command::OpenLink(announcement) => self.open_link(site, announcement),
            Command::CloseLink(peer) => self.close_link(site, peer),
            Command::Store(ticket, operation) => self.call_store(site, ticket, operation),
            Command::AnswerReport { report, is_recorded } => {
                self.acknowledged.insert(report, (self.now, is_recorded));
            }
            Command::ReplyToProposal(ticket, reply) => {
                self.proposal_replies.insert(ticket.0, reply);
            }
            Command::Publish { load, urgent } => self.publish(site, load, urgent),
            Command::Ready(ready) => self.nodes[site.0].ready = ready,
            Command::Log(entry) => {
                if entry.request.is_none() {
                    self.log.push((self.now, site, entry));
                }
            }
            Command::Target(_) | Command::CallerLimits(_) | Command::CloseIdle => {}
            Command::Exit { .. } => {
                let node = &mut self.nodes[site.0];
                node.exited = true;
                node.up = false;
                node.ready = false;
                self.end_process(site);
            }
            Command::Wake(at) => {
                if at < Millis::MAX {
                    self.tick_at(site, at.max(self.now + Millis(1)));
                }
            }
        }
    }
}
