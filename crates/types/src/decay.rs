//! A sum whose parts lose half of their weight in each half-life.

use std::time::Duration;

use crate::time::Timestamp;

/// A decaying sum.
#[derive(Clone, Copy, Debug)]
pub struct Decaying {
    half_life: Duration,
    value: f64,
    updated: Timestamp,
}

impl Decaying {
    /// An empty sum.
    pub const fn new(half_life: Duration) -> Self {
        Decaying { half_life, value: 0.0, updated: Timestamp::ZERO }
    }

    /// The sum now.
    pub fn at(&self, now: Timestamp) -> f64 {
        let halves = now.since(self.updated).as_secs_f64() / self.half_life.as_secs_f64();
        self.value * (-halves).exp2()
    }

    /// Adds to the sum.
    pub fn add(&mut self, amount: f64, now: Timestamp) {
        self.value = self.at(now) + amount;
        self.updated = now;
    }

    /// Mixes a sample in with the given weight; the value is then a fading mean.
    pub fn mix(&mut self, sample: f64, weight: f64, now: Timestamp) {
        self.value = self.at(now) * (1.0 - weight) + sample * weight;
        self.updated = now;
    }
}
