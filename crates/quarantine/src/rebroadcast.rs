//! Repeated broadcast of reports, since messages between routers may be lost.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::report::Report;

/// Delays before each repeat of a report. The last repeat comes after a router has replaced a
/// silent replica that it sends reports through (2.1 s), and before the 4 s within which all
/// connected routers have to receive a report.
const DELAYS: [Duration; 3] =
    [Duration::from_millis(400), Duration::from_millis(900), Duration::from_millis(1_800)];

/// Maximum number of reports to be repeated; the oldest are dropped.
const MAX_PENDING: usize = 1_024;

#[derive(Clone, Debug)]
struct PendingReport {
    report: Report,
    reported_at: Timestamp,
    repeats: usize,
    due_at: Timestamp,
}

/// Schedule for the repeats of this router's own reports.
#[derive(Clone, Debug, Default)]
pub struct Rebroadcast {
    pending: VecDeque<PendingReport>,
}

impl Rebroadcast {
    /// Schedules the repeats of a report that was sent for the first time.
    pub fn schedule(&mut self, report: Report, now: Timestamp) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        let due_at = now.after(DELAYS[0]);
        self.pending.push_back(PendingReport { report, reported_at: now, repeats: 0, due_at });
    }

    /// Whether no repeats are scheduled.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Reports to repeat now, with their current ages.
    pub fn due(&mut self, now: Timestamp) -> Vec<Report> {
        let mut due = Vec::new();
        for pending in self.pending.iter_mut().filter(|pending| pending.due_at <= now) {
            due.push(aged(&pending.report, now.since(pending.reported_at)));
            pending.repeats += 1;
            if let Some(delay) = DELAYS.get(pending.repeats) {
                pending.due_at = now.after(*delay);
            }
        }
        self.pending.retain(|pending| pending.repeats < DELAYS.len());
        due
    }
}

fn aged(report: &Report, by: Duration) -> Report {
    let mut aged = report.clone();
    match &mut aged {
        Report::Crash(crash) => crash.age += by,
        Report::PartCrash(crash) => crash.age += by,
        Report::PartCompletion(completion) => completion.age += by,
        Report::Clear(_) => {}
    }
    aged
}
