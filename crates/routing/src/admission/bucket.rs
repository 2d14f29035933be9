//! A token bucket whose rate and size may change at any time.

use std::time::Duration;

use juniper_types::Timestamp;

/// A second in microseconds.
const SECOND_US: f64 = 1_000_000.0;

/// Longest pause suggested, also for a rate of zero.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Requests that may come at once, refilled at a steady rate.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    /// Room taken in the bucket; it is full when none is.
    used: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    pub(super) fn full(now: Timestamp) -> Self {
        TokenBucket { used: 0.0, refilled_at: now }
    }

    /// Takes one request, or says how long it takes until there is one. There is
    /// room for one at least, unless the rate is zero.
    pub(super) fn take(
        &mut self,
        rate_per_second: f64,
        burst: f64,
        now: Timestamp,
    ) -> Result<(), Duration> {
        if rate_per_second <= 0.0 {
            return Err(MAX_PAUSE);
        }
        let burst = burst.max(1.0);
        let elapsed_us = now.since(self.refilled_at).as_micros() as f64;
        self.refilled_at = self.refilled_at.max(now);
        self.used = (self.used - elapsed_us * rate_per_second / SECOND_US).max(0.0);
        // A burst that was lowered leaves no debt.
        self.used = self.used.min(burst);
        let lacking = self.used + 1.0 - burst;
        if lacking <= 0.0 {
            self.used += 1.0;
            return Ok(());
        }
        let pause_us = (lacking / rate_per_second * SECOND_US).ceil();
        Err(Duration::from_micros(pause_us as u64).min(MAX_PAUSE))
    }
}
