//! What the experiments add to a trace's profile: networks, faults, settings.

use std::time::Duration;

use juniper_emulators::engine::{EngineConfig, EventFaults};
use juniper_emulators::trace::{Profile, TraceHeader};

use super::workload::WEIGHTS;

/// One-way latency between two machines of a zone.
const WITHIN_ZONE: Duration = Duration::from_micros(150);

/// Age that a load sample has before it can be read.
const LOAD_LAG: Duration = Duration::from_millis(200);

/// Time between load samples.
const LOAD_INTERVAL: Duration = Duration::from_millis(50);

/// A deployment as the experiments run it.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// One-way latency between zones.
    pub between_zones: Duration,
    /// Weight of recomputed tokens in the settings of chat services.
    pub waste_weight: f64,
    /// Weight of the time to first token.
    pub latency_weight: f64,
    /// Time to first token above which a request is refused, in milliseconds.
    pub first_token_deadline_ms: u64,
    /// Time to the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// Lateness and loss of cache events.
    pub events: EventFaults,
}

impl Deployment {
    /// The deployment of `profile`. Latencies are those of its zones; weights
    /// are what its users care about: recomputation for the recruiters who
    /// wait, the late tail for the editors who leave.
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

    /// One-way latency from zone `from` to zone `to`.
    pub fn one_way(&self, from: usize, to: usize) -> Duration {
        if from == to { WITHIN_ZONE } else { self.between_zones }
    }

    /// Engine number `engine` of the fleet that `header` names.
    pub fn engine(&self, header: &TraceHeader, engine: usize) -> EngineConfig {
        EngineConfig {
            cache_blocks: header.cache_blocks,
            events: self.events,
            load_interval: LOAD_INTERVAL,
            load_lag: LOAD_LAG,
            report_every_token: false,
            ..EngineConfig::reference(header.model.clone(), WEIGHTS, header.seed ^ engine as u64)
        }
    }
}
