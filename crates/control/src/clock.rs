//! Wall clock, read only by proposers to timestamp commands.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch; zero if the clock is set to an earlier time.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Seconds since the Unix epoch.
pub fn unix_seconds() -> u64 {
    unix_millis() / 1_000
}
