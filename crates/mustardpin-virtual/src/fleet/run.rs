//! Runs of requests on the fake targets, and the calls that targets make.

use mustardpin_world::{
    Event, Millis,
    event::TargetReport,
    hash,
    notice::Notice,
    request::{self, Fingerprint, Origin, RunEnd, Ticket},
};

use crate::{
    fleet::{
        Exchange, Fleet, InboundRequest, REPORT_INTERVAL, Request, Requester, Response, Site, Step,
        caller,
    },
    target::{Progress, RunRecord},
};

impl Fleet {
    pub(super) fn start_run(&mut self, site: Site, epoch: u32, run: request::Run) {
        let (now, ticket) = (self.now, run.ticket);
        if self.nodes[site.0].epoch != epoch || !self.nodes[site.0].up {
            return;
        }
        if now > run.start_by || !self.nodes[site.0].target.up {
            let event = Event::RunEnded(ticket, RunEnd::NotSent);
            return self.deliver_later(site, Millis(0), event);
        }
        let Some(exchange) = self.nodes[site.0].exchanges.get(&ticket).cloned() else { return };
        if self.record_runs {
            self.record_run(site, &exchange, run.team.as_deref());
        }
        let fingerprint = Fingerprint(exchange.request.fingerprint);
        if self.nodes[site.0].target.poison.contains(&fingerprint) {
            self.deliver_later(site, Millis(0), Event::RunEnded(ticket, RunEnd::Broken));
            return self.crash_target(site);
        }
        let number = self.next_number();
        let target = &mut self.nodes[site.0].target;
        let resends = target.service.resends;
        let progress = Progress { next_call: 0, open: 0, resends, run: number, token: run.token };
        target.progress.insert(ticket, progress);
        target.queued.push_back(ticket);
        self.schedule(site, run.deadline, Step::RunDeadline { epoch, ticket });
        self.start_queued(site);
    }

    fn record_run(&mut self, site: Site, exchange: &Exchange, team: Option<&str>) {
        let root = self.roots.get(exchange.root as usize);
        let key = root.and_then(|(_, _, request)| request.key.as_deref());
        self.ran.push(RunRecord {
            at: self.now,
            node: self.nodes[site.0].world.identity().node(),
            site,
            path: exchange.request.path.clone(),
            fingerprint: Fingerprint(exchange.request.fingerprint),
            key_id: key.map(|key| caller::key_id(key).to_owned()),
            team: team.or(exchange.team.as_deref()).map(str::to_owned),
            root: exchange.root,
        });
    }

    pub(super) fn start_queued(&mut self, site: Site) {
        loop {
            let node = &mut self.nodes[site.0];
            if node.target.busy.len() >= node.target.service.slots {
                return;
            }
            let Some(ticket) = node.target.queued.pop_front() else { return };
            node.target.busy.insert(ticket);
            let Some(progress) = node.target.progress.get(&ticket) else { continue };
            let run = progress.run;
            let epoch = node.epoch;
            let time = node.target.sample_service_time(self.now, &mut self.rng);
            self.schedule(site, self.now + time, Step::ServiceDone { epoch, ticket, run });
        }
    }

    pub(super) fn service_done(&mut self, site: Site, epoch: u32, ticket: Ticket, run: u64) {
        if !self.is_running(site, epoch, ticket, run) {
            return;
        }
        let target = &self.nodes[site.0].target;
        if let Some(status) = target.failure_status {
            return self.end_run(site, ticket, status);
        }
        let calls = target.service.calls.len();
        if calls == 0 {
            return self.end_run(site, ticket, 200);
        }
        let parallel = target.service.parallel;
        for index in 0..if parallel { calls } else { 1 } {
            self.call_child(site, ticket, index);
        }
    }

    fn is_running(&self, site: Site, epoch: u32, ticket: Ticket, run: u64) -> bool {
        let node = &self.nodes[site.0];
        node.epoch == epoch
            && node.target.progress.get(&ticket).is_some_and(|progress| progress.run == run)
    }

    /// Sends one of the target's calls to its own node.
    fn call_child(&mut self, site: Site, ticket: Ticket, index: usize) {
        let node = &mut self.nodes[site.0];
        let Some(progress) = node.target.progress.get_mut(&ticket) else { return };
        let Some(exchange) = node.exchanges.get(&ticket) else {
            return self.end_run(site, ticket, 500);
        };
        progress.open += 1;
        let (run, token) = (progress.run, progress.token);
        let (epoch, root) = (node.epoch, exchange.root);
        let path = node.target.service.calls[index].clone();
        let parent_fingerprint = exchange.request.fingerprint.to_string();
        let request = Request {
            method: "GET".to_owned(),
            fingerprint: hash::of(&[&path, &parent_fingerprint]),
            path,
            ..Request::default()
        };
        let requester = Requester::Target { site, epoch, parent: ticket, run, index };
        let origin = Origin::Target { token: Some(token) };
        let inbound = InboundRequest { request, origin, requester, root };
        self.schedule(site, self.now, Step::Arrive { inbound });
    }

    pub(super) fn child_done(
        &mut self,
        site: Site,
        epoch: u32,
        parent: Ticket,
        (run, index): (u64, usize),
        status: u16,
    ) {
        if !self.is_running(site, epoch, parent, run) {
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

    fn end_run(&mut self, site: Site, ticket: Ticket, status: u16) {
        let node = &mut self.nodes[site.0];
        let progress = node.target.progress.remove(&ticket);
        node.target.busy.remove(&ticket);
        let (notice, instance) = (node.target.notice, node.world.identity().name().clone());
        if notice != Notice::default() {
            node.load.apply(notice);
            let event = Event::TargetNotice { ticket, instance, notice };
            self.deliver_later(site, Millis(0), event);
        }
        let body = format!("run {}", progress.map_or(0, |progress| progress.run)).into_bytes();
        self.handle_response(site, ticket, Response { status, body }, 0);
        let end = RunEnd::Answered { status, report: None };
        self.deliver_later(site, Millis(0), Event::RunEnded(ticket, end));
        self.start_queued(site);
    }

    pub(super) fn report(&mut self, site: Site, epoch: u32) {
        let node = &self.nodes[site.0];
        let is_silent = !node.target.up || node.target.has_deregistered;
        if node.epoch != epoch || !node.up || is_silent {
            return;
        }
        let report = self.next_report(site);
        self.deliver_later(site, Millis(0), Event::Target(report));
        self.schedule(site, self.now + REPORT_INTERVAL, Step::Report { epoch });
    }

    /// The next report that the target at a site sends.
    pub(super) fn next_report(&mut self, site: Site) -> TargetReport {
        let node = &mut self.nodes[site.0];
        let target = &mut node.target;
        target.report_sequence += 1;
        let report = TargetReport {
            address: node.world.identity().announcement.address.clone(),
            instance: node.world.identity().name().clone(),
            started: target.started,
            sequence: target.report_sequence,
            slots: Some(target.service.slots as u32),
            healthy: true,
            draining: target.draining,
            warm_up: Millis::ZERO,
            running: Some(target.busy.len() as u32),
        };
        self.nodes[site.0].target.distort_report(self.now, report, &mut self.rng)
    }
}
