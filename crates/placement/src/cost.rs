//! Expected cost of a request on one server, in milliseconds.

use std::time::Duration;

use juniper_types::Timestamp;

use juniper_timing::FirstOutputWork;

use crate::choice::ExpectedTiming;
use crate::health::Health;
use crate::lanes::OTHER_LANE_FACTOR;
use crate::load::Load;
use crate::timing_model::{ServerPace, TimingModel};

/// Cost of a server in another zone: round trip and traffic between zones.
const OTHER_ZONE_COST_MS: f64 = 5.0;

/// Cost of computing shared segments again, relative to the prefill time: it delays other requests
/// and evicts other segments.
const RECOMPUTE_FACTOR: f64 = 4.0;

/// Cost of evicting segments, relative to their prefill time: prefill plus recompute cost when they
/// are requested again.
const EVICTION_FACTOR: f64 = 1.0 + RECOMPUTE_FACTOR;

/// Cost of each in-flight request: servers slow down as they fill.
const IN_FLIGHT_COST_MS: f64 = 2.0;

/// Cost of a server that rejected a request as full, relative to the objective.
const FULL_SERVER_FACTOR: f64 = 0.5;

/// Cost of a server at its advertised limit, relative to the objective. Keeps the remaining
/// capacity for requests that gain most from this server.
const UTILIZATION_FACTOR: f64 = 0.25;

/// Share of the maximum stream gap that uninterrupted prefill may take. Engines generate tokens
/// between the chunks of a prefill.
const SAFE_PREFILL_SHARE: f64 = 0.8;

/// Cost of each stream whose gap would become too long, relative to the objective.
const STREAM_GAP_FACTOR: f64 = 0.25;

/// Cost at a failure rate of 1, relative to the objective.
const FAILURE_RATE_FACTOR: f64 = 3.0;

/// Failure rate above the mean at which a server still counts as healthy.
const BASELINE_FAILURE_RATE: f64 = 0.1;

/// Cost of a server that has stopped reporting to the control replicas, relative to the objective.
const SILENT_SERVER_FACTOR: f64 = 0.5;

/// Share of the slots above which requests are expected to queue.
const CONGESTION_SLOT_SHARE: f64 = 0.5;

/// State of a server with respect to one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerView<'a> {
    pub health: &'a Health,
    /// Momentary speed of the server.
    pub pace: ServerPace,
    pub load: Load,
    /// Queued prefill tokens of all routers.
    pub fleet_queued_tokens: f64,
    /// Largest number of them in the last second.
    pub recent_peak_tokens: f64,
    /// In-flight requests of all routers.
    pub fleet_requests: f64,
    pub slots: u32,
    pub same_zone: bool,
    pub silent: bool,
    pub cold_ms: f64,
    /// Prompt tokens that the server must compute.
    pub prefill_tokens: u32,
    /// Shared tokens among those that are already cached on some server.
    pub recomputed_tokens: u32,
    /// KV transfer time of the segments that the server would fetch.
    pub transfer_ms: f64,
    /// Whether the server belongs to the lane for prompts of the other length.
    pub other_lane: bool,
    /// Used share of the advertised limit, from 0 to 1.
    pub utilization: f64,
    /// Tokens evicted for the prompt that would have been requested again.
    pub evicted_tokens: f64,
    /// Cost of a server that has just started.
    pub slow_start_ms: f64,
}

impl ServerView<'_> {
    /// Queued prefill tokens. The own count includes requests that have not been reported back.
    fn tokens_ahead(&self) -> f64 {
        self.fleet_queued_tokens.max(self.load.queued_tokens as f64)
    }

    fn first_output_work(&self) -> FirstOutputWork {
        FirstOutputWork {
            prefill_tokens: f64::from(self.prefill_tokens),
            tokens_ahead: self.tokens_ahead(),
            transfer_ms: self.transfer_ms,
        }
    }
}

/// Inputs of the cost that are the same for all servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostContext {
    pub timing: TimingModel,
    pub objective: Duration,
    /// Longest gap between events of a stream that still counts as in time.
    pub max_gap: Option<Duration>,
    /// Mean failure rate of the service's servers.
    pub mean_failure_rate: f64,
    pub now: Timestamp,
}

impl CostContext {
    /// Expected cost of the request.
    pub(crate) fn cost_ms(&self, server: &ServerView<'_>) -> f64 {
        let objective_ms = self.objective.as_secs_f64() * 1_000.0;
        let prefill = self.timing.prefill_ms(f64::from(server.prefill_tokens));
        let recompute =
            self.timing.prefill_ms(f64::from(server.recomputed_tokens)) * RECOMPUTE_FACTOR;
        let queue = self.timing.prefill_ms(server.tokens_ahead());
        let zone = if server.same_zone { 0.0 } else { OTHER_ZONE_COST_MS };
        let requests = server.fleet_requests.max(f64::from(server.load.requests));
        let in_flight = requests * IN_FLIGHT_COST_MS;
        let congestion = self.congestion_ms(server, requests, objective_ms);
        let delay = self.timing.delay_ms(server.first_output_work(), server.pace);
        let lane = if server.other_lane { OTHER_LANE_FACTOR * objective_ms } else { 0.0 };
        let full =
            if server.health.is_full(self.now) { FULL_SERVER_FACTOR * objective_ms } else { 0.0 };
        let utilization = server.utilization * UTILIZATION_FACTOR * objective_ms;
        let silent = if server.silent { SILENT_SERVER_FACTOR * objective_ms } else { 0.0 };
        let excess =
            server.health.failure_rate(self.now) - self.mean_failure_rate - BASELINE_FAILURE_RATE;
        let failures = excess.max(0.0) * FAILURE_RATE_FACTOR * objective_ms;
        let eviction = self.timing.prefill_ms(server.evicted_tokens) * EVICTION_FACTOR;
        let transfer = server.transfer_ms + eviction;
        let stream_gap = self.stream_gap_ms(server, queue + prefill, requests, objective_ms);
        let work =
            prefill + recompute + transfer + queue + in_flight + congestion + delay + stream_gap;
        work + zone
            + lane
            + full
            + utilization
            + silent
            + failures
            + server.cold_ms
            + server.slow_start_ms
    }

    /// Expected time to first output, if no later request overtakes this one.
    pub(crate) fn first_output_ms(&self, server: &ServerView<'_>) -> f64 {
        self.timing.first_output_ms(server.first_output_work(), server.pace) + server.cold_ms
    }

    /// Expected time in the queue.
    pub(crate) fn wait_ms(&self, server: &ServerView<'_>) -> f64 {
        self.timing.wait_ms(server.tokens_ahead(), server.pace)
    }

    /// Expected times of the request.
    pub(crate) fn expected(&self, server: &ServerView<'_>) -> ExpectedTiming {
        ExpectedTiming {
            first_output_ms: self.first_output_ms(server),
            longest_gap_ms: self.timing.new_stream_gap_ms(server.recent_peak_tokens, server.pace),
        }
    }

    /// Cost of stream gaps: in-flight streams get no tokens during a long prefill, and neither does
    /// the request's own stream if the queue ahead is long.
    fn stream_gap_ms(
        &self,
        server: &ServerView<'_>,
        prefill_ms: f64,
        requests: f64,
        objective_ms: f64,
    ) -> f64 {
        let Some(max_gap) = self.max_gap else { return 0.0 };
        let max_gap_ms = max_gap.as_secs_f64() * 1_000.0;
        let tokens = server.tokens_ahead() + f64::from(server.prefill_tokens);
        let streams = match self.timing.gap_ms(tokens, server.pace) {
            Some(gap_ms) => {
                let own_gap_ms =
                    self.timing.new_stream_gap_ms(server.recent_peak_tokens, server.pace);
                let others = if gap_ms > max_gap_ms { requests } else { 0.0 };
                let own = own_gap_ms.is_some_and(|own_gap_ms| own_gap_ms > max_gap_ms);
                others + f64::from(u8::from(own))
            }
            None if prefill_ms > max_gap_ms * SAFE_PREFILL_SHARE => requests,
            None => 0.0,
        };
        streams * STREAM_GAP_FACTOR * objective_ms
    }

    /// Cost of queueing on a server whose slots fill up.
    fn congestion_ms(&self, server: &ServerView<'_>, requests: f64, objective_ms: f64) -> f64 {
        let uncongested = (f64::from(server.slots) * CONGESTION_SLOT_SHARE).max(1.0);
        let excess = requests + 1.0 - uncongested;
        excess.max(0.0) / uncongested * objective_ms * 0.5
    }
}
