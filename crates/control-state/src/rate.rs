//! Rate limit on settings writes, as part of the replicated state.
//!
//! Time is the proposer's clock from the command. A clock slightly behind the latest one
//! adds no tokens. A clock far behind becomes the new reference, because either of the two
//! may be wrong. Thus a wrong clock can fill the bucket, but never block later writers.

use minicbor::{Decode, Encode};

/// Average number of writes accepted per minute: a thousand times the mean of 820 a day.
pub const WRITES_PER_MINUTE: u64 = 600;

/// Capacity of the token bucket, in writes.
pub const WRITE_BURST: u64 = 300;

/// Time in which the bucket gains one write, in milliseconds.
const MS_PER_WRITE: u64 = 60_000 / WRITES_PER_MINUTE;

/// Tolerated difference between the proposers' clocks, in milliseconds.
const CLOCK_TOLERANCE_MS: u64 = 10_000;

/// Token bucket for writes, with the fill level in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct WriteRateLimiter {
    #[n(0)]
    available_ms: u64,
    #[n(1)]
    updated_ms: u64,
}

impl Default for WriteRateLimiter {
    fn default() -> Self {
        WriteRateLimiter { available_ms: WRITE_BURST * MS_PER_WRITE, updated_ms: 0 }
    }
}

impl WriteRateLimiter {
    /// Takes one write from the bucket. The error is the delay until one is available, in
    /// milliseconds.
    pub fn try_acquire(&mut self, now_ms: u64) -> Result<(), u64> {
        let elapsed = now_ms.saturating_sub(self.updated_ms);
        let is_far_behind = now_ms.saturating_add(CLOCK_TOLERANCE_MS) < self.updated_ms;
        if now_ms > self.updated_ms || is_far_behind {
            self.updated_ms = now_ms;
        }
        let refilled = self.available_ms.saturating_add(elapsed);
        self.available_ms = refilled.min(WRITE_BURST * MS_PER_WRITE);
        if self.available_ms < MS_PER_WRITE {
            return Err(MS_PER_WRITE - self.available_ms);
        }
        self.available_ms -= MS_PER_WRITE;
        Ok(())
    }
}
