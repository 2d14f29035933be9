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

/// Time without a confirmation after which its absence is logged; several retries.
const LOGGED_AFTER: Duration = Duration::from_millis(1_500);

/// Requests confirmations until the replica ends and publishes when the latest confirmed one was
/// requested.
pub(super) async fn run_confirmations(
    replica: ReplicaHandle,
    confirmed_at: watch::Sender<Option<BootInstant>>,
) {
    let mut ticks = interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let started = BootInstant::now();
    let mut is_loss_logged = false;
    while replica.is_alive() {
        ticks.tick().await;
        let requested_at = BootInstant::now();
        let result = replica.query(true, |_| ()).await;
        let unconfirmed_for = (*confirmed_at.borrow()).unwrap_or(started).elapsed();
        match result {
            Ok(()) => {
                confirmed_at.send_replace(Some(requested_at));
                if std::mem::take(&mut is_loss_logged) {
                    let after_ms = unconfirmed_for.as_millis();
                    log::info!("event=quorum_regained after_ms={after_ms}");
                }
            }
            Err(reason) => {
                if !is_loss_logged && unconfirmed_for >= LOGGED_AFTER {
                    is_loss_logged = true;
                    let unconfirmed_ms = unconfirmed_for.as_millis();
                    log::warn!(
                        "event=quorum_lost unconfirmed_ms={unconfirmed_ms} reason=\"{reason}\""
                    );
                }
                ticks.reset_after(RETRY_INTERVAL);
            }
        }
    }
}
