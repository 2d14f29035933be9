//! Tells a report several times: what routers tell each other may be lost on its way.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::report::Report;

/// Pauses before a report is told again. They outlast the change of the replica through which a
/// router tells the others (2.1 s until a silent one is given up), and end before the 4 s within
/// which all routers in touch have to know.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(400), Duration::from_millis(900), Duration::from_millis(1_800)];

/// Reports that wait to be told again; the oldest are told no more.
const MAX_WAITING: usize = 1_024;

#[derive(Clone, Debug)]
struct Waiting {
    report: Report,
    made_at: Timestamp,
    told_again: usize,
    next_at: Timestamp,
}

/// This router's own reports that are to be told again.
#[derive(Clone, Debug, Default)]
pub struct Retelling {
    waiting: VecDeque<Waiting>,
}

impl Retelling {
    /// A report was told for the first time.
    pub fn told(&mut self, report: Report, now: Timestamp) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        let next_at = now.after(PAUSES[0]);
        self.waiting.push_back(Waiting { report, made_at: now, told_again: 0, next_at });
    }

    /// Whether nothing is to be told again.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Reports to tell again now, with their ages as of now.
    pub fn due(&mut self, now: Timestamp) -> Vec<Report> {
        let mut due = Vec::new();
        for waiting in self.waiting.iter_mut().filter(|waiting| waiting.next_at <= now) {
            due.push(aged(&waiting.report, now.since(waiting.made_at)));
            waiting.told_again += 1;
            if let Some(pause) = PAUSES.get(waiting.told_again) {
                waiting.next_at = now.after(*pause);
            }
        }
        self.waiting.retain(|waiting| waiting.told_again < PAUSES.len());
        due
    }
}

fn aged(report: &Report, by: Duration) -> Report {
    let mut aged = report.clone();
    if let Report::Crash(crash) = &mut aged {
        crash.age += by;
    }
    aged
}
