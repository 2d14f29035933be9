//! Admission of prompts under overload.
//!
//! Queued prompts occupy cache memory, so that more shared segments are evicted and computed again,
//! and long prefills stall the streams on the server. Beyond some queue length, each further prompt
//! reduces the number of prompts that finish in time. Prompts that can't start well before their
//! deadline are therefore rejected before they are sent, the least urgent ones first.

use std::time::Duration;

/// Share of the remaining time within which one of the most urgent prompts must start. The margin
/// covers the delay of other routers' dispatch reports.
const MAX_URGENT_START_SHARE: f64 = 0.5;

/// Share of the remaining time within which a less urgent prompt must start. Lower, to keep room
/// for urgent ones.
const MAX_START_SHARE: f64 = 0.4;

/// Wait at the chosen server, relative to the start limit, above which a prompt that would start
/// after the limit is rejected. Below, the time is the prompt's own prefill, and a rejection would
/// free no capacity for others.
const LONG_WAIT_FACTOR: f64 = 1.0;

/// Lower quartile of the waits of all servers, relative to the start limit, above which capacity is
/// scarce. Long prompts are then rejected even at a server with a short queue, since they would
/// delay others.
const SCARCE_CAPACITY_FACTOR: f64 = 0.15;

/// Expected timing of a prompt at the server with the lowest cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartEstimate {
    /// Time to first output, in milliseconds.
    pub first_output_ms: f64,
    /// Part of that time spent in the queue, in milliseconds.
    pub wait_ms: f64,
}

/// Estimates that led to the rejection of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Expected timing of the prompt.
    pub estimate: StartEstimate,
    /// Lower quartile of the queueing times over all servers, in milliseconds.
    pub lower_quartile_wait_ms: f64,
    /// Time within which the prompt had to start, in milliseconds.
    pub limit_ms: f64,
    /// What the servers have too little of.
    pub resource: Resource,
}

/// Resource of servers that requests compete for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Prefill time: how long a prompt waits for those before it.
    Prefill,
    /// Calls without prompts that a server processes concurrently.
    Calls,
}

impl Resource {
    /// Value of `resource` in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Resource::Prefill => "prefill",
            Resource::Calls => "calls",
        }
    }
}

impl Overload {
    /// Time by which the expected start exceeds the limit.
    pub fn excess(&self) -> Duration {
        let excess_ms = (self.estimate.first_output_ms - self.limit_ms).max(0.0);
        Duration::from_secs_f64(excess_ms / 1_000.0)
    }
}

impl StartEstimate {
    /// Returns the reason for rejecting a prompt of this rank (0 is the most urgent), or `None` to
    /// admit it. `lower_quartile_wait_ms` visits every server and is only called if the start limit
    /// is exceeded.
    pub fn overload(
        self,
        rank: u8,
        time_left: Duration,
        lower_quartile_wait_ms: impl FnOnce() -> f64,
    ) -> Option<Overload> {
        let share = if rank == 0 { MAX_URGENT_START_SHARE } else { MAX_START_SHARE };
        let limit_ms = time_left.as_secs_f64() * 1_000.0 * share;
        if self.first_output_ms <= limit_ms {
            return None;
        }
        let lower_quartile_wait_ms = lower_quartile_wait_ms();
        let waits_long = self.wait_ms > limit_ms * LONG_WAIT_FACTOR;
        let is_scarce = lower_quartile_wait_ms > limit_ms * SCARCE_CAPACITY_FACTOR;
        (waits_long || is_scarce).then_some(Overload {
            estimate: self,
            lower_quartile_wait_ms,
            limit_ms,
            resource: Resource::Prefill,
        })
    }
}
