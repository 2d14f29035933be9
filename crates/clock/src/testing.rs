//! Suspensions of the machine as tests make them: this clock jumps, the steady one doesn't.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// The machine was suspended for so long, just now. It holds for the whole process.
pub fn suspend(time: Duration) {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    SUSPENDED_MS.fetch_add(millis, Ordering::SeqCst);
}

pub(crate) fn suspended() -> Duration {
    Duration::from_millis(SUSPENDED_MS.load(Ordering::SeqCst))
}
