//! Messages between the routers of a zone.

use juniper_prefix_index::coarse::{CoarseDelta, CoarseUpdate};
use juniper_types::{
    AdapterName, EngineId, Incarnation, ModelName, SoftwareVersion, WeightsVersion,
};
use minicbor::{Decode, Encode};

/// Frequently changing part of an engine's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LoadDigest {
    /// Engine number.
    #[n(0)]
    pub engine: EngineId,
    /// Age of the load report when the message was sent, in milliseconds.
    #[n(1)]
    pub age_ms: u64,
    /// Number of requests in the running batch.
    #[n(2)]
    pub running: u32,
    /// Number of queued requests.
    #[n(3)]
    pub waiting: u32,
    /// Prompt tokens of the queued requests.
    #[n(4)]
    pub waiting_prompt_tokens: u64,
}

/// Rarely changing part of an engine's load report; sent on change and
/// rebroadcast periodically.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServingDigest {
    /// Engine number.
    #[n(0)]
    pub engine: EngineId,
    /// Incarnation of the engine.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Loaded model, if any.
    #[n(2)]
    pub model: Option<ModelName>,
    /// Version of the loaded model's weights.
    #[n(3)]
    pub weights: WeightsVersion,
    /// Loaded adapters.
    #[n(4)]
    pub adapters: Vec<AdapterName>,
    /// Whether the engine is departing and takes no new work.
    #[n(5)]
    pub leaving: bool,
    /// Whether the engine is reachable.
    #[n(6)]
    pub up: bool,
    /// Software version of the engine, if known. Routers of earlier builds send none.
    #[n(7)]
    pub software: Option<SoftwareVersion>,
}

/// Updates from one router to another in one round.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ShareMessage {
    /// Engines whose serving state changed; applied before the loads.
    #[n(0)]
    pub serving: Vec<ServingDigest>,
    /// Loads of the engines that the sender follows.
    #[n(1)]
    pub loads: Vec<LoadDigest>,
    /// Changes to the receiver's shard.
    #[n(2)]
    pub deltas: Vec<CoarseDelta>,
    /// Full contents of the receiver's shard, one entry per engine.
    #[n(3)]
    pub resyncs: Vec<CoarseUpdate>,
}

impl ShareMessage {
    /// Whether the message contains no updates.
    pub fn is_empty(&self) -> bool {
        self == &ShareMessage::default()
    }
}
