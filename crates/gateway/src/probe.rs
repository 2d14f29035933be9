//! Probes servers that could not be connected to, so that no request has to find out
//! when they are back.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_registry::InstanceId;
use tokio::time::{MissedTickBehavior, interval};

use crate::gateway::Gateway;
use crate::pool::{Reached, try_connect};

/// Pause between two looks for probes that are due.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Probes what is due, for ever.
pub(crate) async fn probe_unreachable(gateway: Arc<Gateway>) {
    let mut looks = interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        let due = gateway.placement().take_due_probes(gateway.now());
        for (instance, address) in due {
            tokio::spawn(probe(Arc::clone(&gateway), instance, address));
        }
    }
}

async fn probe(gateway: Arc<Gateway>, instance: InstanceId, address: SocketAddrV4) {
    let reached = try_connect(address).await;
    match reached {
        Reached::Yes => {
            log::info!("event=server_reached instance={instance} address={address}");
            gateway.placement().record_probe_success(&instance);
        }
        Reached::Refused => gateway.note_refused(&instance),
        Reached::No => {}
    }
    gateway.news.push_reachability(&instance, reached == Reached::Yes);
}
