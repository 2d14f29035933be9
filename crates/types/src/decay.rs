//! Exponentially decaying values.

use std::time::Duration;

use crate::time::Timestamp;

/// Sum or mean with exponential decay by half-life.
#[derive(Clone, Copy, Debug)]
pub struct Decaying {
    half_life: Duration,
    value: f64,
    updated: Timestamp,
}

impl Decaying {
    /// Creates a sum of zero.
    pub const fn new(half_life: Duration) -> Self {
        Decaying { half_life, value: 0.0, updated: Timestamp::ZERO }
    }

    /// Returns the decayed value at `now`.
    pub fn at(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / self.half_life.as_secs_f64();
        self.value * (-half_lives).exp2()
    }

    /// Adds `amount` to the sum at `now`.
    pub fn add(&mut self, amount: f64, now: Timestamp) {
        self.value = self.at(now) + amount;
        self.updated = now;
    }

    /// Updates the value as a moving average, in which `sample` has the given weight.
    pub fn mix(&mut self, sample: f64, weight: f64, now: Timestamp) {
        self.value = self.at(now) * (1.0 - weight) + sample * weight;
        self.updated = now;
    }
}
