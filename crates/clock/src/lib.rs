//! A clock that goes on while the machine is suspended.
//!
//! The steady clock of the system, and so every timer of the runtime, stands still while a machine
//! is suspended. An age that is measured on it is too short by that time: a router that has slept for
//! ten seconds would take a key that was taken away meanwhile for confirmed a moment ago. Ages and
//! expiries that decide whether something may still be done are measured by a [`BootInstant`].

use std::ops::Add;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

#[cfg(feature = "testing")]
pub mod testing;
mod watch;

pub use watch::{SuspensionWatch, log_suspensions};

/// A moment on the clock that counts from the start of the machine, suspensions included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// This moment.
    pub fn now() -> Self {
        // The system knows the clock since Linux 2.6.39; it can't fail on a later one.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from);
        BootInstant(time + simulated_suspension())
    }

    /// Time that has passed since, also while the machine was suspended.
    pub fn elapsed(&self) -> Duration {
        BootInstant::now().since(*self)
    }

    /// Time from `earlier` to this moment, or zero if `earlier` is later.
    pub fn since(&self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment `by` before this one, at the start of the machine at the earliest.
    pub fn before(&self, by: Duration) -> Self {
        BootInstant(self.0.saturating_sub(by))
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, by: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(by))
    }
}

#[cfg(feature = "testing")]
fn simulated_suspension() -> Duration {
    testing::suspended()
}

#[cfg(not(feature = "testing"))]
fn simulated_suspension() -> Duration {
    Duration::ZERO
}
