//! Configuration and constants of the engine model.
//!
//! The reference machine is one accelerator with 24 GB of memory, 1 TB/s of
//! memory bandwidth and 120 Tflop/s of dense 16-bit arithmetic, of which
//! inference reaches about half. It serves a model of 8 billion parameters in
//! 16 bits with grouped-query attention (32 layers, 8 key-value heads of 128).

use std::time::Duration;

use juniper_types::{AdapterName, ModelName, SoftwareVersion, WeightsVersion};

/// Size of the weights of the reference model: 8 billion parameters of 2 bytes.
pub const MODEL_BYTES: u64 = 16_000_000_000;

/// Size of a low-rank adapter of the reference model (rank 64 on all projections).
pub const ADAPTER_BYTES: u64 = 200_000_000;

/// Size of the keys and values of one token: 2 x 32 layers x 8 heads x 128 x 2 bytes.
pub const KV_BYTES_PER_TOKEN: u64 = 131_072;

/// Blocks in the 8 GiB that weights and activations leave on 24 GB, at 8 MiB
/// per block (64 tokens of 128 KiB).
pub const CACHE_BLOCKS: u32 = 1_024;

/// Prefill time of one token: 2 flop for each of 8 billion parameters at 60 Tflop/s.
pub const PREFILL_TOKEN_NS: u64 = 267_000;

/// Attention time of one new token to one earlier token: 4 x 32 x 4096 flop at 60 Tflop/s.
pub const ATTENTION_PAIR_NS: u64 = 9;

/// Time to read the weights, once per iteration: 16 GB at 1 TB/s.
pub const WEIGHTS_READ_NS: u64 = 16_000_000;

/// Time to read the keys and values of one token of context: 128 KiB at 1 TB/s.
pub const KV_READ_TOKEN_NS: u64 = 131;

/// Time for kernel launches, sampling and scheduling of one iteration.
pub const ITERATION_OVERHEAD_NS: u64 = 1_000_000;

/// Maximum prefill tokens per iteration: 240 x 267 us = 64 ms, so that running
/// streams meet the large deployment's limit of 68 ms between tokens.
pub const TOKEN_BUDGET: u32 = 240;

/// Factor on [`TOKEN_BUDGET`] for engines in the prefill role, which run few decode streams.
pub const PREFILL_ROLE_FACTOR: u32 = 8;

/// Divisor of [`TOKEN_BUDGET`] for engines in the decode role, which favour a low time between
/// tokens.
pub const DECODE_ROLE_DIVISOR: u32 = 4;

/// Maximum requests in one batch; beyond this, reading keys and values takes longer than reading
/// the weights.
pub const MAX_RUNNING: usize = 32;

/// Maximum queued requests: two full batches.
pub const MAX_WAITING: usize = 64;

/// Time to transfer one block of 8 MiB at 3 GB/s, the rate of a 25 Gbit/s link.
pub const TRANSFER_BLOCK_NS: u64 = 2_800_000;

/// Grace period after the start of a departure in which new requests are still accepted.
pub const DEPARTURE_GRACE: Duration = Duration::from_secs(2);

/// Software version of the reference machine.
const DEFAULT_SOFTWARE: &str = "v1";

/// Delay and loss of an engine's cache events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventFaults {
    /// Minimum delay from a change to its publication.
    pub delay_min: Duration,
    /// Maximum delay from a change to its publication.
    pub delay_max: Duration,
    /// Share of events that are never published, 0 to 1.
    pub loss: f64,
}

impl Default for EventFaults {
    /// Delays of a collector that polls every 100 ms behind a queue; one event in 200 is lost.
    fn default() -> Self {
        EventFaults {
            delay_min: Duration::from_millis(20),
            delay_max: Duration::from_millis(250),
            loss: 0.005,
        }
    }
}

/// Configuration of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Model loaded at start, with its weights; `None` starts empty.
    pub model: Option<(ModelName, WeightsVersion)>,
    /// Software version that the engine states, if any.
    pub software: Option<SoftwareVersion>,
    /// Adapters loaded at start.
    pub adapters: Vec<AdapterName>,
    /// KV cache capacity, in blocks.
    pub cache_blocks: u32,
    /// Maximum prefill tokens per iteration.
    pub token_budget: u32,
    /// Maximum requests in one batch.
    pub max_running: usize,
    /// Maximum queued requests.
    pub max_waiting: usize,
    /// Prefill time of one token, in nanoseconds.
    pub prefill_token_ns: u64,
    /// Delay and loss of cache events.
    pub events: EventFaults,
    /// Time between load samples.
    pub load_interval: Duration,
    /// Age at which a load sample becomes readable.
    pub load_lag: Duration,
    /// Grace period after the start of a departure in which new requests are still accepted.
    pub departure_grace: Duration,
    /// Whether to emit an output for every token instead of only the first one and the end.
    pub report_every_token: bool,
    /// Seed of the event delays and losses.
    pub seed: u64,
}

impl EngineConfig {
    /// Creates the configuration of the reference machine serving `model` with `weights`.
    pub fn reference(model: ModelName, weights: WeightsVersion, seed: u64) -> Self {
        EngineConfig {
            model: Some((model, weights)),
            software: SoftwareVersion::new(DEFAULT_SOFTWARE),
            adapters: Vec::new(),
            cache_blocks: CACHE_BLOCKS,
            token_budget: TOKEN_BUDGET,
            max_running: MAX_RUNNING,
            max_waiting: MAX_WAITING,
            prefill_token_ns: PREFILL_TOKEN_NS,
            events: EventFaults::default(),
            load_interval: Duration::from_millis(250),
            load_lag: Duration::from_millis(250),
            departure_grace: DEPARTURE_GRACE,
            report_every_token: true,
            seed,
        }
    }
}
