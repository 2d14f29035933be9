//! Probes of servers: of those that could not be reached, so that no request has to find out when
//! they are back; of those that other routers report as unreachable, to verify the reports; and of a
//! reference server after a failure, to find out whether this router is partitioned.

use std::sync::Arc;
use std::time::Duration;

use juniper_placement::ProbeTarget;
use juniper_registry::InstanceId;
use juniper_types::Timestamp;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;
use crate::pool::{ProbeOutcome, probe_address};

/// Interval between two checks for probes that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends probes as they become due. Never returns.
pub(crate) async fn probe_servers(gateway: Arc<Gateway>) {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        let now = gateway.now();
        let mut placement = gateway.placement();
        let verifications = placement.take_due_verifications(now);
        let mut probes = placement.take_due_probes(now);
        probes.extend(placement.take_reference_probe(now, rand::random()));
        drop(placement);
        for target in verifications {
            tokio::spawn(verify(Arc::clone(&gateway), target));
        }
        for target in probes {
            tokio::spawn(probe(Arc::clone(&gateway), target));
        }
    }
}

async fn probe(gateway: Arc<Gateway>, (instance, address): ProbeTarget) {
    let started_at = gateway.now();
    match probe_address(address).await {
        ProbeOutcome::Connected => gateway.record_connected(&instance, started_at),
        outcome => gateway.record_connect_failure(&instance, outcome == ProbeOutcome::Refused),
    }
}

/// Verifies reports that the server is unreachable. A failure only confirms them: the routers that
/// sent them go on with probes.
async fn verify(gateway: Arc<Gateway>, (instance, address): ProbeTarget) {
    let started_at = gateway.now();
    let outcome = probe_address(address).await;
    log::info!("event=report_verified instance={instance} outcome={outcome:?}");
    if outcome == ProbeOutcome::Connected {
        gateway.record_connected(&instance, started_at);
    }
}

impl Gateway {
    /// Records a new connection to the server, attempted at `started_at`.
    pub(crate) fn record_connected(&self, instance: &InstanceId, started_at: Timestamp) {
        let mut placement = self.placement();
        let was_cut_off = placement.is_cut_off();
        let was_avoided = placement.is_avoided(instance, self.now());
        placement.record_connected(instance, started_at, self.now());
        let (failures, is_cut_off) = (placement.take_reportable_failures(), placement.is_cut_off());
        drop(placement);
        for failed in failures {
            self.updates.push_reachability(&failed.instance, false);
            if failed.is_refused {
                self.record_refused(&failed.instance);
            }
        }
        if was_avoided {
            log::info!("event=server_reached instance={instance}");
            self.updates.push_reachability(instance, true);
        }
        if was_cut_off && !is_cut_off {
            log::info!("event=cut_off_ended instance={instance}");
        }
    }

    /// Records that this router failed to connect to the server. Other routers hear of it once a
    /// later connection to another server shows that this router isn't partitioned, and a refusal is
    /// no proof of a crash before.
    pub(crate) fn record_connect_failure(&self, instance: &InstanceId, is_refused: bool) {
        let mut placement = self.placement();
        let was_cut_off = placement.is_cut_off();
        placement.record_connect_failure(instance, is_refused, self.now());
        let is_cut_off = placement.is_cut_off();
        drop(placement);
        if is_cut_off && !was_cut_off {
            log::warn!("event=cut_off instance={instance} refused={is_refused}");
            self.metrics.cut_offs.inc();
        }
    }
}
