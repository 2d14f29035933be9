//! Trials of versions of weights that no server has loaded yet.
//!
//! Weights may crash each server that loads them, and a rollout would then keep a third of the
//! servers down. After several crashes under a version that no server has loaded, the rollout
//! continues with one server at a time until one has loaded it.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::plan::RenewalServer;

/// Number of crashes under orders for a version that no server has loaded, after which the rollout
/// continues with one server at a time.
const MAX_CRASHES: u32 = 3;

/// Delay after a crash until the next server is ordered, once a version is tried with one server at
/// a time. About the time that a server takes to restart (3.2 to 3.4 s), so that the service lacks
/// only one or two servers.
const CRASH_RETRY_DELAY: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    has_loaded: bool,
    crashes: u32,
    next_order_at: Timestamp,
}

#[derive(Clone, Debug)]
struct LoadingOrder {
    model: String,
    version: u64,
    retry_at: Timestamp,
}

/// Outcomes of orders by version of weights.
#[derive(Clone, Debug, Default)]
pub struct LoadTrials {
    trials: BTreeMap<(String, u64), Trial>,
    in_flight: BTreeMap<InstanceId, LoadingOrder>,
}

impl LoadTrials {
    /// Records an order that may be sent again from `retry_at` on.
    pub fn record_order(&mut self, server: &RenewalServer, version: u64, retry_at: Timestamp) {
        let model = server.model.clone();
        self.trials.entry((model.clone(), version)).or_default();
        self.in_flight.insert(server.instance.clone(), LoadingOrder { model, version, retry_at });
    }

    /// Updates the outcomes from the current servers and their versions.
    pub fn observe(&mut self, servers: &[RenewalServer], now: Timestamp) {
        for ((model, version), trial) in &mut self.trials {
            trial.has_loaded |=
                servers.iter().any(|server| server.model == *model && server.version >= *version);
        }
        let trials = &mut self.trials;
        self.in_flight.retain(|instance, order| {
            let mut models = servers.iter().filter(|server| server.instance == *instance).peekable();
            if models.peek().is_none()
                && let Some(trial) = trials.get_mut(&(order.model.clone(), order.version))
                && !trial.has_loaded
            {
                trial.crashes += 1;
                trial.next_order_at = now.after(CRASH_RETRY_DELAY);
                log::warn!(
                    "event=server_ended_under_order instance={instance} model={} version={} ends={}",
                    order.model,
                    order.version,
                    trial.crashes
                );
            }
            let known = models.find(|server| server.model == order.model);
            known.is_some_and(|known| known.version < order.version) && now < order.retry_at
        });
    }

    /// Removes the model's versions below the wanted one.
    pub fn remove_older(&mut self, model: &str, wanted: u64) {
        self.trials.retain(|(known, version), _| known != model || *version >= wanted);
    }

    /// Whether another server may be ordered to load the version now.
    pub fn may_order(&self, model: &str, version: u64, now: Timestamp) -> bool {
        let Some(trial) = self.trials.get(&(model.to_owned(), version)) else { return true };
        if trial.has_loaded || trial.crashes < MAX_CRASHES {
            return true;
        }
        let is_same_version =
            |order: &LoadingOrder| order.model == model && order.version == version;
        now >= trial.next_order_at && !self.in_flight.values().any(is_same_version)
    }
}
