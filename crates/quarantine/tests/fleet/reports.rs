//! Reports and records on their way between routers and replicas.

use std::time::Duration;

use juniper_quarantine::{PartCompletionReport, PartCrashReport, Report};

use crate::world::{Event, MILLI, World};

impl World {
    pub fn report_crash(&mut self, router: usize, report: PartCrashReport) {
        if !self.is_router_up(router) {
            return;
        }
        let now = self.now();
        self.routers[router].parts.record_crash(&report, now, Duration::ZERO);
        self.publish(router, Report::PartCrash(report));
    }

    /// Sends a report to all other routers now, and repeats it later.
    pub fn publish(&mut self, router: usize, report: Report) {
        let now = self.now();
        self.routers[router].repeats.schedule(report.clone(), now);
        self.outcome.reports += 1;
        self.broadcast(router, &report);
    }

    fn broadcast(&mut self, router: usize, report: &Report) {
        if !self.has_contact(router) {
            return;
        }
        let sent_at = self.queue.now();
        for to in (0..self.routers.len()).filter(|to| *to != router) {
            // Relays lose one message in fifty.
            if !self.random.chance(20) {
                let delay = self.random.between(2, 50) * MILLI;
                let report = report.clone();
                self.queue.schedule_after(delay, Event::Deliver { to, report, sent_at });
            }
        }
    }

    pub fn deliver(&mut self, to: usize, report: Report, sent_at: u64) {
        if !self.has_contact(to) {
            return;
        }
        let travelled = Duration::from_micros(self.queue.now() - sent_at);
        let delay = Duration::from_millis(self.random.between(1_000, 3_000));
        let (now, parts) = (self.now(), &mut self.routers[to].parts);
        match report {
            Report::PartCrash(crash) => {
                let crash = PartCrashReport { age: crash.age + travelled, ..crash };
                parts.record_crash(&crash, now, delay);
            }
            Report::PartCompletion(completion) => {
                let age = completion.age + travelled;
                parts.apply_completion(&PartCompletionReport { age, ..completion }, now, delay);
            }
            Report::Crash(_) | Report::Clear(_) => {}
        }
    }

    /// Repeats reports, and has quarantines and releases recorded.
    pub fn maintain(&mut self) {
        self.queue.schedule_after(200 * MILLI, Event::Maintenance);
        let now = self.now();
        let mut changed = false;
        for router in 0..self.routers.len() {
            if !self.is_router_up(router) || !self.routers[router].parts.has_suspects() {
                continue;
            }
            let due = self.routers[router].repeats.due(now);
            due.iter().for_each(|report| self.broadcast(router, report));
            self.routers[router].parts.remove_expired(now);
            let records = self.routers[router].parts.due_records(now);
            let releases = self.routers[router].parts.due_releases(now);
            if !self.has_contact(router) {
                continue;
            }
            for record in records {
                changed |= self.recorded.insert(record.request);
            }
            for release in releases {
                changed |= self.recorded.remove(&release);
            }
        }
        if changed {
            for router in 0..self.routers.len() {
                let delay = self.random.between(50, 200) * MILLI;
                self.queue.schedule_after(delay, Event::Recorded { router });
            }
        }
    }

    /// A router learns what is recorded.
    pub fn adopt(&mut self, router: usize) {
        if !self.has_contact(router) {
            return;
        }
        let (now, recorded) = (self.now(), self.recorded.clone());
        let parts = &mut self.routers[router].parts;
        let released: Vec<_> = parts.recorded().filter(|part| !recorded.contains(part)).collect();
        released.iter().for_each(|part| parts.release(part, now));
        recorded.into_iter().for_each(|part| parts.adopt(part, now));
    }
}
