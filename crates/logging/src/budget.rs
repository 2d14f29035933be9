//! The bound on the volume of lines. Pure: lines and time in, verdict out.

use std::collections::BTreeMap;
use std::time::Duration;

use log::Level;

/// Bounds on the volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineLimits {
    /// Lines a second.
    pub lines_per_second: f64,
    /// Bytes a second.
    pub bytes_per_second: f64,
    /// Seconds of unused volume that may be saved up.
    pub saved_seconds: f64,
    /// Part of the saved volume that is kept for warnings and errors.
    pub failure_part: f64,
}

impl Default for LineLimits {
    /// Two lines for each of 150 requests a second.
    fn default() -> Self {
        LineLimits {
            lines_per_second: 300.0,
            bytes_per_second: 90_000.0,
            saved_seconds: 4.0,
            failure_part: 0.3,
        }
    }
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Written,
    /// It is left out and counted.
    LeftOut,
}

/// Bounds the volume and counts what is left out.
#[derive(Clone, Debug)]
pub struct LineBudget {
    limits: LineLimits,
    lines: f64,
    bytes: f64,
    refilled_at: Duration,
    left_out: BTreeMap<String, u64>,
}

/// Kinds of lines that are counted by themselves; the rest counts together.
const MAX_KINDS: usize = 32;

impl LineBudget {
    /// A full budget.
    pub fn new(limits: LineLimits) -> Self {
        LineBudget {
            lines: limits.lines_per_second * limits.saved_seconds,
            bytes: limits.bytes_per_second * limits.saved_seconds,
            limits,
            refilled_at: Duration::ZERO,
            left_out: BTreeMap::new(),
        }
    }

    /// Whether a line is written at the time `now` since the start.
    pub fn admit(&mut self, level: Level, line: &str, now: Duration) -> Admission {
        self.refill(now);
        let reserve = if level <= Level::Warn { 0.0 } else { self.limits.failure_part };
        let saved_lines = self.limits.lines_per_second * self.limits.saved_seconds;
        let saved_bytes = self.limits.bytes_per_second * self.limits.saved_seconds;
        let bytes = line.len() as f64;
        let fits = self.lines - 1.0 >= reserve * saved_lines
            && self.bytes - bytes >= reserve * saved_bytes;
        if !fits {
            self.leave_out(line);
            return Admission::LeftOut;
        }
        self.lines -= 1.0;
        self.bytes -= bytes;
        Admission::Written
    }

    /// Counts a line that was left out.
    pub fn leave_out(&mut self, line: &str) {
        let kind = kind_of(line);
        let known = self.left_out.contains_key(kind) || self.left_out.len() < MAX_KINDS;
        let kind = if known { kind } else { "others" };
        *self.left_out.entry(kind.to_owned()).or_default() += 1;
    }

    /// What was left out since it was last asked, by kind.
    pub fn take_left_out(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.left_out)
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let LineLimits { lines_per_second, bytes_per_second, saved_seconds, .. } = self.limits;
        let full = |rate: f64| rate * saved_seconds;
        self.lines = (self.lines + elapsed * lines_per_second).min(full(lines_per_second));
        self.bytes = (self.bytes + elapsed * bytes_per_second).min(full(bytes_per_second));
    }
}

/// The event that a line tells of.
fn kind_of(line: &str) -> &str {
    let event = line.split(' ').find_map(|pair| pair.strip_prefix("event="));
    event.unwrap_or("unnamed").trim_end()
}
