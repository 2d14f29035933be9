//! The actor that owns the replicated state.

mod confirm;
mod messages;

use std::sync::Arc;
use std::time::Instant;

use juniper_control_state::{Answer, Command, ControlState};
use juniper_protocol::message::encode;
use juniper_protocol::{Message, Push};
use juniper_types::Revision;
use kameo::Actor;
use tokio::sync::watch;

use crate::published::{Published, PushFrame};

pub use confirm::keep_confirmed;
pub use messages::{Propose, Query, SnapshotFrame};

/// What other tasks see of the replica without asking it.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// Settings changes for subscribers.
    pub published: watch::Receiver<Arc<Published>>,
    /// When a quorum last confirmed that this replica was current.
    pub confirmed_at: watch::Receiver<Option<Instant>>,
}

/// Owns the state. One replica without a log for now: every command commits at once.
#[derive(Actor)]
pub struct ReplicaActor {
    state: ControlState,
    published: watch::Sender<Arc<Published>>,
    snapshot: Option<Arc<PushFrame>>,
}

impl ReplicaActor {
    /// An empty replica that publishes its changes.
    pub fn new(published: watch::Sender<Arc<Published>>) -> Self {
        ReplicaActor { state: ControlState::default(), published, snapshot: None }
    }

    fn apply(&mut self, command: Command) -> Answer {
        let before = self.state.settings().revision();
        let answer = self.state.apply(self.state.applied() + 1, command);
        self.publish_after(before);
        answer
    }

    fn publish_after(&mut self, before: Revision) {
        let settings = self.state.settings();
        if settings.revision() == before {
            return;
        }
        self.snapshot = None;
        let mut published = Published::clone(&self.published.borrow());
        for entry in settings.changes_after(before).into_iter().flatten() {
            published.push(PushFrame::of_change(entry));
        }
        self.published.send_replace(Arc::new(published));
    }

    /// The whole tree as a push, encoded once for each revision.
    fn snapshot_frame(&mut self) -> Arc<PushFrame> {
        if let Some(frame) = &self.snapshot {
            return Arc::clone(frame);
        }
        let settings = self.state.settings();
        let revision = settings.revision();
        let tree = settings.tree().tree().clone();
        let payload = encode(&Message::Push(Push::Snapshot { revision, tree }));
        let frame = Arc::new(PushFrame { revision, payload });
        self.snapshot = Some(Arc::clone(&frame));
        frame
    }
}
