//! What serving a request on one server is expected to cost, in milliseconds.

use std::time::Duration;

use juniper_types::Timestamp;

use crate::health::Health;
use crate::lanes::OTHER_LANE_FACTOR;
use crate::load::{Load, ReadingSpeed};

/// What a server in another zone costs more: the way there and back, and the
/// bytes between zones.
const OTHER_ZONE_MS: f64 = 5.0;

/// What reading shared parts again costs beside the time: the engine is kept from
/// other work, and the parts displace others.
const REREAD_FACTOR: f64 = 4.0;

/// What parts that give way in memory cost, relative to the time to read them: one that is asked
/// for again costs its reading and what reading shared parts again costs. Trials with 1, 2, 4 and 8
/// are in `docs/design/shifted-work.md`.
const DISPLACED_FACTOR: f64 = 1.0 + REREAD_FACTOR;

/// What each request under way adds, because servers slow down as they fill.
const UNDER_WAY_MS: f64 = 2.0;

/// What a full queue adds, relative to the objective.
const FULL_FACTOR: f64 = 0.5;

/// What a server adds that has got all that it takes from all routers, relative to the objective.
/// What it has left goes to requests that are worth more there than anywhere else.
const USED_UP_FACTOR: f64 = 0.25;

/// Part of the longest pause that reading without a break may take: the engine
/// makes tokens between the pieces it reads, and events hold several tokens.
const SAFE_READING_PART: f64 = 0.8;

/// What each stream adds that would pause for too long, relative to the objective.
const PAUSED_STREAM_FACTOR: f64 = 0.25;

/// What a certain failure adds, relative to the objective.
const FAILURE_FACTOR: f64 = 3.0;

/// Share of failures that servers have without being unhealthy.
const USUAL_FAILURES: f64 = 0.1;

/// What silence towards the control replicas adds, relative to the objective.
const SILENCE_FACTOR: f64 = 0.5;

/// Share of its slots beyond which a server that fills up makes requests wait.
const SLOT_SHARE: f64 = 0.5;

/// A server as a request sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerView<'a> {
    pub health: &'a Health,
    pub load: Load,
    /// Tokens to read of what all routers have sent.
    pub fleet_tokens: f64,
    /// Requests under way of all routers.
    pub fleet_requests: f64,
    pub slots: u32,
    pub same_zone: bool,
    pub silent: bool,
    pub cold_ms: f64,
    /// Tokens that the server would have to read.
    pub missed_tokens: u32,
    /// Tokens of shared parts among those, which some server has read already.
    pub reread_tokens: u32,
    /// Time to move parts to the server.
    pub move_ms: f64,
    /// Whether the server belongs to the lane of prompts of the other length.
    pub other_lane: bool,
    /// Part that is used of what the server takes from all routers together.
    pub used_part: f64,
    /// Tokens that give way to the prompt and would have been asked for again.
    pub displaced: f64,
}

/// What does not depend on the server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostContext {
    pub speed: ReadingSpeed,
    pub objective: Duration,
    /// Longest pause within a stream that is still in time.
    pub max_pause: Option<Duration>,
    /// Mean share of failures of the service's servers.
    pub mean_failures: f64,
    pub now: Timestamp,
}

impl CostContext {
    /// The expected cost.
    pub(crate) fn cost_ms(&self, server: &ServerView<'_>) -> f64 {
        let objective_ms = self.objective.as_secs_f64() * 1_000.0;
        let reading = self.speed.ms_for(f64::from(server.missed_tokens));
        let reread = self.speed.ms_for(f64::from(server.reread_tokens)) * REREAD_FACTOR;
        let queue = self.speed.ms_for(server.fleet_tokens.max(server.load.waiting_tokens as f64));
        let zone = if server.same_zone { 0.0 } else { OTHER_ZONE_MS };
        let requests = server.fleet_requests.max(f64::from(server.load.requests));
        let under_way = requests * UNDER_WAY_MS;
        let crowded = self.crowded_ms(server, requests, objective_ms);
        let delay = server.health.delay_ms(self.now);
        let lane = if server.other_lane { OTHER_LANE_FACTOR * objective_ms } else { 0.0 };
        let full = if server.health.is_full(self.now) { FULL_FACTOR * objective_ms } else { 0.0 };
        let used_up = server.used_part * USED_UP_FACTOR * objective_ms;
        let silent = if server.silent { SILENCE_FACTOR * objective_ms } else { 0.0 };
        let excess = server.health.failure_share(self.now) - self.mean_failures - USUAL_FAILURES;
        let failures = excess.max(0.0) * FAILURE_FACTOR * objective_ms;
        let displaced = self.speed.ms_for(server.displaced) * DISPLACED_FACTOR;
        let moving = server.move_ms + displaced;
        let pauses = self.pauses_ms(queue + reading, requests, objective_ms);
        let work = reading + reread + moving + queue + under_way + crowded + delay + pauses;
        work + zone + lane + full + used_up + silent + failures + server.cold_ms
    }

    /// The expected time to the first output of a request that no other overtakes.
    pub(crate) fn first_output_ms(&self, server: &ServerView<'_>) -> f64 {
        let reading = self.speed.ms_for(f64::from(server.missed_tokens));
        self.wait_ms(server) + reading + server.move_ms + server.cold_ms
    }

    /// The expected time for which it waits behind others.
    pub(crate) fn wait_ms(&self, server: &ServerView<'_>) -> f64 {
        let queue = self.speed.ms_for(server.fleet_tokens.max(server.load.waiting_tokens as f64));
        queue + server.health.delay_ms(self.now)
    }

    /// Streams that run on the server pause while it reads without a break; so will
    /// the request's own stream if the queue before it is long.
    fn pauses_ms(&self, reading_ms: f64, requests: f64, objective_ms: f64) -> f64 {
        let Some(max_pause) = self.max_pause else { return 0.0 };
        let safe_ms = max_pause.as_secs_f64() * 1_000.0 * SAFE_READING_PART;
        let is_too_long = reading_ms > safe_ms;
        if is_too_long { requests * PAUSED_STREAM_FACTOR * objective_ms } else { 0.0 }
    }

    /// A server whose slots fill up makes requests wait.
    fn crowded_ms(&self, server: &ServerView<'_>, requests: f64, objective_ms: f64) -> f64 {
        let comfortable = (f64::from(server.slots) * SLOT_SHARE).max(1.0);
        let over = requests + 1.0 - comfortable;
        over.max(0.0) / comfortable * objective_ms * 0.5
    }
}
