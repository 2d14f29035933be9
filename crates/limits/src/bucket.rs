//! A token bucket whose rate and size may change at any time.

use std::time::Duration;

use juniper_types::Timestamp;

use crate::account::RateLimit;

/// Longest pause suggested, also for a rate of zero.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Part of the burst that is there at first in a bucket whose past isn't known.
const UNKNOWN_LEVEL: f64 = 0.5;

/// Units that may be taken at once, refilled at a steady rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Units that are there; below zero after one that was taken whole.
    level: f64,
    /// Burst that the level was last held against.
    burst: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A bucket with as much as there can be.
    pub fn full(limit: RateLimit, now: Timestamp) -> Self {
        Self::at_level(limit.burst, limit, now)
    }

    /// A bucket whose past isn't known: another one may have been used until now.
    pub fn of_unknown_past(limit: RateLimit, now: Timestamp) -> Self {
        Self::at_level(limit.burst * UNKNOWN_LEVEL, limit, now)
    }

    /// A bucket with `level` units.
    pub fn at_level(level: f64, limit: RateLimit, now: Timestamp) -> Self {
        TokenBucket { level: level.min(limit.burst), burst: limit.burst, refilled_at: now }
    }

    /// Takes `units` whole, or says how long it takes until they are there. More than the
    /// burst never is; a bucket of such a size admits nothing.
    ///
    /// # Errors
    /// The time until the units are there.
    pub fn take(&mut self, units: f64, limit: RateLimit, now: Timestamp) -> Result<(), Duration> {
        self.refill(limit, now);
        if limit.per_second <= 0.0 || self.level < units {
            return Err(self.time_until(units, limit));
        }
        self.level -= units;
        Ok(())
    }

    /// Takes `units` if the bucket holds `reserve`, and may overdraw it. Requests of all sizes
    /// are admitted alike; what is taken in any time is above rate and burst by one request at
    /// most.
    ///
    /// # Errors
    /// The time until the bucket holds the reserve.
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

    /// Takes `units` by chance: if fewer are there, all of them are taken, and the request is
    /// admitted with the probability that they are of its units. On average no more is admitted
    /// than was there, also over many buckets of which none holds a whole request.
    /// `draw` is drawn evenly from 0 to 1.
    ///
    /// # Errors
    /// The time until all of the units would be there.
    pub fn take_by_chance(
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
        let chance = self.level / units;
        self.level = self.level.min(0.0);
        match draw < chance {
            true => Ok(()),
            false => Err(self.time_until(units, limit)),
        }
    }

    /// Takes `units` whatever is there.
    pub fn take_anyway(&mut self, units: f64, limit: RateLimit, now: Timestamp) {
        self.refill(limit, now);
        self.level -= units;
    }

    /// Puts back what was taken for nothing.
    pub fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.burst);
    }

    /// Units that lack until the bucket holds `reserve`.
    pub fn lacking(&self, reserve: f64) -> f64 {
        (reserve - self.level).max(0.0)
    }

    /// Refills the bucket and takes over a limit that has changed: a larger burst is there at
    /// once, a smaller one leaves no debt.
    fn refill(&mut self, limit: RateLimit, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level += (limit.burst - self.burst).max(0.0);
        self.burst = limit.burst;
        self.level = (self.level + elapsed * limit.per_second.max(0.0)).min(limit.burst);
    }

    fn time_until(&self, units: f64, limit: RateLimit) -> Duration {
        if limit.per_second <= 0.0 {
            return MAX_PAUSE;
        }
        let lacking = (units - self.level).max(0.0);
        let micros = (lacking / limit.per_second * 1e6).ceil();
        Duration::from_micros(micros as u64).min(MAX_PAUSE)
    }
}
