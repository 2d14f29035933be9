//! Queue of reports to be published to the other routers.

use std::sync::Mutex;
use std::time::Duration;

use juniper_protocol::message::{Crash, CrashClearance, CrashUpdate};
use juniper_quarantine::{Clearance, CrashReport, Report};
use tokio::sync::Notify;

use crate::watch::lock;

/// Maximum number of queued reports, enough for several servers with all slots in use. Reports
/// beyond that are dropped and sent with the next rebroadcast.
const MAX_QUEUED_REPORTS: usize = 256;

/// Queue of reports to be published to the other routers.
#[derive(Default)]
pub(crate) struct Outbox {
    queued: Mutex<CrashUpdate>,
    pushed: Notify,
}

impl Outbox {
    pub(crate) fn push(&self, report: &Report) {
        let mut update = lock(&self.queued);
        if update.crashes.len() + update.cleared.len() >= MAX_QUEUED_REPORTS {
            return;
        }
        match report {
            Report::Crash(report) => update.crashes.push(encode_report(report)),
            Report::Clear(Clearance { request, instances }) => {
                update.cleared.push(CrashClearance::new(*request, instances));
            }
        }
        drop(update);
        self.pushed.notify_one();
    }

    /// Waits until reports are queued, and takes all of them.
    pub(crate) async fn next_update(&self) -> CrashUpdate {
        loop {
            let update = std::mem::take(&mut *lock(&self.queued));
            if update != CrashUpdate::default() {
                return update;
            }
            self.pushed.notified().await;
        }
    }
}

fn encode_report(report: &CrashReport) -> Crash {
    let to_millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
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
