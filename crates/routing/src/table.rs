//! All engines as one router knows them.

use std::collections::HashMap;
use std::time::Duration;

use juniper_types::{EngineId, Incarnation, Timestamp, ZoneName};

use crate::cost::CostModel;
use crate::drain::LeavingSource;
use crate::engine::{Dispatch, Engine, EngineDescriptor, EngineLoad, EngineView, OwnWork};
use crate::estimate::Estimate;
use crate::groups::{Group, Groups, Position};
use crate::positions::Positions;
use crate::request::{DispatchId, DispatchedWork, ServingKey};

/// The engines of the settings in force with what is known of each.
#[derive(Clone, Debug)]
pub struct EngineTable {
    pub(crate) model: CostModel,
    /// One for each engine, as are the lives, others' work and engines below.
    pub(crate) estimates: Vec<Estimate>,
    /// The life that each engine reported last.
    pub(crate) lives: Vec<Option<Incarnation>>,
    /// Work of other routers and waits for the batch, in microseconds.
    others_us: Vec<f64>,
    engines: Vec<Engine>,
    positions: Positions,
    groups: Groups,
    round_trips: HashMap<ZoneName, Duration>,
    own: OwnWork,
}

impl EngineTable {
    /// A table without engines.
    pub fn new(model: CostModel) -> Self {
        EngineTable {
            model,
            estimates: Vec::new(),
            lives: Vec::new(),
            others_us: Vec::new(),
            engines: Vec::new(),
            positions: Positions::default(),
            groups: Groups::default(),
            round_trips: HashMap::new(),
            own: OwnWork::default(),
        }
    }

    /// Notes the round trip from this router to a zone; zero until then.
    pub fn set_round_trip(&mut self, zone: &ZoneName, round_trip: Duration) {
        self.round_trips.insert(zone.clone(), round_trip);
        for (engine, estimate) in self.engines.iter().zip(&mut self.estimates) {
            if engine.zone == *zone {
                estimate.set_transfer(round_trip.as_micros() as f64);
            }
        }
    }

    /// Adds an engine; one that is there keeps what is known of it.
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
        self.lives.push(None);
        self.others_us.push(0.0);
        self.join_groups(self.engines.len() - 1);
    }

    /// Forgets an engine that is gone from the settings.
    pub fn remove(&mut self, engine: EngineId) {
        let Some(position) = self.index(engine) else {
            return;
        };
        let last = self.engines.len() - 1;
        self.leave_groups(position);
        self.leave_groups(last);
        self.engines.swap_remove(position);
        self.estimates.swap_remove(position);
        self.lives.swap_remove(position);
        self.others_us.swap_remove(position);
        self.positions.remove(engine);
        if position != last {
            self.positions.insert(self.engines[position].id, position as Position);
            self.join_groups(position);
        }
    }

    /// Takes an engine that doesn't answer out of use until its next report.
    pub fn mark_down(&mut self, engine: EngineId) {
        if let Some(position) = self.index(engine) {
            self.change(position, Engine::mark_down);
            self.estimates[position].reset();
            self.lives[position] = None;
            self.others_us[position] = 0.0;
        }
    }

    /// Notes what `source` says about an engine leaving.
    pub fn set_leaving(&mut self, engine: EngineId, source: LeavingSource, leaving: bool) {
        if let Some(position) = self.index(engine)
            && self.engines[position].leaving.says(source) != leaving
        {
            self.change(position, |known| known.leaving.set(source, leaving));
        }
    }

    /// Takes a load report.
    pub fn report(&mut self, engine: EngineId, load: &EngineLoad, now: Timestamp) {
        let Some(position) = self.index(engine) else {
            return;
        };
        let new_life = self.engines[position].incarnation != Some(load.incarnation);
        if self.engines[position].changes_service(load) {
            self.change(position, |known| known.take_report(load, now));
        } else {
            self.engines[position].take_report(load, now);
        }
        let known = &self.engines[position];
        let others_us = known.others_us(&self.own, &self.model) + known.batch_wait_us(&self.own);
        self.lives[position] = known.incarnation;
        self.others_us[position] = others_us;
        let estimate = &mut self.estimates[position];
        estimate.set_queue(others_us, known.is_busy(), &self.model);
        estimate.set_rate(&known.rate, &self.model, now);
        if new_life {
            estimate.restart_work(0.0, now);
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
        let Some(position) = self.index(engine) else {
            return;
        };
        let missed_tokens = work.missed_tokens;
        let work_us = f64::from(missed_tokens) * self.model.token_us;
        let known = &mut self.engines[position];
        known.add(Dispatch { id, at: now, missed_tokens, first_token_at: None });
        known.rate.add(work_us, now);
        let estimate = &mut self.estimates[position];
        estimate.add_work(work_us, now);
        estimate.set_queue(self.others_us[position], true, &self.model);
        estimate.set_rate(&known.rate, &self.model, now);
    }

    /// Notes that the first token of an attempt arrived: all work ahead of it is done.
    pub fn first_token(&mut self, engine: EngineId, id: DispatchId, now: Timestamp) {
        if let Some(position) = self.index(engine)
            && self.engines[position].first_token(id, now)
        {
            self.restart_own_work(position, now);
        }
    }

    /// Notes that an attempt ended, in whatever way.
    pub fn finished(&mut self, engine: EngineId, id: DispatchId, now: Timestamp) {
        let Some(position) = self.index(engine) else {
            return;
        };
        if let Some(dispatch) = self.engines[position].remove(id) {
            self.own.note_end(&dispatch, now);
            if dispatch.first_token_at.is_none() {
                self.restart_own_work(position, now);
            }
            let busy = self.engines[position].is_busy();
            self.estimates[position].set_queue(self.others_us[position], busy, &self.model);
        }
    }

    /// Own work that is left takes from now until it has all been computed.
    fn restart_own_work(&mut self, position: usize, now: Timestamp) {
        let pending = self.engines[position].own_pending_tokens() as f64;
        self.estimates[position].restart_work(pending * self.model.token_us, now);
    }

    /// What is known of an engine.
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

    /// Whether new work may be sent to `engine`.
    pub fn is_usable(&self, engine: EngineId) -> bool {
        self.index(engine).is_some_and(|position| self.engines[position].is_usable())
    }

    /// Whether anybody says that `engine` is leaving.
    pub fn is_leaving(&self, engine: EngineId) -> bool {
        self.index(engine).is_some_and(|position| self.engines[position].leaving.any())
    }

    /// The engines that new work may be sent to.
    pub fn usable_engines(&self) -> impl Iterator<Item = EngineId> + '_ {
        self.engines.iter().filter(|engine| engine.is_usable()).map(|engine| engine.id)
    }

    pub(crate) fn position(&self, engine: EngineId) -> Option<Position> {
        self.positions.get(engine)
    }

    fn index(&self, engine: EngineId) -> Option<usize> {
        self.position(engine).map(|position| position as usize)
    }

    /// Whether an own attempt on `engine` waits for its first token, and so has
    /// not computed its whole prompt.
    pub fn is_prefilling(&self, engine: EngineId, id: DispatchId) -> bool {
        self.index(engine).is_some_and(|position| self.engines[position].is_prefilling(id))
    }

    /// The life that `engine` reported last.
    pub(crate) fn life(&self, engine: EngineId) -> Option<Incarnation> {
        self.lives[self.index(engine)?]
    }

    /// Engines that serve `key`. Before the first report of any engine, those that
    /// may: a router that restarts serves at once. Later an engine that hasn't
    /// reported may be leaving and gets nothing.
    pub(crate) fn group(&self, key: &ServingKey) -> &Group {
        match self.groups.serving(key) {
            Some(group) => group,
            None if self.engines.iter().any(Engine::is_known) => self.groups.none(),
            None => self.groups.unknown(),
        }
    }

    /// Changes what decides about an engine's groups, and moves it between them.
    fn change(&mut self, position: usize, change: impl FnOnce(&mut Engine)) {
        self.leave_groups(position);
        change(&mut self.engines[position]);
        self.join_groups(position);
    }

    fn leave_groups(&mut self, position: usize) {
        self.groups.leave(position as Position, &self.engines[position]);
    }

    fn join_groups(&mut self, position: usize) {
        self.groups.join(position as Position, &self.engines[position]);
    }
}
