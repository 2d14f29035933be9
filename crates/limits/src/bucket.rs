//! Token bucket whose rate and burst may change at any time.

use std::time::Duration;

use juniper_types::Timestamp;

use crate::account::RateLimit;

/// Longest wait returned, also for a rate of zero.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Initial fill of a bucket whose earlier use is unknown, as a fraction of the burst.
const UNKNOWN_FILL_FRACTION: f64 = 0.5;

/// Token bucket, refilled at a steady rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Available units; negative while the bucket is overdrawn.
    level: f64,
    /// Burst at the last refill.
    burst: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket filled to the burst.
    pub fn full(limit: RateLimit, now: Timestamp) -> Self {
        Self::at_level(limit.burst, limit, now)
    }

    /// Creates a bucket for a limit that another bucket may have served until now: half full, but
    /// with no more than has accrued while this process has run, so that restarts grant nothing.
    pub fn taken_over(limit: RateLimit, running_for: Duration, now: Timestamp) -> Self {
        let accrued = limit.per_second.max(0.0) * running_for.as_secs_f64();
        Self::at_level(accrued.min(limit.burst * UNKNOWN_FILL_FRACTION), limit, now)
    }

    /// Creates a bucket that holds `level` units, at most the burst.
    pub fn at_level(level: f64, limit: RateLimit, now: Timestamp) -> Self {
        TokenBucket { level: level.min(limit.burst), burst: limit.burst, refilled_at: now }
    }

    /// Takes `units` if the bucket holds them. A request larger than the burst is never admitted.
    ///
    /// # Errors
    /// Returns the time until the bucket holds the units.
    pub fn take(&mut self, units: f64, limit: RateLimit, now: Timestamp) -> Result<(), Duration> {
        self.refill(limit, now);
        if limit.per_second <= 0.0 || self.level < units {
            return Err(self.time_until(units, limit));
        }
        self.level -= units;
        Ok(())
    }

    /// Takes `units` if the bucket holds `reserve`, overdrawing it if necessary. Admission doesn't
    /// depend on the size of the request, and the units taken over any period exceed rate and
    /// burst by at most one request.
    ///
    /// # Errors
    /// Returns the time until the bucket holds the reserve.
    pub fn take_or_overdraw(
        &mut self,
        units: f64,
        reserve: f64,
        limit: RateLimit,
        now: Timestamp,
    ) -> Result<(), Duration> {
        self.refill(limit, now);
        if limit.per_second <= 0.0 || self.level < reserve {
            return Err(self.time_until(reserve, limit));
        }
        self.level -= units;
        Ok(())
    }

    /// Takes `units` if the bucket holds them. Otherwise empties the bucket and admits the request
    /// with a probability of level / units. On average this admits no more units than the buckets
    /// held, even if no bucket ever holds a whole request. `draw` is uniform in 0..1.
    ///
    /// # Errors
    /// Returns the time until the bucket holds all of the units.
    pub fn take_probabilistic(
        &mut self,
        units: f64,
        limit: RateLimit,
        now: Timestamp,
        draw: f64,
    ) -> Result<(), Duration> {
        self.refill(limit, now);
        if self.level >= units {
            self.level -= units;
            return Ok(());
        }
        let probability = self.level / units;
        self.level = self.level.min(0.0);
        match draw < probability {
            true => Ok(()),
            false => Err(self.time_until(units, limit)),
        }
    }

    /// Takes `units` unconditionally, overdrawing the bucket if necessary.
    pub fn take_unconditional(&mut self, units: f64, limit: RateLimit, now: Timestamp) {
        self.refill(limit, now);
        self.level -= units;
    }

    /// Returns units that were taken but not used.
    pub fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.burst);
    }

    /// Units missing until the bucket holds `reserve`.
    pub fn deficit(&self, reserve: f64) -> f64 {
        (reserve - self.level).max(0.0)
    }

    /// Refills the bucket and applies a changed limit: a larger burst is available at once, and a
    /// smaller one caps the level without creating debt.
    fn refill(&mut self, limit: RateLimit, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level += (limit.burst - self.burst).max(0.0);
        self.burst = limit.burst;
        self.level = (self.level + elapsed * limit.per_second.max(0.0)).min(limit.burst);
    }

    fn time_until(&self, units: f64, limit: RateLimit) -> Duration {
        if limit.per_second <= 0.0 {
            return MAX_WAIT;
        }
        let deficit = (units - self.level).max(0.0);
        let micros = (deficit / limit.per_second * 1e6).ceil();
        Duration::from_micros(micros as u64).min(MAX_WAIT)
    }
}
