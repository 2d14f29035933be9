//! What routers of a zone send each other.

use juniper_prefix_index::coarse::{CoarseDelta, CoarseUpdate};
use juniper_types::{AdapterName, EngineId, Incarnation, ModelName, WeightsVersion};
use minicbor::{Decode, Encode};

/// The changing part of an engine's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LoadDigest {
    /// The engine.
    #[n(0)]
    pub engine: EngineId,
    /// Age of the report when it was sent, in milliseconds.
    #[n(1)]
    pub age_ms: u64,
    /// Requests generating.
    #[n(2)]
    pub running: u32,
    /// Requests waiting.
    #[n(3)]
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    #[n(4)]
    pub waiting_prompt_tokens: u64,
}

/// The part that seldom changes; sent on change and now and then.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServingDigest {
    /// The engine.
    #[n(0)]
    pub engine: EngineId,
    /// Life of the engine.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Model loaded, if any.
    #[n(2)]
    pub model: Option<ModelName>,
    /// Version of its weights.
    #[n(3)]
    pub weights: WeightsVersion,
    /// Adapters loaded.
    #[n(4)]
    pub adapters: Vec<AdapterName>,
    /// Whether the engine takes no new work.
    #[n(5)]
    pub leaving: bool,
    /// Whether the engine answers.
    #[n(6)]
    pub up: bool,
}

/// One round of news from one router to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ShareMessage {
    /// Engines whose serving state changed; taken before the loads.
    #[n(0)]
    pub serving: Vec<ServingDigest>,
    /// Loads of the engines that the sender follows.
    #[n(1)]
    pub loads: Vec<LoadDigest>,
    /// Changes of the receiver's shard.
    #[n(2)]
    pub deltas: Vec<CoarseDelta>,
    /// Whole contents of the receiver's shard, by engine.
    #[n(3)]
    pub resyncs: Vec<CoarseUpdate>,
}

impl ShareMessage {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self == &ShareMessage::default()
    }
}
