//! Versions of weights that no server has loaded yet. Pure: servers and time in.
//!
//! Weights may be such that each server that loads them ends. A rollout would then take a third of
//! the servers down at a time, again and again. After some ends under a version that nobody has
//! loaded, it goes on with one server at a time, until one has.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::plan::RenewalServer;

/// Servers that may end under orders for a version that none has loaded before it goes on with one
/// at a time; as many as may end under a request.
const MAX_ENDS: u32 = 3;

/// Pause after a server has ended, once a version is tried with one at a time. Its next life took
/// 3.2 to 3.4 s to come up on gltg-boards, so the service lacks one or two servers for it.
const PAUSE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    is_proven: bool,
    ends: u32,
    next_at: Timestamp,
}

#[derive(Clone, Debug)]
struct UnderWay {
    model: String,
    version: u64,
    until: Timestamp,
}

/// What came of orders for versions of weights.
#[derive(Clone, Debug, Default)]
pub struct LoadTrials {
    trials: BTreeMap<(String, u64), Trial>,
    under_way: BTreeMap<InstanceId, UnderWay>,
}

impl LoadTrials {
    /// An order was given. It may be given again from `until` on.
    pub fn ordered(&mut self, server: &RenewalServer, version: u64, until: Timestamp) {
        let model = server.model.clone();
        self.trials.entry((model.clone(), version)).or_default();
        self.under_way.insert(server.instance.clone(), UnderWay { model, version, until });
    }

    /// Takes in which servers there are and what they have.
    pub fn observe(&mut self, servers: &[RenewalServer], now: Timestamp) {
        for ((model, version), trial) in &mut self.trials {
            trial.is_proven |=
                servers.iter().any(|it| it.model == *model && it.version >= *version);
        }
        let trials = &mut self.trials;
        self.under_way.retain(|instance, order| {
            let known = servers.iter().find(|it| it.instance == *instance);
            if known.is_none()
                && let Some(trial) = trials.get_mut(&(order.model.clone(), order.version))
                && !trial.is_proven
            {
                trial.ends += 1;
                trial.next_at = now.after(PAUSE);
                log::warn!(
                    "event=server_ended_under_order instance={instance} model={} version={} ends={}",
                    order.model,
                    order.version,
                    trial.ends
                );
            }
            known.is_some_and(|known| known.version < order.version) && now < order.until
        });
    }

    /// Forgets versions that are wanted no more.
    pub fn forget_below(&mut self, model: &str, wanted: u64) {
        self.trials.retain(|(known, version), _| known != model || *version >= wanted);
    }

    /// Whether another server may be ordered to load the version now.
    pub fn may_order(&self, model: &str, version: u64, now: Timestamp) -> bool {
        let Some(trial) = self.trials.get(&(model.to_owned(), version)) else { return true };
        if trial.is_proven || trial.ends < MAX_ENDS {
            return true;
        }
        let is_tried = |order: &UnderWay| order.model == model && order.version == version;
        now >= trial.next_at && !self.under_way.values().any(is_tried)
    }
}
