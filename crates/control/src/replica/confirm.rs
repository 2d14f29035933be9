//! Keeps asking a quorum whether this replica is current.

use std::time::Duration;

use juniper_clock::BootInstant;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::ReplicaHandle;

/// Pace of the question. Nodes learn the age of their settings from the answer.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Pace after a question that nobody confirmed. Nodes that have just started wait
/// for the first confirmation before they serve.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Asks until the replica ends and notes when each confirmed question was asked.
pub(super) async fn keep_confirmed(
    replica: ReplicaHandle,
    confirmed_at: watch::Sender<Option<BootInstant>>,
) {
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while replica.is_alive() {
        ticks.tick().await;
        let asked = BootInstant::now();
        match replica.query(true, |_| ()).await {
            Ok(()) => {
                confirmed_at.send_replace(Some(asked));
            }
            Err(_) => ticks.reset_after(RETRY_INTERVAL),
        }
    }
}
