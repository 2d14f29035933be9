//! Work that this router has dispatched to a server, and prefill speed.

use std::time::Duration;

/// Prefill speed before the first sample.
const INITIAL_TOKENS_PER_MS: f64 = 40.0;

/// Weight of one speed sample.
const SPEED_WEIGHT: f64 = 0.05;

/// Minimum prefill for a speed sample; below it other delays dominate.
const MIN_MEASURED_TOKENS: u32 = 1_500;

/// Bounds on a speed sample, in tokens per millisecond.
const SPEED_RANGE: std::ops::RangeInclusive<f64> = 2.0..=400.0;

/// In-flight work of this router on one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// In-flight requests.
    pub requests: u32,
    /// Requests without any output yet.
    pub awaiting_output: u32,
    /// Prefill tokens of the requests without output.
    pub queued_tokens: u64,
}

impl Load {
    pub(crate) fn add_request(&mut self, prefill_tokens: u32) {
        self.requests += 1;
        self.awaiting_output += 1;
        self.queued_tokens += u64::from(prefill_tokens);
    }

    pub(crate) fn first_output(&mut self, prefill_tokens: u32) {
        self.awaiting_output = self.awaiting_output.saturating_sub(1);
        self.queued_tokens = self.queued_tokens.saturating_sub(u64::from(prefill_tokens));
    }

    pub(crate) fn remove_request(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }
}

/// Prefill speed of the servers of a service, in tokens per millisecond.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillSpeed(f64);

impl Default for PrefillSpeed {
    fn default() -> Self {
        PrefillSpeed(INITIAL_TOKENS_PER_MS)
    }
}

impl PrefillSpeed {
    /// Prefill time of `tokens`, in milliseconds.
    pub(crate) fn ms_for(self, tokens: f64) -> f64 {
        tokens / self.0
    }

    /// Tokens computed within `time`.
    pub(crate) fn tokens_in(self, time: Duration) -> f64 {
        self.0 * time.as_secs_f64() * 1_000.0
    }

    /// Adds a sample: prefill of `tokens` took `took` until the first output.
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
