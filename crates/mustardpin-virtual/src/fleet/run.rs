//! Runs on the fake targets, and the calls that targets make.

use std::sync::Arc;

use mustardpin_world::{
    Event, Millis,
    event::TargetReport,
    id::CallKey,
    request::{self, Answer, CallToken, Fingerprint, Origin, RunEnd},
};

use crate::{
    fleet::{Fleet, Held, REPORT_PERIOD, Request, Site, Step, Waiter, split_key},
    target::{Progress, Ran},
};

impl Fleet {
    pub(super) fn begin(&mut self, site: Site, life: u32, run: request::Run) {
        let now = self.now;
        if self.nodes[site.0].life != life || !self.nodes[site.0].up {
            return;
        }
        if now > run.start_by || !self.nodes[site.0].target.up {
            let event = Event::RunEnded(run.call, RunEnd::NotSent);
            return self.deliver_later(site, Millis(0), event);
        }
        let Some(held) = self.nodes[site.0].calls.get(&run.call).cloned() else { return };
        if self.keep_runs {
            self.note_run(site, &held);
        }
        let fingerprint = Fingerprint(held.request.fingerprint);
        if self.nodes[site.0].target.poison.contains(&fingerprint) {
            let event = Event::RunEnded(run.call, RunEnd::Broken);
            self.deliver_later(site, Millis(0), event);
            return self.crash_target(site);
        }
        self.sequence += 1;
        let number = self.sequence;
        let target = &mut self.nodes[site.0].target;
        let resends = target.service.resends;
        let progress = Progress { next_call: 0, open: 0, resends, run: number };
        target.progress.insert(run.call, progress);
        target.waiting.push_back(run.call);
        self.schedule(site, run.deadline, Step::RunDeadline { life, call: run.call });
        self.start_waiting(site);
    }

    pub(super) fn note_run(&mut self, site: Site, held: &Held) {
        let root = self.roots.get(held.root as usize);
        let key_id = root.and_then(|(_, _, request)| request.key.clone());
        self.ran.push(Ran {
            at: self.now,
            node: self.nodes[site.0].world.identity().node(),
            path: held.request.path.clone(),
            fingerprint: Fingerprint(held.request.fingerprint),
            idempotency_key: held.request.idempotency_key.clone(),
            key_id: key_id.map(|key| split_key(&key).0.to_string()),
            root: held.root,
        });
    }

    pub(super) fn start_waiting(&mut self, site: Site) {
        loop {
            let node = &mut self.nodes[site.0];
            if node.target.busy.len() >= node.target.service.slots {
                return;
            }
            let Some(call) = node.target.waiting.pop_front() else { return };
            node.target.busy.insert(call);
            let Some(progress) = node.target.progress.get(&call) else { continue };
            let run = progress.run;
            let life = node.life;
            let time = node.target.draw(self.now, &mut self.rng);
            self.schedule(site, self.now + time, Step::ServiceOver { life, call, run });
        }
    }

    pub(super) fn service_over(&mut self, site: Site, life: u32, call: CallKey, run: u64) {
        if !self.is_running(site, life, call, run) {
            return;
        }
        let target = &self.nodes[site.0].target;
        if let Some(status) = target.failing {
            return self.end_run(site, call, status);
        }
        let calls = target.service.calls.len();
        if calls == 0 {
            return self.end_run(site, call, 200);
        }
        let parallel = self.nodes[site.0].target.service.parallel;
        for index in 0..if parallel { calls } else { 1 } {
            self.call_child(site, call, index);
        }
    }

    pub(super) fn is_running(&self, site: Site, life: u32, call: CallKey, run: u64) -> bool {
        let node = &self.nodes[site.0];
        node.life == life
            && node.target.progress.get(&call).is_some_and(|progress| progress.run == run)
    }

    /// Makes one of the target's calls.
    pub(super) fn call_child(&mut self, site: Site, call: CallKey, index: usize) {
        let token = self.token_of(site, call);
        let node = &mut self.nodes[site.0];
        let Some(progress) = node.target.progress.get_mut(&call) else { return };
        let (Some(held), Some(token)) = (node.calls.get(&call), token) else {
            return self.end_run(site, call, 500);
        };
        progress.open += 1;
        let (run, life, root) = (progress.run, node.life, held.root);
        let path = node.target.service.calls[index].clone();
        let parent_fingerprint = held.request.fingerprint.to_string();
        let request = Request {
            method: "GET".to_owned(),
            key: None,
            idempotency_key: held.request.idempotency_key.clone(),
            fingerprint: mustardpin_world::home::hash_of(&[&path, &parent_fingerprint]),
            path,
            ..Request::default()
        };
        let waiter = Waiter::Target { site, life, parent: call, run, index };
        let origin = Origin::Target { token };
        self.schedule(site, self.now, Step::Arrive { request, origin, waiter, root });
    }

    pub(super) fn token_of(&self, site: Site, call: CallKey) -> Option<CallToken> {
        self.nodes[site.0].world.tables().calls.get(call).map(|call| call.token)
    }

    pub(super) fn child_over(
        &mut self,
        site: Site,
        life: u32,
        parent: CallKey,
        run: u64,
        index: usize,
        status: u16,
    ) {
        if !self.is_running(site, life, parent, run) {
            return;
        }
        let target = &mut self.nodes[site.0].target;
        let Some(progress) = target.progress.get_mut(&parent) else { return };
        progress.open -= 1;
        if status >= 400 {
            if progress.resends == 0 {
                let status = if matches!(status, 429 | 503 | 504) { 503 } else { 502 };
                return self.end_run(site, parent, status);
            }
            progress.resends -= 1;
            return self.call_child(site, parent, index);
        }
        progress.next_call += 1;
        let next = progress.next_call;
        if next == target.service.calls.len() {
            return self.end_run(site, parent, 200);
        }
        if !target.service.parallel {
            self.call_child(site, parent, next);
        }
    }

    pub(super) fn end_run(&mut self, site: Site, call: CallKey, status: u16) {
        let node = &mut self.nodes[site.0];
        let progress = node.target.progress.remove(&call);
        node.target.busy.remove(&call);
        let body = format!("run {}", progress.map_or(0, |progress| progress.run)).into_bytes();
        if let Some(held) = node.calls.get_mut(&call) {
            held.body = Some(body.clone());
        }
        if node.calls.contains_key(&call) {
            node.statuses.insert(call, status);
        }
        let answer = Answer { status, headers: Vec::new(), body };
        let end = RunEnd::Answered { status, answer: Some(Arc::new(answer)) };
        self.deliver_later(site, Millis(0), Event::RunEnded(call, end));
        self.start_waiting(site);
    }

    pub(super) fn report(&mut self, site: Site, life: u32) {
        let node = &self.nodes[site.0];
        if node.life != life || !node.up || !node.target.up {
            return;
        }
        let report = TargetReport {
            slots: Some(node.target.service.slots as u32),
            healthy: true,
            draining: node.target.draining,
            running: Some(node.target.busy.len() as u32),
        };
        let report = self.nodes[site.0].target.say(self.now, report, &mut self.rng);
        self.deliver_later(site, Millis(0), Event::Target(report));
        self.schedule(site, self.now + REPORT_PERIOD, Step::Report { life });
    }
}
