//! Timestamps that are passed to code which doesn't read a clock itself.

use std::time::Duration;

/// Monotonic time in microseconds since an origin that the caller chooses.
///
/// Daemons use the start of the process as the origin, so timestamps must not be compared between
/// processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Origin of the time scale.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Creates a timestamp `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis * 1_000)
    }

    /// Whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Subtracts `duration`, saturating at the origin.
    pub const fn before(self, duration: Duration) -> Self {
        Timestamp(self.0.saturating_sub(duration.as_micros() as u64))
    }

    /// Adds `duration`, saturating at the maximum.
    pub const fn after(self, duration: Duration) -> Self {
        Timestamp(self.0.saturating_add(duration.as_micros() as u64))
    }
}
