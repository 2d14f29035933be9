//! Deterministic random numbers of a run.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Random number generator determined by its seed.
#[derive(Clone, Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// Creates a generator from `seed`.
    pub fn new(seed: u64) -> Self {
        Random(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Derives an independent generator, so that components don't affect each other's draws.
    pub fn fork(&mut self) -> Random {
        Random::new(self.number())
    }

    /// Draws a uniform 64-bit number.
    pub fn number(&mut self) -> u64 {
        self.0.random()
    }

    /// Draws a uniform 128-bit number.
    pub fn large_number(&mut self) -> u128 {
        self.0.random()
    }

    /// Draws a number from `low` to `high`, inclusive.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.random_range(low..=high.max(low))
    }

    /// Draws `true` with a probability of `per_mille` / 1000.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.between(0, 999) < per_mille
    }

    /// Draws one of `items`; `None` if empty.
    pub fn pick<T: Clone>(&mut self, items: &[T]) -> Option<T> {
        let last = (items.len() as u64).checked_sub(1)?;
        let index = usize::try_from(self.between(0, last)).unwrap_or(0);
        items.get(index).cloned()
    }
}
