//! Division of a tight service's servers between the lanes of short and long prompts, by prefill
//! and slots.
//!
//! Short prompts compute little but decode for long, long ones the reverse. A division by prefill
//! alone leaves the short lane without free slots, so that short prompts run among long prefills,
//! which stall their streams.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

use crate::lanes::{OTHER_LANE_FACTOR, is_long};

/// Half-life of the measured demand. The border between the lanes moves over several seconds, so
/// that segments cached near it aren't lost in each load wave.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Weight of one duration sample. A router ends a few requests per second of each lane.
const DURATION_WEIGHT: f64 = 0.05;

/// Share of the slots that a lane should use at most: above it, requests are expected to queue.
const MAX_SLOT_SHARE: f64 = 0.5;

/// Share of the time that a lane's servers should compute prefills at most. Prefill queues and gaps
/// grow fast above 0.7, which a server that slows down by a factor of 2.5 then just reaches.
const MAX_PREFILL_SHARE: f64 = 0.28;

/// Capacity of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerCapacity {
    pub slots: u32,
    pub prefill_ms_per_token: f64,
}

/// Recent demand of the prompts of one lane, over all routers.
#[derive(Clone, Copy, Debug)]
struct Demand {
    dispatches: Decaying,
    prefill_tokens: Decaying,
    /// Mean time from dispatch to end of this router's requests, in seconds; `None` without a
    /// sample.
    duration_s: Option<f64>,
}

impl Demand {
    fn new() -> Self {
        let sum = Decaying::new(HALF_LIFE);
        Demand { dispatches: sum, prefill_tokens: sum, duration_s: None }
    }

    /// Relative number of servers that the lane needs.
    fn servers(&self, capacity: ServerCapacity, now: Timestamp) -> f64 {
        let prefill_s = self.prefill_tokens.at(now) * capacity.prefill_ms_per_token / 1_000.0;
        let slot_s = self.dispatches.at(now) * self.duration_s.unwrap_or(0.0);
        let slots = f64::from(capacity.slots.max(1));
        (prefill_s / MAX_PREFILL_SHARE).max(slot_s / (slots * MAX_SLOT_SHARE))
    }
}

/// Recent demand of both lanes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaneDemand {
    short: Demand,
    long: Demand,
}

impl Default for LaneDemand {
    fn default() -> Self {
        LaneDemand { short: Demand::new(), long: Demand::new() }
    }
}

impl LaneDemand {
    fn lane(&mut self, tokens: u32) -> &mut Demand {
        if is_long(tokens) { &mut self.long } else { &mut self.short }
    }

    /// Records the dispatch of a prompt of `tokens` by any router.
    pub(crate) fn record_dispatch(&mut self, tokens: u32, prefill_tokens: u32, now: Timestamp) {
        let lane = self.lane(tokens);
        lane.dispatches.add(1.0, now);
        lane.prefill_tokens.add(f64::from(prefill_tokens), now);
    }

    /// Records how long an answered prompt of this router occupied a slot.
    pub(crate) fn record_duration(&mut self, tokens: u32, took: Duration) {
        let duration = &mut self.lane(tokens).duration_s;
        let sample = took.as_secs_f64();
        let known = duration.unwrap_or(sample);
        *duration = Some(known + DURATION_WEIGHT * (sample - known));
    }

    /// Number of servers, out of `servers`, in the lane of short prompts; all or none if there are
    /// only prompts of one kind. Depends on ratios only, so that missing reports don't move the
    /// border.
    pub(crate) fn short_servers(
        &self,
        servers: usize,
        capacity: ServerCapacity,
        now: Timestamp,
    ) -> usize {
        let short = self.short.servers(capacity, now);
        let long = self.long.servers(capacity, now);
        if long <= 0.0 || servers < 2 {
            return servers;
        }
        if short <= 0.0 {
            return 0;
        }
        let share = short / (short + long) * servers as f64;
        (share.round() as usize).clamp(1, servers - 1)
    }
}

/// Cost of a server of the other lane, relative to the objective, for a short prompt in a tight
/// service: its stream may stall among long prefills.
const SHORT_PROMPT_FACTOR: f64 = 0.2;

/// The same for a long prompt, for each stream on the server, in addition to the fixed cost. Low,
/// as gaps that are expected to be too long have their own cost; 0.03 and more kept long prompts
/// waiting at slow servers of their lane.
const LONG_PROMPT_FACTOR_PER_STREAM: f64 = 0.01;

/// Weight of the cost of a server of the other lane.
#[derive(Clone, Copy, Debug)]
pub(crate) enum OtherLane {
    /// A service that isn't tight.
    Fixed,
    /// A short prompt of a tight service.
    ShortPrompt,
    /// A long prompt of a tight service.
    LongPrompt,
}

impl OtherLane {
    /// Cost relative to the objective, on a server with `streams` requests in flight.
    pub(crate) fn factor(self, streams: f64) -> f64 {
        match self {
            OtherLane::Fixed => OTHER_LANE_FACTOR,
            OtherLane::ShortPrompt => SHORT_PROMPT_FACTOR,
            OtherLane::LongPrompt => OTHER_LANE_FACTOR + LONG_PROMPT_FACTOR_PER_STREAM * streams,
        }
    }
}
