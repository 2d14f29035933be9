//! State of all engines in one router.

use std::collections::HashMap;
use std::time::Duration;

use juniper_types::{EngineId, Incarnation, SoftwareVersion, Timestamp, ZoneName};

use crate::cost::CostModel;
use crate::drain::DepartureSource;
use crate::engine::{Dispatch, Engine, EngineDescriptor, EngineLoad, EngineView, OwnWorkMeans};
use crate::estimate::Estimate;
use crate::groups::{Group, Groups, Position};
use crate::positions::Positions;
use crate::request::{DispatchId, DispatchedWork, ServingKey};
use crate::software::SoftwareLog;

/// Engines of the settings in force with their load reports and this router's
/// requests in flight.
#[derive(Clone, Debug)]
pub struct EngineTable {
    pub(crate) model: CostModel,
    /// Estimates by position. `incarnations`, `other_routers_us` and `engines` have
    /// the same positions.
    pub(crate) estimates: Vec<Estimate>,
    /// Last reported incarnation by position.
    pub(crate) incarnations: Vec<Option<Incarnation>>,
    /// Work of other routers plus time until the batch has room, in microseconds.
    other_routers_us: Vec<f64>,
    engines: Vec<Engine>,
    positions: Positions,
    groups: Groups,
    round_trips: HashMap<ZoneName, Duration>,
    own_means: OwnWorkMeans,
    software: SoftwareLog,
}

impl EngineTable {
    /// Creates a table without engines.
    pub fn new(model: CostModel) -> Self {
        EngineTable {
            model,
            estimates: Vec::new(),
            incarnations: Vec::new(),
            other_routers_us: Vec::new(),
            engines: Vec::new(),
            positions: Positions::default(),
            groups: Groups::default(),
            round_trips: HashMap::new(),
            own_means: OwnWorkMeans::default(),
            software: SoftwareLog::default(),
        }
    }

    /// Sets the round-trip time from this router to a zone. The default is zero.
    pub fn set_round_trip(&mut self, zone: &ZoneName, round_trip: Duration) {
        self.round_trips.insert(zone.clone(), round_trip);
        for (engine, estimate) in self.engines.iter().zip(&mut self.estimates) {
            if engine.zone == *zone {
                estimate.set_transfer(round_trip.as_micros() as f64);
            }
        }
    }

    /// Adds an engine. An engine that is present keeps its state, except its zone.
    pub fn insert(&mut self, descriptor: &EngineDescriptor) {
        let round_trip = self.round_trips.get(&descriptor.zone).copied().unwrap_or_default();
        let transfer_us = round_trip.as_micros() as f64;
        if let Some(position) = self.index(descriptor.engine) {
            self.engines[position].zone = descriptor.zone.clone();
            self.estimates[position].set_transfer(transfer_us);
            return;
        }
        self.positions.insert(descriptor.engine, self.engines.len() as Position);
        self.engines.push(Engine::new(descriptor));
        self.estimates.push(Estimate::new(descriptor.engine, transfer_us));
        self.incarnations.push(None);
        self.other_routers_us.push(0.0);
        self.join_groups(self.engines.len() - 1);
    }

    /// Removes an engine that is no longer in the settings.
    pub fn remove(&mut self, engine: EngineId) {
        let Some(position) = self.index(engine) else {
            return;
        };
        let last = self.engines.len() - 1;
        self.leave_groups(position);
        self.leave_groups(last);
        self.engines.swap_remove(position);
        self.estimates.swap_remove(position);
        self.incarnations.swap_remove(position);
        self.other_routers_us.swap_remove(position);
        self.positions.remove(engine);
        self.software.remove(engine);
        if position != last {
            self.positions.insert(self.engines[position].id, position as Position);
            self.join_groups(position);
        }
    }

    /// Excludes an unreachable engine from decisions until its next load report.
    pub fn mark_down(&mut self, engine: EngineId) {
        if let Some(position) = self.index(engine) {
            self.update_engine(position, Engine::mark_down);
            self.estimates[position].reset();
            self.incarnations[position] = None;
            self.other_routers_us[position] = 0.0;
        }
    }

    /// Records whether `source` reports an engine as departing.
    pub fn set_leaving(&mut self, engine: EngineId, source: DepartureSource, leaving: bool) {
        if let Some(position) = self.index(engine)
            && self.engines[position].leaving.contains(source) != leaving
        {
            self.update_engine(position, |known| known.leaving.set(source, leaving));
        }
    }

    /// Applies a load report.
    pub fn apply_load_report(&mut self, engine: EngineId, load: &EngineLoad, now: Timestamp) {
        let Some(position) = self.index(engine) else {
            return;
        };
        self.software.record(engine, &load.software, now);
        let is_new_incarnation = self.engines[position].incarnation != Some(load.incarnation);
        if self.engines[position].changes_service(load) {
            self.update_engine(position, |known| known.apply_report(load, now));
        } else {
            self.engines[position].apply_report(load, now);
        }
        let known = &self.engines[position];
        let other_routers_us = known.other_routers_us(&self.own_means, &self.model)
            + known.batch_wait_us(&self.own_means);
        self.incarnations[position] = known.incarnation;
        self.other_routers_us[position] = other_routers_us;
        let estimate = &mut self.estimates[position];
        estimate.set_queue(other_routers_us, known.is_busy(), &self.model);
        estimate.set_rate(&known.rate, &self.model, now);
        if is_new_incarnation {
            estimate.reset_work(0.0, now);
        }
    }

    /// Records an attempt dispatched to an engine.
    pub fn record_dispatch(
        &mut self,
        engine: EngineId,
        id: DispatchId,
        work: DispatchedWork,
        now: Timestamp,
    ) {
        self.own_means.record_dispatch(work);
        let Some(position) = self.index(engine) else {
            return;
        };
        let prefill_tokens = work.prefill_tokens;
        let work_us = f64::from(prefill_tokens) * self.model.token_us;
        let known = &mut self.engines[position];
        known.add_dispatch(Dispatch { id, at: now, prefill_tokens, first_token_at: None });
        known.rate.add(work_us, now);
        let estimate = &mut self.estimates[position];
        estimate.add_work(work_us, now);
        estimate.set_queue(self.other_routers_us[position], true, &self.model);
        estimate.set_rate(&known.rate, &self.model, now);
    }

    /// Records the first token of an attempt, which shows that all work ahead of it
    /// is done.
    pub fn record_first_token(&mut self, engine: EngineId, id: DispatchId, now: Timestamp) {
        if let Some(position) = self.index(engine)
            && self.engines[position].record_first_token(id, now)
        {
            self.recompute_own_work(position, now);
        }
    }

    /// Removes an attempt that completed or failed.
    pub fn record_end(&mut self, engine: EngineId, id: DispatchId, now: Timestamp) {
        let Some(position) = self.index(engine) else {
            return;
        };
        if let Some(dispatch) = self.engines[position].remove_dispatch(id) {
            self.own_means.record_end(&dispatch, now);
            if dispatch.first_token_at.is_none() {
                self.recompute_own_work(position, now);
            }
            let busy = self.engines[position].is_busy();
            self.estimates[position].set_queue(self.other_routers_us[position], busy, &self.model);
        }
    }

    /// Recomputes the pending work of this router from the attempts that have no
    /// first token.
    fn recompute_own_work(&mut self, position: usize, now: Timestamp) {
        let pending = self.engines[position].own_pending_tokens() as f64;
        self.estimates[position].reset_work(pending * self.model.token_us, now);
    }

    /// Returns a snapshot of an engine's state.
    pub fn view(&self, engine: EngineId, now: Timestamp) -> Option<EngineView> {
        let position = self.index(engine)?;
        let known = &self.engines[position];
        let queue_us = self.estimates[position].queue_us(now);
        Some(EngineView {
            zone: known.zone.clone(),
            incarnation: known.incarnation,
            down: known.down,
            leaving: known.leaving.any(),
            queue: Duration::from_micros(queue_us as u64),
            own_in_flight: known.in_flight(),
        })
    }

    /// Whether new work may be dispatched to `engine`.
    pub fn is_usable(&self, engine: EngineId) -> bool {
        self.index(engine).is_some_and(|position| self.engines[position].is_usable())
    }

    /// Whether any source reports `engine` as departing.
    pub fn is_leaving(&self, engine: EngineId) -> bool {
        self.index(engine).is_some_and(|position| self.engines[position].leaving.any())
    }

    /// Iterates over the engines that may take new work.
    pub fn usable_engines(&self) -> impl Iterator<Item = EngineId> + '_ {
        self.engines.iter().filter(|engine| engine.is_usable()).map(|engine| engine.id)
    }

    /// Engines that may take new work and run this software version.
    pub fn engines_running<'a>(
        &'a self,
        software: &'a SoftwareVersion,
    ) -> impl Iterator<Item = EngineId> + 'a {
        let running = |engine: &&Engine| engine.software.as_ref() == Some(software);
        self.engines.iter().filter(|engine| engine.is_usable()).filter(running).map(|it| it.id)
    }

    /// Engines that run another software version or an unknown one.
    pub fn engines_not_running<'a>(
        &'a self,
        software: &'a SoftwareVersion,
    ) -> impl Iterator<Item = EngineId> + 'a {
        let others = |engine: &&Engine| engine.software.as_ref() != Some(software);
        self.engines.iter().filter(others).map(|engine| engine.id)
    }

    /// Whether an engine has sent no load report, or none since it was down.
    pub fn awaits_reports(&self) -> bool {
        self.engines.iter().any(|engine| !engine.is_known())
    }

    /// Software version that all engines have run for at least `window`, also those that are down.
    /// `None` if there were several, if one is unknown, or if this router hasn't known them for as long.
    pub fn sole_software(&self, window: Duration, now: Timestamp) -> Option<&SoftwareVersion> {
        self.software.sole_version(window, now)
    }

    pub(crate) fn position(&self, engine: EngineId) -> Option<Position> {
        self.positions.get(engine)
    }

    fn index(&self, engine: EngineId) -> Option<usize> {
        self.position(engine).map(|position| position as usize)
    }

    /// Whether an attempt of this router on `engine` has no first token yet, so its
    /// prefill may be incomplete.
    pub fn is_prefilling(&self, engine: EngineId, id: DispatchId) -> bool {
        self.index(engine).is_some_and(|position| self.engines[position].is_prefilling(id))
    }

    /// Last reported incarnation of `engine`.
    pub(crate) fn incarnation(&self, engine: EngineId) -> Option<Incarnation> {
        self.incarnations[self.index(engine)?]
    }

    /// Engines that serve `key`. Until any engine has reported, returns all usable
    /// engines, so that a restarted router serves requests at once. Afterwards
    /// engines without a report are excluded, because they may be departing.
    pub(crate) fn group(&self, key: &ServingKey) -> &Group {
        match self.groups.serving(key) {
            Some(group) => group,
            None if self.engines.iter().any(Engine::is_known) => self.groups.empty(),
            None => self.groups.unreported(),
        }
    }

    /// Applies a change that affects an engine's group memberships.
    fn update_engine(&mut self, position: usize, update_engine: impl FnOnce(&mut Engine)) {
        self.leave_groups(position);
        update_engine(&mut self.engines[position]);
        self.join_groups(position);
    }

    fn leave_groups(&mut self, position: usize) {
        self.groups.remove_engine(position as Position, &self.engines[position]);
    }

    fn join_groups(&mut self, position: usize) {
        self.groups.insert_engine(position as Position, &self.engines[position]);
    }
}
