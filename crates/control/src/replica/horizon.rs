//! Moves the claim horizon, which bounds the claims that are kept.

use std::time::Duration;

use juniper_consensus::Status;
use juniper_control_state::Command;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::ReplicaHandle;
use crate::clock::unix_seconds;

/// Pace at which the leader moves the horizon.
const PACE: Duration = Duration::from_secs(60);

/// Furthest that the horizon moves at once, in seconds, once it stands. A leader
/// whose clock is wrong by years can so refuse keys of ten minutes more for each
/// minute that it stays unnoticed, and not every key for ever.
const MAX_STEP_SECONDS: u64 = 600;

/// Moves the horizon while this replica leads.
pub(super) async fn keep_horizon(
    replica: ReplicaHandle,
    status: watch::Receiver<Status>,
    retention_seconds: u64,
) {
    let mut ticks = interval(PACE);
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

/// The horizon to move to from `current` at the time `now`, if it should move.
/// All three are in seconds, the first two since the Unix epoch.
pub fn next_horizon(current: u64, now: u64, retention_seconds: u64) -> Option<u64> {
    let wanted = now.saturating_sub(retention_seconds);
    let bounded = match current {
        0 => wanted,
        _ => wanted.min(current.saturating_add(MAX_STEP_SECONDS)),
    };
    (bounded > current).then_some(bounded)
}
