//! Probes of servers: of those that could not be reached, so that no request has to find out when
//! they are back; of those that other routers report as unreachable, to verify the reports; and of a
//! reference server after a failure, to find out whether this router is partitioned.

use std::sync::Arc;
use std::time::Duration;

use juniper_placement::ProbeTarget;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;

/// Interval between two checks for probes that are due, unless a connection fails or breaks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends probes as they become due. Never returns.
pub(crate) async fn probe_servers(gateway: Arc<Gateway>) {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = checks.tick() => {}
            () = gateway.probes_due.notified() => {}
        }
        let now = gateway.now();
        let mut placement = gateway.placement();
        let verifications = placement.take_due_verifications(now);
        let mut probes = placement.take_due_probes(now);
        probes.extend(placement.take_reference_probes(now, rand::random()));
        drop(placement);
        for target in verifications {
            tokio::spawn(verify(Arc::clone(&gateway), target));
        }
        for target in probes {
            tokio::spawn(probe(Arc::clone(&gateway), target));
        }
    }
}

/// Probes the server directly, and if that fails through another router, so that it can be used
/// again. A server that other routers can't reach either is not worth a tunnel.
async fn probe(gateway: Arc<Gateway>, (instance, address): ProbeTarget) {
    let is_reached = gateway.connect_directly(&instance, address).await.is_ok();
    let needs_tunnel = {
        let (placement, now) = (gateway.placement(), gateway.now());
        placement.is_avoided(&instance, now) && !placement.is_reported_unreachable(&instance, now)
    };
    if !is_reached && needs_tunnel {
        // The outcome is recorded where the tunnel is opened.
        let _ = gateway.open_tunnel(&instance).await;
    }
}

/// Verifies reports that the server is unreachable. A failure only confirms them: the routers that
/// sent them go on with probes.
async fn verify(gateway: Arc<Gateway>, (instance, address): ProbeTarget) {
    let started_at = gateway.now();
    let is_reached = gateway.open_server_stream(address).await.is_ok();
    log::info!("event=report_verified instance={instance} reached={is_reached}");
    if is_reached {
        gateway.record_connected(&instance, started_at);
    }
}
