//! Robust fit of a line to the most recent samples.

use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::estimate::Line;

/// Samples that the fit considers. At a router that observes 7 first outputs per second of a
/// service, they span more than their maximum age.
const WINDOW: usize = 256;

/// Age from which a sample no longer counts. Long prompts that are refused give no samples, so a line
/// that makes them look too slow would otherwise never be corrected; a slow phase of many servers is
/// forgotten within this time.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(15);

/// Weight of each of the two points of the start line, in samples. With 2, a few slow answers at the
/// start made some routers of the replay in `crates/placement/tests/tight_services.rs` expect several
/// times the prefill time.
const START_WEIGHT: f64 = 8.0;

/// Tokens at the second point of the start line.
const START_TOKENS: f64 = 10_000.0;

/// Deviation below which samples have the same weight, in milliseconds. Keeps the weights finite.
const MIN_DEVIATION_MS: f64 = 1.0;

/// Iterations for each sample. The fit starts from the previous line, which is close.
const ITERATIONS: usize = 4;

/// Bounds of a fitted line.
#[derive(Clone, Debug)]
pub(crate) struct Bounds {
    pub fixed_ms: RangeInclusive<f64>,
    pub ms_per_token: RangeInclusive<f64>,
}

/// An observed time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub tokens: f64,
    pub ms: f64,
    pub weight: f64,
    pub at: Timestamp,
}

/// Line with the least sum of absolute deviations relative to the line, which follows the median: a
/// slow sample counts by its side of the line, not by its distance. Relative, since a slow phase
/// multiplies the time: else a few slow long prompts would determine the slope.
#[derive(Clone, Debug)]
pub(crate) struct MedianLine {
    start: Line,
    bounds: Bounds,
    /// The most recent samples, the oldest first.
    samples: VecDeque<Sample>,
    line: Line,
}

impl MedianLine {
    pub(crate) fn new(start: Line, bounds: Bounds) -> Self {
        MedianLine { start, bounds, samples: VecDeque::new(), line: start }
    }

    pub(crate) fn line(&self) -> Line {
        self.line
    }

    pub(crate) fn len(&self) -> usize {
        self.samples.len()
    }

    /// Median of the samples' tokens.
    pub(crate) fn median_tokens(&self) -> f64 {
        let mut tokens: Vec<f64> = self.samples.iter().map(|sample| sample.tokens).collect();
        let middle = tokens.len() / 2;
        if tokens.is_empty() {
            return 0.0;
        }
        *tokens.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Adds a sample and updates the line.
    pub(crate) fn record(&mut self, sample: Sample) {
        if !sample.tokens.is_finite() || !sample.ms.is_finite() {
            return;
        }
        let is_old = |oldest: &Sample| sample.at.since(oldest.at) > MAX_AGE;
        while self.samples.len() >= WINDOW || self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        for _ in 0..ITERATIONS {
            self.line = self.reweighted();
        }
    }

    /// Least squares with weights inverse to the deviations from the current line; its fixed point
    /// is the line with the least relative deviations.
    fn reweighted(&self) -> Line {
        let start = |tokens: f64| (tokens, self.start.at(tokens), START_WEIGHT);
        let samples = self.samples.iter().map(|sample| (sample.tokens, sample.ms, sample.weight));
        let points = samples.chain([start(0.0), start(START_TOKENS)]);
        let mut sums = Sums::default();
        for (tokens, ms, weight) in points {
            let expected_ms = self.line.at(tokens);
            let deviation = (ms - expected_ms).abs().max(MIN_DEVIATION_MS);
            sums.add(tokens, ms, weight / (deviation * expected_ms));
        }
        let ms_per_token = clamp(sums.slope(), &self.bounds.ms_per_token);
        let fixed_ms = clamp(sums.intercept(ms_per_token), &self.bounds.fixed_ms);
        // With the fixed part at its bound, the samples determine the slope alone.
        let is_clamped = fixed_ms != sums.intercept(ms_per_token);
        let slope = if is_clamped { sums.slope_from(fixed_ms) } else { ms_per_token };
        Line { fixed_ms, ms_per_token: clamp(slope, &self.bounds.ms_per_token) }
    }
}

fn clamp(value: f64, range: &RangeInclusive<f64>) -> f64 {
    value.clamp(*range.start(), *range.end())
}

/// Weighted sums of a least-squares fit.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Sums {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// The two points of the start line differ in x, so the divisor is positive.
    fn slope(&self) -> f64 {
        (self.weight * self.xy - self.x * self.y) / (self.weight * self.xx - self.x * self.x)
    }

    fn intercept(&self, slope: f64) -> f64 {
        (self.y - slope * self.x) / self.weight
    }

    fn slope_from(&self, intercept: f64) -> f64 {
        (self.xy - intercept * self.x) / self.xx
    }
}
