//! Estimate of the work that other routers have dispatched and not yet reported.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Half-life of the measured rate. Long compared to a partition of some seconds, during which no
/// reports arrive.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Minimum time over which the rate is taken: the first reports after a restart arrive at once.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(500);

/// Typical time from a dispatch to the arrival of its report: reports take 15 to 60 ms.
const REPORT_DELAY: Duration = Duration::from_millis(40);

/// Bound on the time without reports. After half a second most prefills that were dispatched first
/// are complete.
const MAX_UNREPORTED_TIME: Duration = Duration::from_millis(500);

/// Prefill that other routers report for one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreportedWork {
    reported_tokens: Decaying,
    first_report: Option<Timestamp>,
    last_report: Timestamp,
}

impl Default for UnreportedWork {
    fn default() -> Self {
        UnreportedWork {
            reported_tokens: Decaying::new(HALF_LIFE),
            first_report: None,
            last_report: Timestamp::ZERO,
        }
    }
}

impl UnreportedWork {
    /// Records the prefill of a dispatch that another router has reported. Own dispatches are known
    /// at once.
    pub(crate) fn record_report(&mut self, prefill_tokens: u32, now: Timestamp) {
        self.reported_tokens.add(f64::from(prefill_tokens), now);
        self.first_report.get_or_insert(now);
        self.last_report = now;
    }

    /// Estimate of the unreported prefill tokens of all routers. Grows with the age of the last
    /// report, up to a bound.
    pub(crate) fn tokens(&self, now: Timestamp) -> f64 {
        let Some(first_report) = self.first_report else { return 0.0 };
        let measured = now.since(first_report).max(MIN_MEASURED_TIME);
        let per_second = self.reported_tokens.at(now) / effective_seconds(measured);
        let unreported = REPORT_DELAY + now.since(self.last_report);
        per_second * unreported.min(MAX_UNREPORTED_TIME).as_secs_f64()
    }
}

/// Time that the decaying sum covers, in seconds, if it has been measured for `measured`.
fn effective_seconds(measured: Duration) -> f64 {
    let half_life = HALF_LIFE.as_secs_f64();
    let covered = 1.0 - (-measured.as_secs_f64() / half_life).exp2();
    covered * half_life / std::f64::consts::LN_2
}
