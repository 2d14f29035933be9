//! Policy that runs the decision code of the deployed routers.

use std::sync::Arc;
use std::time::Duration;

use juniper_emulators::engine::{CacheEvent, Engine, LoadReport};
use juniper_prefix_index::{CacheEvent as IndexEvent, EventOutcome, PrefixIndex, Snapshot};
use juniper_routing::{
    CostModel, DispatchId, DispatchedWork, EngineDescriptor, EngineLoad, EngineTable, PrefixWait,
    RouteRequest, decide,
};
use juniper_types::{EngineId, Incarnation, SoftwareVersion, Timestamp, ZoneName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::policy::{
    AttemptId, Choice, EventsWanted, FleetState, Policy, Refused, RoutingInput, Wait,
};

/// Zones and round-trip times of the fleet, for the routers' tables.
#[derive(Clone, Debug)]
pub struct FleetMap {
    /// Zone of each engine, by position.
    pub engine_zones: Vec<ZoneName>,
    /// Round-trip time from each router to each zone.
    pub round_trips: Vec<Vec<(ZoneName, Duration)>>,
}

impl FleetMap {
    /// Creates the table of router `router` with all engines and no load reports.
    pub fn table(&self, router: usize, model: CostModel) -> EngineTable {
        let mut table = EngineTable::new(model);
        for (zone, round_trip) in &self.round_trips[router] {
            table.set_round_trip(zone, *round_trip);
        }
        for (position, zone) in self.engine_zones.iter().enumerate() {
            table.insert(&EngineDescriptor { engine: engine_id(position), zone: zone.clone() });
        }
        table
    }
}

/// Returns the id of the engine at `position`.
pub fn engine_id(position: usize) -> EngineId {
    EngineId(position as u32)
}

/// Converts a load report of the emulated engine for the routing table.
pub fn engine_load(report: &LoadReport) -> EngineLoad {
    EngineLoad {
        incarnation: report.incarnation,
        age: Duration::from_millis(report.age_ms),
        running: report.running,
        waiting: report.waiting,
        waiting_prompt_tokens: report.waiting_prompt_tokens,
        model: report.model.clone(),
        weights: report.weights,
        adapters: report.adapters.clone(),
        software: report.software.as_deref().and_then(SoftwareVersion::new),
        leaving: report.leaving,
    }
}

struct Router {
    table: EngineTable,
    index: PrefixIndex,
    random: ChaCha8Rng,
}

/// Routers with the deployed decision code, each with its own index and table.
pub struct Juniper {
    map: FleetMap,
    model: CostModel,
    routers: Vec<Router>,
    restarts: u64,
}

impl Juniper {
    /// Creates routers with an empty index.
    pub fn new(map: FleetMap, model: CostModel) -> Self {
        let mut policy = Juniper { map, model, routers: Vec::new(), restarts: 0 };
        policy.restart();
        policy
    }
}

impl Policy for Juniper {
    fn choose(
        &mut self,
        input: &RoutingInput<'_>,
        _truth: FleetState<'_>,
        now: Timestamp,
    ) -> Result<Choice, Refused> {
        let Router { table, index, random } = &mut self.routers[input.router];
        let job = input.job;
        let excluded: Vec<EngineId> = input.excluded.iter().copied().map(engine_id).collect();
        index.maintain(now);
        let holders = index.lookup(&job.blocks, now);
        let request = RouteRequest {
            excluded: &excluded,
            ..RouteRequest::new(&job.settings, &job.serving, &job.blocks, job.prompt_tokens)
        };
        let decision = decide(table, &holders, &request, now, random)
            .map_err(|refusal| Refused { retry_after: refusal.retry_after })?;
        let work = DispatchedWork {
            prompt_tokens: job.prompt_tokens,
            prefill_tokens: request.prefill_tokens(decision.expected_blocks),
        };
        let id = DispatchId(input.attempt.0);
        table.record_dispatch(decision.engine, id, work, now);
        if let Some(incarnation) = decision.incarnation {
            index.predict(decision.engine, incarnation, &job.blocks, id.into(), now);
        }
        Ok(Choice {
            engine: decision.engine.0 as usize,
            incarnation: decision.incarnation,
            expected_blocks: decision.expected_blocks,
            wait: decision.wait.map(|PrefixWait { dispatch, max_wait }| Wait {
                attempt: AttemptId(dispatch.0),
                at_most: max_wait,
            }),
        })
    }

    fn load(&mut self, router: usize, engine: usize, report: &LoadReport, now: Timestamp) {
        let known = &mut self.routers[router];
        known.table.apply_load_report(engine_id(engine), &engine_load(report), now);
        // The number of engines is below the index's limit.
        let _ = known.index.start_incarnation(engine_id(engine), report.incarnation);
    }

    fn events_after(&self, router: usize, engine: usize) -> EventsWanted {
        match self.routers[router].index.position(engine_id(engine)) {
            Some((incarnation, after)) => EventsWanted::After(incarnation, after),
            None => EventsWanted::Snapshot,
        }
    }

    fn events(
        &mut self,
        router: usize,
        engine: usize,
        incarnation: Incarnation,
        events: &[Arc<CacheEvent>],
    ) -> bool {
        let events: Vec<IndexEvent> = events.iter().map(|event| index_event(event)).collect();
        let index = &mut self.routers[router].index;
        let outcome = index.apply_events(engine_id(engine), incarnation, &events);
        !matches!(outcome, Ok(EventOutcome::Gap { .. } | EventOutcome::AwaitingSnapshot))
    }

    fn snapshot(&mut self, router: usize, engine: usize, engine_state: &Engine) {
        let (sequence, blocks) = engine_state.snapshot();
        let snapshot = Snapshot { incarnation: engine_state.incarnation(), sequence, blocks };
        let _ = self.routers[router].index.apply_snapshot(engine_id(engine), &snapshot);
    }

    fn first_token(&mut self, router: usize, engine: usize, attempt: AttemptId, now: Timestamp) {
        self.routers[router].table.record_first_token(
            engine_id(engine),
            DispatchId(attempt.0),
            now,
        );
    }

    fn finished(&mut self, router: usize, engine: usize, attempt: AttemptId, now: Timestamp) {
        self.routers[router].table.record_end(engine_id(engine), DispatchId(attempt.0), now);
    }

    fn restart(&mut self) {
        self.restarts += 1;
        let restarts = self.restarts;
        self.routers = (0..self.map.round_trips.len())
            .map(|router| Router {
                table: self.map.table(router, self.model),
                index: PrefixIndex::new(),
                random: ChaCha8Rng::seed_from_u64(restarts << 8 | router as u64),
            })
            .collect();
    }
}

fn index_event(event: &CacheEvent) -> IndexEvent {
    IndexEvent {
        sequence: event.sequence,
        stored: event.stored.clone(),
        removed: event.removed.clone(),
    }
}
