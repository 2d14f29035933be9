//! Model of the prefix segments in a server's KV cache.
//!
//! Engines publish their cache contents late and incompletely, and querying them slows them down.
//! Since engines evict the least recently used segments, each router applies the prompts that all
//! routers dispatch to a model of each server's cache.

use std::collections::{HashMap, VecDeque};

use juniper_prefix_index::rendezvous;
use juniper_types::Timestamp;

use crate::weights::{MAX_MODELS, ModelKey};

/// Share of the cache capacity that the model uses. The rest is left for generated tokens, partial
/// blocks and prompts missing from the dispatch reports. 0.7 scored lower, and 1.1 no higher
/// (`docs/experiments/ikaze-shops.md`).
const USABLE_CACHE_SHARE: f64 = 0.9;

/// Maximum number of recorded uses. The only bound if the cache capacity is unknown.
const MAX_USES: usize = 1_024;

/// Weights that compute the segments of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CachedWeights {
    /// The model if the server has several.
    pub model: Option<ModelKey>,
    pub version: u64,
}

impl CachedWeights {
    /// Key of a segment; the same text is another segment for each model.
    fn segment_key(&self, prefix_key: u64) -> u64 {
        let score = |model: ModelKey| rendezvous::score(prefix_key, u64::from(model.number()));
        self.model.map_or(prefix_key, score)
    }
}

/// Segments of a prompt that was dispatched to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatchedPrompt<'a> {
    /// Prefix keys, one for each shared segment.
    pub keys: &'a [u64],
    /// Tokens of each shared segment.
    pub tokens: &'a [u32],
    /// Prompt tokens after the shared segments.
    pub own_tokens: u32,
    /// Expected end of the prefill. Other servers can fetch the segments from then on.
    pub computed_at: Timestamp,
}

/// A use of a segment.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// Prefix key of the segment; `None` for the unshared end of a prompt.
    key: Option<u64>,
    tokens: u32,
    /// Sequence number of the use.
    number: u64,
}

/// State of a cached segment.
#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    /// Sequence number of the most recent use.
    last_use: u64,
    /// Expected end of the prefill that first computed the segment.
    computed_at: Timestamp,
}

/// Segments that a server is expected to have in its cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct CachedSegments {
    /// Version of each model's weights that computed the segments; other versions can't use them.
    versions: Vec<CachedWeights>,
    segments: HashMap<u64, CachedSegment>,
    /// Uses, the most recent last. Only the most recent use of a segment counts.
    uses: VecDeque<Use>,
    /// Total tokens of the cached segments.
    cached_tokens: u64,
    next_use: u64,
}

impl CachedSegments {
    /// Applies a prompt dispatched to the server with these weights and a cache of `capacity` tokens;
    /// zero if the capacity is unknown. New weights of any model empty the cache.
    pub(crate) fn record(
        &mut self,
        weights: CachedWeights,
        prompt: DispatchedPrompt<'_>,
        capacity: u64,
    ) {
        let held = self.version_of(weights.model);
        if weights.version < held.unwrap_or(0) {
            return;
        }
        if held != Some(weights.version) {
            self.set_version(weights);
        }
        for (key, tokens) in prompt.keys.iter().zip(prompt.tokens) {
            self.record_use(Some(weights.segment_key(*key)), *tokens, prompt.computed_at);
        }
        self.record_use(None, prompt.own_tokens, prompt.computed_at);
        self.evict_least_recently_used(capacity);
    }

    fn version_of(&self, model: Option<ModelKey>) -> Option<u64> {
        let held = self.versions.iter().find(|held| held.model == model);
        held.map(|held| held.version)
    }

    fn set_version(&mut self, weights: CachedWeights) {
        let mut versions = std::mem::take(&mut self.versions);
        match versions.iter_mut().find(|held| held.model == weights.model) {
            Some(held) => {
                *held = weights;
                *self = CachedSegments { versions, ..CachedSegments::default() };
            }
            None => {
                if versions.len() >= MAX_MODELS {
                    versions.remove(0);
                }
                versions.push(weights);
                self.versions = versions;
            }
        }
    }

    fn record_use(&mut self, key: Option<u64>, tokens: u32, computed_at: Timestamp) {
        let number = self.next_use;
        self.next_use += 1;
        self.uses.push_back(Use { key, tokens, number });
        let known = key.and_then(|key| self.segments.get_mut(&key));
        if let Some(known) = known {
            known.last_use = number;
            return;
        }
        self.cached_tokens += u64::from(tokens);
        if let Some(key) = key {
            self.segments.insert(key, CachedSegment { last_use: number, computed_at });
        }
    }

    /// Evicts the least recently used segments until the rest fits.
    fn evict_least_recently_used(&mut self, capacity: u64) {
        let room = (capacity as f64 * USABLE_CACHE_SHARE) as u64;
        let is_full = |cache: &CachedSegments| {
            cache.uses.len() > MAX_USES || (capacity > 0 && cache.cached_tokens > room)
        };
        while is_full(self)
            && let Some(oldest) = self.uses.pop_front()
        {
            if let Some(key) = oldest.key {
                let is_latest =
                    self.segments.get(&key).is_some_and(|cached| cached.last_use == oldest.number);
                if !is_latest {
                    continue;
                }
                self.segments.remove(&key);
            }
            self.cached_tokens = self.cached_tokens.saturating_sub(u64::from(oldest.tokens));
        }
    }

    /// Whether the segment, computed by these weights, is expected to be cached.
    pub(crate) fn contains(&self, weights: CachedWeights, key: u64) -> bool {
        self.find(weights, key).is_some()
    }

    /// Whether the prefill of the segment is expected to be complete, so that other servers can
    /// fetch it.
    pub(crate) fn is_computed(&self, weights: CachedWeights, key: u64, now: Timestamp) -> bool {
        self.find(weights, key).is_some_and(|cached| cached.computed_at <= now)
    }

    fn find(&self, weights: CachedWeights, key: u64) -> Option<&CachedSegment> {
        let is_held = self.version_of(weights.model) == Some(weights.version);
        self.segments.get(&weights.segment_key(key)).filter(|_| is_held)
    }
}
