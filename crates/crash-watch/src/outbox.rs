//! Queue of reports to be published to the other routers.

use std::sync::Mutex;
use std::time::Duration;

use juniper_protocol::message::{
    Crash, CrashClearance, CrashUpdate, PartCompletion, PartCrash, PartUpdate, RouterUpdate,
};
use juniper_quarantine::{Clearance, CrashReport, PartCompletionReport, PartCrashReport, Report};
use tokio::sync::Notify;

use crate::watch::lock;

/// Maximum number of queued reports, enough for several servers with all slots in use. Reports
/// beyond that are dropped and sent with the next rebroadcast.
const MAX_QUEUED_REPORTS: usize = 256;

/// Queue of reports to be published to the other routers.
#[derive(Default)]
pub(crate) struct Outbox {
    queued: Mutex<QueuedReports>,
    pushed: Notify,
}

#[derive(Default)]
struct QueuedReports {
    requests: CrashUpdate,
    parts: PartUpdate,
}

impl QueuedReports {
    fn len(&self) -> usize {
        let QueuedReports { requests, parts } = self;
        requests.crashes.len()
            + requests.cleared.len()
            + parts.crashes.len()
            + parts.completions.len()
    }
}

impl Outbox {
    pub(crate) fn push(&self, report: &Report) {
        let mut queued = lock(&self.queued);
        if queued.len() >= MAX_QUEUED_REPORTS {
            return;
        }
        match report {
            Report::Crash(report) => queued.requests.crashes.push(encode_report(report)),
            Report::Clear(Clearance { request, instances }) => {
                queued.requests.cleared.push(CrashClearance::new(*request, instances));
            }
            Report::PartCrash(report) => queued.parts.crashes.push(encode_part_crash(report)),
            Report::PartCompletion(PartCompletionReport { part, age }) => {
                queued
                    .parts
                    .completions
                    .push(PartCompletion { part: *part, age_ms: to_millis(*age) });
            }
        }
        drop(queued);
        self.pushed.notify_one();
    }

    /// Waits until reports are queued, and takes all of them.
    pub(crate) async fn next_update(&self) -> RouterUpdate {
        loop {
            let queued = std::mem::take(&mut *lock(&self.queued));
            if queued.len() > 0 {
                let QueuedReports { requests, parts } = queued;
                return RouterUpdate {
                    crashes: (requests != CrashUpdate::default()).then_some(requests),
                    parts: (parts != PartUpdate::default()).then_some(parts),
                    ..RouterUpdate::default()
                };
            }
            self.pushed.notified().await;
        }
    }
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn encode_report(report: &CrashReport) -> Crash {
    Crash {
        request: report.request,
        instance: report.instance.name().clone(),
        started: report.instance.started(),
        age_ms: to_millis(report.age),
        in_flight_ms: to_millis(report.in_flight_for),
        completed_before: report.completed_before,
    }
}

/// Converts a crash message of another router to a report.
pub(crate) fn decode_report(crash: &Crash) -> CrashReport {
    CrashReport {
        request: crash.request,
        instance: crash.id(),
        age: Duration::from_millis(crash.age_ms),
        in_flight_for: Duration::from_millis(crash.in_flight_ms),
        completed_before: crash.completed_before,
    }
}

fn encode_part_crash(report: &PartCrashReport) -> PartCrash {
    PartCrash {
        instance: report.instance.name().clone(),
        started: report.instance.started(),
        age_ms: to_millis(report.age),
        parts: report.parts.clone(),
        trial: report.trial,
    }
}

/// Converts a message of another router about parts of prompts to reports.
pub(crate) fn decode_part_crash(crash: &PartCrash) -> PartCrashReport {
    PartCrashReport {
        instance: crash.id(),
        age: Duration::from_millis(crash.age_ms),
        parts: crash.parts.clone(),
        trial: crash.trial,
    }
}
