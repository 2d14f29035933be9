//! Monotonic clock that maps real time to the models' timestamps.

use std::time::Instant;

use juniper_types::Timestamp;

/// Monotonic clock that starts at zero with the emulator.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    /// Time since the start of the clock.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.origin.elapsed())
    }

    /// Sleeps until `at`.
    pub async fn sleep_until(&self, at: Timestamp) {
        tokio::time::sleep(at.since(self.now())).await;
    }
}
