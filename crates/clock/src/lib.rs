//! Monotonic clock that includes suspensions of the machine.
//!
//! [`std::time::Instant`] and the timers of the runtime don't advance during a suspension. Ages
//! taken from them would be too short after a resume: a router would still accept a key that was
//! revoked meanwhile. Ages and expiries on which permissions depend use [`BootInstant`]
//! (`CLOCK_BOOTTIME`).

use std::ops::Add;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

#[cfg(feature = "testing")]
pub mod testing;
mod watch;

pub use watch::{SuspensionWatch, log_suspensions};

/// Instant on `CLOCK_BOOTTIME`, which includes suspensions, in nanoseconds since the boot of the
/// machine. Negative before it: what another machine reports may be older than this machine's boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(i64);

impl BootInstant {
    /// Boot of the machine.
    pub const BOOT: BootInstant = BootInstant(0);

    /// Returns the current instant.
    pub fn now() -> Self {
        // CLOCK_BOOTTIME exists since Linux 2.6.39, so the call can't fail on later kernels.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from);
        BootInstant::BOOT + time + simulated_suspension()
    }

    /// Returns the time elapsed since this instant, including suspensions.
    pub fn elapsed(&self) -> Duration {
        BootInstant::now().since(*self)
    }

    /// Returns the time elapsed from `earlier` to this instant, or zero if `earlier` is later.
    pub fn since(&self, earlier: BootInstant) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0).max(0).unsigned_abs())
    }

    /// Subtracts `duration`. The result may lie before the boot of the machine.
    pub fn before(&self, duration: Duration) -> Self {
        BootInstant(self.0.saturating_sub(nanos(duration)))
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, duration: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(nanos(duration)))
    }
}

/// Nanoseconds of `duration`, at most 292 years.
fn nanos(duration: Duration) -> i64 {
    i64::try_from(duration.as_nanos()).unwrap_or(i64::MAX)
}

#[cfg(feature = "testing")]
fn simulated_suspension() -> Duration {
    testing::simulated_suspension()
}

#[cfg(not(feature = "testing"))]
fn simulated_suspension() -> Duration {
    Duration::ZERO
}
