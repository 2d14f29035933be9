//! The one source of random numbers of a run.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Random numbers that follow from a seed alone.
#[derive(Clone, Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// Starts from `seed`.
    pub fn new(seed: u64) -> Self {
        Random(ChaCha8Rng::seed_from_u64(seed))
    }

    /// A source of its own, so that what one part draws doesn't shift another part's draws.
    pub fn fork(&mut self) -> Random {
        Random::new(self.number())
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.random()
    }

    /// Any large number.
    pub fn large_number(&mut self) -> u128 {
        self.0.random()
    }

    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.random_range(low..=high.max(low))
    }

    /// True in `per_mille` of a thousand cases.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.between(0, 999) < per_mille
    }

    /// One of `items`, if there is any.
    pub fn pick<T: Clone>(&mut self, items: &[T]) -> Option<T> {
        let last = (items.len() as u64).checked_sub(1)?;
        let place = usize::try_from(self.between(0, last)).unwrap_or(0);
        items.get(place).cloned()
    }
}
