//! Progress of a body that is being read.

use std::time::Duration;

use juniper_types::Timestamp;

/// Time without a byte after which a body counts as stalled. It gives way only when memory is short.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Period over which the speed of a body is measured.
const SPEED_PERIOD: Duration = Duration::from_secs(1);

/// Speed below which a body gives way like one that has stalled, in bytes per second.
const MIN_SPEED: f64 = 32_768.0;

/// A body whose bytes the account covers.
#[derive(Clone, Debug)]
pub(crate) struct Body {
    /// Bytes that it holds.
    pub held: usize,
    /// Whether its end hasn't been read.
    pub is_read: bool,
    /// Whether it was told to give way.
    pub is_evicted: bool,
    /// Order in which the bodies began.
    pub order: u64,
    advanced_at: Timestamp,
    period_start: Timestamp,
    period_bytes: usize,
    /// Speed over the latest whole period, in bytes per second.
    speed: Option<f64>,
}

impl Body {
    pub(crate) fn new(order: u64, now: Timestamp) -> Self {
        Body {
            held: 0,
            is_read: true,
            is_evicted: false,
            order,
            advanced_at: now,
            period_start: now,
            period_bytes: 0,
            speed: None,
        }
    }

    /// Records that bytes have arrived.
    pub(crate) fn advance(&mut self, bytes: usize, now: Timestamp) {
        self.advanced_at = now;
        self.period_bytes += bytes;
        let elapsed = now.since(self.period_start);
        if elapsed >= SPEED_PERIOD {
            self.speed = Some(self.period_bytes as f64 / elapsed.as_secs_f64());
            self.period_start = now;
            self.period_bytes = 0;
        }
    }

    /// Whether the body has stalled, or advances so slowly that it would hold its memory for long.
    pub(crate) fn is_slow(&self, now: Timestamp) -> bool {
        let has_stalled = now.since(self.advanced_at) >= STALL_TIME;
        has_stalled || self.speed.is_some_and(|speed| speed < MIN_SPEED)
    }
}
