//! Rate limiter for log lines. Performs no I/O and reads no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use log::Level;

/// Rate limits for log lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineLimits {
    /// Lines per second.
    pub lines_per_second: f64,
    /// Bytes per second.
    pub bytes_per_second: f64,
    /// Burst size, in seconds of the rate.
    pub burst_seconds: f64,
    /// Fraction of the burst size that is reserved for warnings and errors.
    pub failure_reserve: f64,
}

impl Default for LineLimits {
    /// Two lines per request at 150 requests per second.
    fn default() -> Self {
        LineLimits {
            lines_per_second: 300.0,
            bytes_per_second: 90_000.0,
            burst_seconds: 4.0,
            failure_reserve: 0.3,
        }
    }
}

/// Decision on a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The line is written.
    Written,
    /// The line is dropped and counted.
    Dropped,
}

/// Token buckets for lines and bytes, with counts of dropped lines.
#[derive(Clone, Debug)]
pub struct LineBudget {
    limits: LineLimits,
    lines: f64,
    bytes: f64,
    refilled_at: Duration,
    dropped_counts: BTreeMap<String, u64>,
}

/// Number of event names with their own count of dropped lines; further ones share one count.
const MAX_COUNTED_EVENTS: usize = 32;

impl LineBudget {
    /// Creates a full budget.
    pub fn new(limits: LineLimits) -> Self {
        LineBudget {
            lines: limits.lines_per_second * limits.burst_seconds,
            bytes: limits.bytes_per_second * limits.burst_seconds,
            limits,
            refilled_at: Duration::ZERO,
            dropped_counts: BTreeMap::new(),
        }
    }

    /// Decides on a line at time `now` since the start, and counts it if it is dropped.
    pub fn admit(&mut self, level: Level, line: &str, now: Duration) -> Admission {
        self.refill(now);
        let reserved_fraction =
            if level <= Level::Warn { 0.0 } else { self.limits.failure_reserve };
        let burst_lines = self.limits.lines_per_second * self.limits.burst_seconds;
        let burst_bytes = self.limits.bytes_per_second * self.limits.burst_seconds;
        let bytes = line.len() as f64;
        let fits = self.lines - 1.0 >= reserved_fraction * burst_lines
            && self.bytes - bytes >= reserved_fraction * burst_bytes;
        if !fits {
            self.count_dropped(line);
            return Admission::Dropped;
        }
        self.lines -= 1.0;
        self.bytes -= bytes;
        Admission::Written
    }

    /// Counts a dropped line under its event name.
    pub fn count_dropped(&mut self, line: &str) {
        let event = event_name(line);
        let known = self.dropped_counts.contains_key(event)
            || self.dropped_counts.len() < MAX_COUNTED_EVENTS;
        let event = if known { event } else { "others" };
        *self.dropped_counts.entry(event.to_owned()).or_default() += 1;
    }

    /// Returns and resets the counts of dropped lines by event name.
    pub fn take_dropped_counts(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.dropped_counts)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let LineLimits { lines_per_second, bytes_per_second, burst_seconds, .. } = self.limits;
        let burst = |rate: f64| rate * burst_seconds;
        self.lines = (self.lines + elapsed * lines_per_second).min(burst(lines_per_second));
        self.bytes = (self.bytes + elapsed * bytes_per_second).min(burst(bytes_per_second));
    }
}

/// Event name of a line, or `unnamed`.
fn event_name(line: &str) -> &str {
    let event = line.split(' ').find_map(|pair| pair.strip_prefix("event="));
    event.unwrap_or("unnamed").trim_end()
}
