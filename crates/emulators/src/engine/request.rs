//! Requests to an engine, rejection reasons and outputs.

use std::sync::Arc;
use std::time::Duration;

use juniper_types::{
    AdapterName, BlockHash, CacheScope, Incarnation, ModelName, RequestId, TenantName, Timestamp,
    WeightsVersion,
};

/// Request to the engine model.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// Request id, unique for each attempt.
    pub id: RequestId,
    /// Cache scope that the router planned with.
    pub scope: CacheScope,
    /// Actual tenant of the request, read only by the witness.
    pub owner: TenantName,
    /// Hashes of the prompt's full blocks.
    pub blocks: Arc<[BlockHash]>,
    /// Tokens of the prompt, including a partial last block.
    pub prompt_tokens: u32,
    /// Total number of tokens to generate; zero only fills the cache.
    pub output_tokens: u32,
    /// Output tokens that the caller has already received.
    pub resume_from: u32,
    /// Priority, from 0 (lowest) to 9.
    pub priority: u8,
    /// Time by which the response must be complete.
    pub deadline: Option<Timestamp>,
    /// Incarnation that the router planned with, if known.
    pub incarnation: Option<Incarnation>,
    /// Number of leading blocks that the router expects to be cached; a hint.
    pub expected_blocks: u32,
}

impl EngineRequest {
    /// Tokens whose keys and values must exist before the next output token.
    pub fn context_tokens(&self) -> u32 {
        self.prompt_tokens + self.resume_from
    }
}

/// Reason for rejecting a request. A rejected request is never run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The engine process is down.
    #[error("the engine is down")]
    Down,
    /// No model or a different model is loaded.
    #[error("model {0} is not loaded")]
    ModelNotLoaded(ModelName),
    /// The weights are being replaced.
    #[error("weights are being loaded")]
    Loading,
    /// The loaded weights differ from those that the router planned with.
    #[error("the weights loaded are {0}")]
    WeightsMismatch(WeightsVersion),
    /// The engine's incarnation differs from the one that the router planned with.
    #[error("the incarnation is {0}")]
    IncarnationMismatch(Incarnation),
    /// The adapter is not loaded.
    #[error("adapter {0} is not loaded")]
    AdapterNotLoaded(AdapterName),
    /// The queue is full.
    #[error("the queue is full")]
    Overloaded {
        /// Estimated time until the queue has drained.
        retry_after: Duration,
    },
    /// The engine is departing and accepts no new work.
    #[error("the engine is leaving")]
    Leaving,
    /// The request exceeds the engine's total cache capacity.
    #[error("the request does not fit into the cache")]
    TooLong,
    /// The request id was used before.
    #[error("the request id is in use")]
    DuplicateRequest,
}

/// Reason why an accepted request ended before its last token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The deadline could not be met.
    Deadline,
    /// The weights were unloaded while the request was queued.
    WeightsSwitched,
    /// The engine crashed.
    Crashed,
    /// The caller cancelled the request.
    Cancelled,
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelState {
    /// The request was queued or running and has been stopped.
    Cancelled,
    /// The request had already ended.
    Finished,
    /// The engine does not know the request.
    Unknown,
}

/// Token counts of one request on one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestStatistics {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Tokens prefilled.
    pub computed_tokens: u32,
}

/// Event of a request or of the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The request entered the batch.
    Started {
        /// Request id.
        id: RequestId,
        /// Time of the event.
        at: Timestamp,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
    /// The first token of this attempt was generated.
    FirstToken {
        /// Request id.
        id: RequestId,
        /// Time of the event.
        at: Timestamp,
        /// Index of the token in the whole output.
        index: u32,
    },
    /// Tokens after the first were generated.
    Tokens {
        /// Request id.
        id: RequestId,
        /// Time of the event.
        at: Timestamp,
        /// Index of the first of these tokens in the whole output.
        index: u32,
        /// Number of tokens.
        count: u32,
    },
    /// The last token was generated.
    Finished {
        /// Request id.
        id: RequestId,
        /// Time of the event.
        at: Timestamp,
        /// Token counts.
        statistics: RequestStatistics,
    },
    /// The request ended before its last token.
    Dropped {
        /// Request id.
        id: RequestId,
        /// Time of the event.
        at: Timestamp,
        /// Reason.
        reason: DropReason,
        /// Whether the request had entered the batch.
        run: bool,
    },
    /// Weights must be fetched; the driver calls [`super::Engine::complete_load`] when done.
    LoadNeeded {
        /// Time of the event.
        at: Timestamp,
        /// Weights to fetch.
        load: WeightLoad,
    },
    /// An import of cached blocks completed.
    Imported {
        /// Time of the event.
        at: Timestamp,
        /// Number of blocks added to the cache.
        blocks: u32,
    },
}

impl Output {
    /// Id of the request that the output belongs to, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Output::Started { id, .. }
            | Output::FirstToken { id, .. }
            | Output::Tokens { id, .. }
            | Output::Finished { id, .. }
            | Output::Dropped { id, .. } => Some(*id),
            Output::LoadNeeded { .. } | Output::Imported { .. } => None,
        }
    }
}

/// Weights that an engine fetches from the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WeightLoad {
    /// Weights of a base model.
    Model(ModelName, WeightsVersion),
    /// An adapter for the loaded model.
    Adapter(AdapterName),
}

impl WeightLoad {
    /// Size in bytes.
    pub fn bytes(&self) -> u64 {
        match self {
            WeightLoad::Model(..) => super::config::MODEL_BYTES,
            WeightLoad::Adapter(_) => super::config::ADAPTER_BYTES,
        }
    }
}
