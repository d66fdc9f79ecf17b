//! Steps: what is due at a point of virtual time, and what follows from a world's commands.

use std::cmp::Reverse;

use mustardpin_world::{Command, Event, Millis};

use crate::fleet::{Fleet, Site, Step};

impl Fleet {
    pub(super) fn schedule(&mut self, site: Site, at: Millis, step: Step) {
        self.sequence += 1;
        let place = self.free_steps.pop().unwrap_or_else(|| {
            self.steps.push(None);
            self.steps.len() - 1
        });
        self.steps[place] = Some(step);
        self.queue.push(Reverse((at, self.sequence, site.0, place)));
    }

    pub(super) fn tick_at(&mut self, site: Site, at: Millis) {
        let node = &mut self.nodes[site.0];
        if at >= node.next_tick {
            return;
        }
        node.next_tick = at;
        let life = node.life;
        self.schedule(site, at, Step::Tick { life });
    }

    pub(super) fn deliver_later(&mut self, site: Site, delay: Millis, event: Event) {
        let life = self.nodes[site.0].life;
        self.schedule(site, self.now + delay, Step::Deliver { life, event });
    }

    pub(super) fn take(&mut self, site: Site, step: Step) {
        let node = &mut self.nodes[site.0];
        if node.frozen && !matches!(step, Step::ServiceOver { .. } | Step::ChildOver { .. }) {
            node.held_back.push(step);
            return;
        }
        match step {
            Step::Tick { life } => self.tick(site, life),
            Step::Deliver { life, event } => {
                if self.nodes[site.0].life == life && self.nodes[site.0].up {
                    self.nodes[site.0].pending.push(event);
                    self.tick_at(site, self.now);
                }
            }
            Step::Arrive { parcel } => self.arrive(site, parcel),
            Step::Pass { life, to, parcel } => self.pass(site, life, to, parcel),
            Step::Return { to, life, ticket, word, retries } => {
                self.returned(site, (to, life, ticket), word, retries);
            }
            Step::Begin { life, run } => self.begin(site, life, run),
            Step::ServiceOver { life, ticket, run } => self.service_over(site, life, ticket, run),
            Step::ChildOver { life, parent, run, index, status } => {
                self.child_over(site, life, parent, (run, index), status);
            }
            Step::Resend { root } => self.send_root(root),
            Step::RunDeadline { life, ticket } => self.run_deadline(site, life, ticket),
            Step::ForwardDeadline { life, ticket } => self.forward_deadline(site, life, ticket),
            Step::Report { life } => self.report(site, life),
            Step::Connect { life, to } => self.connect(site, life, to),
            Step::Watch { life } => self.watch_links(site, life),
            Step::StoreWatchOver { life, ticket } => self.store_watch_over(site, life, ticket),
        }
    }

    pub(super) fn tick(&mut self, site: Site, life: u32) {
        let now = self.now;
        let node = &mut self.nodes[site.0];
        if node.life != life || !node.up || now < node.next_tick {
            return;
        }
        node.next_tick = Millis::MAX;
        let events = std::mem::take(&mut node.pending);
        let commands = node.world.tick(now, events);
        for command in commands {
            self.carry_out(site, command);
        }
    }

    pub(super) fn carry_out(&mut self, site: Site, command: Command) {
        let life = self.nodes[site.0].life;
        match command {
            Command::Run(run) => self.schedule(site, self.now, Step::Begin { life, run }),
            Command::Forward(forward) => self.forward(site, forward),
            Command::Finish { ticket, verdict, retries } => {
                self.finish(site, ticket, verdict, retries);
            }
            Command::Cancel(ticket) => self.cancel(site, ticket),
            Command::Send { to, message } => self.message(site, to, message),
            Command::OpenLink(announcement) => self.keep_link(site, announcement),
            Command::CloseLink(peer) => self.drop_link(site, peer),
            Command::Store(ticket, operation) => self.call_store(site, ticket, operation),
            Command::ReplyToProposal(ticket, answer) => {
                self.proposal_replies.insert(ticket.0, answer);
            }
            Command::Publish { load, urgent } => self.publish(site, load, urgent),
            Command::Ready(ready) => self.nodes[site.0].ready = ready,
            Command::Log(entry) => {
                if entry.request.is_none() {
                    self.log.push((self.now, site, entry));
                }
            }
            Command::Target(_) | Command::CallerLimits(_) | Command::CloseIdle => {}
            Command::Exit => {
                let node = &mut self.nodes[site.0];
                node.exited = true;
                node.up = false;
                node.ready = false;
                self.end_life(site);
            }
            Command::Wake(at) => {
                if at < Millis::MAX {
                    self.tick_at(site, at.max(self.now + Millis(1)));
                }
            }
        }
    }
}
