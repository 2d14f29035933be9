//! Momentary speed of one server, relative to its service.

use std::ops::RangeInclusive;
use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Half-life of the samples. Servers are slower by a factor of 2 to 3 for about 600 ms at a time.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Bounds on the factor and on each sample. Above, the server has most likely failed rather than
/// slowed down.
const RANGE: RangeInclusive<f64> = 0.5..=4.0;

/// Weight of the assumption that the server runs at ordinary speed, in samples. First outputs have
/// a long upper tail, so that one slow output isn't a slow server yet.
const ORDINARY_WEIGHT: f64 = 1.0;

/// Observed time relative to the expected one, as a decaying mean on a logarithmic scale.
#[derive(Clone, Copy, Debug)]
pub struct ServerFactor {
    weight: Decaying,
    log_sum: Decaying,
}

impl Default for ServerFactor {
    fn default() -> Self {
        ServerFactor { weight: Decaying::new(HALF_LIFE), log_sum: Decaying::new(HALF_LIFE) }
    }
}

impl ServerFactor {
    /// Adds a sample: `observed_ms` where a server of ordinary speed takes `expected_ms`.
    pub fn record(&mut self, observed_ms: f64, expected_ms: f64, now: Timestamp) {
        let ratio = observed_ms / expected_ms;
        if !ratio.is_finite() {
            return;
        }
        self.weight.add(1.0, now);
        self.log_sum.add(ratio.clamp(*RANGE.start(), *RANGE.end()).ln(), now);
    }

    /// The factor at `now`; 1 without recent samples.
    pub fn at(&self, now: Timestamp) -> f64 {
        let mean = self.log_sum.at(now) / (self.weight.at(now) + ORDINARY_WEIGHT);
        mean.exp().clamp(*RANGE.start(), *RANGE.end())
    }
}
