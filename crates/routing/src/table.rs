//! All engines as one router knows them.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

use juniper_types::{EngineId, Incarnation, Timestamp, ZoneName};

use crate::cost::{CostModel, CostTerms};
use crate::drain::LeavingSource;
use crate::engine::{Dispatch, Engine, EngineDescriptor, EngineLoad, EngineView, OwnWork};
use crate::request::{DispatchId, DispatchedWork, ServingKey};

/// Position of an engine in the table.
pub(crate) type Position = u32;

/// Time over which the rate of work of an engine is averaged, in microseconds.
const RATE_WINDOW_US: f64 = 1_000_000.0;

/// Work of one request in a queue, in microseconds: about 1,000 missed tokens.
const QUEUED_WORK_US: f64 = 270_000.0;

/// Utilisation above which the expected queue is no longer extrapolated.
const MAX_UTILISATION: f64 = 0.95;

/// Spreads engine numbers, which are small and dense, by one multiplication.
#[derive(Default)]
pub(crate) struct IdHasher(u64);

impl Hasher for IdHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u32(u32::from(*byte));
        }
    }

    fn write_u32(&mut self, word: u32) {
        self.0 = (self.0 ^ u64::from(word)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    }

    fn finish(&self) -> u64 {
        self.0.rotate_left(32)
    }
}

/// What a decision reads of each engine, kept small so that 1,500 of them are
/// scanned within microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) engine: EngineId,
    /// When the own work there will be computed.
    own_until: Timestamp,
    /// Work of other routers and waits for the batch, in microseconds.
    others_us: f64,
    transfer_us: f64,
    busy: bool,
    /// Own work sent, in microseconds for each microsecond, as of `rate_at`.
    rate: f64,
    rate_at: Timestamp,
}

impl Estimate {
    fn new(engine: EngineId, transfer_us: f64) -> Self {
        Estimate {
            engine,
            own_until: Timestamp::ZERO,
            others_us: 0.0,
            transfer_us,
            busy: false,
            rate: 0.0,
            rate_at: Timestamp::ZERO,
        }
    }

    fn queue_us(&self, model: &CostModel, now: Timestamp) -> f64 {
        let own = self.own_until.0.saturating_sub(now.0) as f64;
        let start = if self.busy { model.busy_start_us } else { 0.0 };
        own + self.others_us + start
    }

    fn decayed_rate(&self, now: Timestamp) -> f64 {
        let elapsed = now.0.saturating_sub(self.rate_at.0) as f64;
        self.rate / (1.0 + elapsed / RATE_WINDOW_US)
    }

    /// Adds `work_us` to the rate of work.
    fn note_work(&mut self, work_us: f64, now: Timestamp) {
        self.rate = self.decayed_rate(now) + work_us / RATE_WINDOW_US;
        self.rate_at = now;
    }

    /// The cost of a request that needs `compute_us` here.
    pub(crate) fn terms(&self, model: &CostModel, compute_us: f64, now: Timestamp) -> CostTerms {
        let utilisation = self.decayed_rate(now).min(MAX_UTILISATION);
        let queue_us = self.queue_us(model, now);
        CostTerms {
            transfer_us: self.transfer_us,
            queue_us,
            congestion_us: model.congestion_factor * compute_us * queue_us / QUEUED_WORK_US,
            compute_us,
            import_us: 0.0,
            pressure_us: model.pressure_factor * model.busy_start_us * utilisation
                / (1.0 - utilisation),
        }
    }
}

/// Engines that can serve one key.
pub(crate) type Group = Vec<Position>;

/// The engines of the settings in force with what is known of each.
#[derive(Clone, Debug)]
pub struct EngineTable {
    pub(crate) model: CostModel,
    pub(crate) estimates: Vec<Estimate>,
    engines: Vec<Engine>,
    positions: HashMap<EngineId, Position, BuildHasherDefault<IdHasher>>,
    groups: HashMap<ServingKey, Group>,
    /// Usable engines that have not reported what they serve.
    unknown: Group,
    round_trips: HashMap<ZoneName, Duration>,
    own: OwnWork,
}

impl EngineTable {
    /// A table without engines.
    pub fn new(model: CostModel) -> Self {
        EngineTable {
            model,
            estimates: Vec::new(),
            engines: Vec::new(),
            positions: HashMap::default(),
            groups: HashMap::new(),
            unknown: Vec::new(),
            round_trips: HashMap::new(),
            own: OwnWork::default(),
        }
    }

    /// Notes the round trip from this router to a zone; zero until then.
    pub fn set_round_trip(&mut self, zone: &ZoneName, round_trip: Duration) {
        self.round_trips.insert(zone.clone(), round_trip);
        for (engine, estimate) in self.engines.iter().zip(&mut self.estimates) {
            if engine.zone == *zone {
                estimate.transfer_us = round_trip.as_micros() as f64;
            }
        }
    }

    /// Adds an engine; one that is there keeps what is known of it.
    pub fn insert(&mut self, descriptor: &EngineDescriptor) {
        let round_trip = self.round_trips.get(&descriptor.zone).copied().unwrap_or_default();
        let transfer_us = round_trip.as_micros() as f64;
        if let Some(position) = self.position(descriptor.engine) {
            self.engines[position].zone = descriptor.zone.clone();
            self.estimates[position].transfer_us = transfer_us;
            return;
        }
        self.positions.insert(descriptor.engine, self.engines.len() as Position);
        self.engines.push(Engine::new(descriptor));
        self.estimates.push(Estimate::new(descriptor.engine, transfer_us));
        self.join_groups(self.engines.len() - 1);
    }

    /// Forgets an engine that is gone from the settings.
    pub fn remove(&mut self, engine: EngineId) {
        let Some(position) = self.position(engine) else {
            return;
        };
        let last = self.engines.len() - 1;
        self.leave_groups(position);
        self.leave_groups(last);
        self.engines.swap_remove(position);
        self.estimates.swap_remove(position);
        self.positions.remove(&engine);
        if position != last {
            self.positions.insert(self.engines[position].id, position as Position);
            self.join_groups(position);
        }
    }

    /// Takes an engine that doesn't answer out of use until its next report.
    pub fn mark_down(&mut self, engine: EngineId) {
        if let Some(position) = self.position(engine) {
            self.change(position, Engine::mark_down);
            let transfer_us = self.estimates[position].transfer_us;
            self.estimates[position] = Estimate::new(engine, transfer_us);
        }
    }

    /// Notes what `source` says about an engine leaving.
    pub fn set_leaving(&mut self, engine: EngineId, source: LeavingSource, leaving: bool) {
        if let Some(position) = self.position(engine)
            && self.engines[position].leaving.says(source) != leaving
        {
            self.change(position, |known| known.leaving.set(source, leaving));
        }
    }

    /// Takes a load report.
    pub fn report(&mut self, engine: EngineId, load: &EngineLoad, now: Timestamp) {
        let Some(position) = self.position(engine) else {
            return;
        };
        let new_life = self.engines[position].incarnation != Some(load.incarnation);
        if self.engines[position].changes_service(load) {
            self.change(position, |known| known.take_report(load, now));
        } else {
            self.engines[position].take_report(load, now);
        }
        let known = &self.engines[position];
        let estimate = &mut self.estimates[position];
        estimate.others_us =
            known.others_us(&self.own, &self.model) + known.batch_wait_us(&self.own);
        estimate.busy = known.is_busy();
        if new_life {
            estimate.own_until = now;
        }
    }

    /// Counts work sent to an engine.
    pub fn dispatched(
        &mut self,
        engine: EngineId,
        id: DispatchId,
        work: DispatchedWork,
        now: Timestamp,
    ) {
        self.own.note_dispatch(work);
        let Some(position) = self.position(engine) else {
            return;
        };
        let missed_tokens = work.missed_tokens;
        self.engines[position].add(Dispatch { id, at: now, missed_tokens, first_token_at: None });
        let work_us = f64::from(missed_tokens) * self.model.token_us;
        let estimate = &mut self.estimates[position];
        estimate.own_until = Timestamp(estimate.own_until.max(now).0 + work_us as u64);
        estimate.busy = true;
        estimate.note_work(work_us, now);
    }

    /// Notes that the first token of an attempt arrived: all work ahead of it is done.
    pub fn first_token(&mut self, engine: EngineId, id: DispatchId, now: Timestamp) {
        if let Some(position) = self.position(engine)
            && self.engines[position].first_token(id, now)
        {
            self.restart_own_work(position, now);
        }
    }

    /// Notes that an attempt ended, in whatever way.
    pub fn finished(&mut self, engine: EngineId, id: DispatchId, now: Timestamp) {
        let Some(position) = self.position(engine) else {
            return;
        };
        if let Some(dispatch) = self.engines[position].remove(id) {
            self.own.note_end(&dispatch, now);
            if dispatch.first_token_at.is_none() {
                self.restart_own_work(position, now);
            }
            self.estimates[position].busy = self.engines[position].is_busy();
        }
    }

    /// Own work that is left takes from now until it has all been computed.
    fn restart_own_work(&mut self, position: usize, now: Timestamp) {
        let pending = self.engines[position].own_pending_tokens() as f64;
        let left_us = (pending * self.model.token_us) as u64;
        self.estimates[position].own_until = Timestamp(now.0 + left_us);
    }

    /// What is known of an engine.
    pub fn view(&self, engine: EngineId, now: Timestamp) -> Option<EngineView> {
        let position = self.position(engine)?;
        let known = &self.engines[position];
        let queue_us = self.estimates[position].queue_us(&self.model, now);
        Some(EngineView {
            zone: known.zone.clone(),
            incarnation: known.incarnation,
            down: known.down,
            leaving: known.leaving.any(),
            queue: Duration::from_micros(queue_us as u64),
            own_in_flight: known.in_flight(),
        })
    }

    /// Whether new work may be sent to `engine`.
    pub fn is_usable(&self, engine: EngineId) -> bool {
        self.position(engine).is_some_and(|position| self.engines[position].is_usable())
    }

    /// The engines that new work may be sent to.
    pub fn usable_engines(&self) -> impl Iterator<Item = EngineId> + '_ {
        self.engines.iter().filter(|engine| engine.is_usable()).map(|engine| engine.id)
    }

    fn position(&self, engine: EngineId) -> Option<usize> {
        self.positions.get(&engine).map(|position| *position as usize)
    }

    /// The estimate of an engine that may take new work of a key.
    pub(crate) fn serving_estimate(
        &self,
        engine: EngineId,
        incarnation: Incarnation,
        key: &ServingKey,
    ) -> Option<&Estimate> {
        let position = self.position(engine)?;
        let known = &self.engines[position];
        let serves = known.incarnation == Some(incarnation) && known.is_usable();
        (serves && known.serves(key)).then(|| &self.estimates[position])
    }

    /// Whether an own attempt on `engine` waits for its first token, and so has
    /// not computed its whole prompt.
    pub fn is_prefilling(&self, engine: EngineId, id: DispatchId) -> bool {
        self.position(engine).is_some_and(|position| self.engines[position].is_prefilling(id))
    }

    /// The life that the engine reported last.
    pub(crate) fn incarnation(&self, engine: EngineId) -> Option<Incarnation> {
        self.engines[self.position(engine)?].incarnation
    }

    /// Engines that serve `key`, or else those that may: after a restart a
    /// router serves before the first reports have come.
    pub(crate) fn group(&self, key: &ServingKey) -> &[Position] {
        self.groups.get(key).filter(|group| !group.is_empty()).unwrap_or(&self.unknown)
    }

    /// Changes what decides about an engine's groups, and moves it between them.
    fn change(&mut self, position: usize, change: impl FnOnce(&mut Engine)) {
        self.leave_groups(position);
        change(&mut self.engines[position]);
        self.join_groups(position);
    }

    fn leave_groups(&mut self, position: usize) {
        let engine = &self.engines[position];
        let position = position as Position;
        for key in engine.serving() {
            if let Some(group) = self.groups.get_mut(&key) {
                group.retain(|member| *member != position);
            }
        }
        self.unknown.retain(|member| *member != position);
    }

    fn join_groups(&mut self, position: usize) {
        let engine = &self.engines[position];
        if !engine.is_usable() {
            return;
        }
        if !engine.is_known() {
            self.unknown.push(position as Position);
        }
        for key in engine.serving() {
            self.groups.entry(key).or_default().push(position as Position);
        }
    }
}
