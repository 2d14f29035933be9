//! What a decision is asked about, and the work that follows from it.

use std::time::Duration;

use juniper_prefix_index::PredictionSource;
use juniper_settings::EffectiveSettings;
use juniper_types::{
    AdapterName, BLOCK_TOKENS, BlockHash, EngineId, ModelName, PromptBlocks, WeightsVersion,
};

use crate::cost::CostWeights;

/// What must be loaded on an engine for a request to run there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServingKey {
    /// Base model.
    pub model: ModelName,
    /// Adapter beside it, if any.
    pub adapter: Option<AdapterName>,
    /// Version of the model's weights.
    pub weights: WeightsVersion,
}

/// Identifies one attempt among the router's own work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchId(pub u64);

/// The work that an attempt brings to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchedWork {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of it that the engine is expected to compute.
    pub missed_tokens: u32,
}

impl From<DispatchId> for PredictionSource {
    fn from(id: DispatchId) -> Self {
        PredictionSource(id.0)
    }
}

/// One request to route.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// What has to be loaded.
    pub serving: &'a ServingKey,
    /// Full blocks of the prompt, as a hash chain.
    pub blocks: &'a [BlockHash],
    /// Tokens of the prompt, the unfinished last block included.
    pub tokens: u32,
    /// Leading blocks that the store of kept KV cache is known to hold.
    pub importable_blocks: u32,
    /// Time from now within which the first token is due.
    pub first_token_within: Duration,
    /// Engines that must not be used, such as those that failed already.
    pub excluded: &'a [EngineId],
    /// Whether the request was accepted before and its engine failed. It is then
    /// bound by its deadline only: refusing it would break what was begun.
    pub begun: bool,
    /// Weights of the service in the cost.
    pub weights: CostWeights,
}

impl<'a> RouteRequest<'a> {
    /// A request under `settings`; no engine is excluded, nothing importable.
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

    /// Tokens to compute when the first `cached_blocks` blocks are cached. At
    /// least one: the last token's output is always computed.
    pub fn missed_tokens(&self, cached_blocks: u32) -> u32 {
        let most = self.tokens.saturating_sub(1) / BLOCK_TOKENS;
        let cached = PromptBlocks::tokens_in(cached_blocks.min(most) as usize);
        self.tokens.saturating_sub(cached)
    }
}
