//! The replicated state with what is derived from it for subscribers.

use std::sync::Arc;

use juniper_consensus::{Entry, Index, Payload, Snapshot};
use juniper_control_state::{Answer, Command, ControlState, FleetState, SnapshotError};
use juniper_protocol::message::encode;
use juniper_protocol::{Message, Push};
use juniper_types::Revision;
use tokio::sync::watch;

use crate::published::{Published, PushFrame};

/// Why a replica can't go on applying the log.
#[derive(Debug, thiserror::Error)]
pub enum MachineError {
    /// A committed command can't be read; a newer program has written it.
    #[error("the command at index {index} can't be read: {source}")]
    Command {
        /// Its place in the log.
        index: Index,
        /// Why.
        source: minicbor::decode::Error,
    },
    /// A snapshot can't be read.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// The state and what subscribers see of it.
pub(super) struct Machine {
    state: ControlState,
    published: watch::Sender<Arc<Published>>,
    fleet: watch::Sender<Arc<FleetState>>,
    snapshot_interval_bytes: usize,
    frame: Option<Arc<PushFrame>>,
    applied: Index,
    bytes_since_snapshot: usize,
    snapshot_bytes: usize,
}

impl Machine {
    pub fn new(
        published: watch::Sender<Arc<Published>>,
        fleet: watch::Sender<Arc<FleetState>>,
        snapshot_interval_bytes: usize,
    ) -> Self {
        Machine {
            state: ControlState::default(),
            published,
            fleet,
            snapshot_interval_bytes,
            frame: None,
            applied: 0,
            bytes_since_snapshot: 0,
            snapshot_bytes: 0,
        }
    }

    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Applies a committed entry; the answer is that of its command.
    pub fn apply(&mut self, entry: &Entry) -> Result<Option<Answer>, MachineError> {
        self.applied = entry.index;
        self.bytes_since_snapshot += entry.size();
        let Payload::Data(bytes) = &entry.payload else { return Ok(None) };
        let unreadable = |source| MachineError::Command { index: entry.index, source };
        let command: Command = minicbor::decode(bytes).map_err(unreadable)?;
        let before = self.state.settings().revision();
        let answer = self.state.apply(entry.index, command);
        self.publish_after(before);
        self.publish_fleet();
        Ok(Some(answer))
    }

    /// Replaces the state by a leader's or the disk's snapshot.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<(), MachineError> {
        self.state = ControlState::from_snapshot(&snapshot.data)?;
        self.applied = snapshot.meta.position.index;
        self.bytes_since_snapshot = 0;
        self.snapshot_bytes = snapshot.data.len();
        self.frame = None;
        let revision = self.state.settings().revision();
        self.published.send_replace(Arc::new(Published::at(revision)));
        self.publish_fleet();
        Ok(())
    }

    fn publish_fleet(&self) {
        let latest = self.state.fleet();
        self.fleet.send_if_modified(|published| {
            let changed = published.revision() != latest.revision();
            if changed {
                *published = Arc::clone(latest);
            }
            changed
        });
    }

    /// A copy of the state to write a snapshot from, with the index it stands for,
    /// if one is due: after so many bytes of applied entries, or as many as the last
    /// snapshot had. Writing snapshots then costs no more than writing the log, and
    /// a start reads about as much again.
    /// The copy shares what is large, so that it takes no time; to
    /// encode millions of claims takes seconds, in which a leader would be missed.
    pub fn due_snapshot(&mut self) -> Option<(Index, ControlState)> {
        if self.bytes_since_snapshot < self.snapshot_interval_bytes.max(self.snapshot_bytes) {
            return None;
        }
        self.bytes_since_snapshot = 0;
        Some((self.applied, self.state.clone()))
    }

    /// A snapshot of this many bytes was taken.
    pub fn snapshot_taken(&mut self, bytes: usize) {
        self.snapshot_bytes = bytes;
    }

    /// The whole tree as a push, encoded once for each revision.
    pub fn snapshot_frame(&mut self) -> Arc<PushFrame> {
        if let Some(frame) = &self.frame {
            return Arc::clone(frame);
        }
        let settings = self.state.settings();
        let revision = settings.revision();
        let tree = settings.tree().tree().clone();
        let payload = encode(&Message::Push(Push::Snapshot { revision, tree }));
        let frame = Arc::new(PushFrame { revision, payload });
        self.frame = Some(Arc::clone(&frame));
        frame
    }

    fn publish_after(&mut self, before: Revision) {
        let settings = self.state.settings();
        if settings.revision() == before {
            return;
        }
        self.frame = None;
        let mut published = Published::clone(&self.published.borrow());
        for entry in settings.changes_after(before).into_iter().flatten() {
            published.push(PushFrame::of_change(entry));
        }
        self.published.send_replace(Arc::new(published));
    }
}
