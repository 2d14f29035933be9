//! Publication of the merged fleet view to routers.

use std::time::Duration;

use juniper_control::{FleetCalls, Renewals};
use juniper_feed::{Feed, FleetView};
use juniper_registry::InstanceId;
use tokio::time::sleep;

/// Shortest interval between two publications. It batches changes while many servers are replaced.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Publishes the view that the feed merges from all replicas to the routers that subscribe to this
/// node's replica, until the feed ends.
pub async fn publish_fleet_view(feed: Feed, calls: FleetCalls) {
    let mut views = feed.view();
    loop {
        let view = std::sync::Arc::clone(&views.borrow_and_update());
        calls.publish_fleet(&view.instances, renewals(&view));
        sleep(MIN_PUBLISH_INTERVAL).await;
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
