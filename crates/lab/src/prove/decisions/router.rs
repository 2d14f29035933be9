//! Simulated router with a prefix index, an engine table and polls of the engines.

use std::time::Duration;

use juniper_emulators::engine::{Engine, EngineRequest};
use juniper_prefix_index::{CacheEvent, EventOutcome, PrefixIndex, Snapshot};
use juniper_routing::drain::DepartureSource;
use juniper_routing::{
    CostModel, CostWeights, Decision, DispatchId, DispatchedWork, EngineDescriptor, EngineTable,
    RouteRequest, ServingKey, decide,
};
use juniper_types::{BlockHash, EngineId, RequestId, Timestamp, ZoneName};
use rand_chacha::ChaCha8Rng;

use super::PlantedFault;
use crate::experiment::juniper::{engine_id, engine_load};

/// Deadline for the first token, after dispatch.
const FIRST_TOKEN_WITHIN: Duration = Duration::from_secs(10);

pub(super) struct Router {
    table: EngineTable,
    index: PrefixIndex,
    planted: Option<PlantedFault>,
}

impl Router {
    /// Creates a router that knows the configured engines but not their state.
    pub(super) fn new(engines: usize, zone: &ZoneName, planted: Option<PlantedFault>) -> Self {
        let mut table = EngineTable::new(CostModel::default());
        for position in 0..engines {
            let descriptor = EngineDescriptor { engine: engine_id(position), zone: zone.clone() };
            table.insert(&descriptor);
        }
        Router { table, index: PrefixIndex::new(), planted }
    }

    /// Chooses an engine for `request` and sets the request's incarnation and
    /// expected blocks.
    pub(super) fn route(
        &mut self,
        request: &mut EngineRequest,
        serving: &ServingKey,
        now: Timestamp,
        random: &mut ChaCha8Rng,
    ) -> Option<Decision> {
        let holders = self.index.lookup(&request.blocks, now);
        let route_request = RouteRequest {
            serving,
            blocks: &request.blocks,
            tokens: request.prompt_tokens,
            importable_blocks: 0,
            first_token_within: FIRST_TOKEN_WITHIN,
            excluded: &[],
            begun: false,
            weights: CostWeights { latency: 1.0, waste: 1.0 },
        };
        let decision = decide(&self.table, &holders, &route_request, now, random).ok()?;
        let prefill_tokens = route_request.prefill_tokens(decision.expected_blocks);
        let work = DispatchedWork { prompt_tokens: request.prompt_tokens, prefill_tokens };
        let id = dispatch_id(request.id);
        self.table.record_dispatch(decision.engine, id, work, now);
        if let Some(incarnation) = decision.incarnation {
            self.index.predict(decision.engine, incarnation, &request.blocks, id.into(), now);
        }
        request.incarnation = decision.incarnation;
        request.expected_blocks = decision.expected_blocks;
        Some(decision)
    }

    pub(super) fn first_token(&mut self, engine: usize, id: RequestId, now: Timestamp) {
        self.table.record_first_token(engine_id(engine), dispatch_id(id), now);
    }

    pub(super) fn finished(&mut self, engine: usize, id: RequestId, now: Timestamp) {
        self.table.record_end(engine_id(engine), dispatch_id(id), now);
    }

    pub(super) fn apply_platform_departure(&mut self, engine: usize, is_departing: bool) {
        if self.planted != Some(PlantedFault::DepartureIgnored) {
            self.table.set_leaving(engine_id(engine), DepartureSource::Platform, is_departing);
        }
    }

    /// Polls the load of an engine, or marks the engine as down.
    pub(super) fn poll_load(&mut self, position: usize, engine: &Engine, now: Timestamp) {
        let id = engine_id(position);
        let Some(report) = engine.load_report(now) else {
            self.table.mark_down(id);
            self.index.remove_engine(id);
            return;
        };
        let mut load = engine_load(&report);
        let engine_report_ignored = matches!(
            self.planted,
            Some(PlantedFault::DepartureIgnored | PlantedFault::EngineReportIgnored)
        );
        load.leaving &= !engine_report_ignored;
        self.table.apply_load_report(id, &load, now);
        // The number of engines is far below the index's limit.
        let _ = self.index.start_incarnation(id, load.incarnation);
    }

    /// Polls the cache events of an engine. The engine states its latest sequence
    /// number, so that the loss of the latest event is detected as well.
    pub(super) fn poll_events(&mut self, position: usize, engine: &Engine, now: Timestamp) {
        if engine.is_down() {
            return;
        }
        let id = engine_id(position);
        let known = self.index.position(id);
        let Some((_, after)) =
            known.filter(|(incarnation, _)| *incarnation == engine.incarnation())
        else {
            return self.load_snapshot(id, engine);
        };
        let mut events: Vec<CacheEvent> = engine
            .events()
            .events_after(after, now)
            .iter()
            .map(|event| CacheEvent {
                sequence: event.sequence,
                stored: event.stored.clone(),
                removed: event.removed.clone(),
            })
            .collect();
        if self.planted == Some(PlantedFault::EventGapIgnored) {
            (after + 1..).zip(&mut events).for_each(|(number, event)| event.sequence = number);
        }
        let last = events.last().map_or(after, |event| event.sequence);
        let outcome = self.index.apply_events(id, engine.incarnation(), &events);
        let has_gap = !matches!(outcome, Ok(EventOutcome::Applied));
        let is_behind = last < engine.events().last_published(now);
        if has_gap || (is_behind && self.planted != Some(PlantedFault::EventGapIgnored)) {
            self.load_snapshot(id, engine);
        }
    }

    fn load_snapshot(&mut self, id: EngineId, engine: &Engine) {
        let (sequence, blocks) = engine.snapshot();
        let snapshot = Snapshot { incarnation: engine.incarnation(), sequence, blocks };
        let _ = self.index.apply_snapshot(id, &snapshot);
    }

    /// Finds an engine whose cached prefix of `chain` the router overestimates, with
    /// the number of excess blocks.
    pub(super) fn find_overestimate(
        &self,
        chain: &[BlockHash],
        engines: &[Engine],
        now: Timestamp,
    ) -> Option<(EngineId, u32)> {
        self.index.lookup(chain, now).into_iter().find_map(|holder| {
            let engine = engines.get(holder.engine.0 as usize)?;
            let cached = if engine.is_down() || engine.incarnation() != holder.incarnation {
                0
            } else {
                engine.cached_prefix(chain) as u32
            };
            let excess = holder.blocks.saturating_sub(cached);
            (excess > 0).then_some((holder.engine, excess))
        })
    }
}

fn dispatch_id(id: RequestId) -> DispatchId {
    DispatchId(id.0 as u64)
}
