//! Replicated state, and the messages derived from it for subscribers.

use std::sync::Arc;

use juniper_consensus::{Entry, Index, Payload, Snapshot};
use juniper_control_state::{Answer, Command, ControlState, FleetState, SnapshotError};
use juniper_protocol::message::encode;
use juniper_protocol::{Message, Push};
use juniper_types::Revision;
use tokio::sync::watch;

use crate::published_settings::{PublishedSettings, PushFrame};

/// Error that prevents a replica from applying the log.
#[derive(Debug, thiserror::Error)]
pub enum StateMachineError {
    /// Decoding a committed command failed; a later build has written it.
    #[error("failed to decode the command at index {index}: {source}")]
    Command {
        /// Log index of the command.
        index: Index,
        /// Decoding error.
        source: minicbor::decode::Error,
    },
    /// Decoding a snapshot failed.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Replicated state and its published form.
pub(super) struct StateMachine {
    state: ControlState,
    published: watch::Sender<Arc<PublishedSettings>>,
    fleet: watch::Sender<Arc<FleetState>>,
    snapshot_interval_bytes: usize,
    /// Settings tree at the current revision, encoded on demand.
    snapshot_frame: Option<Arc<PushFrame>>,
    applied: Index,
    bytes_since_snapshot: usize,
    snapshot_bytes: usize,
}

impl StateMachine {
    pub fn new(
        published: watch::Sender<Arc<PublishedSettings>>,
        fleet: watch::Sender<Arc<FleetState>>,
        snapshot_interval_bytes: usize,
    ) -> Self {
        StateMachine {
            state: ControlState::default(),
            published,
            fleet,
            snapshot_interval_bytes,
            snapshot_frame: None,
            applied: 0,
            bytes_since_snapshot: 0,
            snapshot_bytes: 0,
        }
    }

    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Applies a committed entry. Returns the answer to its command, if it has one.
    pub fn apply(&mut self, entry: &Entry) -> Result<Option<Answer>, StateMachineError> {
        self.applied = entry.index;
        self.bytes_since_snapshot += entry.size();
        let Payload::Data(bytes) = &entry.payload else { return Ok(None) };
        let decode_error = |source| StateMachineError::Command { index: entry.index, source };
        let command: Command = minicbor::decode(bytes).map_err(decode_error)?;
        let before = self.state.settings().revision();
        let answer = self.state.apply(entry.index, command);
        self.publish_settings_after(before);
        self.publish_fleet();
        Ok(Some(answer))
    }

    /// Replaces the state by a snapshot from the leader or from disk.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<(), StateMachineError> {
        self.state = ControlState::from_snapshot(&snapshot.data)?;
        self.applied = snapshot.meta.position.index;
        self.bytes_since_snapshot = 0;
        self.snapshot_bytes = snapshot.data.len();
        self.snapshot_frame = None;
        let revision = self.state.settings().revision();
        self.published.send_replace(Arc::new(PublishedSettings::at(revision)));
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

    /// Returns a copy of the state and its log index if a snapshot is due: after
    /// `snapshot_interval_bytes` of applied entries, or the size of the last snapshot if that is
    /// larger. Snapshots thus cost no more writes than the log, and startup replays at most that many
    /// bytes of entries.
    ///
    /// The copy is cheap because large parts are shared. Encoding millions of claims takes seconds and
    /// is therefore left to the caller.
    pub fn due_snapshot(&mut self) -> Option<(Index, ControlState)> {
        if self.bytes_since_snapshot < self.snapshot_interval_bytes.max(self.snapshot_bytes) {
            return None;
        }
        self.bytes_since_snapshot = 0;
        Some((self.applied, self.state.clone()))
    }

    /// Records the size of the latest snapshot, in bytes.
    pub fn record_snapshot_size(&mut self, bytes: usize) {
        self.snapshot_bytes = bytes;
    }

    /// Returns the settings tree as a push, encoded once per revision.
    pub fn snapshot_frame(&mut self) -> Arc<PushFrame> {
        if let Some(frame) = &self.snapshot_frame {
            return Arc::clone(frame);
        }
        let settings = self.state.settings();
        let revision = settings.revision();
        let tree = settings.tree().tree().clone();
        let payload = encode(&Message::Push(Push::Snapshot { revision, tree }));
        let frame = Arc::new(PushFrame { revision, payload });
        self.snapshot_frame = Some(Arc::clone(&frame));
        frame
    }

    fn publish_settings_after(&mut self, before: Revision) {
        let settings = self.state.settings();
        if settings.revision() == before {
            return;
        }
        self.snapshot_frame = None;
        let mut published = PublishedSettings::clone(&self.published.borrow());
        for entry in settings.changes_after(before).into_iter().flatten() {
            published.push(PushFrame::from_change(entry));
        }
        self.published.send_replace(Arc::new(published));
    }
}
