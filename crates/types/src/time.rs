//! Timestamps that are passed to code which doesn't read a clock itself.

use std::time::Duration;

/// Monotonic time in microseconds since an origin that the caller chooses; negative before it.
///
/// Daemons use the start of the process as the origin, so timestamps must not be compared between
/// processes. What another process reports may be older than the origin: an age that were cut off
/// there would make the report the younger, the later this process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub i64);

impl Timestamp {
    /// Origin of the time scale.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Latest time that can be represented.
    pub const MAX: Timestamp = Timestamp(i64::MAX);

    /// Creates a timestamp `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp::ZERO.after(Duration::from_millis(millis))
    }

    /// Creates a timestamp `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp::ZERO.after(Duration::from_micros(micros))
    }

    /// Whole milliseconds since the origin, for logs; negative before it.
    pub const fn as_millis(self) -> i64 {
        self.0.div_euclid(1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        let elapsed = self.0.saturating_sub(earlier.0);
        Duration::from_micros(if elapsed < 0 { 0 } else { elapsed.unsigned_abs() })
    }

    /// Subtracts `duration`. The result may lie before the origin.
    pub const fn before(self, duration: Duration) -> Self {
        Timestamp(self.0.saturating_sub(micros(duration)))
    }

    /// Adds `duration`, saturating at the maximum.
    pub const fn after(self, duration: Duration) -> Self {
        Timestamp(self.0.saturating_add(micros(duration)))
    }
}

/// Microseconds of `duration`, at most 292,000 years.
const fn micros(duration: Duration) -> i64 {
    let micros = duration.as_micros();
    if micros > i64::MAX as u128 { i64::MAX } else { micros as i64 }
}
