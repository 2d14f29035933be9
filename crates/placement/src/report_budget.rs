//! Token bucket that limits a router's dispatch reports.
//!
//! Every report reaches every router. The rate of each router shrinks with the number of routers,
//! so that the rate at which each of them receives reports is bounded.

use juniper_types::Timestamp;

/// Dispatch reports per second of all routers together. At about 50 bytes each they take 8 % of a
/// 10 Mbit/s link.
const FLEET_REPORTS_PER_SECOND: f64 = 2_000.0;

/// Maximum burst, as seconds of a router's rate.
const MAX_BURST_S: f64 = 1.0;

/// Minimum burst in reports, whatever the number of routers.
const MIN_BURST_REPORTS: f64 = 4.0;

/// Budget of one router for dispatch reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportBudget {
    allowance: f64,
    updated: Timestamp,
}

impl ReportBudget {
    /// Number of reports that may be sent now, with this number of routers.
    pub fn allowed(&mut self, routers: u32, now: Timestamp) -> usize {
        let rate = FLEET_REPORTS_PER_SECOND / f64::from(routers.max(1));
        let earned = rate * now.since(self.updated).as_secs_f64();
        self.allowance = (self.allowance + earned).min((rate * MAX_BURST_S).max(MIN_BURST_REPORTS));
        self.updated = now;
        self.allowance as usize
    }

    /// Deducts `sent` sent reports from the budget.
    pub fn spend(&mut self, sent: usize) {
        self.allowance = (self.allowance - sent as f64).max(0.0);
    }
}
