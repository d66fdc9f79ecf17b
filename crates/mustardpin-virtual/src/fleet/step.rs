//! Steps: what is due at a point of virtual time, and what follows from a world's commands.

use std::cmp::Reverse;

use mustardpin_world::{Command, Event, Millis, request::Verdict};

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
            Step::Arrive { request, origin, waiter, root } => {
                self.arrive(site, request, origin, waiter, root);
            }
            Step::Begin { life, run } => self.begin(site, life, run),
            Step::ServiceOver { life, call, run } => self.service_over(site, life, call, run),
            Step::ChildOver { life, parent, run, index, status } => {
                self.child_over(site, life, parent, run, index, status);
            }
            Step::Resend { root } => self.send_root(root),
            Step::RunDeadline { life, call } => self.run_deadline(site, life, call),
            Step::ForwardDeadline { life, call } => self.forward_deadline(site, life, call),
            Step::Report { life } => self.report(site, life),
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
            Command::Accepted(ticket, call) => {
                let node = &mut self.nodes[site.0];
                if let Some(held) = node.tickets.remove(&ticket) {
                    node.by_waiter.insert(held.waiter, call);
                    node.calls.insert(call, held);
                }
            }
            Command::ReturnRetries { call, retries } => {
                self.nodes[site.0].leftover.insert(call, retries);
            }
            Command::Reject(ticket, refusal) => {
                if let Some(held) = self.nodes[site.0].tickets.remove(&ticket) {
                    self.answer(site, held.waiter, Verdict::Refuse(refusal), (503, None));
                }
            }
            Command::Run(run) => self.schedule(site, self.now, Step::Begin { life, run }),
            Command::Forward(forward) => self.forward(site, forward),
            Command::Finish(call, verdict) => {
                let node = &mut self.nodes[site.0];
                if let Some(held) = node.calls.remove(&call) {
                    node.by_waiter.remove(&held.waiter);
                    node.forwarded.remove(&call);
                    let status = node.statuses.remove(&call).unwrap_or(200);
                    self.return_retries(site, call, held.waiter);
                    self.answer(site, held.waiter, verdict, (status, held.body));
                }
            }
            Command::Cancel(call) => self.cancel(site, call),
            Command::Send { to, address, message } => self.message(site, to, &address, message),
            Command::Platform(ticket, operation) => self.ask_platform(site, ticket, operation),
            Command::Answer(ticket, answer) => {
                self.answers.insert(ticket.0, answer);
            }
            Command::Publish(pressure) => self.nodes[site.0].pressure = pressure,
            Command::Log(change) => self.log.push((self.now, site, change)),
            Command::CloseIdle => {}
            Command::Exit => {
                let node = &mut self.nodes[site.0];
                node.exited = true;
                node.up = false;
            }
            Command::Wake(at) => {
                if at < Millis::MAX {
                    self.tick_at(site, at.max(self.now + Millis(1)));
                }
            }
        }
    }
}
