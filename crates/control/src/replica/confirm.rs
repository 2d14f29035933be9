//! Periodic confirmation by a quorum that this replica is current.

use std::time::Duration;

use juniper_clock::BootInstant;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::ReplicaHandle;

/// Interval of confirmations, from which nodes derive the age of their settings.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Interval after a failed confirmation. Short, since nodes don't serve requests after startup until
/// the first confirmation.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Requests confirmations until the replica ends and publishes when the latest confirmed one was
/// requested.
pub(super) async fn run_confirmations(
    replica: ReplicaHandle,
    confirmed_at: watch::Sender<Option<BootInstant>>,
) {
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while replica.is_alive() {
        ticks.tick().await;
        let requested_at = BootInstant::now();
        match replica.query(true, |_| ()).await {
            Ok(()) => {
                confirmed_at.send_replace(Some(requested_at));
            }
            Err(_) => ticks.reset_after(RETRY_INTERVAL),
        }
    }
}
