//! The work that this router has sent to a server, and how fast servers are.

use std::time::Duration;

/// Tokens that an engine reads in a millisecond, until it was measured.
const FIRST_TOKENS_PER_MS: f64 = 40.0;

/// Weight of one measured speed.
const SPEED_WEIGHT: f64 = 0.05;

/// Fewest read tokens from which a speed is measured; with fewer, other times weigh more.
const MIN_MEASURED_TOKENS: u32 = 1_500;

/// Bounds on a measured speed, in tokens a millisecond.
const SPEED_RANGE: std::ops::RangeInclusive<f64> = 2.0..=400.0;

/// Work under way on one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Requests under way.
    pub requests: u32,
    /// Requests without any output yet.
    pub waiting: u32,
    /// Tokens to read of those.
    pub waiting_tokens: u64,
}

impl Load {
    pub(crate) fn begin(&mut self, missed_tokens: u32) {
        self.requests += 1;
        self.waiting += 1;
        self.waiting_tokens += u64::from(missed_tokens);
    }

    pub(crate) fn first_output(&mut self, missed_tokens: u32) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(u64::from(missed_tokens));
    }

    pub(crate) fn end(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }
}

/// How fast the engines of a service read prompts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadingSpeed(f64);

impl Default for ReadingSpeed {
    fn default() -> Self {
        ReadingSpeed(FIRST_TOKENS_PER_MS)
    }
}

impl ReadingSpeed {
    /// Time to read so many tokens, in milliseconds.
    pub(crate) fn ms_for(self, tokens: f64) -> f64 {
        tokens / self.0
    }

    /// Time to read so many tokens.
    pub(crate) fn time_for(self, tokens: f64) -> Duration {
        Duration::from_secs_f64(self.ms_for(tokens) / 1_000.0)
    }

    /// Tokens read in a time.
    pub(crate) fn tokens_in(self, time: Duration) -> f64 {
        self.0 * time.as_secs_f64() * 1_000.0
    }

    /// A prompt of which `tokens` had to be read had its first output after `took`.
    pub(crate) fn record(&mut self, tokens: u32, took: Duration) {
        if tokens < MIN_MEASURED_TOKENS {
            return;
        }
        let took_ms = (took.as_secs_f64() * 1_000.0).max(1.0);
        let speed = f64::from(tokens) / took_ms;
        let speed = speed.clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end());
        self.0 += SPEED_WEIGHT * (speed - self.0);
    }
}
