//! Carries one request where the control thread wants it, and its answer back.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use mustardpin_wire::{answer, forward, header, refusal, request::Port, scrub, target};
use mustardpin_world::{
    Event, Millis,
    refusal::Refusal,
    request::{Answer, Forward, ForwardEnd, Pressure, Run, RunEnd, Verdict},
};
use tokio::{select, sync::mpsc};

use crate::{
    control::Handle,
    exchange::{Exchange, Order},
    traffic::{
        answer::{Body, Piece},
        context::Context,
        outbound::Outbound,
        target::Failure,
        watch::Watch,
    },
};

/// Why an answer that had begun is not whole.
enum Cut {
    /// The connection it came over broke.
    Broken,
    /// The attempt was interrupted.
    Cancelled,
}

/// Hands orders to a courier.
pub(super) struct Orders {
    pub(super) sender: mpsc::UnboundedSender<Order>,
    pub(super) control: Handle,
}

impl Exchange for Orders {
    fn order(&mut self, order: Order) {
        // A courier ends before its last order only if it has failed; the world must not wait for
        // the end of a run that nobody carries.
        match self.sender.send(order).map_err(|error| error.0) {
            Err(Order::Run(run)) => {
                self.control.event(Event::RunEnded(run.call, RunEnd::Broken));
            }
            Err(Order::Forward(forward)) => {
                let (call, end) = (forward.call, ForwardEnd::Broken);
                self.control.event(Event::ForwardEnded { call, end, pressure: None });
            }
            _ => {}
        }
    }
}

/// Carries one request.
pub(super) struct Courier {
    pub(super) context: Arc<Context>,
    pub(super) watch: Watch,
    pub(super) outbound: Outbound,
    pub(super) port: Port,
}

impl Courier {
    /// Carries out orders until the request is over.
    pub(super) async fn run(mut self) {
        while let Some(order) = self.watch.next_order().await {
            match order {
                Order::Accept(call) => self.watch.accept(call),
                Order::Run(run) => self.run_on_target(run).await,
                Order::Forward(forward) => self.pass_to_peer(forward).await,
                // The attempt that it was meant for has ended.
                Order::Cancel | Order::Retries(_) => {}
                Order::Reject(refusal) => return self.refuse(refusal),
                Order::Finish(verdict) => return self.finish(verdict),
            }
        }
    }

    async fn run_on_target(&mut self, run: Run) {
        let end = self.attempt_run(&run).await;
        let is_whole = matches!(end, RunEnd::Answered { .. });
        self.settle(is_whole, Event::RunEnded(run.call, end), run.deadline).await;
    }

    async fn pass_to_peer(&mut self, forward: Forward) {
        let (end, pressure) = self.attempt_forward(&forward).await;
        let is_whole = matches!(end, ForwardEnd::Answered { .. });
        let event = Event::ForwardEnded { call: forward.call, end, pressure };
        self.settle(is_whole, event, forward.deadline).await;
    }

    /// Reports the end of an attempt. The world knows that an answer is whole before its caller
    /// does, so that the caller's next request finds it so.
    async fn settle(&mut self, is_whole: bool, event: Event, deadline: Millis) {
        if !is_whole {
            self.watch.break_off();
        }
        self.context.control.event(event);
        if is_whole {
            self.watch.complete(deadline).await;
        }
    }

    async fn attempt_run(&mut self, run: &Run) -> RunEnd {
        if self.watch.has_begun() {
            return RunEnd::Cancelled;
        }
        let Courier { context, watch, outbound, .. } = self;
        let left = context.until(run.deadline);
        let sending = context.target.send(|| outbound.for_target(run, left), run.start_by);
        let sent = select! {
            sent = sending => sent,
            () = watch.interrupted(run.deadline) => return RunEnd::Cancelled,
        };
        let mut reply = match sent {
            Ok(reply) => reply,
            Err(Failure::NotSent) => return RunEnd::NotSent,
            Err(Failure::Broken) => return RunEnd::Broken,
        };
        if target::declines(reply.response.status(), reply.response.headers()) {
            return RunEnd::Declined;
        }
        let mut recorder = run.record.then(|| Recorder::new(self.context.limits.record_size));
        answer::clean(reply.response.headers_mut());
        let recorded_headers = run.record.then(|| reply.response.headers().clone());
        match self.stream(&mut reply.response, run.deadline, recorder.as_mut()).await {
            Err(Cut::Broken) => return RunEnd::Broken,
            Err(Cut::Cancelled) => return RunEnd::Cancelled,
            Ok(()) => {}
        }
        let status = reply.response.status();
        self.context.target.finish(reply);
        let body = recorder.and_then(Recorder::whole);
        let answer = recorded_headers
            .zip(body)
            .map(|(headers, body)| Arc::new(answer::record(status, &headers, body)));
        RunEnd::Answered { status: status.as_u16(), answer }
    }

    async fn attempt_forward(&mut self, forward: &Forward) -> (ForwardEnd, Option<Pressure>) {
        if self.watch.has_begun() {
            return (ForwardEnd::Cancelled, None);
        }
        let Courier { context, watch, outbound, .. } = self;
        let left = context.until(forward.deadline);
        let Some(request) = outbound.for_peer(forward, left) else {
            return (ForwardEnd::Broken, None);
        };
        let sent = select! {
            sent = context.peers.send(forward.to, &forward.address, request) => sent,
            () = watch.interrupted(forward.deadline) => return (ForwardEnd::Cancelled, None),
        };
        let mut response = match sent {
            Ok(response) => response,
            Err(Failure::NotSent) => return (ForwardEnd::NotSent, None),
            Err(Failure::Broken) => return (ForwardEnd::Broken, None),
        };
        let pressure = forward::decode_pressure(response.headers());
        if let Some(retries) = forward::decode_retries(response.headers()) {
            context.control.event(Event::RetriesReturned { call: forward.call, retries });
        }
        if let Some(refusal) = forward::decode_refusal(response.headers()) {
            return (ForwardEnd::Refused(refusal), pressure);
        }
        let replayed = response.headers().get(header::OUTCOME).cloned();
        answer::clean(response.headers_mut());
        if let Some(outcome) = replayed {
            response.headers_mut().insert(header::OUTCOME, outcome);
        }
        let end = match self.stream(&mut response, forward.deadline, None).await {
            Ok(()) => ForwardEnd::Answered { status: response.status().as_u16() },
            Err(Cut::Broken) => ForwardEnd::Broken,
            Err(Cut::Cancelled) => ForwardEnd::Cancelled,
        };
        (end, pressure)
    }

    /// Passes an answer to the caller as it comes, with at most a few frames in memory.
    async fn stream(
        &mut self,
        response: &mut Response<Incoming>,
        deadline: Millis,
        mut recorder: Option<&mut Recorder>,
    ) -> Result<(), Cut> {
        let (mut head, ()) = Response::new(()).into_parts();
        head.status = response.status();
        head.headers = response.headers().clone();
        self.mark(&mut head.headers);
        self.watch.begin(head);
        loop {
            let frame = select! {
                frame = response.body_mut().frame() => frame,
                () = self.watch.interrupted(deadline) => return Err(Cut::Cancelled),
            };
            let Some(frame) = frame else { return Ok(()) };
            let mut frame = frame.map_err(|_| Cut::Broken)?;
            if let (Some(recorder), Some(data)) = (&mut recorder, frame.data_ref()) {
                recorder.add(data);
            }
            if let Some(trailers) = frame.trailers_mut() {
                scrub::remove_internal(trailers);
            }
            if !self.watch.pass(Piece::Frame(frame), deadline).await {
                return Err(Cut::Cancelled);
            }
        }
    }

    fn finish(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Pass => {}
            Verdict::Refuse(refusal) => self.refuse(refusal),
            Verdict::Replay(answer) => self.replay(&answer),
        }
    }

    fn replay(&mut self, answer: &Answer) {
        let mut response = answer::replay(answer).map(Body::from);
        self.mark(response.headers_mut());
        self.watch.answer(response);
    }

    fn refuse(&mut self, refusal: Refusal) {
        let mut response = refuse(&self.context, self.port, refusal);
        self.mark(response.headers_mut());
        self.watch.answer(response);
    }

    fn mark(&self, headers: &mut http::HeaderMap) {
        if let Port::Peers(_) = self.port {
            forward::encode_pressure(self.context.pressure(), headers);
            forward::encode_retries(self.watch.retries(), headers);
        }
    }
}

/// The answer of a refusal, at the port where the request came in.
pub(super) fn refuse(context: &Context, port: Port, refusal: Refusal) -> Response<Body> {
    let mut response = refusal::response(refusal).map(Body::from);
    if let Port::Peers(_) = port {
        forward::encode_wait(refusal.retry_after, response.headers_mut());
        forward::encode_pressure(context.pressure(), response.headers_mut());
    }
    response
}

/// Collects the body of an answer, unless it is too large.
struct Recorder {
    limit: usize,
    body: Option<Vec<u8>>,
}

impl Recorder {
    fn new(limit: usize) -> Recorder {
        Recorder { limit, body: Some(Vec::new()) }
    }

    fn add(&mut self, data: &Bytes) {
        let Some(body) = &mut self.body else { return };
        if body.len() + data.len() > self.limit {
            self.body = None;
            return;
        }
        body.extend_from_slice(data);
    }

    fn whole(self) -> Option<Vec<u8>> {
        self.body
    }
}
