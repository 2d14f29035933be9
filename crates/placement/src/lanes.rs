//! Two lanes of servers: for short prompts and for long ones.
//!
//! An engine reads prompts in pieces between the tokens of running requests, so
//! the streams on it pause while a long prompt is read, and short prompts wait
//! behind long ones. Servers are therefore divided, in the same order by all
//! routers, as the work is divided. A server of the other lane is dearer, not
//! forbidden.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Tokens from which a prompt counts as long.
const LONG_TOKENS: u32 = 2_000;

/// Time in which what was measured loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// What a lane of short prompts has beyond its share of the work: its streams
/// run long beside the reading.
const SHORT_FACTOR: f64 = 1.5;

/// What a server of the other lane costs, relative to the objective.
pub(crate) const OTHER_LANE_FACTOR: f64 = 0.1;

/// Whether a prompt belongs to the lane of long ones.
pub(crate) fn is_long(tokens: u32) -> bool {
    tokens >= LONG_TOKENS
}

/// The work of both lanes, in tokens read.
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
    /// A prompt of `tokens`, of which `missed` have to be read, is sent.
    pub(crate) fn record(&mut self, tokens: u32, missed: u32, now: Timestamp) {
        let lane = if is_long(tokens) { &mut self.long } else { &mut self.short };
        lane.add(f64::from(missed), now);
    }

    /// Servers, of `servers`, that take short prompts; all or none while there is
    /// one kind only.
    pub(crate) fn short_servers(&self, servers: usize, now: Timestamp) -> usize {
        let (short, long) = (self.short.at(now), self.long.at(now));
        if long < 1.0 || servers < 2 {
            return servers;
        }
        if short < 1.0 {
            return 0;
        }
        let share = (short * SHORT_FACTOR / (short * SHORT_FACTOR + long)) * servers as f64;
        (share.round() as usize).clamp(1, servers - 1)
    }
}
