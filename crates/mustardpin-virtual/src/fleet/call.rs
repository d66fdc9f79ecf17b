//! Requests and responses between callers, nodes and targets.

use mustardpin_world::{
    Event, Millis,
    id::NodeId,
    request::{self, Fingerprint, ForwardEnd, Origin, Ticket, Verdict, is_final_status},
};
use rand::RngExt as _;

use crate::fleet::{
    Exchange, FinalResponse, Fleet, InboundRequest, RESEND_BACKOFF, Received, Requester, Response,
    Site, Step, forward_ended,
};

/// The interval at which requests and responses between two nodes that are cut off from each other
/// are sent again, as TCP does, for as long as the connection lasts.
pub(super) const RETRANSMIT_INTERVAL: Millis = Millis(100);
/// The time until the forwarding node detects that a response was lost.
const LOSS_DETECTION_DELAY: Millis = Millis(100);

impl Fleet {
    pub(super) fn arrive(&mut self, site: Site, inbound: InboundRequest) {
        if !self.nodes[site.0].up {
            return self.abort(inbound.requester);
        }
        let ticket = Ticket(self.next_number());
        let InboundRequest { request, origin, requester, root } = inbound;
        let team = match &origin {
            Origin::Peer(forwarded) => forwarded.team.clone(),
            Origin::Caller { .. } | Origin::Target { .. } => None,
        };
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
        node.by_requester.insert(requester, ticket);
        node.exchanges.insert(ticket, Exchange { requester, root, request, team, response: None });
        node.pending.push(event);
        self.tick_at(site, self.now);
    }

    /// Ends the sender's connection without a response.
    pub(super) fn abort(&mut self, requester: Requester) {
        match requester {
            Requester::Caller { root } => self.receive(root, None, None),
            // The loss of the connection ends the forward; see `lose_link`.
            Requester::Node { .. } => {}
            Requester::Target { site, epoch, parent, run, index } => {
                let step = Step::ChildDone { epoch, parent, run, index, status: 502 };
                self.schedule(site, self.now, step);
            }
        }
    }

    /// Handles a response of the node's target or of a peer. One with a final status is sent to the
    /// sender of the request; any other one is kept until the world decides the verdict.
    pub(super) fn handle_response(
        &mut self,
        site: Site,
        ticket: Ticket,
        response: Response,
        retries: u32,
    ) {
        let node = &mut self.nodes[site.0];
        if !is_final_status(response.status) {
            if let Some(exchange) = node.exchanges.get_mut(&ticket) {
                exchange.response = Some(response);
            }
            return;
        }
        if let Some(exchange) = node.exchanges.remove(&ticket) {
            node.by_requester.remove(&exchange.requester);
            self.send_final_response(
                site,
                exchange.requester,
                FinalResponse::Answered(response),
                retries,
            );
        }
    }

    /// Ends a request with the verdict of the world.
    pub(super) fn finish(&mut self, site: Site, ticket: Ticket, verdict: Verdict, retries: u32) {
        let node = &mut self.nodes[site.0];
        node.forwarded.remove(&ticket);
        let Some(exchange) = node.exchanges.remove(&ticket) else { return };
        node.by_requester.remove(&exchange.requester);
        let result = match (verdict, exchange.response) {
            (Verdict::Pass, Some(response)) => FinalResponse::Answered(response),
            (verdict, _) => FinalResponse::Refused(verdict),
        };
        self.send_final_response(site, exchange.requester, result, retries);
    }

    fn send_final_response(
        &mut self,
        site: Site,
        requester: Requester,
        result: FinalResponse,
        retries: u32,
    ) {
        match requester {
            Requester::Caller { root } => match result {
                FinalResponse::Answered(response) if is_final_status(response.status) => {
                    self.receive(root, Some(Verdict::Pass), Some(response.body));
                }
                FinalResponse::Answered(_) => self.receive(root, None, None),
                FinalResponse::Refused(verdict) => self.receive(root, Some(verdict), None),
            },
            Requester::Node { site: to, epoch, ticket } => {
                let is_lost = self.network.response_loss > 0.0
                    && self.rng.random_bool(self.network.response_loss);
                if is_lost {
                    return self.drop_response(to, epoch, ticket);
                }
                let step = Step::ForwardResponse { to, epoch, ticket, result, retries };
                let delay = self.delay(site, to).unwrap_or(RETRANSMIT_INTERVAL);
                self.schedule(site, self.now + delay, step);
            }
            Requester::Target { site: target, epoch, parent, run, index } => {
                let status = match result {
                    FinalResponse::Answered(response) => response.status,
                    FinalResponse::Refused(Verdict::Refuse(refusal)) => refusal.status(),
                    FinalResponse::Refused(Verdict::Pass) => 502,
                };
                let step = Step::ChildDone { epoch, parent, run, index, status };
                self.schedule(target, self.now, step);
            }
        }
    }

    fn drop_response(&mut self, to: Site, epoch: u32, ticket: Ticket) {
        let node = &mut self.nodes[to.0];
        if node.epoch == epoch && node.forwarded.remove(&ticket).is_some() {
            self.deliver_later(to, LOSS_DETECTION_DELAY, forward_ended(ticket, ForwardEnd::Broken));
        }
    }

    /// Delivers a peer's final response to the node that forwarded the request. While the two are
    /// cut off from each other, the response is sent again later.
    pub(super) fn receive_forward_response(
        &mut self,
        from: Site,
        (to, epoch, ticket): (Site, u32, Ticket),
        result: FinalResponse,
        retries: u32,
    ) {
        let (node, peer) = (&self.nodes[to.0], self.nodes[from.0].world.identity().node());
        // The request may have been forwarded to another peer since.
        if node.epoch != epoch || node.forwarded.get(&ticket) != Some(&peer) {
            return;
        }
        if self.delay(from, to).is_none() {
            let step = Step::ForwardResponse { to, epoch, ticket, result, retries };
            return self.schedule(from, self.now + RETRANSMIT_INTERVAL, step);
        }
        self.nodes[to.0].forwarded.remove(&ticket);
        let load = self.nodes[from.0].load;
        self.deliver_later(to, Millis(0), Event::Load { from: peer, load });
        let end = match result {
            FinalResponse::Answered(response) => {
                let status = response.status;
                self.handle_response(to, ticket, response, retries);
                ForwardEnd::Answered { status }
            }
            FinalResponse::Refused(Verdict::Refuse(refusal)) => ForwardEnd::Refused(refusal),
            FinalResponse::Refused(Verdict::Pass) => ForwardEnd::Broken,
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
            self.schedule(site, self.now + RESEND_BACKOFF, Step::Resend { root });
        }
    }

    pub(super) fn forward(&mut self, site: Site, forward: request::Forward) {
        let epoch = self.nodes[site.0].epoch;
        let ticket = forward.ticket;
        let Some(exchange) = self.nodes[site.0].exchanges.get(&ticket).cloned() else { return };
        let Some(connection) = self.connection(site, forward.to) else {
            let event = forward_ended(ticket, ForwardEnd::NotSent);
            return self.deliver_later(site, Millis(0), event);
        };
        self.nodes[site.0].forwarded.insert(ticket, forward.to);
        let mut request = exchange.request;
        request.timeout = Some(forward.timeout);
        let inbound = InboundRequest {
            request,
            origin: Origin::Peer(forward.forwarded),
            requester: Requester::Node { site, epoch, ticket },
            root: exchange.root,
        };
        self.send_forward(site, epoch, (forward.to, connection), inbound);
        self.schedule(site, forward.deadline, Step::ForwardDeadline { epoch, ticket });
    }

    /// Sends a request over a connection, which holds it while the receiver is cut off. If the
    /// request was cancelled meanwhile, it arrives together with that. A connection that is lost
    /// discards what it holds.
    pub(super) fn send_forward(
        &mut self,
        site: Site,
        epoch: u32,
        (to, connection): (NodeId, u64),
        inbound: InboundRequest,
    ) {
        let requester = inbound.requester;
        let Requester::Node { ticket, .. } = requester else { return };
        let node = &self.nodes[site.0];
        if node.epoch != epoch || self.connection(site, to) != Some(connection) {
            return;
        }
        let is_cancelled = node.forwarded.get(&ticket) != Some(&to);
        let receiver = self.site_of(to);
        match receiver.and_then(|receiver| Some((receiver, self.delay(site, receiver)?))) {
            Some((receiver, delay)) => {
                self.schedule(receiver, self.now + delay, Step::Arrive { inbound });
                if is_cancelled {
                    self.schedule(receiver, self.now + delay, Step::Disconnect { requester });
                }
            }
            None => {
                let step = Step::SendForward { epoch, to: (to, connection), inbound };
                self.schedule(site, self.now + RETRANSMIT_INTERVAL, step);
            }
        }
    }

    pub(super) fn forward_deadline(&mut self, site: Site, epoch: u32, ticket: Ticket) {
        if self.nodes[site.0].epoch == epoch && self.nodes[site.0].forwarded.contains_key(&ticket) {
            self.cancel(site, ticket);
        }
    }

    pub(super) fn run_deadline(&mut self, site: Site, epoch: u32, ticket: Ticket) {
        let node = &self.nodes[site.0];
        if node.epoch == epoch && node.target.progress.contains_key(&ticket) {
            self.cancel(site, ticket);
        }
    }

    pub(super) fn cancel(&mut self, site: Site, ticket: Ticket) {
        if self.nodes[site.0].target.progress.contains_key(&ticket) {
            self.nodes[site.0].target.cancel(ticket);
            let event = Event::RunEnded(ticket, request::RunEnd::Cancelled);
            self.deliver_later(site, Millis(0), event);
            self.start_queued(site);
            return;
        }
        let Some(to) = self.nodes[site.0].forwarded.remove(&ticket) else { return };
        self.disconnect_forward(site, to, ticket);
        self.deliver_later(site, Millis(0), forward_ended(ticket, ForwardEnd::Cancelled));
    }

    /// Tells a node that the sender of a request no longer waits, after the request has arrived.
    pub(super) fn disconnect(&mut self, site: Site, requester: Requester) {
        if let Some(ticket) = self.ticket_of(site, requester) {
            self.nodes[site.0].pending.push(Event::CallerGone(ticket));
            self.tick_at(site, self.now);
        }
    }

    pub(super) fn ticket_of(&self, site: Site, requester: Requester) -> Option<Ticket> {
        self.nodes[site.0].by_requester.get(&requester).copied()
    }
}
