//! Latest settings changes, encoded once for all subscribers.
//!
//! The replica encodes a change when applying it, so serving a further subscriber costs only the
//! write to its connection.

use std::collections::VecDeque;
use std::sync::Arc;

use juniper_control_state::HistoryEntry;
use juniper_protocol::message::encode;
use juniper_protocol::{Message, Push, SettingsDelta};
use juniper_settings::validated::to_change_set;
use juniper_types::Revision;

/// Maximum number of stored changes; subscribers further behind get the complete tree.
const MAX_DELTAS: usize = 256;

/// Maximum size of all stored changes, in bytes.
const MAX_DELTA_BYTES: usize = 8 << 20;

/// Maximum size of the changes sent to a subscriber to catch up, in bytes, if there are several.
/// Beyond that the complete tree is sent, whose concurrency is limited, so that many restarted nodes
/// can't request megabytes each at once.
const MAX_CATCH_UP_BYTES: usize = 1 << 20;

/// Encoded [`Message::Push`] of settings.
#[derive(Debug)]
pub struct PushFrame {
    /// Revision after applying the push.
    pub revision: Revision,
    /// Encoded message.
    pub payload: Vec<u8>,
}

impl PushFrame {
    /// Encodes an accepted change.
    pub fn from_change(entry: &HistoryEntry) -> Self {
        let change = to_change_set(&entry.changes);
        let delta = SettingsDelta { revision: entry.revision, change };
        let payload = encode(&Message::Push(Push::Delta(delta)));
        PushFrame { revision: entry.revision, payload }
    }
}

/// Settings changes published to subscribers.
#[derive(Clone, Debug, Default)]
pub struct PublishedSettings {
    /// Latest committed revision on this replica.
    pub revision: Revision,
    deltas: VecDeque<Arc<PushFrame>>,
}

impl PublishedSettings {
    /// Creates an empty set of changes at `revision`, after startup or a snapshot installation.
    pub fn at(revision: Revision) -> Self {
        PublishedSettings { revision, deltas: VecDeque::new() }
    }

    /// Adds the next change.
    pub fn push(&mut self, frame: PushFrame) {
        self.revision = frame.revision;
        self.deltas.push_back(Arc::new(frame));
        let mut bytes: usize = self.deltas.iter().map(|delta| delta.payload.len()).sum();
        while self.deltas.len() > MAX_DELTAS || bytes > MAX_DELTA_BYTES {
            bytes -= self.deltas.pop_front().map_or(0, |oldest| oldest.payload.len());
        }
    }

    /// Returns the changes after `from`, or `None` if some are no longer stored or their total size
    /// is too large. A single change is returned whatever its size.
    pub fn after(&self, from: Revision) -> Option<Vec<Arc<PushFrame>>> {
        if from >= self.revision {
            return Some(Vec::new());
        }
        let next = Revision(from.0 + 1);
        let oldest = self.deltas.front()?.revision;
        if next < oldest {
            return None;
        }
        let missing: Vec<_> = self.deltas.iter().filter(|d| d.revision >= next).cloned().collect();
        let bytes: usize = missing.iter().map(|delta| delta.payload.len()).sum();
        (missing.len() == 1 || bytes <= MAX_CATCH_UP_BYTES).then_some(missing)
    }
}
