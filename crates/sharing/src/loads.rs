//! Loads of followed engines on their way to the other routers of the zone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use juniper_types::{EngineId, Timestamp};

use crate::group::{Group, RouterLife};
use crate::message::{LoadDigest, ServingDigest};

/// Time after which serving states are sent again though nothing changed, so
/// that a lost message is made good.
const SERVING_REFRESH: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Followed {
    load: LoadDigest,
    taken: Timestamp,
    serving: ServingDigest,
    /// Routers that have the serving state already.
    told: BTreeSet<RouterLife>,
    /// Whether the load changed since the last round.
    fresh: bool,
}

/// Latest loads of the engines that this router follows.
#[derive(Debug, Default)]
pub(crate) struct LoadPublisher {
    engines: BTreeMap<EngineId, Followed>,
    refreshed: Timestamp,
}

impl LoadPublisher {
    pub(crate) fn note(&mut self, serving: ServingDigest, load: LoadDigest, now: Timestamp) {
        let told = match self.engines.remove(&serving.engine) {
            Some(known) if known.serving == serving => known.told,
            _ => BTreeSet::new(),
        };
        let engine = serving.engine;
        self.engines.insert(engine, Followed { load, taken: now, serving, told, fresh: true });
    }

    pub(crate) fn mark_down(&mut self, engine: EngineId) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.told.clear();
            known.serving.up = false;
            known.fresh = false;
        }
    }

    pub(crate) fn unfollow(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
    }

    /// A router that may have missed the serving states gets them again.
    pub(crate) fn delivery_failed(&mut self, to: RouterLife) {
        for known in self.engines.values_mut() {
            known.told.remove(&to);
        }
    }

    /// What `to` has to be told.
    pub(crate) fn digests_for(
        &mut self,
        to: RouterLife,
        now: Timestamp,
    ) -> (Vec<ServingDigest>, Vec<LoadDigest>) {
        let mut serving = Vec::new();
        let mut loads = Vec::new();
        for known in self.engines.values_mut() {
            if known.told.insert(to) {
                serving.push(known.serving.clone());
            }
            if known.fresh && known.serving.up {
                let waited = now.since(known.taken).as_millis() as u64;
                loads.push(LoadDigest { age_ms: known.load.age_ms + waited, ..known.load });
            }
        }
        (serving, loads)
    }

    /// Ends a round: loads already sent are not sent again.
    pub(crate) fn end_round(&mut self, group: &Group, now: Timestamp) {
        let refresh = now.since(self.refreshed) >= SERVING_REFRESH;
        if refresh {
            self.refreshed = now;
        }
        for known in self.engines.values_mut() {
            known.fresh = false;
            known.told.retain(|router| !refresh && group.members().contains(router));
        }
    }
}
