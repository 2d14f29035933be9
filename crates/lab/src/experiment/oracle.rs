//! Oracle policy: simulates the request on every engine and chooses the cheapest.
//!
//! The oracle copies the current state of each engine, including requests in flight to
//! the engine and held requests, submits the request to the copy and runs the copy to
//! the first token. The number of cached tokens and the time to first token are
//! therefore exact, apart from the influence of future arrivals. The oracle may also
//! hold the request until another attempt has computed the same prefix. The cost
//! function is that of the routers.

use std::sync::Arc;
use std::time::Duration;

use juniper_emulators::engine::config::PREFILL_TOKEN_NS;
use juniper_emulators::engine::{Engine, EngineRequest, Output};
use juniper_types::{BlockHash, RequestId, Timestamp};

use super::deployment::Deployment;
use super::policy::{AttemptId, Choice, FleetState, Held, Policy, Refused, RoutingInput, Wait};
use super::world::engine_request;

/// Nanoseconds per microsecond.
const NANOS_PER_MICRO: f64 = 1_000.0;

/// Assumed work of one queued request, in microseconds, as in the routers.
const QUEUED_WORK_US: f64 = 270_000.0;

/// Minimum blocks that an attempt must be computing for other requests to wait for it.
const MIN_AWAITED_BLOCKS: usize = 2;

/// Maximum time that a request is held.
const MAX_HOLD_TIME: Duration = Duration::from_secs(30);

/// Policy with complete knowledge of the fleet.
pub struct Oracle {
    deployment: Deployment,
    engine_zones: Vec<usize>,
    /// Attempts that have no first token yet, by engine.
    computing: Vec<Vec<(AttemptId, Arc<[BlockHash]>)>>,
}

/// Result of simulating the request on one engine.
#[derive(Clone, Copy, Debug)]
struct SimulatedStart {
    first_token_us: f64,
    cached_tokens: u32,
}

impl Oracle {
    /// Creates an oracle for the given topology.
    pub fn new(deployment: Deployment, engine_zones: Vec<usize>) -> Self {
        let computing = vec![Vec::new(); engine_zones.len()];
        Oracle { deployment, engine_zones, computing }
    }

    fn cost(&self, input: &RoutingInput<'_>, engine: usize, start: SimulatedStart) -> f64 {
        let job = input.job;
        let one_way = self.deployment.one_way(input.router, self.engine_zones[engine]);
        let missed = f64::from(job.prompt_tokens.saturating_sub(start.cached_tokens));
        let compute_us = missed * PREFILL_TOKEN_NS as f64 / NANOS_PER_MICRO;
        let queue_us = (start.first_token_us - compute_us).max(0.0);
        let congestion_us = compute_us * queue_us / QUEUED_WORK_US;
        let first_token_us = start.first_token_us + 2.0 * one_way.as_micros() as f64;
        job.settings.latency_weight * (first_token_us + congestion_us)
            + job.settings.waste_weight * compute_us
    }

    /// Returns the attempt that computes the longest part of the prompt beyond the cached
    /// blocks.
    fn attempt_to_wait_for(
        &self,
        input: &RoutingInput<'_>,
        engine: usize,
        state: &Engine,
    ) -> Option<AttemptId> {
        let blocks = &input.job.blocks;
        let cached = state.cached_prefix(blocks);
        let shared = |other: &[BlockHash]| {
            blocks.iter().zip(other).take_while(|(own, other)| own == other).count()
        };
        let attempts = self.computing[engine].iter().map(|(id, other)| (shared(other), *id));
        let (most, id) = attempts.max_by_key(|(blocks, id)| (*blocks, std::cmp::Reverse(*id)))?;
        (most >= cached + MIN_AWAITED_BLOCKS).then_some(id)
    }

    /// Returns the cheaper of sending to an engine at once or after a wait, with its cost.
    fn cheapest_dispatch(
        &self,
        input: &RoutingInput<'_>,
        fleet: FleetState<'_>,
        engine: usize,
        now: Timestamp,
    ) -> Option<(f64, Option<AttemptId>)> {
        let state = &fleet.engines[engine];
        let waits = [None, self.attempt_to_wait_for(input, engine, state)];
        let tried = waits.iter().enumerate().filter(|(place, wait)| *place == 0 || wait.is_some());
        let costs = tried.filter_map(|(_, wait)| {
            let request = engine_request(input, None);
            let start = EngineSimulation::new(fleet, engine, now).run(request, *wait)?;
            Some((self.cost(input, engine, start), *wait))
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0))
    }
}

impl Policy for Oracle {
    fn choose(
        &mut self,
        input: &RoutingInput<'_>,
        fleet: FleetState<'_>,
        now: Timestamp,
    ) -> Result<Choice, Refused> {
        let uses = (0..fleet.engines.len())
            .filter(|engine| !input.excluded.contains(engine))
            .filter_map(|engine| {
                let (cost, wait) = self.cheapest_dispatch(input, fleet, engine, now)?;
                Some((cost, engine, wait))
            });
        let best = uses.min_by(|a, b| a.0.total_cmp(&b.0));
        let refused = Refused { retry_after: Duration::from_secs(1) };
        let (_, engine, wait) = best.ok_or(refused)?;
        self.computing[engine].push((input.attempt, input.job.blocks.clone()));
        let wait = wait.map(|attempt| Wait { attempt, at_most: MAX_HOLD_TIME });
        Ok(Choice { engine, incarnation: None, expected_blocks: 0, wait })
    }

    fn first_token(&mut self, _router: usize, engine: usize, attempt: AttemptId, _now: Timestamp) {
        self.computing[engine].retain(|(id, _)| *id != attempt);
    }

    fn finished(&mut self, router: usize, engine: usize, attempt: AttemptId, now: Timestamp) {
        self.first_token(router, engine, attempt, now);
    }

    fn restart(&mut self) {}
}

/// Copy of an engine that is simulated ahead of the current time.
struct EngineSimulation<'a> {
    copy: Engine,
    held: Vec<&'a Held>,
    now: Timestamp,
}

impl<'a> EngineSimulation<'a> {
    fn new(fleet: FleetState<'a>, engine: usize, now: Timestamp) -> Self {
        let mut copy = fleet.engines[engine].clone();
        for (to, earlier) in fleet.in_transit {
            if *to == engine {
                // Requests that the engine refuses take no engine time.
                let _ = copy.submit(earlier.clone(), now);
            }
        }
        let held = fleet.held.iter().filter(|held| held.engine == engine).collect();
        EngineSimulation { copy, held, now }
    }

    /// Submits `request`, at once or after the first token of `wait`, and runs the copy
    /// until the request's first token.
    fn run(mut self, request: EngineRequest, wait: Option<AttemptId>) -> Option<SimulatedStart> {
        let id = request.id;
        let mut waiting = Some(request);
        if wait.is_none() {
            self.copy.submit(waiting.take()?, self.now).ok()?;
        }
        let mut cached_tokens = 0;
        let mut until = self.now;
        loop {
            for output in self.copy.advance(until) {
                match output {
                    Output::Started { id: started, cached_tokens: cached, .. } if started == id => {
                        cached_tokens = cached;
                    }
                    Output::FirstToken { id: first, at, .. } if first == id => {
                        let first_token_us = at.since(self.now).as_micros() as f64;
                        return Some(SimulatedStart { first_token_us, cached_tokens });
                    }
                    Output::FirstToken { id: first, at, .. } => {
                        self.release_held(first, at.max(until));
                        if wait.is_some_and(|wait| request_id(wait) == first) {
                            self.copy.submit(waiting.take()?, at.max(until)).ok()?;
                        }
                    }
                    Output::Dropped { id: dropped, .. } if dropped == id => return None,
                    _ => {}
                }
            }
            until = self.copy.next_event_time()?;
        }
    }

    fn release_held(&mut self, first: RequestId, at: Timestamp) {
        let (over, held): (Vec<&Held>, Vec<&Held>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| request_id(held.waits_for) == first);
        self.held = held;
        for held in over {
            let _ = self.copy.submit(held.request.clone(), at);
        }
    }
}

fn request_id(attempt: AttemptId) -> RequestId {
    RequestId(u128::from(attempt.0))
}
