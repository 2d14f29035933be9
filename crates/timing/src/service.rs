//! Fit of the times that all servers of a service have in common.

use std::time::Duration;

use juniper_types::Timestamp;

use crate::estimate::{FirstOutputWork, Line, MAX_GAP_TOKENS, TimingEstimate};
use crate::median_line::{Bounds, MAX_AGE, MedianLine, Sample};

/// Longest time that counts as a sample. Longer ones come from a suspended process or a server that
/// hung, not from prefill.
const MAX_SAMPLE: Duration = Duration::from_secs(10);

/// Bounds on the fixed part, in milliseconds. The maximum is above the largest objective of a
/// service with tight objectives (450 ms).
const FIXED_MS: (f64, f64) = (1.0, 500.0);

/// Bounds on the time for each token, in milliseconds: 400 to 2 tokens per millisecond.
const MS_PER_TOKEN: (f64, f64) = (0.0025, 0.5);

/// Times of a service, fitted to the first outputs and stream gaps that a router observes.
#[derive(Clone, Debug)]
pub struct ServiceTiming {
    first_output: MedianLine,
    gap: MedianLine,
    concurrent_tokens: f64,
    last_sample: Timestamp,
}

impl Default for ServiceTiming {
    fn default() -> Self {
        let bounds = |per_token: (f64, f64)| Bounds {
            fixed_ms: FIXED_MS.0..=FIXED_MS.1,
            ms_per_token: per_token.0..=per_token.1,
        };
        let start = TimingEstimate::START;
        ServiceTiming {
            first_output: MedianLine::new(start.first_output, bounds(MS_PER_TOKEN)),
            // Prefill that isn't interleaved with decode steps adds nothing to a gap.
            gap: MedianLine::new(start.gap, bounds((0.0, MS_PER_TOKEN.1))),
            concurrent_tokens: start.concurrent_tokens,
            last_sample: Timestamp::ZERO,
        }
    }
}

impl ServiceTiming {
    /// Adds a sample: the first output of a request with `work` took `took`. It counts by the share of
    /// the request's own prefill: behind a long queue the time mostly measures the queue.
    pub fn record_first_output(&mut self, work: FirstOutputWork, took: Duration, now: Timestamp) {
        if took > MAX_SAMPLE {
            return;
        }
        self.restart_if_idle(now);
        self.last_sample = now;
        let ms = took.as_secs_f64() * 1_000.0 - work.transfer_ms;
        let tokens = work.prefill_tokens + work.tokens_ahead;
        let weight = work.prefill_tokens.max(1.0) / tokens.max(1.0);
        self.first_output.record(Sample { tokens, ms: ms.max(0.0), weight, at: now });
    }

    /// Adds a sample: the longest gap of a stream beside up to `prefill_tokens` of other prompts.
    pub fn record_gap(&mut self, prefill_tokens: f64, longest_gap: Duration, now: Timestamp) {
        if longest_gap > MAX_SAMPLE {
            return;
        }
        self.restart_if_idle(now);
        let ms = longest_gap.as_secs_f64() * 1_000.0;
        let tokens = prefill_tokens.clamp(0.0, MAX_GAP_TOKENS);
        self.gap.record(Sample { tokens, ms, weight: 1.0, at: now });
        self.concurrent_tokens = self.gap.median_tokens();
    }

    /// Estimate at `now`.
    pub fn estimate(&self, now: Timestamp) -> TimingEstimate {
        if self.is_idle(now) {
            return TimingEstimate::START;
        }
        TimingEstimate {
            first_output: self.first_output.line(),
            gap: self.gap.line(),
            concurrent_tokens: self.concurrent_tokens,
            samples: self.first_output.len(),
        }
    }

    /// Fitted time to first output by tokens to prefill.
    pub fn first_output_line(&self) -> Line {
        self.first_output.line()
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        now.since(self.last_sample) > MAX_AGE
    }

    fn restart_if_idle(&mut self, now: Timestamp) {
        if self.is_idle(now) {
            *self = ServiceTiming { last_sample: now, ..ServiceTiming::default() };
        }
    }
}
