//! Hands on to routers what all replicas together know.

use std::time::Duration;

use juniper_control::{FleetCalls, Renewals};
use juniper_feed::{Feed, FleetView};
use juniper_registry::InstanceId;
use tokio::time::sleep;

/// Shortest time between two changes that routers are told of. While servers are replaced, dozens
/// change each second, and hundreds of routers are told.
const PAUSE: Duration = Duration::from_millis(50);

/// Tells the routers that follow this node's replica what the feed knows from all replicas, until the feed
/// ends.
pub async fn publish_fleet_view(feed: Feed, calls: FleetCalls) {
    let mut views = feed.view();
    loop {
        let view = std::sync::Arc::clone(&views.borrow_and_update());
        calls.publish_fleet(&view.instances, renewals(&view));
        sleep(PAUSE).await;
        if views.changed().await.is_err() {
            return;
        }
    }
}

fn renewals(view: &FleetView) -> Renewals {
    let versions = view.versions.iter().map(|known| {
        let instance = InstanceId::started_at(known.instance.clone(), known.started);
        ((instance, known.model.clone()), known.version)
    });
    Renewals { renewing: view.renewing.iter().cloned().collect(), versions: versions.collect() }
}
