//! Interface of the routing policies in an experiment.

use std::time::Duration;

use juniper_emulators::engine::{CacheEvent, Engine, EngineRequest, LoadReport};
use juniper_types::{Incarnation, Timestamp};

use super::workload::Job;

/// Identifier of one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Routing decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Position of the engine in the fleet.
    pub engine: usize,
    /// Incarnation of the engine that the decision requires, if any.
    pub incarnation: Option<Incarnation>,
    /// Number of leading blocks expected in the engine's cache.
    pub expected_blocks: u32,
    /// Condition to wait for before the request is sent.
    pub wait: Option<Wait>,
}

/// Condition that ends the hold of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Attempt whose first token or end ends the wait.
    pub attempt: AttemptId,
    /// Maximum time of the wait.
    pub at_most: Duration,
}

/// Refusal of a request by the policy before any engine ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Time after which a retry may be accepted.
    pub retry_after: Duration,
}

/// Input of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RoutingInput<'a> {
    /// Attempt to route.
    pub attempt: AttemptId,
    /// Request of the attempt.
    pub job: &'a Job,
    /// Engines that already refused the request.
    pub excluded: &'a [usize],
    /// Router that received the request.
    pub router: usize,
}

/// Current state of all engines and the requests in flight to them. Only the oracle
/// uses this; routers can't know it.
#[derive(Clone, Copy)]
pub struct FleetState<'a> {
    /// Engines by position.
    pub engines: &'a [Engine],
    /// Requests in flight from a router to an engine, with the engine.
    pub in_transit: &'a [(usize, EngineRequest)],
    /// Requests held by their routers.
    pub held: &'a [Held],
}

/// Request that is held by its router.
#[derive(Clone, Debug)]
pub struct Held {
    /// Attempt whose first token or end releases the request.
    pub waits_for: AttemptId,
    /// Engine that the request will be sent to.
    pub engine: usize,
    /// Request of the attempt.
    pub request: EngineRequest,
}

/// Routing policy; one instance serves all routers. Baselines and Juniper keep separate
/// state for each router; the oracle shares its state.
pub trait Policy {
    /// Chooses an engine and accounts the request as sent.
    ///
    /// # Errors
    /// Fails when the policy refuses the request.
    fn choose(
        &mut self,
        input: &RoutingInput<'_>,
        fleet: FleetState<'_>,
        now: Timestamp,
    ) -> Result<Choice, Refused>;

    /// Applies a load report at router `router`.
    fn load(&mut self, _router: usize, _engine: usize, _report: &LoadReport, _now: Timestamp) {}

    /// Returns what router `router` reads next from the engine's cache event stream.
    fn events_after(&self, _router: usize, _engine: usize) -> EventsWanted {
        EventsWanted::Nothing
    }

    /// Applies cache events of an engine at router `router`; false requests a snapshot.
    fn events(
        &mut self,
        _router: usize,
        _engine: usize,
        _incarnation: Incarnation,
        _events: &[std::sync::Arc<CacheEvent>],
    ) -> bool {
        true
    }

    /// Applies a snapshot of an engine's cache at router `router`.
    fn snapshot(&mut self, _router: usize, _engine: usize, _engine_state: &Engine) {}

    /// Records that the first token of an attempt reached router `router`.
    fn first_token(
        &mut self,
        _router: usize,
        _engine: usize,
        _attempt: AttemptId,
        _now: Timestamp,
    ) {
    }

    /// Records the end of an attempt.
    fn finished(&mut self, _router: usize, _engine: usize, _attempt: AttemptId, _now: Timestamp) {}

    /// Restarts all routers with empty state.
    fn restart(&mut self);
}

/// Next read of a router from an engine's cache event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventsWanted {
    /// No read: the policy doesn't use cache events.
    Nothing,
    /// Events after the given one of the given incarnation.
    After(Incarnation, u64),
    /// Snapshot of the whole cache.
    Snapshot,
}
