//! Simulated suspensions for tests: [`crate::BootInstant`] jumps, `Instant` doesn't.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Simulates a suspension of the machine of this duration, for the whole process.
pub fn suspend(duration: Duration) {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    SUSPENDED_MS.fetch_add(millis, Ordering::SeqCst);
}

pub(crate) fn simulated_suspension() -> Duration {
    Duration::from_millis(SUSPENDED_MS.load(Ordering::SeqCst))
}
