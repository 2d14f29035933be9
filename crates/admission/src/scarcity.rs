//! Scarcity of the servers' resources.

use std::time::Duration;

/// Resource of a server that requests compete for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Prefill time: how long a prompt waits for the prefill of those before it.
    Prefill,
    /// Slots for requests that are processed concurrently.
    Slots,
    /// KV-cache memory that running requests hold.
    Memory,
    /// Time between two events of the streams on a server.
    Gaps,
    /// Calls without prompts that a server processes concurrently.
    Calls,
}

impl Resource {
    /// Value of `resource` in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Resource::Prefill => "prefill",
            Resource::Slots => "slots",
            Resource::Memory => "memory",
            Resource::Gaps => "gaps",
            Resource::Calls => "calls",
        }
    }
}

/// Use of the resources of one server. If reports of other routers are missing, it is too low, and
/// more is admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerUsage {
    /// Expected waiting time of a prompt, without its own prefill, in milliseconds.
    pub wait_ms: f64,
    /// Requests in flight relative to the slots.
    pub slot_share: f64,
    /// Tokens that running requests hold relative to the capacity of the KV cache. Cached segments
    /// that no running request uses can be evicted and don't count.
    pub memory_share: f64,
    /// Expected longest gap of a stream, in milliseconds; zero if unknown.
    pub gap_ms: f64,
}

/// Levels that the use of each resource reaches on three quarters of the servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceScarcity(ServerUsage);

impl ServiceScarcity {
    /// Computes the levels. Takes time proportional to the number of servers.
    pub fn of(servers: &[ServerUsage]) -> Self {
        let level = |usage: fn(&ServerUsage) -> f64| {
            let mut levels: Vec<f64> = servers.iter().map(usage).collect();
            let quarter = levels.len() / 4;
            match levels.is_empty() {
                true => 0.0,
                false => *levels.select_nth_unstable_by(quarter, f64::total_cmp).1,
            }
        };
        ServiceScarcity(ServerUsage {
            wait_ms: level(|server| server.wait_ms),
            slot_share: level(|server| server.slot_share),
            memory_share: level(|server| server.memory_share),
            gap_ms: level(|server| server.gap_ms),
        })
    }

    /// Levels of use that three quarters of the servers reach.
    pub fn levels(&self) -> ServerUsage {
        self.0
    }

    /// The scarcest resource; `None` if none is scarce.
    pub(crate) fn scarcest(&self, limits: &ScarcityLimits) -> Option<Shortage> {
        let shortages = limits.shortages(&self.0).into_iter().flatten();
        shortages.min_by(|one, other| one.admitted_share.total_cmp(&other.admitted_share))
    }
}

impl ServerUsage {
    /// Whether all resources of this server, the best for some prompt, are used so little that none
    /// can be expected to be scarce on three quarters of the servers.
    pub(crate) fn is_spare(&self, limits: &ScarcityLimits) -> bool {
        let scaled = ServerUsage {
            wait_ms: self.wait_ms / SPARE_SHARE,
            slot_share: self.slot_share / SPARE_SHARE,
            memory_share: self.memory_share / SPARE_SHARE,
            gap_ms: self.gap_ms / SPARE_SHARE,
        };
        limits.shortages(&scaled).iter().all(Option::is_none)
    }
}

/// Use of the best server, relative to the level from which a resource is scarce, below which the
/// other servers aren't looked at. Under overload, the best server is hardly ever at half the level
/// of the lower quartile.
const SPARE_SHARE: f64 = 0.5;

/// Least share of the demand that is admitted if a resource is scarce by expected times. Expected
/// times that are wrong are only corrected by prompts that are sent: without a least share, routers
/// with wrong ones refused nearly everything for as long as their samples lasted.
const MIN_ADMITTED_SHARE: f64 = 0.1;

/// Share of the shortest objective that prompts may wait on three quarters of the servers before
/// prefill time is scarce. Leaves the rest for the fixed part of a first output (52 ms were
/// measured) and the prefill of the largest tenth (70 to 220 ms).
const SCARCE_WAIT: f64 = 0.2;

/// Wait relative to the shortest objective at which least is admitted: with the fixed part, even
/// small prompts would be late.
const EXHAUSTED_WAIT: f64 = 0.6;

/// Used share of the slots from which they are scarce. Other routers' reports arrive 15 to 60 ms
/// late; the rest is for the requests not yet reported.
const SCARCE_SLOTS: f64 = 0.85;

/// Used share of the slots at which nothing is admitted: every request would queue for a slot.
const EXHAUSTED_SLOTS: f64 = 1.15;

/// Held share of the KV cache from which memory is scarce. The rest is for partial blocks and
/// requests not yet reported.
const SCARCE_MEMORY: f64 = 0.8;

/// Held share of the KV cache at which nothing is admitted: engines preempt running requests.
const EXHAUSTED_MEMORY: f64 = 1.0;

/// Expected gap relative to the maximum from which gaps are scarce.
const SCARCE_GAP: f64 = 1.0;

/// Expected gap relative to the maximum at which least is admitted.
const EXHAUSTED_GAP: f64 = 2.0;

/// Requirements that decide whether a resource is scarce.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScarcityLimits {
    /// Shortest objective of the service.
    pub objective: Duration,
    /// Longest gap of a stream that is still in time; `None` without a stream.
    pub max_gap: Option<Duration>,
}

/// A scarce resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Shortage {
    pub resource: Resource,
    /// Level of use: milliseconds of waits and gaps, shares of slots and memory.
    pub level: f64,
    /// Level from which the resource is scarce.
    pub limit: f64,
    /// Share of the demand that can be admitted, below 1.
    pub admitted_share: f64,
}

impl ScarcityLimits {
    fn shortages(&self, usage: &ServerUsage) -> [Option<Shortage>; 4] {
        let objective_ms = self.objective.as_secs_f64() * 1_000.0;
        let max_gap_ms = self.max_gap.map_or(f64::INFINITY, |gap| gap.as_secs_f64() * 1_000.0);
        let shortage = |resource, level: f64, scarce: f64, exhausted: f64| {
            let least = match resource {
                Resource::Prefill | Resource::Gaps => MIN_ADMITTED_SHARE,
                _ => 0.0,
            };
            // Falls linearly, so that routers that see the same level together admit what fits.
            let admitted_share = (exhausted - level) / (exhausted - scarce);
            let admitted_share = admitted_share.clamp(least, 1.0);
            (level > scarce).then_some(Shortage { resource, level, limit: scarce, admitted_share })
        };
        [
            shortage(
                Resource::Prefill,
                usage.wait_ms,
                SCARCE_WAIT * objective_ms,
                EXHAUSTED_WAIT * objective_ms,
            ),
            shortage(Resource::Slots, usage.slot_share, SCARCE_SLOTS, EXHAUSTED_SLOTS),
            shortage(Resource::Memory, usage.memory_share, SCARCE_MEMORY, EXHAUSTED_MEMORY),
            shortage(
                Resource::Gaps,
                usage.gap_ms,
                SCARCE_GAP * max_gap_ms,
                EXHAUSTED_GAP * max_gap_ms,
            ),
        ]
    }
}
