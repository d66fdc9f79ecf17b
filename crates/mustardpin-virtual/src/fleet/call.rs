//! Requests on their way between callers, nodes and targets, and their answers.

use mustardpin_world::{
    Event, Millis,
    id::CallKey,
    request::{self, Fingerprint, ForwardEnd, Origin, RunEnd, Verdict},
};
use rand::RngExt as _;

use crate::fleet::{
    Fleet, Held, RESEND_AFTER, Received, Request, Site, Step, Waiter, forward_ended,
};

impl Fleet {
    pub(super) fn arrive(
        &mut self,
        site: Site,
        request: Request,
        origin: Origin,
        waiter: Waiter,
        root: u64,
    ) {
        if !self.nodes[site.0].up {
            return self.refuse_connection(site, waiter);
        }
        self.sequence += 1;
        let ticket = request::Ticket(self.sequence);
        let event = Event::Arrived(request::Request {
            ticket,
            origin,
            method: request.method.as_str().into(),
            path: request.path.as_str().into(),
            idempotency_key: request.idempotency_key.as_deref().map(Into::into),
            fingerprint: Fingerprint(request.fingerprint),
            timeout: request.timeout,
        });
        let node = &mut self.nodes[site.0];
        node.tickets.insert(ticket, Held { waiter, root, request, body: None });
        node.pending.push(event);
        self.tick_at(site, self.now);
    }

    /// No process listens at the site: the sender learns that no byte was sent.
    pub(super) fn refuse_connection(&mut self, site: Site, waiter: Waiter) {
        match waiter {
            Waiter::Node { site: sender, life, call } => {
                if self.nodes[sender.0].life == life {
                    self.nodes[sender.0].forwarded.remove(&call);
                    let event = forward_ended(call, ForwardEnd::NotSent);
                    self.deliver_later(sender, Millis(1), event);
                }
            }
            _ => self.break_off(site, waiter),
        }
    }

    pub(super) fn break_off(&mut self, site: Site, waiter: Waiter) {
        match waiter {
            Waiter::Caller { root } => self.receive(root, None, None),
            Waiter::Node { site: sender, life, call } => {
                if self.nodes[sender.0].life == life {
                    self.nodes[sender.0].forwarded.remove(&call);
                    let event = forward_ended(call, ForwardEnd::Broken);
                    self.deliver_later(sender, Millis(1), event);
                }
            }
            Waiter::Target { site: target, life, parent, run, index } => {
                let _ = site;
                let step = Step::ChildOver { life, parent, run, index, status: 502 };
                self.schedule(target, self.now, step);
            }
        }
    }

    pub(super) fn return_retries(&mut self, site: Site, call: CallKey, waiter: Waiter) {
        let Some(retries) = self.nodes[site.0].leftover.remove(&call) else { return };
        let Waiter::Node { site: sender, life, call } = waiter else { return };
        if self.nodes[sender.0].life != life {
            return;
        }
        if let Some(delay) = self.delay(site, sender) {
            self.deliver_later(sender, delay, Event::RetriesReturned { call, retries });
        }
    }

    /// Hands a verdict with the status and the body of a target's answer to who waits for it.
    pub(super) fn answer(
        &mut self,
        site: Site,
        waiter: Waiter,
        verdict: Verdict,
        (status, body): (u16, Option<Vec<u8>>),
    ) {
        let body = match &verdict {
            Verdict::Pass => body,
            Verdict::Replay(answer) => Some(answer.body.clone()),
            Verdict::Refuse(_) => None,
        };
        match waiter {
            Waiter::Caller { root } if status >= 500 && verdict == Verdict::Pass => {
                self.receive(root, None, None);
            }
            Waiter::Caller { root } => self.receive(root, Some(verdict), body),
            Waiter::Node { site: sender, life, call } => {
                if verdict == Verdict::Pass {
                    self.nodes[sender.0].statuses.insert(call, status);
                }
                let pressure = self.nodes[site.0].pressure;
                let end = match verdict {
                    Verdict::Pass => ForwardEnd::Answered { status },
                    Verdict::Replay(answer) => ForwardEnd::Answered { status: answer.status },
                    Verdict::Refuse(refusal) => ForwardEnd::Refused(refusal),
                };
                let lost = self.network.answer_loss > 0.0
                    && self.rng.random_bool(self.network.answer_loss);
                let delay = self.delay(site, sender).filter(|_| !lost);
                let node = &mut self.nodes[sender.0];
                if delay.is_some()
                    && node.life == life
                    && let Some(held) = node.calls.get_mut(&call)
                {
                    held.body = body;
                }
                let event = match delay {
                    Some(_) => Event::ForwardEnded { call, end, pressure: Some(pressure) },
                    None => forward_ended(call, ForwardEnd::Broken),
                };
                if self.nodes[sender.0].life == life {
                    self.deliver_later(sender, delay.unwrap_or(Millis(100)), event);
                }
            }
            Waiter::Target { site: target, life, parent, run, index } => {
                let status = match verdict {
                    Verdict::Pass => status,
                    Verdict::Replay(answer) => answer.status,
                    Verdict::Refuse(refusal) => refusal.reason.status(),
                };
                let step = Step::ChildOver { life, parent, run, index, status };
                self.schedule(target, self.now, step);
            }
        }
    }

    pub(super) fn receive(&mut self, root: u64, verdict: Option<Verdict>, body: Option<Vec<u8>>) {
        let Some((site, sent, request)) = self.roots.get_mut(root as usize) else { return };
        let received = Received { root, site: *site, sent: *sent, at: self.now, verdict, body };
        let resend = !received.is_whole() && request.resends > 0;
        request.resends -= u32::from(resend);
        let site = *site;
        self.last_received.insert(root, self.received.len());
        self.received.push(received);
        if resend {
            self.schedule(site, self.now + RESEND_AFTER, Step::Resend { root });
        }
    }

    pub(super) fn forward(&mut self, site: Site, forward: request::Forward) {
        let life = self.nodes[site.0].life;
        let Some(held) = self.nodes[site.0].calls.get(&forward.call).cloned() else { return };
        let to = self.site_of(&forward.address);
        let delay = to.and_then(|to| self.delay(site, to));
        let (Some(to), Some(delay)) = (to, delay) else {
            let event = forward_ended(forward.call, ForwardEnd::NotSent);
            return self.deliver_later(site, Millis(1), event);
        };
        self.nodes[site.0].forwarded.insert(forward.call, to);
        let waiter = Waiter::Node { site, life, call: forward.call };
        let origin = Origin::Peer(forward.forwarded);
        let mut request = held.request;
        request.timeout = Some(forward.deadline - self.now);
        let step = Step::Arrive { request, origin, waiter, root: held.root };
        self.schedule(to, self.now + delay, step);
        let step = Step::ForwardDeadline { life, call: forward.call };
        self.schedule(site, forward.deadline, step);
    }

    pub(super) fn forward_deadline(&mut self, site: Site, life: u32, call: CallKey) {
        if self.nodes[site.0].life == life && self.nodes[site.0].forwarded.contains_key(&call) {
            self.cancel(site, call);
        }
    }

    pub(super) fn run_deadline(&mut self, site: Site, life: u32, call: CallKey) {
        if self.nodes[site.0].life == life && self.nodes[site.0].target.progress.contains_key(&call)
        {
            self.cancel(site, call);
        }
    }

    pub(super) fn cancel(&mut self, site: Site, call: CallKey) {
        if self.nodes[site.0].target.progress.contains_key(&call) {
            self.nodes[site.0].target.cancel(call);
            self.deliver_later(site, Millis(0), Event::RunEnded(call, RunEnd::Cancelled));
            self.start_waiting(site);
            return;
        }
        let Some(to) = self.nodes[site.0].forwarded.remove(&call) else { return };
        let life = self.nodes[site.0].life;
        let waiter = Waiter::Node { site, life, call };
        let there = self.call_of(to, waiter);
        if let (Some(there), Some(delay)) = (there, self.delay(site, to)) {
            self.deliver_later(to, delay, Event::CallerGone(there));
        }
        self.deliver_later(site, Millis(0), forward_ended(call, ForwardEnd::Cancelled));
    }

    pub(super) fn call_of(&self, site: Site, waiter: Waiter) -> Option<CallKey> {
        self.nodes[site.0].by_waiter.get(&waiter).copied()
    }

    pub(super) fn calls_forwarded_to(&self, site: Site) -> Vec<(Site, CallKey)> {
        let mut calls = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            for (&call, &to) in &node.forwarded {
                if to == site {
                    calls.push((Site(index), call));
                }
            }
        }
        calls
    }
}
