//! Passes on to one router what the other routers tell.

use std::sync::Arc;

use tokio::task::AbortHandle;

use super::InternalFace;
use super::session::{Outgoing, OutgoingSender};

/// Whether the router of a session listens; dropping this ends it.
#[derive(Default)]
pub(super) struct Listening(Option<AbortHandle>);

impl Listening {
    /// Passes on from now on, or no longer.
    pub(super) fn set(&mut self, wanted: bool, face: &Arc<InternalFace>, sender: &OutgoingSender) {
        self.end();
        if wanted {
            let task = tokio::spawn(pass_on(Arc::clone(face), sender.clone()));
            self.0 = Some(task.abort_handle());
        }
    }

    fn end(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.end();
    }
}

async fn pass_on(face: Arc<InternalFace>, sender: OutgoingSender) {
    let mut relayed = face.relay.listen();
    while let Some(frame) = relayed.next().await {
        if sender.send(Outgoing::encoded(frame)).await.is_err() {
            return;
        }
    }
}
