//! Notices that the machine was suspended.

use std::time::{Duration, Instant};

use tokio::time::{MissedTickBehavior, interval};

use crate::BootInstant;

/// Pace of the look; a suspension is logged within it after the machine has woken up.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Difference of the clocks that is a suspension: the two are read one after the other.
const LEAST_SUSPENSION: Duration = Duration::from_millis(100);

/// Compares the clock that counts suspensions with the one that doesn't.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionWatch {
    steady: Instant,
    boot: BootInstant,
}

impl Default for SuspensionWatch {
    fn default() -> Self {
        SuspensionWatch { steady: Instant::now(), boot: BootInstant::now() }
    }
}

impl SuspensionWatch {
    /// Time for which the machine was suspended since the last look, if it was.
    pub fn look(&mut self) -> Option<Duration> {
        let latest = SuspensionWatch::default();
        let awake = latest.steady.saturating_duration_since(self.steady);
        let asleep = latest.boot.since(self.boot).saturating_sub(awake);
        *self = latest;
        (asleep >= LEAST_SUSPENSION).then_some(asleep)
    }
}

/// Logs each suspension of the machine, for ever.
pub async fn log_suspensions() {
    let mut watch = SuspensionWatch::default();
    let mut ticks = interval(LOOK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(asleep) = watch.look() {
            log::warn!("event=machine_was_suspended for_ms={}", asleep.as_millis());
        }
    }
}
