//! Real time as the models see it.

use std::time::Instant;

use juniper_types::Timestamp;

/// Counts from the start of the emulator.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    /// The present moment.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.origin.elapsed())
    }

    /// Waits until `at`.
    pub async fn sleep_until(&self, at: Timestamp) {
        tokio::time::sleep(at.since(self.now())).await;
    }
}
