//! Time as every pure crate sees it: a number passed in, never a clock read.

use std::time::Duration;

/// Microseconds since an origin that the caller chooses.
///
/// Within one process the origin is the start of the process, so the value is
/// monotonic; it must not be compared between processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The origin.
    pub const ZERO: Timestamp = Timestamp(0);

    /// A timestamp `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis * 1_000)
    }

    /// Whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// This timestamp moved back by `duration`, to the origin at the earliest.
    pub const fn before(self, duration: Duration) -> Self {
        Timestamp(self.0.saturating_sub(duration.as_micros() as u64))
    }

    /// This timestamp moved forward by `duration`, saturating.
    pub const fn after(self, duration: Duration) -> Self {
        Timestamp(self.0.saturating_add(duration.as_micros() as u64))
    }
}
