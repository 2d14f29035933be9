//! Forwarding of other routers' updates to one router.

use std::sync::Arc;

use tokio::task::AbortHandle;

use super::InternalApi;
use super::session::{Outgoing, OutgoingSender};

/// Subscription of a session's router to relayed updates; ends when dropped.
#[derive(Default)]
pub(super) struct RouterUpdateSubscription(Option<AbortHandle>);

impl RouterUpdateSubscription {
    /// Starts or stops forwarding.
    pub(super) fn set(&mut self, enabled: bool, api: &Arc<InternalApi>, sender: &OutgoingSender) {
        self.stop();
        if enabled {
            let task = tokio::spawn(forward_updates(Arc::clone(api), sender.clone()));
            self.0 = Some(task.abort_handle());
        }
    }

    fn stop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

impl Drop for RouterUpdateSubscription {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn forward_updates(api: Arc<InternalApi>, sender: OutgoingSender) {
    let mut updates = api.relay.subscribe();
    while let Some(frame) = updates.next().await {
        if sender.send(Outgoing::encoded(frame)).await.is_err() {
            return;
        }
    }
}
