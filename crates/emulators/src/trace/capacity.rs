//! Engine time that a request costs, by the constants of the engine model.
//!
//! A busy engine runs one iteration after the other, each with
//! [`TOKEN_BUDGET`] prefill tokens; decoding rides along and pays only for
//! reading its context. The engine time of a request is therefore the share of
//! the iterations that its uncached tokens fill, its attention, and the reads
//! of its context for every output token.

use crate::engine::config::{
    ATTENTION_PAIR_NS, ITERATION_OVERHEAD_NS, KV_READ_TOKEN_NS, PREFILL_TOKEN_NS, TOKEN_BUDGET,
    WEIGHTS_READ_NS,
};

/// Share of the shared prefix that a good router finds cached: what `load` is relative to.
/// A router that finds less has to compute more and is overloaded at a lower `load`.
pub const REFERENCE_HIT_SHARE: f64 = 0.8;

/// Engine time of one request, in seconds.
pub fn engine_seconds(prompt_tokens: f64, cached_tokens: f64, output_tokens: f64) -> f64 {
    let computed = (prompt_tokens - cached_tokens).max(0.0);
    let iteration_ns = (WEIGHTS_READ_NS + ITERATION_OVERHEAD_NS) as f64;
    let token_ns = PREFILL_TOKEN_NS as f64 + iteration_ns / f64::from(TOKEN_BUDGET);
    let mean_context = (prompt_tokens + cached_tokens) / 2.0;
    let attention_ns = computed * mean_context * ATTENTION_PAIR_NS as f64;
    let decode_ns = output_tokens * prompt_tokens * KV_READ_TOKEN_NS as f64;
    (computed * token_ns + attention_ns + decode_ns) / 1e9
}
