//! Constants of the engine model and their grounds.
//!
//! The reference machine is one accelerator with 24 GB of memory, 1 TB/s of
//! memory bandwidth and 120 Tflop/s of dense 16-bit arithmetic, of which
//! inference reaches about half. It serves a model of 8 billion parameters in
//! 16 bits with grouped-query attention (32 layers, 8 key-value heads of 128).

use std::time::Duration;

use juniper_types::{AdapterName, ModelName, WeightsVersion};

/// Weights of the reference model: 8 billion parameters of 2 bytes.
pub const MODEL_BYTES: u64 = 16_000_000_000;

/// A low-rank adapter of the reference model (rank 64 on all projections).
pub const ADAPTER_BYTES: u64 = 200_000_000;

/// Keys and values of one token: 2 x 32 layers x 8 heads x 128 x 2 bytes.
pub const KV_BYTES_PER_TOKEN: u64 = 131_072;

/// Blocks in the 8 GiB that weights and activations leave on 24 GB, at 64
/// tokens of 128 KiB, that is 8 MiB a block. At the prompt rates of the two
/// deployments this turns over within seconds.
pub const CACHE_BLOCKS: u32 = 1_024;

/// Prefill: 2 flop for each of 8 billion parameters at 60 Tflop/s.
pub const PREFILL_TOKEN_NS: u64 = 267_000;

/// Attention of one new token to one earlier token: 4 x 32 x 4096 flop at 60 Tflop/s.
pub const ATTENTION_PAIR_NS: u64 = 9;

/// One pass over the weights: 16 GB at 1 TB/s. Every iteration pays it once.
pub const WEIGHTS_READ_NS: u64 = 16_000_000;

/// Reading the keys and values of one token of context: 128 KiB at 1 TB/s.
pub const KV_READ_TOKEN_NS: u64 = 131;

/// Kernel launches, sampling and scheduling of one iteration.
pub const ITERATION_OVERHEAD_NS: u64 = 1_000_000;

/// Prefill tokens in one iteration: 240 x 267 us = 64 ms, so that a running
/// stream still gets a token within 68 ms, as the large deployment asks.
pub const TOKEN_BUDGET: u32 = 240;

/// Factor on [`TOKEN_BUDGET`] for engines in the prefill role, which have few streams to keep going.
pub const PREFILL_ROLE_FACTOR: u32 = 8;

/// Divisor of [`TOKEN_BUDGET`] for engines in the decode role, which protect their streams.
pub const DECODE_ROLE_DIVISOR: u32 = 4;

/// Requests in one batch; beyond this the key-value reads outweigh the shared weights read.
pub const MAX_RUNNING: usize = 32;

/// Requests that may wait before the engine refuses; two full batches.
pub const MAX_WAITING: usize = 64;

/// Moving one block of 8 MiB at 3 GB/s, a 25 Gbit/s link.
pub const TRANSFER_BLOCK_NS: u64 = 2_800_000;

/// Time after the start of leaving in which new work may still arrive.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// How late and how lossy an engine tells about its cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventFaults {
    /// Shortest time from a change to its publication.
    pub delay_min: Duration,
    /// Longest time from a change to its publication.
    pub delay_max: Duration,
    /// Share of events that are lost for good, 0 to 1.
    pub loss: f64,
}

impl Default for EventFaults {
    /// A collector that polls every 100 ms behind a queue, and one event in 200 lost.
    fn default() -> Self {
        EventFaults {
            delay_min: Duration::from_millis(20),
            delay_max: Duration::from_millis(250),
            loss: 0.005,
        }
    }
}

/// What one engine is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Model loaded at start, with its weights; `None` starts empty.
    pub model: Option<(ModelName, WeightsVersion)>,
    /// Adapters loaded at start.
    pub adapters: Vec<AdapterName>,
    /// Memory for keys and values, in blocks.
    pub cache_blocks: u32,
    /// Prefill tokens in one iteration.
    pub token_budget: u32,
    /// Requests in one batch.
    pub max_running: usize,
    /// Requests that may wait.
    pub max_waiting: usize,
    /// Cost of one prefill token, in nanoseconds.
    pub prefill_token_ns: u64,
    /// Lateness and loss of cache events.
    pub events: EventFaults,
    /// Time between load samples.
    pub load_interval: Duration,
    /// Age that a load sample has before it can be read.
    pub load_lag: Duration,
    /// Time after the start of leaving in which new work may still arrive.
    pub leaving_grace: Duration,
    /// Whether every token is reported or only the first one and the end.
    pub report_every_token: bool,
    /// Seed of the event faults.
    pub seed: u64,
}

impl EngineConfig {
    /// The reference machine serving `model` with `weights`.
    pub fn reference(model: ModelName, weights: WeightsVersion, seed: u64) -> Self {
        EngineConfig {
            model: Some((model, weights)),
            adapters: Vec::new(),
            cache_blocks: CACHE_BLOCKS,
            token_budget: TOKEN_BUDGET,
            max_running: MAX_RUNNING,
            max_waiting: MAX_WAITING,
            prefill_token_ns: PREFILL_TOKEN_NS,
            events: EventFaults::default(),
            load_interval: Duration::from_millis(250),
            load_lag: Duration::from_millis(250),
            leaving_grace: LEAVING_GRACE,
            report_every_token: true,
            seed,
        }
    }
}
