//! Times since which this replica has known the target versions of weights.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_control_state::FleetState;
use juniper_protocol::message::WeightsAge;
use tokio::sync::watch;

/// Maximum number of versions kept per model; earlier ones matter only while later ones are young.
const MAX_VERSIONS: usize = 4;

/// Age up to which a version counts as recent; longer than a router needs to hear of it.
const RECENT: Duration = Duration::from_secs(10);

/// Times at which versions became known to this replica. What the log restores at a start counts from
/// the start.
#[derive(Clone, Debug, Default)]
pub struct WeightsLog {
    versions: BTreeMap<String, VecDeque<(u64, BootInstant)>>,
}

impl WeightsLog {
    /// Records the target versions as of `now`. Returns whether one of them is new.
    pub fn record(&mut self, targets: &BTreeMap<String, u64>, now: BootInstant) -> bool {
        let mut is_changed = false;
        for (model, version) in targets {
            let known = self.versions.entry(model.clone()).or_default();
            if known.back().is_none_or(|(latest, _)| latest < version) {
                known.push_back((*version, now));
                if known.len() > MAX_VERSIONS {
                    known.pop_front();
                }
                is_changed = true;
            }
        }
        is_changed
    }

    /// All versions with their ages as of `now`.
    pub fn ages(&self, now: BootInstant) -> Vec<WeightsAge> {
        let versions = self.versions.iter().flat_map(|(model, known)| {
            known.iter().map(move |(version, since)| (model, *version, now.since(*since)))
        });
        let age = |(model, version, age): (&String, u64, Duration)| WeightsAge {
            model: model.clone(),
            version,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        };
        versions.map(age).collect()
    }

    /// Versions that became known recently, if there are any.
    pub fn recent_ages(&self, now: BootInstant) -> Option<Vec<WeightsAge>> {
        let is_recent = |age: &WeightsAge| Duration::from_millis(age.age_ms) < RECENT;
        let recent: Vec<WeightsAge> = self.ages(now).into_iter().filter(is_recent).collect();
        (!recent.is_empty()).then_some(recent)
    }
}

/// Records target versions as the replica applies them, until it ends.
pub(super) async fn run_weights_log(
    mut fleet: watch::Receiver<Arc<FleetState>>,
    log: watch::Sender<WeightsLog>,
) {
    loop {
        let targets = fleet.borrow_and_update().weights().clone();
        log.send_if_modified(|log| log.record(&targets, BootInstant::now()));
        if fleet.changed().await.is_err() {
            return;
        }
    }
}
