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

/// Instant on `CLOCK_BOOTTIME`: time since the boot of the machine, including suspensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current instant.
    pub fn now() -> Self {
        // CLOCK_BOOTTIME exists since Linux 2.6.39, so the call can't fail on later kernels.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from);
        BootInstant(time + simulated_suspension())
    }

    /// Returns the time elapsed since this instant, including suspensions.
    pub fn elapsed(&self) -> Duration {
        BootInstant::now().since(*self)
    }

    /// Returns the time elapsed from `earlier` to this instant, or zero if `earlier` is later.
    pub fn since(&self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Subtracts `duration`, saturating at the boot of the machine.
    pub fn before(&self, duration: Duration) -> Self {
        BootInstant(self.0.saturating_sub(duration))
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, duration: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(duration))
    }
}

#[cfg(feature = "testing")]
fn simulated_suspension() -> Duration {
    testing::simulated_suspension()
}

#[cfg(not(feature = "testing"))]
fn simulated_suspension() -> Duration {
    Duration::ZERO
}
