//! Times derived from the fitted parameters.

use std::time::Duration;

/// Samples of a service below which its estimates must not be a reason to refuse a request. At the
/// median of 20 samples the standard error is about a quarter of the spread of one sample.
pub const MIN_SAMPLES: usize = 20;

/// Concurrent prefill beyond which a gap doesn't grow: one event carries a bounded number of decode
/// steps, and each step runs beside one prefill chunk. Eight steps with chunks of 2,048 tokens.
pub(crate) const MAX_GAP_TOKENS: f64 = 16_384.0;

/// Time as a linear function of tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Part that doesn't depend on the tokens, in milliseconds.
    pub fixed_ms: f64,
    /// Increase for each token, in milliseconds.
    pub ms_per_token: f64,
}

impl Line {
    /// Time for `tokens`, in milliseconds.
    pub fn at(&self, tokens: f64) -> f64 {
        self.fixed_ms + self.ms_per_token * tokens
    }
}

/// Work before the first output of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstOutputWork {
    /// Prompt tokens that the server computes.
    pub prefill_tokens: f64,
    /// Prefill tokens queued ahead of the request.
    pub tokens_ahead: f64,
    /// Time of the KV transfer, in milliseconds.
    pub transfer_ms: f64,
}

/// Expected times of a service, at a server of ordinary speed unless a factor is passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingEstimate {
    pub(crate) first_output: Line,
    pub(crate) gap: Line,
    pub(crate) concurrent_tokens: f64,
    pub(crate) samples: usize,
}

impl Default for TimingEstimate {
    fn default() -> Self {
        TimingEstimate::START
    }
}

impl TimingEstimate {
    /// Optimistic estimate before the first sample, so that an unknown server isn't avoided.
    pub const START: TimingEstimate = TimingEstimate {
        first_output: Line { fixed_ms: 50.0, ms_per_token: 0.01 },
        gap: Line { fixed_ms: 40.0, ms_per_token: 0.01 },
        concurrent_tokens: 0.0,
        samples: 0,
    };

    /// Part of the time to first output that doesn't depend on the prompt, in milliseconds.
    pub fn fixed_ms(&self) -> f64 {
        self.first_output.fixed_ms
    }

    /// Prefill time of `tokens`, without the fixed part, in milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.first_output.ms_per_token
    }

    /// Prefill tokens that a server computes within `time`.
    pub fn tokens_in(&self, time: Duration) -> f64 {
        time.as_secs_f64() * 1_000.0 / self.first_output.ms_per_token
    }

    /// Time to first output at a server of ordinary speed, in milliseconds.
    pub fn first_output_ms(&self, work: FirstOutputWork) -> f64 {
        self.first_output.at(work.prefill_tokens + work.tokens_ahead) + work.transfer_ms
    }

    /// Longest gap of a stream beside `prefill_tokens` of other prompts, in milliseconds.
    pub fn gap_ms(&self, prefill_tokens: f64) -> f64 {
        self.gap.at(prefill_tokens.clamp(0.0, MAX_GAP_TOKENS))
    }

    /// Longest gap of a new stream, in milliseconds. The prefill that will run beside it isn't
    /// known yet: it is the mean of the recent peak at its server and of what is usual.
    pub fn new_stream_gap_ms(&self, recent_peak_tokens: f64) -> f64 {
        self.gap_ms((self.concurrent_tokens + recent_peak_tokens) / 2.0)
    }

    /// Number of first outputs that the estimate is based on.
    pub fn samples(&self) -> usize {
        self.samples
    }

    /// Whether the estimate may be a reason to refuse a request.
    pub fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}
