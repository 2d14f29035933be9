//! Measurements of one policy's run.

use std::collections::HashSet;

use hdrhistogram::Histogram;
use juniper_emulators::engine::RequestStatistics;
use juniper_types::{BLOCK_TOKENS, BlockHash, Timestamp};
use serde::Serialize;

use super::workload::Job;

/// Upper bound of the time-to-first-token histogram, in microseconds.
const MAX_TTFT_US: u64 = 300_000_000;

/// Significant decimal digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Microseconds per millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Measurements of one policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measure {
    /// Requests measured.
    pub requests: u64,
    /// Requests answered in full.
    pub answered: u64,
    /// Requests refused by the policy or by all engines tried.
    pub refused: u64,
    /// Requests that an engine cancelled at their deadline.
    pub dropped: u64,
    /// Requests whose first token arrived within the service's deadline.
    pub in_time: u64,
    /// Share of the prompt tokens of answered requests that were cached.
    pub hit_rate: f64,
    /// Tokens computed for blocks that an engine had already computed before.
    pub wasted_tokens: u64,
    /// Prefill tokens computed.
    pub computed_tokens: u64,
    /// Median time to first token, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub ttft_p95_ms: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub ttft_p99_ms: f64,
    /// Time to first token at percentiles 1 to 100, for plots.
    #[serde(skip)]
    pub ttft_curve_ms: Vec<f64>,
    /// Cache hit rate by second of arrival, for plots.
    #[serde(skip)]
    pub hit_rate_by_second: Vec<(u64, f64)>,
}

/// Accumulator of the measurements during a run.
pub struct Recorder<'a> {
    jobs: &'a [Job],
    measure_from: Timestamp,
    computed_before: HashSet<BlockHash>,
    ttft: Histogram<u64>,
    seconds: Vec<(u64, u64)>,
    answered: u64,
    refused: u64,
    dropped: u64,
    in_time: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    wasted_tokens: u64,
    computed_tokens: u64,
}

impl<'a> Recorder<'a> {
    /// Creates an accumulator for jobs that arrive at `measure_from` or later.
    pub fn new(jobs: &'a [Job], measure_from: Timestamp) -> Self {
        let seconds = jobs.last().map_or(0, |job| job.at.as_millis() / 1_000 + 1) as usize;
        // The bounds are valid constants.
        let ttft = Histogram::new_with_bounds(1, MAX_TTFT_US, SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!("the bounds are valid"));
        Recorder {
            jobs,
            measure_from,
            computed_before: HashSet::new(),
            ttft,
            seconds: vec![(0, 0); seconds],
            answered: 0,
            refused: 0,
            dropped: 0,
            in_time: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            wasted_tokens: 0,
            computed_tokens: 0,
        }
    }

    fn is_measured(&self, job: usize) -> bool {
        self.jobs[job].at >= self.measure_from
    }

    /// Records a job that the policy or all engines tried refused.
    pub fn refused(&mut self, job: usize) {
        self.refused += u64::from(self.is_measured(job));
    }

    /// Records a job that an engine cancelled at its deadline.
    pub fn dropped(&mut self, job: usize) {
        self.dropped += u64::from(self.is_measured(job));
    }

    /// Records the start of a job with `cached_tokens` tokens of the prompt cached.
    pub fn started(&mut self, job: usize, cached_tokens: u32) {
        let measured = self.is_measured(job);
        let Job { blocks, prompt_tokens, .. } = &self.jobs[job];
        let mut wasted = 0;
        for block in &blocks[(cached_tokens / BLOCK_TOKENS) as usize..] {
            if !self.computed_before.insert(*block) {
                wasted += u64::from(BLOCK_TOKENS);
            }
        }
        if measured {
            self.wasted_tokens += wasted;
            self.computed_tokens += u64::from(prompt_tokens - cached_tokens);
        }
    }

    /// Records the arrival of the first token at the router.
    pub fn first_token(&mut self, job: usize, at: Timestamp) {
        if !self.is_measured(job) {
            return;
        }
        let Job { at: arrived, settings, .. } = &self.jobs[job];
        let ttft = at.since(*arrived);
        self.ttft.saturating_record(ttft.as_micros() as u64);
        self.in_time += u64::from(ttft.as_millis() as u64 <= settings.first_token_deadline_ms);
    }

    /// Records a complete answer.
    pub fn finished(&mut self, job: usize, _at: Timestamp, statistics: RequestStatistics) {
        if !self.is_measured(job) {
            return;
        }
        self.answered += 1;
        let (prompt, cached) =
            (u64::from(statistics.prompt_tokens), u64::from(statistics.cached_tokens));
        self.prompt_tokens += prompt;
        self.cached_tokens += cached;
        let second = &mut self.seconds[(self.jobs[job].at.as_millis() / 1_000) as usize];
        second.0 += prompt;
        second.1 += cached;
    }

    fn percentile_ms(&self, percentile: f64) -> f64 {
        self.ttft.value_at_percentile(percentile) as f64 / MICROS_PER_MILLI
    }

    /// Returns the measurements.
    pub fn finish(self) -> Measure {
        let by_second = self.seconds.iter().enumerate().filter(|(_, (prompt, _))| *prompt > 0);
        Measure {
            requests: self.jobs.iter().filter(|job| job.at >= self.measure_from).count() as u64,
            answered: self.answered,
            refused: self.refused,
            dropped: self.dropped,
            in_time: self.in_time,
            hit_rate: self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64,
            wasted_tokens: self.wasted_tokens,
            computed_tokens: self.computed_tokens,
            ttft_p50_ms: self.percentile_ms(50.0),
            ttft_p95_ms: self.percentile_ms(95.0),
            ttft_p99_ms: self.percentile_ms(99.0),
            ttft_curve_ms: (1..=100).map(|p| self.percentile_ms(f64::from(p))).collect(),
            hit_rate_by_second: by_second
                .map(|(second, (prompt, cached))| (second as u64, *cached as f64 / *prompt as f64))
                .collect(),
        }
    }
}
