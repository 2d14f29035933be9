//! What a routing policy sees and answers in an experiment.

use std::time::Duration;

use juniper_emulators::engine::{CacheEvent, Engine, EngineRequest, LoadReport};
use juniper_types::{Incarnation, Timestamp};

use super::workload::Job;

/// Identifies one attempt at one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Where to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Position of the engine in the fleet.
    pub engine: usize,
    /// Life of the engine that the choice relies on, if it relies on one.
    pub incarnation: Option<Incarnation>,
    /// Leading blocks that the engine should hold.
    pub expected_blocks: u32,
    /// What to wait for before the request is sent.
    pub wait: Option<Wait>,
}

/// A wait of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Over when this attempt has its first token or has ended.
    pub attempt: AttemptId,
    /// Over after this time in any case.
    pub at_most: Duration,
}

/// The policy refuses the request; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When it has a chance.
    pub retry_after: Duration,
}

/// One request to choose for.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request.
    pub job: &'a Job,
    /// Engines that refused it already.
    pub excluded: &'a [usize],
    /// Router that was asked.
    pub router: usize,
}

/// What no router can know: the state of every engine at this moment, and the
/// requests on their way there. Only the oracle may look.
#[derive(Clone, Copy)]
pub struct Truth<'a> {
    /// The engines.
    pub engines: &'a [Engine],
    /// Requests sent and not yet arrived, with their engines.
    pub in_transit: &'a [(usize, EngineRequest)],
    /// Requests that routers have not sent yet.
    pub held: &'a [Held],
}

/// A request that its router has not sent yet.
#[derive(Clone, Debug)]
pub struct Held {
    /// The attempt whose first token or end it waits for.
    pub waits_for: AttemptId,
    /// Where it will go.
    pub engine: usize,
    /// The request.
    pub request: EngineRequest,
}

/// A routing policy, one instance for all routers. Baselines and juniper keep
/// the routers' knowledge apart; the oracle has no need to.
pub trait Policy {
    /// Chooses an engine and counts the work as sent.
    ///
    /// # Errors
    /// Fails when the policy refuses the request.
    fn choose(
        &mut self,
        question: &Question<'_>,
        truth: Truth<'_>,
        now: Timestamp,
    ) -> Result<Choice, Refused>;

    /// Router `router` reads a load report.
    fn load(&mut self, _router: usize, _engine: usize, _report: &LoadReport, _now: Timestamp) {}

    /// Position in the engine's event stream that router `router` has reached;
    /// `None` asks for a snapshot. `Some(None)` asks for nothing.
    fn events_after(&self, _router: usize, _engine: usize) -> EventsWanted {
        EventsWanted::Nothing
    }

    /// Router `router` reads cache events of an engine; false asks for a snapshot.
    fn events(
        &mut self,
        _router: usize,
        _engine: usize,
        _incarnation: Incarnation,
        _events: &[std::sync::Arc<CacheEvent>],
    ) -> bool {
        true
    }

    /// Router `router` reads the whole cache of an engine.
    fn snapshot(&mut self, _router: usize, _engine: usize, _engine_state: &Engine) {}

    /// The first token of an attempt passed through router `router`.
    fn first_token(
        &mut self,
        _router: usize,
        _engine: usize,
        _attempt: AttemptId,
        _now: Timestamp,
    ) {
    }

    /// An attempt ended.
    fn finished(&mut self, _router: usize, _engine: usize, _attempt: AttemptId, _now: Timestamp) {}

    /// Every router restarts and knows nothing.
    fn restart(&mut self);
}

/// What a router reads next from an engine's cache event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventsWanted {
    /// The policy doesn't read events.
    Nothing,
    /// Events after this one of this life.
    After(Incarnation, u64),
    /// The whole cache.
    Snapshot,
}
