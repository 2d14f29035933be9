//! Reports that the other routers haven't been told yet.

use std::sync::Mutex;
use std::time::Duration;

use juniper_protocol::message::{Cleared, Crash, CrashNews};
use juniper_quarantine::{Clearance, CrashReport, Report};
use tokio::sync::Notify;

use crate::watch::lock;

/// Reports that wait to be told at most: those of some servers with all their slots taken. What
/// finds no room is told when it is told again.
const MAX_QUEUED: usize = 256;

/// Reports that the other routers haven't been told yet.
#[derive(Default)]
pub(crate) struct Outbox {
    news: Mutex<CrashNews>,
    wake: Notify,
}

impl Outbox {
    pub(crate) fn push(&self, report: &Report) {
        let mut news = lock(&self.news);
        if news.crashes.len() + news.cleared.len() >= MAX_QUEUED {
            return;
        }
        match report {
            Report::Crash(report) => news.crashes.push(message(report)),
            Report::Clear(Clearance { request, instances }) => {
                news.cleared.push(Cleared::of(*request, instances));
            }
        }
        drop(news);
        self.wake.notify_one();
    }

    /// Waits until there is something to tell, and takes it.
    pub(crate) async fn next(&self) -> CrashNews {
        loop {
            let news = std::mem::take(&mut *lock(&self.news));
            if news != CrashNews::default() {
                return news;
            }
            self.wake.notified().await;
        }
    }
}

fn message(report: &CrashReport) -> Crash {
    let milliseconds = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    Crash {
        request: report.request,
        instance: report.instance.name().clone(),
        started: report.instance.started(),
        age_ms: milliseconds(report.age),
        under_way_ms: milliseconds(report.in_flight_for),
        ended_well: report.completed_before,
    }
}

/// What a message of another router reports.
pub(crate) fn read(crash: &Crash) -> CrashReport {
    CrashReport {
        request: crash.request,
        instance: crash.id(),
        age: Duration::from_millis(crash.age_ms),
        in_flight_for: Duration::from_millis(crash.under_way_ms),
        completed_before: crash.ended_well,
    }
}
