//! Turnover rate of a server's KV cache.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Half-life of the measured turnover.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// Age after which a cached segment is hardly ever requested again, in seconds.
const MAX_USEFUL_AGE_S: f64 = 30.0;

/// Tokens recently inserted into a server's cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheTurnover(Decaying);

impl Default for CacheTurnover {
    fn default() -> Self {
        CacheTurnover(Decaying::new(HALF_LIFE))
    }
}

impl CacheTurnover {
    /// Records the insertion of `tokens`.
    pub(crate) fn record(&mut self, tokens: u32, now: Timestamp) {
        self.0.add(f64::from(tokens), now);
    }

    /// Probability that tokens evicted for new ones would have been requested again; zero if
    /// segments reach the maximum useful age before their eviction.
    pub(crate) fn eviction_loss(&self, capacity: u64, now: Timestamp) -> f64 {
        // The mean age of exponentially decaying samples is the half-life divided by ln 2.
        let window_s = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let per_second = self.0.at(now) / window_s;
        if per_second <= 0.0 || capacity == 0 {
            return 0.0;
        }
        let age_s = capacity as f64 / per_second;
        (1.0 - age_s / MAX_USEFUL_AGE_S).max(0.0)
    }
}
