//! Network latencies, faults and service settings of the experiments, by profile.

use std::time::Duration;

use juniper_emulators::engine::{EngineConfig, EventFaults};
use juniper_emulators::trace::{Profile, TraceHeader};

use super::workload::WEIGHTS;

/// One-way latency between two hosts of a zone.
const LATENCY_WITHIN_ZONE: Duration = Duration::from_micros(150);

/// Delay until a load sample can be read.
const LOAD_SAMPLE_DELAY: Duration = Duration::from_millis(200);

/// Interval between load samples.
const LOAD_INTERVAL: Duration = Duration::from_millis(50);

/// Simulated deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// One-way latency between zones.
    pub between_zones: Duration,
    /// Cost weight of recomputed tokens for chat services.
    pub waste_weight: f64,
    /// Cost weight of the time to first token.
    pub latency_weight: f64,
    /// Limit of the time to first token above which a request is refused, in milliseconds.
    pub first_token_deadline_ms: u64,
    /// Deadline for the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// Delay and loss of cache events.
    pub events: EventFaults,
}

impl Deployment {
    /// Returns the deployment of `profile`, with the latencies between its zones and a
    /// higher cost weight for what matters most there: recomputed tokens or time to
    /// first token.
    pub fn of(profile: Profile) -> Self {
        let (between_zones, waste_weight, latency_weight) = match profile {
            Profile::GraniteLedger => (Duration::from_micros(1_300), 2.0, 0.5),
            Profile::Pryderi => (Duration::from_micros(1_000), 0.5, 2.0),
        };
        Deployment {
            between_zones,
            waste_weight,
            latency_weight,
            first_token_deadline_ms: 10_000,
            deadline_ms: 60_000,
            events: EventFaults::default(),
        }
    }

    /// Returns the one-way latency from zone `from` to zone `to`.
    pub fn one_way(&self, from: usize, to: usize) -> Duration {
        if from == to { LATENCY_WITHIN_ZONE } else { self.between_zones }
    }

    /// Creates engine number `engine` of the fleet described by `header`.
    pub fn engine(&self, header: &TraceHeader, engine: usize) -> EngineConfig {
        EngineConfig {
            cache_blocks: header.cache_blocks,
            events: self.events,
            load_interval: LOAD_INTERVAL,
            load_lag: LOAD_SAMPLE_DELAY,
            report_every_token: false,
            ..EngineConfig::reference(header.model.clone(), WEIGHTS, header.seed ^ engine as u64)
        }
    }
}
