//! Applies observations of one engine to this router's state and, for a shared engine,
//! publishes them to the routers of the zone.

use std::sync::Arc;

use juniper_prefix_index::{CacheEvent, EventOutcome, Snapshot};
use juniper_routing::EngineLoad;
use juniper_types::{EngineId, Incarnation, WeightsVersion};

use crate::engines::Engines;
use crate::sharing::SharingHub;

/// Applies and publishes observations of one engine.
#[derive(Clone)]
pub struct EngineObserver {
    /// Id of the engine.
    pub engine: EngineId,
    engines: Arc<Engines>,
    /// Set if this router publishes the engine's state to the zone.
    hub: Option<Arc<SharingHub>>,
}

impl EngineObserver {
    /// Creates an observer of `engine` that publishes through `hub` if there is one.
    pub fn new(engine: EngineId, engines: Arc<Engines>, hub: Option<Arc<SharingHub>>) -> Self {
        EngineObserver { engine, engines, hub }
    }

    /// Returns the engine's incarnation in the index and the sequence of the last applied event.
    pub fn position(&self) -> Option<(Incarnation, u64)> {
        self.engines.position(self.engine)
    }

    /// Applies a load report.
    pub fn observe_load(&self, load: &EngineLoad) {
        self.engines.apply_load_report(self.engine, load);
        if let Some(hub) = &self.hub {
            hub.publish_load(self.engine, load);
        }
    }

    /// Marks the engine as down after it didn't answer.
    pub fn mark_down(&self) {
        self.engines.mark_down(self.engine);
        if let Some(hub) = &self.hub {
            hub.mark_down(self.engine);
        }
    }

    /// Invalidates the cache entries if the weights have changed within an incarnation.
    pub fn observe_weights(
        &self,
        reported: (Incarnation, WeightsVersion),
        known: &mut Option<(Incarnation, WeightsVersion)>,
    ) {
        let switched = known
            .is_some_and(|(previous, weights)| previous == reported.0 && weights != reported.1);
        if switched {
            log::info!("event=weights_switched engine={} weights={}", self.engine, reported.1);
            self.engines.invalidate_cache(self.engine);
            self.invalidate_shared();
        }
        *known = Some(reported);
    }

    /// Applies cache events. Returns `None` when the index is full.
    pub fn apply_events(
        &self,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> Option<EventOutcome> {
        let outcome = self.engines.apply_events(self.engine, incarnation, events);
        match outcome {
            Some(EventOutcome::Applied) => {
                if let Some(hub) = &self.hub {
                    hub.publish_cache_events(self.engine, incarnation, events);
                }
            }
            // Peers must stop using the entries as well until the next snapshot.
            Some(EventOutcome::Gap { .. }) => self.invalidate_shared(),
            _ => {}
        }
        outcome
    }

    /// Applies a snapshot of the cache.
    pub fn apply_snapshot(&self, snapshot: &Snapshot) {
        self.engines.apply_snapshot(self.engine, snapshot);
        if let Some(hub) = &self.hub {
            hub.publish_cache_snapshot(self.engine, snapshot);
        }
    }

    /// Invalidates the cache entries because this router no longer polls the engine's events. The
    /// next router that polls them starts with a snapshot.
    pub fn stop_following(&self, with_events: bool) {
        if let Some(hub) = &self.hub {
            hub.unfollow(self.engine);
        }
        if with_events {
            self.engines.invalidate_cache(self.engine);
        }
    }

    fn invalidate_shared(&self) {
        if let Some(hub) = &self.hub {
            hub.invalidate_cache(self.engine);
        }
    }
}
