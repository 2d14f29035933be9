//! Probes of servers that could not be reached, so that no request has to find out when they are
//! back.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_registry::InstanceId;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;
use crate::pool::{ProbeOutcome, probe_address};

/// Interval between two checks for probes that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends probes as they become due. Never returns.
pub(crate) async fn probe_unreachable(gateway: Arc<Gateway>) {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        let due = gateway.placement().take_due_probes(gateway.now());
        for (instance, address) in due {
            tokio::spawn(probe(Arc::clone(&gateway), instance, address));
        }
    }
}

async fn probe(gateway: Arc<Gateway>, instance: InstanceId, address: SocketAddrV4) {
    let outcome = probe_address(address).await;
    match outcome {
        ProbeOutcome::Connected => {
            log::info!("event=server_reached instance={instance} address={address}");
            gateway.placement().record_probe_success(&instance);
        }
        ProbeOutcome::Refused => gateway.record_refused(&instance),
        ProbeOutcome::Failed => {}
    }
    gateway.updates.push_reachability(&instance, outcome == ProbeOutcome::Connected);
}
