//! Publication of followed engines' loads to the other routers of the zone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use juniper_types::{EngineId, Timestamp};

use crate::group::{Group, RouterIncarnation};
use crate::message::{LoadDigest, ServingDigest};

/// Interval at which unchanged serving states are rebroadcast, to make up for
/// lost messages.
const SERVING_REFRESH: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct FollowedEngine {
    load: LoadDigest,
    received_at: Timestamp,
    serving: ServingDigest,
    /// Routers to which the current serving state was sent.
    sent_to: BTreeSet<RouterIncarnation>,
    /// Whether the load was reported since the last round.
    updated: bool,
}

/// Publisher of the latest loads of the engines that this router follows.
#[derive(Debug, Default)]
pub(crate) struct LoadPublisher {
    engines: BTreeMap<EngineId, FollowedEngine>,
    refreshed_at: Timestamp,
}

impl LoadPublisher {
    pub(crate) fn record(&mut self, serving: ServingDigest, load: LoadDigest, now: Timestamp) {
        let sent_to = match self.engines.remove(&serving.engine) {
            Some(known) if known.serving == serving => known.sent_to,
            _ => BTreeSet::new(),
        };
        let engine = serving.engine;
        self.engines.insert(
            engine,
            FollowedEngine { load, received_at: now, serving, sent_to, updated: true },
        );
    }

    pub(crate) fn mark_down(&mut self, engine: EngineId) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.sent_to.clear();
            known.serving.up = false;
            known.updated = false;
        }
    }

    pub(crate) fn unfollow(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
    }

    /// Schedules all serving states again for a router that may have missed them.
    pub(crate) fn delivery_failed(&mut self, to: RouterIncarnation) {
        for known in self.engines.values_mut() {
            known.sent_to.remove(&to);
        }
    }

    /// Returns the serving states and loads to send to `to` in this round.
    pub(crate) fn digests_for(
        &mut self,
        to: RouterIncarnation,
        now: Timestamp,
    ) -> (Vec<ServingDigest>, Vec<LoadDigest>) {
        let mut serving = Vec::new();
        let mut loads = Vec::new();
        for known in self.engines.values_mut() {
            if known.sent_to.insert(to) {
                serving.push(known.serving.clone());
            }
            if known.updated && known.serving.up {
                let waited = now.since(known.received_at).as_millis() as u64;
                loads.push(LoadDigest { age_ms: known.load.age_ms + waited, ..known.load });
            }
        }
        (serving, loads)
    }

    /// Ends a round: its loads aren't sent again.
    pub(crate) fn end_round(&mut self, group: &Group, now: Timestamp) {
        let refresh = now.since(self.refreshed_at) >= SERVING_REFRESH;
        if refresh {
            self.refreshed_at = now;
        }
        for known in self.engines.values_mut() {
            known.updated = false;
            known.sent_to.retain(|router| !refresh && group.members().contains(router));
        }
    }
}
