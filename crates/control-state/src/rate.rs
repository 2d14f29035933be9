//! Limit on the rate of settings writes, as part of the replicated state.
//!
//! Time is the proposer's clock as the command carries it. One that runs a little
//! behind the last adds no allowance; one that is far behind shows that the last
//! was wrong, or is wrong itself, and counts from there. A wrong clock can so fill
//! the bucket, but never keep the writers with right ones out.

use minicbor::{Decode, Encode};

/// Writes accepted per minute on average: a thousand times the mean of 820 a day.
pub const WRITES_PER_MINUTE: u64 = 600;

/// Writes accepted at once above the average.
pub const WRITE_BURST: u64 = 300;

/// Milliseconds in which one write is earned.
const MS_PER_WRITE: u64 = 60_000 / WRITES_PER_MINUTE;

/// Steps back up to this are differences between sound clocks.
const CLOCK_TOLERANCE_MS: u64 = 10_000;

/// A token bucket that counts in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct WriteRate {
    #[n(0)]
    earned_ms: u64,
    #[n(1)]
    updated_ms: u64,
}

impl Default for WriteRate {
    fn default() -> Self {
        WriteRate { earned_ms: WRITE_BURST * MS_PER_WRITE, updated_ms: 0 }
    }
}

impl WriteRate {
    /// Takes one write from the bucket, or tells in how many milliseconds there is one.
    pub fn take(&mut self, now_ms: u64) -> Result<(), u64> {
        let elapsed = now_ms.saturating_sub(self.updated_ms);
        let is_far_behind = now_ms.saturating_add(CLOCK_TOLERANCE_MS) < self.updated_ms;
        if now_ms > self.updated_ms || is_far_behind {
            self.updated_ms = now_ms;
        }
        let earned = self.earned_ms.saturating_add(elapsed);
        self.earned_ms = earned.min(WRITE_BURST * MS_PER_WRITE);
        if self.earned_ms < MS_PER_WRITE {
            return Err(MS_PER_WRITE - self.earned_ms);
        }
        self.earned_ms -= MS_PER_WRITE;
        Ok(())
    }
}
