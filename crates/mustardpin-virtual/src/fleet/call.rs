//! Requests on their way between callers, nodes and targets, and their answers.

use mustardpin_world::{
    Event, Millis,
    id::NodeId,
    request::{self, Fingerprint, ForwardEnd, Origin, Ticket, Verdict, is_final_status},
};
use rand::RngExt as _;

use crate::fleet::{
    Answer, Fleet, Held, Parcel, RESEND_AFTER, Received, Site, Step, Waiter, Word, forward_ended,
};

/// What is under way while two nodes are cut off from each other is sent again after this time, as
/// TCP does, for as long as the connection lasts.
const SEND_AGAIN: Millis = Millis(100);
/// How long an answer takes to be seen as lost.
const LOSS_SEEN: Millis = Millis(100);

impl Fleet {
    pub(super) fn arrive(&mut self, site: Site, parcel: Parcel) {
        if !self.nodes[site.0].up {
            return self.break_off(parcel.waiter);
        }
        let ticket = Ticket(self.next_number());
        let Parcel { request, origin, waiter, root } = parcel;
        let event = Event::Arrived(request::Request {
            ticket,
            origin,
            id: format!("{root:016x}").into(),
            host: Default::default(),
            method: request.method.as_str().into(),
            path: request.path.as_str().into(),
            fingerprint: Fingerprint(request.fingerprint),
            timeout: request.timeout,
        });
        let node = &mut self.nodes[site.0];
        node.by_waiter.insert(waiter, ticket);
        node.requests.insert(ticket, Held { waiter, root, request, answer: None });
        node.pending.push(event);
        self.tick_at(site, self.now);
    }

    /// Whoever waits learns that the connection has ended.
    pub(super) fn break_off(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Caller { root } => self.receive(root, None, None),
            // The node sees its connection end.
            Waiter::Node { .. } => {}
            Waiter::Target { site, life, parent, run, index } => {
                let step = Step::ChildOver { life, parent, run, index, status: 502 };
                self.schedule(site, self.now, step);
            }
        }
    }

    /// The node's target, or a peer, has answered: a good answer goes on, another one waits for
    /// the node's word.
    pub(super) fn answered(&mut self, site: Site, ticket: Ticket, answer: Answer, retries: u32) {
        let node = &mut self.nodes[site.0];
        if !is_final_status(answer.status) {
            if let Some(held) = node.requests.get_mut(&ticket) {
                held.answer = Some(answer);
            }
            return;
        }
        if let Some(held) = node.requests.remove(&ticket) {
            node.by_waiter.remove(&held.waiter);
            self.tell(site, held.waiter, Word::Answered(answer), retries);
        }
    }

    /// The node has said how a request ends.
    pub(super) fn finish(&mut self, site: Site, ticket: Ticket, verdict: Verdict, retries: u32) {
        let node = &mut self.nodes[site.0];
        node.forwarded.remove(&ticket);
        let Some(held) = node.requests.remove(&ticket) else { return };
        node.by_waiter.remove(&held.waiter);
        let word = match (verdict, held.answer) {
            (Verdict::Pass, Some(answer)) => Word::Answered(answer),
            (verdict, _) => Word::Refused(verdict),
        };
        self.tell(site, held.waiter, word, retries);
    }

    fn tell(&mut self, site: Site, waiter: Waiter, word: Word, retries: u32) {
        match waiter {
            Waiter::Caller { root } => match word {
                Word::Answered(answer) if is_final_status(answer.status) => {
                    self.receive(root, Some(Verdict::Pass), Some(answer.body));
                }
                Word::Answered(_) => self.receive(root, None, None),
                Word::Refused(verdict) => self.receive(root, Some(verdict), None),
            },
            Waiter::Node { site: to, life, ticket } => {
                let is_lost = self.network.response_loss > 0.0
                    && self.rng.random_bool(self.network.response_loss);
                if is_lost {
                    return self.lose_answer(to, life, ticket);
                }
                let step = Step::Return { to, life, ticket, word, retries };
                let delay = self.delay(site, to).unwrap_or(SEND_AGAIN);
                self.schedule(site, self.now + delay, step);
            }
            Waiter::Target { site: target, life, parent, run, index } => {
                let status = match word {
                    Word::Answered(answer) => answer.status,
                    Word::Refused(Verdict::Refuse(refusal)) => refusal.status(),
                    Word::Refused(Verdict::Pass) => 502,
                };
                let step = Step::ChildOver { life, parent, run, index, status };
                self.schedule(target, self.now, step);
            }
        }
    }

    fn lose_answer(&mut self, to: Site, life: u32, ticket: Ticket) {
        let node = &mut self.nodes[to.0];
        if node.life == life && node.forwarded.remove(&ticket).is_some() {
            self.deliver_later(to, LOSS_SEEN, forward_ended(ticket, ForwardEnd::Broken));
        }
    }

    /// A peer's word on a request reaches the node that passed it on.
    pub(super) fn returned(
        &mut self,
        from: Site,
        (to, life, ticket): (Site, u32, Ticket),
        word: Word,
        retries: u32,
    ) {
        let node = &self.nodes[to.0];
        if node.life != life || !node.forwarded.contains_key(&ticket) {
            return;
        }
        if self.delay(from, to).is_none() {
            let step = Step::Return { to, life, ticket, word, retries };
            return self.schedule(from, self.now + SEND_AGAIN, step);
        }
        self.nodes[to.0].forwarded.remove(&ticket);
        let peer = self.nodes[from.0].world.identity().node();
        let load = self.nodes[from.0].load;
        self.deliver_later(to, Millis(0), Event::Load { from: peer, load });
        let end = match word {
            Word::Answered(answer) => {
                let status = answer.status;
                self.answered(to, ticket, answer, retries);
                ForwardEnd::Answered { status }
            }
            Word::Refused(Verdict::Refuse(refusal)) => ForwardEnd::Refused(refusal),
            Word::Refused(Verdict::Pass) => ForwardEnd::Broken,
        };
        self.deliver_later(to, Millis(0), Event::ForwardEnded { ticket, end, retries });
    }

    pub(super) fn receive(&mut self, root: u64, verdict: Option<Verdict>, body: Option<Vec<u8>>) {
        let Some((site, sent, request)) = self.roots.get_mut(root as usize) else { return };
        let received = Received { root, site: *site, sent: *sent, at: self.now, verdict, body };
        let resend = !received.is_complete() && request.resends > 0;
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
        let ticket = forward.ticket;
        let Some(held) = self.nodes[site.0].requests.get(&ticket).cloned() else { return };
        if !self.is_linked(site, forward.to) {
            let event = forward_ended(ticket, ForwardEnd::NotSent);
            return self.deliver_later(site, Millis(0), event);
        }
        self.nodes[site.0].forwarded.insert(ticket, forward.to);
        let mut request = held.request;
        request.timeout = Some(forward.timeout);
        let parcel = Parcel {
            request,
            origin: Origin::Peer(forward.forwarded),
            waiter: Waiter::Node { site, life, ticket },
            root: held.root,
        };
        self.pass(site, life, forward.to, parcel);
        self.schedule(site, forward.deadline, Step::ForwardDeadline { life, ticket });
    }

    /// Sends a request over a connection, or tries again while the connection lasts.
    pub(super) fn pass(&mut self, site: Site, life: u32, to: NodeId, parcel: Parcel) {
        let Waiter::Node { ticket, .. } = parcel.waiter else { return };
        let node = &self.nodes[site.0];
        if node.life != life || node.forwarded.get(&ticket) != Some(&to) {
            return;
        }
        let receiver = self.site_of(to);
        match receiver.and_then(|receiver| Some((receiver, self.delay(site, receiver)?))) {
            Some((receiver, delay)) => {
                self.schedule(receiver, self.now + delay, Step::Arrive { parcel });
            }
            None => {
                self.schedule(site, self.now + SEND_AGAIN, Step::Pass { life, to, parcel });
            }
        }
    }

    pub(super) fn forward_deadline(&mut self, site: Site, life: u32, ticket: Ticket) {
        if self.nodes[site.0].life == life && self.nodes[site.0].forwarded.contains_key(&ticket) {
            self.cancel(site, ticket);
        }
    }

    pub(super) fn run_deadline(&mut self, site: Site, life: u32, ticket: Ticket) {
        let node = &self.nodes[site.0];
        if node.life == life && node.target.progress.contains_key(&ticket) {
            self.cancel(site, ticket);
        }
    }

    pub(super) fn cancel(&mut self, site: Site, ticket: Ticket) {
        if self.nodes[site.0].target.progress.contains_key(&ticket) {
            self.nodes[site.0].target.cancel(ticket);
            let event = Event::RunEnded(ticket, request::RunEnd::Cancelled);
            self.deliver_later(site, Millis(0), event);
            self.start_waiting(site);
            return;
        }
        let Some(to) = self.nodes[site.0].forwarded.remove(&ticket) else { return };
        let life = self.nodes[site.0].life;
        if let Some((to, delay)) = self.reach(site, to)
            && let Some(there) = self.ticket_of(to, Waiter::Node { site, life, ticket })
        {
            self.deliver_later(to, delay, Event::CallerGone(there));
        }
        self.deliver_later(site, Millis(0), forward_ended(ticket, ForwardEnd::Cancelled));
    }

    pub(super) fn ticket_of(&self, site: Site, waiter: Waiter) -> Option<Ticket> {
        self.nodes[site.0].by_waiter.get(&waiter).copied()
    }
}
