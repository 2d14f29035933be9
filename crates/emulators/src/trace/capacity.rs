//! Engine time of a request, computed from the constants of the engine model.
//!
//! A fully loaded engine runs iterations of [`TOKEN_BUDGET`] prefill tokens
//! back to back; decode tokens only add the time to read their context. The
//! engine time of a request is therefore the sum of the prefill time of its
//! uncached tokens, including their share of the fixed iteration time, the
//! attention time, and the time to read its context for every output token.

use crate::engine::config::{
    ATTENTION_PAIR_NS, ITERATION_OVERHEAD_NS, KV_READ_TOKEN_NS, PREFILL_TOKEN_NS, TOKEN_BUDGET,
    WEIGHTS_READ_NS,
};

/// Cache hit share of shared prefixes at which `load` 1.0 fully uses the fleet.
/// With a lower hit share, the fleet is overloaded at a lower `load`.
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
