//! How many sightings a router may tell the others: a token bucket.
//!
//! Every sighting reaches every router, so what one router may tell shrinks with
//! the number of routers, and what each of them receives is bounded.

use juniper_types::Timestamp;

/// Sightings that all routers together may tell, each second. At some 50 bytes each that is a
/// twelfth of the smallest link of the users' sheets (10 Mbit/s).
const FLEET_PER_SECOND: f64 = 2_000.0;

/// Longest time for which unused allowance is kept, in seconds.
const KEPT_S: f64 = 1.0;

/// Fewest sightings of unused allowance that are kept, whatever the number of routers.
const MIN_KEPT: f64 = 4.0;

/// What one router may tell now.
#[derive(Clone, Copy, Debug, Default)]
pub struct SightingBudget {
    allowance: f64,
    updated: Timestamp,
}

impl SightingBudget {
    /// How many sightings may be told now, with so many routers.
    pub fn allowed(&mut self, routers: u32, now: Timestamp) -> usize {
        let rate = FLEET_PER_SECOND / f64::from(routers.max(1));
        let earned = rate * now.since(self.updated).as_secs_f64();
        self.allowance = (self.allowance + earned).min((rate * KEPT_S).max(MIN_KEPT));
        self.updated = now;
        self.allowance as usize
    }

    /// So many were told.
    pub fn spend(&mut self, told: usize) {
        self.allowance = (self.allowance - told as f64).max(0.0);
    }
}
