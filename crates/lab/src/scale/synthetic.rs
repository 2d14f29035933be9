//! Synthetic cache events and load reports of emulated engines.
//!
//! Block counts and change rates per engine match the target deployment:
//! 56 million blocks on 1,500 engines, 270,000 changes per second.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_prefix_index::{CacheEvent, Snapshot};
use juniper_routing::EngineLoad;
use juniper_types::{BlockHash, Incarnation, ModelName, WeightsVersion};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Blocks cached by one engine.
pub(super) const BLOCKS_PER_ENGINE: usize = 56_000_000 / 1_500;

/// Cache changes of one engine per second, half of them stores, half evictions.
const CHANGES_PER_SECOND: usize = 270_000 / 1_500;

/// Blocks of one prompt, stored by a single event.
const BLOCKS_PER_PROMPT: usize = 30;

/// Emulated engine with a cache of random prompts.
pub(super) struct SyntheticEngine {
    random: ChaCha8Rng,
    incarnation: Incarnation,
    sequence: u64,
    cached: VecDeque<BlockHash>,
    model: ModelName,
}

impl SyntheticEngine {
    /// Creates an engine with a full cache.
    pub(super) fn new(seed: u64, model: ModelName) -> Self {
        let mut engine = SyntheticEngine {
            random: ChaCha8Rng::seed_from_u64(seed),
            incarnation: Incarnation(seed),
            sequence: 0,
            cached: VecDeque::new(),
            model,
        };
        while engine.cached.len() < BLOCKS_PER_ENGINE {
            let prompt = engine.prompt();
            engine.cached.extend(prompt);
        }
        engine
    }

    /// Incarnation of the engine.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Snapshot of the whole cache.
    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot {
            incarnation: self.incarnation,
            sequence: self.sequence,
            blocks: self.cached.iter().copied().collect(),
        }
    }

    /// Generates the cache events of a period of `elapsed`.
    pub(super) fn events(&mut self, elapsed: Duration) -> Vec<CacheEvent> {
        let changes = CHANGES_PER_SECOND as f64 * elapsed.as_secs_f64();
        let prompts = changes / 2.0 / BLOCKS_PER_PROMPT as f64;
        let whole = prompts.floor();
        let extra = usize::from(self.random.random_bool(prompts - whole));
        (0..whole as usize + extra).map(|_| self.event()).collect()
    }

    fn event(&mut self) -> CacheEvent {
        self.sequence += 1;
        let stored = self.prompt();
        let removed = self.cached.drain(..stored.len()).collect();
        self.cached.extend(&stored);
        CacheEvent { sequence: self.sequence, stored, removed }
    }

    /// Generates a random load report.
    pub(super) fn load(&mut self) -> EngineLoad {
        EngineLoad {
            incarnation: self.incarnation,
            age: Duration::from_millis(self.random.random_range(5..200)),
            running: self.random.random_range(0..64),
            waiting: self.random.random_range(0..16),
            waiting_prompt_tokens: self.random.random_range(0..65_536),
            model: Some(self.model.clone()),
            weights: WeightsVersion(1),
            adapters: Vec::new(),
            software: None,
            leaving: false,
        }
    }

    /// Selects a random cached prompt, for a lookup.
    pub(super) fn cached_prompt(&mut self) -> Vec<BlockHash> {
        let prompts = self.cached.len() / BLOCKS_PER_PROMPT;
        let start = self.random.random_range(0..prompts.max(1)) * BLOCKS_PER_PROMPT;
        self.cached.range(start..start + BLOCKS_PER_PROMPT).copied().collect()
    }

    fn prompt(&mut self) -> Vec<BlockHash> {
        (0..BLOCKS_PER_PROMPT).map(|_| BlockHash(self.random.random())).collect()
    }
}
