//! How fast the memory of a server turns over.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Time in which what was measured loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// Age at which a kept part is hardly ever asked for again.
const USEFUL_AGE_S: f64 = 30.0;

/// Tokens that came into the memory of a server lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryTurnover(Decaying);

impl Default for MemoryTurnover {
    fn default() -> Self {
        MemoryTurnover(Decaying::new(HALF_LIFE))
    }
}

impl MemoryTurnover {
    /// So many tokens come in.
    pub(crate) fn record(&mut self, tokens: u32, now: Timestamp) {
        self.0.add(f64::from(tokens), now);
    }

    /// The chance that what gives way to new tokens would have been asked for
    /// again: none while parts grow old before they go.
    pub(crate) fn loss(&self, capacity: u64, now: Timestamp) -> f64 {
        // The mean age of what decays is the half-life over the logarithm of two.
        let window_s = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let per_second = self.0.at(now) / window_s;
        if per_second <= 0.0 || capacity == 0 {
            return 0.0;
        }
        let age_s = capacity as f64 / per_second;
        (1.0 - age_s / USEFUL_AGE_S).max(0.0)
    }
}
