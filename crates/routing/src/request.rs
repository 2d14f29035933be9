//! Requests to route and the work of their attempts.

use std::time::Duration;

use juniper_prefix_index::PredictionSource;
use juniper_settings::EffectiveSettings;
use juniper_types::{
    AdapterName, BLOCK_TOKENS, BlockHash, EngineId, ModelName, PromptBlocks, WeightsVersion,
};

use crate::cost::CostWeights;

/// Model, adapter and weights that a request needs on its engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServingKey {
    /// Base model.
    pub model: ModelName,
    /// Adapter on top of the base model, if any.
    pub adapter: Option<AdapterName>,
    /// Version of the model's weights.
    pub weights: WeightsVersion,
}

/// Identifier of one attempt, unique within a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchId(pub u64);

/// Work of an attempt on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchedWork {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that the engine is expected to compute.
    pub prefill_tokens: u32,
}

impl From<DispatchId> for PredictionSource {
    fn from(id: DispatchId) -> Self {
        PredictionSource(id.0)
    }
}

/// Request to route.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Model, adapter and weights that the engine must serve.
    pub serving: &'a ServingKey,
    /// Hash chain of the full blocks of the prompt.
    pub blocks: &'a [BlockHash],
    /// Number of tokens of the prompt, including the partial last block.
    pub tokens: u32,
    /// Leading blocks known to be in the external KV cache store.
    pub importable_blocks: u32,
    /// Time from now within which the first token is due.
    pub first_token_within: Duration,
    /// Engines that must not be chosen, such as those of failed attempts.
    pub excluded: &'a [EngineId],
    /// Whether this is a retry of an accepted request whose engine failed. Such a
    /// request is bound by its deadline alone, not by the length of queues.
    pub begun: bool,
    /// Cost weights of the service.
    pub weights: CostWeights,
}

impl<'a> RouteRequest<'a> {
    /// Creates a request under `settings` without excluded engines or importable
    /// blocks.
    pub fn new(
        settings: &EffectiveSettings,
        serving: &'a ServingKey,
        blocks: &'a [BlockHash],
        tokens: u32,
    ) -> Self {
        RouteRequest {
            serving,
            blocks,
            tokens,
            importable_blocks: 0,
            first_token_within: Duration::from_millis(settings.first_token_deadline_ms),
            excluded: &[],
            begun: false,
            weights: CostWeights { latency: settings.latency_weight, waste: settings.waste_weight },
        }
    }

    /// Prefill tokens with `cached_blocks` leading blocks cached; at least one,
    /// because the last token is always computed.
    pub fn prefill_tokens(&self, cached_blocks: u32) -> u32 {
        let max_cached_blocks = self.tokens.saturating_sub(1) / BLOCK_TOKENS;
        let cached = PromptBlocks::tokens_in(cached_blocks.min(max_cached_blocks) as usize);
        self.tokens.saturating_sub(cached)
    }
}
