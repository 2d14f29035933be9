//! What this router learns of one engine, and where it puts it: its own tables,
//! and the zone's when the engine is shared.

use std::sync::Arc;

use juniper_prefix_index::{CacheEvent, EventOutcome, Snapshot};
use juniper_routing::EngineLoad;
use juniper_types::{EngineId, Incarnation, WeightsVersion};

use crate::engines::Engines;
use crate::sharing::SharingHub;

/// Takes in reports of one engine.
#[derive(Clone)]
pub struct EngineKnowledge {
    /// The engine.
    pub engine: EngineId,
    engines: Arc<Engines>,
    /// Set when the zone hears of the engine through this router.
    hub: Option<Arc<SharingHub>>,
}

impl EngineKnowledge {
    /// Knowledge of `engine`, passed on through `hub` if there is one.
    pub fn new(engine: EngineId, engines: Arc<Engines>, hub: Option<Arc<SharingHub>>) -> Self {
        EngineKnowledge { engine, engines, hub }
    }

    /// The life of the engine that the index knows, and the last event applied.
    pub fn position(&self) -> Option<(Incarnation, u64)> {
        self.engines.position(self.engine)
    }

    /// Takes a load report.
    pub fn note_load(&self, load: &EngineLoad) {
        self.engines.report(self.engine, load);
        if let Some(hub) = &self.hub {
            hub.load(self.engine, load);
        }
    }

    /// Voids everything known of an engine that doesn't answer.
    pub fn mark_down(&self) {
        self.engines.mark_down(self.engine);
        if let Some(hub) = &self.hub {
            hub.mark_down(self.engine);
        }
    }

    /// Entries of older weights stop counting with the first report of newer ones.
    pub fn note_weights(
        &self,
        reported: (Incarnation, WeightsVersion),
        known: &mut Option<(Incarnation, WeightsVersion)>,
    ) {
        let switched =
            known.is_some_and(|(life, weights)| life == reported.0 && weights != reported.1);
        if switched {
            log::info!("event=weights_switched engine={} weights={}", self.engine, reported.1);
            self.engines.void_cache(self.engine);
            self.void_shared();
        }
        *known = Some(reported);
    }

    /// Takes cache events; `None` when the index is full.
    pub fn apply_events(
        &self,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> Option<EventOutcome> {
        let outcome = self.engines.apply_events(self.engine, incarnation, events);
        match outcome {
            Some(EventOutcome::Applied) => {
                if let Some(hub) = &self.hub {
                    hub.cache_events(self.engine, incarnation, events);
                }
            }
            // Entries in doubt stop counting on every router, not only here.
            Some(EventOutcome::Gap { .. }) => self.void_shared(),
            _ => {}
        }
        outcome
    }

    /// Takes the whole cache.
    pub fn apply_snapshot(&self, snapshot: &Snapshot) {
        self.engines.apply_snapshot(self.engine, snapshot);
        if let Some(hub) = &self.hub {
            hub.cache_snapshot(self.engine, snapshot);
        }
    }

    /// Nobody reads the engine's events here from now on, so what is known of its
    /// cache stops counting; whoever reads them next begins with a snapshot.
    pub fn stop_following(&self, with_events: bool) {
        if let Some(hub) = &self.hub {
            hub.unfollow(self.engine);
        }
        if with_events {
            self.engines.void_cache(self.engine);
        }
    }

    fn void_shared(&self) {
        if let Some(hub) = &self.hub {
            hub.void_cache(self.engine);
        }
    }
}
