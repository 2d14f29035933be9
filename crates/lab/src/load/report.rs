//! Report of a load run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::{CreationError, Histogram};
use serde::Serialize;

use super::outcome::{Ending, Outcome, RequestKind, Violation};

/// Highest latency that the histograms resolve, in microseconds (ten minutes).
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Maximum number of violations described individually.
const MAX_DESCRIBED_VIOLATIONS: usize = 50;

/// Percentiles of a latency, in milliseconds; absent when nothing was measured.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Latency {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl Latency {
    fn of(histogram: &Histogram<u64>) -> Option<Self> {
        if histogram.is_empty() {
            return None;
        }
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Some(Latency {
            count: histogram.len(),
            p50_ms: millis(0.50),
            p90_ms: millis(0.90),
            p99_ms: millis(0.99),
            max_ms: histogram.max() as f64 / 1_000.0,
        })
    }
}

/// Requests of one kind by final state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct KindCounts {
    /// All requests.
    pub requests: u64,
    /// Requests completed with the whole answer.
    pub complete: u64,
    /// Requests refused without execution.
    pub refused: u64,
    /// Requests that failed without a whole answer.
    pub failed: u64,
    /// At-most-once requests whose execution is unknown.
    pub unknown: u64,
}

/// Report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests completed with the whole answer.
    pub complete: u64,
    /// Requests refused without execution.
    pub refused: u64,
    /// Requests that failed without a whole answer.
    pub failed: u64,
    /// At-most-once requests whose execution is unknown.
    pub unknown: u64,
    /// Number of violated guarantees.
    pub violations: u64,
    /// Details of the first violations.
    pub violation_details: Vec<Violation>,
    /// Share of prompt tokens that were cached, over completed chats.
    pub hit_rate: f64,
    /// Median time to first token of streamed chats, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 99th percentile of the time to first token of streamed chats, in milliseconds.
    pub ttft_p99_ms: f64,
    /// Time to first token of streamed chats.
    pub first_token: Option<Latency>,
    /// Time to the whole answer by request kind.
    pub whole_answer: BTreeMap<RequestKind, Latency>,
    /// Request counts by kind.
    pub by_kind: BTreeMap<RequestKind, KindCounts>,
    /// Refusals by error code.
    pub refusals: BTreeMap<String, u64>,
    /// Failures by reason.
    pub failures: BTreeMap<String, u64>,
    /// Number of retries.
    pub retries: u64,
    /// Number of retries that resumed a partial answer.
    pub resumed: u64,
    /// Longest delay of a request by the load generator itself, in milliseconds.
    pub generator_lag_ms: f64,
    /// Duration of the run, in milliseconds.
    pub duration_ms: u64,
}

/// Aggregates the outcomes of a run.
#[derive(Clone, Debug)]
pub struct Collector {
    by_kind: BTreeMap<RequestKind, KindCounts>,
    refusals: BTreeMap<String, u64>,
    failures: BTreeMap<String, u64>,
    violations: Vec<Violation>,
    first_token: Histogram<u64>,
    whole_answer: BTreeMap<RequestKind, Histogram<u64>>,
    prompt_tokens: u64,
    cached_tokens: u64,
    retries: u64,
    resumed: u64,
}

fn histogram() -> Result<Histogram<u64>, CreationError> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Collector {
    /// Creates an empty collector.
    ///
    /// # Errors
    /// Never fails with the bounds used here; the histogram's constructor is fallible.
    pub fn new() -> Result<Self, CreationError> {
        let kinds = [
            RequestKind::Chat,
            RequestKind::AtMostOnce,
            RequestKind::Listing,
            RequestKind::Preview,
        ];
        let mut whole_answer = BTreeMap::new();
        for kind in kinds {
            whole_answer.insert(kind, histogram()?);
        }
        Ok(Collector {
            by_kind: BTreeMap::new(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
            violations: Vec::new(),
            first_token: histogram()?,
            whole_answer,
            prompt_tokens: 0,
            cached_tokens: 0,
            retries: 0,
            resumed: 0,
        })
    }

    /// Adds one outcome.
    pub fn record(&mut self, outcome: Outcome) {
        self.retries += u64::from(outcome.attempts.saturating_sub(1));
        self.resumed += u64::from(outcome.resumed);
        if outcome.ending == Ending::Complete {
            self.record_latency(&outcome);
        }
        let counts = self.by_kind.entry(outcome.kind).or_default();
        counts.requests += 1;
        match outcome.ending {
            Ending::Complete => counts.complete += 1,
            Ending::Refused(code) => {
                counts.refused += 1;
                *self.refusals.entry(code).or_default() += 1;
            }
            Ending::Failed(reason) => {
                counts.failed += 1;
                *self.failures.entry(reason).or_default() += 1;
            }
            Ending::Unknown(reason) => {
                counts.unknown += 1;
                *self.failures.entry(reason).or_default() += 1;
            }
            Ending::Violated(violation) => self.violations.push(violation),
        }
    }

    fn record_latency(&mut self, outcome: &Outcome) {
        if let Some(histogram) = self.whole_answer.get_mut(&outcome.kind) {
            histogram.saturating_record(micros(outcome.total));
        }
        if outcome.kind == RequestKind::Chat {
            self.prompt_tokens += outcome.prompt_tokens;
            self.cached_tokens += outcome.cached_tokens;
            if let Some(first) = outcome.first {
                self.first_token.saturating_record(micros(first));
            }
        }
    }

    /// Adds violations that were found after the run.
    pub fn add_violations(&mut self, violations: impl IntoIterator<Item = Violation>) {
        self.violations.extend(violations);
    }

    /// Builds the report.
    pub fn report(self, generator_lag: Duration, duration: Duration) -> LoadReport {
        let sum = |count: fn(&KindCounts) -> u64| self.by_kind.values().map(count).sum();
        let first_token = Latency::of(&self.first_token);
        let whole_answer = self
            .whole_answer
            .iter()
            .filter_map(|(kind, histogram)| Some((*kind, Latency::of(histogram)?)))
            .collect();
        LoadReport {
            requests: sum(|counts| counts.requests),
            complete: sum(|counts| counts.complete),
            refused: sum(|counts| counts.refused),
            failed: sum(|counts| counts.failed),
            unknown: sum(|counts| counts.unknown),
            violations: self.violations.len() as u64,
            hit_rate: self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64,
            ttft_p50_ms: first_token.map_or(0.0, |latency| latency.p50_ms),
            ttft_p99_ms: first_token.map_or(0.0, |latency| latency.p99_ms),
            first_token,
            whole_answer,
            violation_details: self.violations.into_iter().take(MAX_DESCRIBED_VIOLATIONS).collect(),
            by_kind: self.by_kind,
            refusals: self.refusals,
            failures: self.failures,
            retries: self.retries,
            resumed: self.resumed,
            generator_lag_ms: generator_lag.as_secs_f64() * 1e3,
            duration_ms: duration.as_millis() as u64,
        }
    }
}
