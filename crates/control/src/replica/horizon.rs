//! Advancing of the claim horizon, before which claims are removed and keys refused.

use std::time::Duration;

use juniper_consensus::Status;
use juniper_control_state::Command;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::ReplicaHandle;
use crate::clock::unix_seconds;

/// Interval at which the leader advances the horizon.
const ADVANCE_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum advance of the horizon per interval, in seconds, after the first one. Limits the damage of
/// a leader whose clock is years ahead: keys of ten more minutes are refused for each minute until
/// the clock is fixed, instead of all keys for good.
const MAX_STEP_SECONDS: u64 = 600;

/// Advances the horizon while this replica is the leader.
pub(super) async fn run_horizon(
    replica: ReplicaHandle,
    status: watch::Receiver<Status>,
    retention_seconds: u64,
) {
    let mut ticks = interval(ADVANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while replica.is_alive() {
        ticks.tick().await;
        if !status.borrow().is_leader() {
            continue;
        }
        let Ok(horizon) = replica.query(false, |state| state.claims().horizon()).await else {
            continue;
        };
        let Some(to) = next_horizon(horizon, unix_seconds(), retention_seconds) else {
            continue;
        };
        if let Err(refusal) = replica.propose(&Command::AdvanceHorizon { to }).await {
            log::warn!("event=horizon_not_moved reason=\"{refusal}\"");
        }
    }
}

/// Returns the horizon to advance to from `current` at time `now`, or `None` if it should stay. All
/// arguments are in seconds, the first two since the Unix epoch.
pub fn next_horizon(current: u64, now: u64, retention_seconds: u64) -> Option<u64> {
    let target = now.saturating_sub(retention_seconds);
    let bounded = match current {
        0 => target,
        _ => target.min(current.saturating_add(MAX_STEP_SECONDS)),
    };
    (bounded > current).then_some(bounded)
}
