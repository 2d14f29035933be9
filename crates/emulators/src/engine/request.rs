//! Requests to an engine, refusals and what the engine puts out.

use std::sync::Arc;
use std::time::Duration;

use juniper_types::{
    AdapterName, BlockHash, CacheScope, Incarnation, ModelName, RequestId, TenantName, Timestamp,
    WeightsVersion,
};

/// One request as the engine model sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// Unique for each attempt.
    pub id: RequestId,
    /// Cache scope that the router planned with.
    pub scope: CacheScope,
    /// Whose request it truly is; only the witness reads it.
    pub owner: TenantName,
    /// Full blocks of the prompt.
    pub blocks: Arc<[BlockHash]>,
    /// Tokens of the prompt, the unfinished last block included.
    pub prompt_tokens: u32,
    /// Tokens to generate in all; zero only fills the cache.
    pub output_tokens: u32,
    /// Output tokens that the caller has already.
    pub resume_from: u32,
    /// 0 (lowest) to 9.
    pub priority: u8,
    /// When the answer must be complete.
    pub deadline: Option<Timestamp>,
    /// Incarnation that the router planned with; `None` when it knows none.
    pub incarnation: Option<Incarnation>,
    /// Leading blocks that the router believes cached; a hint.
    pub expected_blocks: u32,
}

impl EngineRequest {
    /// Tokens whose keys and values must exist before the next output token.
    pub fn context_tokens(&self) -> u32 {
        self.prompt_tokens + self.resume_from
    }
}

/// Why the engine did not take a request. The request was not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The engine process is down.
    #[error("the engine is down")]
    Down,
    /// No model, or another one, is loaded.
    #[error("model {0} is not loaded")]
    ModelNotLoaded(ModelName),
    /// Weights are being switched.
    #[error("weights are being loaded")]
    Loading,
    /// Other weights are loaded than the router planned with.
    #[error("the weights loaded are {0}")]
    WeightsMismatch(WeightsVersion),
    /// The engine is in another incarnation than the router planned with.
    #[error("the incarnation is {0}")]
    IncarnationMismatch(Incarnation),
    /// The adapter is not loaded.
    #[error("adapter {0} is not loaded")]
    AdapterNotLoaded(AdapterName),
    /// The queue is full.
    #[error("the queue is full")]
    Overloaded {
        /// When the queue will have drained.
        retry_after: Duration,
    },
    /// The engine takes no new work.
    #[error("the engine is leaving")]
    Leaving,
    /// The request needs more memory than there is.
    #[error("the request does not fit into the cache")]
    TooLong,
    /// The id was used before.
    #[error("the request id is in use")]
    DuplicateRequest,
}

/// Why an accepted request ended before its last token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It could not be finished before its deadline.
    Deadline,
    /// Its weights were unloaded while it waited.
    WeightsSwitched,
    /// The engine crashed.
    Crashed,
    /// The caller cancelled it.
    Cancelled,
}

/// What a cancellation came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelState {
    /// The request was waiting or running and has been stopped.
    Cancelled,
    /// The request had ended.
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

/// What happened to a request or to the engine, and when.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// The request entered the batch.
    Started {
        /// The request.
        id: RequestId,
        /// When.
        at: Timestamp,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
    /// The first token that this attempt generates.
    FirstToken {
        /// The request.
        id: RequestId,
        /// When.
        at: Timestamp,
        /// Its number in the whole answer.
        index: u32,
    },
    /// Further tokens.
    Tokens {
        /// The request.
        id: RequestId,
        /// When.
        at: Timestamp,
        /// Number of the first of them in the whole answer.
        index: u32,
        /// How many.
        count: u32,
    },
    /// The last token has been generated.
    Finished {
        /// The request.
        id: RequestId,
        /// When.
        at: Timestamp,
        /// Token counts.
        statistics: RequestStatistics,
    },
    /// The request ended early.
    Dropped {
        /// The request.
        id: RequestId,
        /// When.
        at: Timestamp,
        /// Why.
        reason: DropReason,
        /// Whether it had entered the batch.
        run: bool,
    },
    /// Weights must be fetched; the driver calls [`super::Engine::complete_load`] when done.
    LoadNeeded {
        /// When.
        at: Timestamp,
        /// What to fetch.
        load: WeightLoad,
    },
    /// An import has ended.
    Imported {
        /// When.
        at: Timestamp,
        /// Blocks that are cached now and were not before.
        blocks: u32,
    },
}

impl Output {
    /// The request concerned, if any.
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
    /// A base model.
    Model(ModelName, WeightsVersion),
    /// An adapter beside the model that is loaded.
    Adapter(AdapterName),
}

impl WeightLoad {
    /// Bytes to fetch.
    pub fn bytes(&self) -> u64 {
        match self {
            WeightLoad::Model(..) => super::config::MODEL_BYTES,
            WeightLoad::Adapter(_) => super::config::ADAPTER_BYTES,
        }
    }
}
