//! Detection of suspensions of the machine.

use std::time::{Duration, Instant};

use tokio::time::{MissedTickBehavior, interval};

use crate::BootInstant;

/// Interval of checks, and the maximum delay between a resume and its log line.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum difference between the clocks that counts as a suspension. Smaller ones occur because
/// the clocks are read one after the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Detects suspensions by comparing `CLOCK_BOOTTIME` with the monotonic clock, which stops.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionWatch {
    monotonic: Instant,
    boot: BootInstant,
}

impl Default for SuspensionWatch {
    fn default() -> Self {
        SuspensionWatch { monotonic: Instant::now(), boot: BootInstant::now() }
    }
}

impl SuspensionWatch {
    /// Returns the duration of suspensions since the last call, if there were any.
    pub fn check(&mut self) -> Option<Duration> {
        let latest = SuspensionWatch::default();
        let running = latest.monotonic.saturating_duration_since(self.monotonic);
        let suspended = latest.boot.since(self.boot).saturating_sub(running);
        *self = latest;
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}

/// Logs each suspension of the machine. Runs until it is cancelled.
pub async fn log_suspensions() {
    let mut watch = SuspensionWatch::default();
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(suspended) = watch.check() {
            log::warn!("event=machine_was_suspended for_ms={}", suspended.as_millis());
        }
    }
}
