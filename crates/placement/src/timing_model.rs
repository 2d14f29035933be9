//! Timing of a service's servers: the fitted model of services with tight objectives, or the ratio
//! of tokens and time of all others.

use std::time::Duration;

use juniper_timing::{FirstOutputWork, ServerFactor, TimingEstimate};
use juniper_types::Timestamp;

use crate::health::Health;
use crate::load::PrefillSpeed;

/// How long prefill, queues and first outputs take at the servers of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimingModel {
    /// One speed for everything; what it doesn't explain is the server's delay.
    Ratio(PrefillSpeed),
    /// Fixed part, time for each token and a factor of each server.
    Fitted(TimingEstimate),
}

/// Momentary speed of one server, as far as the model uses it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ServerPace {
    /// Time by which first outputs exceed their prefill, in milliseconds.
    Delay(f64),
    /// Time relative to a server of ordinary speed.
    Factor(f64),
}

impl TimingModel {
    /// Momentary speed of a server.
    pub(crate) fn pace(
        &self,
        health: &Health,
        factor: &ServerFactor,
        now: Timestamp,
    ) -> ServerPace {
        match self {
            TimingModel::Ratio(_) => ServerPace::Delay(health.delay_ms(now)),
            TimingModel::Fitted(_) => ServerPace::Factor(factor.at(now)),
        }
    }

    /// Prefill time of `tokens`, without the fixed part of a first output, in milliseconds.
    pub(crate) fn prefill_ms(&self, tokens: f64) -> f64 {
        match self {
            TimingModel::Ratio(speed) => speed.ms_for(tokens),
            TimingModel::Fitted(timing) => timing.prefill_ms(tokens),
        }
    }

    /// Prefill time of `tokens`.
    pub(crate) fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(self.prefill_ms(tokens) / 1_000.0)
    }

    /// Tokens that a server computes within `time`.
    pub(crate) fn tokens_in(&self, time: Duration) -> f64 {
        match self {
            TimingModel::Ratio(speed) => speed.tokens_in(time),
            TimingModel::Fitted(timing) => timing.tokens_in(time),
        }
    }

    /// Time to first output, in milliseconds.
    pub(crate) fn first_output_ms(&self, work: FirstOutputWork, pace: ServerPace) -> f64 {
        match (self, pace) {
            (TimingModel::Fitted(timing), ServerPace::Factor(factor)) => {
                timing.first_output_ms(work) * factor
            }
            _ => {
                let prefill_ms = self.prefill_ms(work.prefill_tokens);
                self.wait_ms(work.tokens_ahead, pace) + prefill_ms + work.transfer_ms
            }
        }
    }

    /// Time in the queue behind `tokens_ahead`, in milliseconds.
    pub(crate) fn wait_ms(&self, tokens_ahead: f64, pace: ServerPace) -> f64 {
        match pace {
            ServerPace::Delay(delay_ms) => self.prefill_ms(tokens_ahead) + delay_ms,
            ServerPace::Factor(factor) => self.prefill_ms(tokens_ahead) * factor,
        }
    }

    /// Time by which the server's momentary speed lengthens the first output, in milliseconds;
    /// negative at a server that is faster than others.
    pub(crate) fn delay_ms(&self, work: FirstOutputWork, pace: ServerPace) -> f64 {
        match (self, pace) {
            (_, ServerPace::Delay(delay_ms)) => delay_ms,
            (TimingModel::Fitted(timing), ServerPace::Factor(factor)) => {
                timing.first_output_ms(work) * (factor - 1.0)
            }
            (TimingModel::Ratio(_), ServerPace::Factor(_)) => 0.0,
        }
    }

    /// Longest gap of the streams on a server while it computes `prefill_tokens`, in milliseconds;
    /// `None` if the model has no gaps.
    pub(crate) fn gap_ms(&self, prefill_tokens: f64, pace: ServerPace) -> Option<f64> {
        match (self, pace) {
            (TimingModel::Fitted(timing), ServerPace::Factor(factor)) => {
                Some(timing.gap_ms(prefill_tokens) * factor)
            }
            _ => None,
        }
    }

    /// Longest gap of a new stream on a server whose queue had up to `recent_peak_tokens` lately,
    /// in milliseconds; `None` if the model has no gaps.
    pub(crate) fn new_stream_gap_ms(
        &self,
        recent_peak_tokens: f64,
        pace: ServerPace,
    ) -> Option<f64> {
        match (self, pace) {
            (TimingModel::Fitted(timing), ServerPace::Factor(factor)) => {
                Some(timing.new_stream_gap_ms(recent_peak_tokens) * factor)
            }
            _ => None,
        }
    }

    /// Whether the expected times may be a reason to refuse a request.
    pub(crate) fn may_refuse(&self) -> bool {
        match self {
            TimingModel::Ratio(_) => true,
            TimingModel::Fitted(timing) => timing.has_enough_samples(),
        }
    }

    /// Whether the model follows the peaks of the servers' queues.
    pub(crate) fn uses_peaks(&self) -> bool {
        matches!(self, TimingModel::Fitted(_))
    }
}
