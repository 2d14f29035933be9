//! Lanes: separate servers for short and for long prompts.
//!
//! Engines interleave prefill chunks with the decoding of running requests. A long prefill
//! therefore stalls the streams on the same server and delays short prompts. The servers of a
//! service are divided between two lanes in proportion to their work, in the same order on all
//! routers. A server of the other lane costs more, but isn't excluded.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Minimum length of a long prompt.
const MIN_LONG_TOKENS: u32 = 2_000;

/// Half-life of the measured work.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Weight of short prompts in the division of servers: their streams run long compared to their
/// prefill.
const SHORT_LANE_FACTOR: f64 = 1.5;

/// Cost of a server of the other lane, relative to the objective.
pub(crate) const OTHER_LANE_FACTOR: f64 = 0.1;

/// Whether a prompt belongs to the lane of long prompts.
pub(crate) fn is_long(tokens: u32) -> bool {
    tokens >= MIN_LONG_TOKENS
}

/// Recent work of both lanes, in prefill tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lanes {
    short: Decaying,
    long: Decaying,
}

impl Default for Lanes {
    fn default() -> Self {
        Lanes { short: Decaying::new(HALF_LIFE), long: Decaying::new(HALF_LIFE) }
    }
}

impl Lanes {
    /// Records the dispatch of a prompt of `tokens`, of which `prefill_tokens` must be computed.
    pub(crate) fn record(&mut self, tokens: u32, prefill_tokens: u32, now: Timestamp) {
        let lane = if is_long(tokens) { &mut self.long } else { &mut self.short };
        lane.add(f64::from(prefill_tokens), now);
    }

    /// Number of servers, out of `servers`, in the lane of short prompts; all or none if there are
    /// only prompts of one kind.
    pub(crate) fn short_servers(&self, servers: usize, now: Timestamp) -> usize {
        let (short, long) = (self.short.at(now), self.long.at(now));
        if long < 1.0 || servers < 2 {
            return servers;
        }
        if short < 1.0 {
            return 0;
        }
        let share =
            (short * SHORT_LANE_FACTOR / (short * SHORT_LANE_FACTOR + long)) * servers as f64;
        (share.round() as usize).clamp(1, servers - 1)
    }
}
