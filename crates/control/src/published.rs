//! The latest settings changes, encoded once and read by every subscriber.
//!
//! A change is encoded by the replica when it is applied. A subscriber copies
//! bytes from here, so its cost is that of writing them to its connection.

use std::collections::VecDeque;
use std::sync::Arc;

use juniper_control_state::HistoryEntry;
use juniper_protocol::message::encode;
use juniper_protocol::{Message, Push, SettingsDelta};
use juniper_settings::validated::to_change_set;
use juniper_types::Revision;

/// Most changes kept; a subscriber further behind gets the whole tree.
const MAX_DELTAS: usize = 256;

/// Most bytes of changes kept.
const MAX_DELTA_BYTES: usize = 8 << 20;

/// Most bytes of several changes sent to catch up. Beyond that the whole tree is
/// sent, whose sending is bounded, so that a herd of restarted nodes can't ask
/// for megabytes each at once.
const MAX_CATCH_UP_BYTES: usize = 1 << 20;

/// An encoded [`Message::Push`].
#[derive(Debug)]
pub struct PushFrame {
    /// The revision that is in force after the push.
    pub revision: Revision,
    /// The encoded message.
    pub payload: Vec<u8>,
}

impl PushFrame {
    /// Encodes one accepted change.
    pub fn of_change(entry: &HistoryEntry) -> Self {
        let change = to_change_set(&entry.changes);
        let delta = SettingsDelta { revision: entry.revision, change };
        let payload = encode(&Message::Push(Push::Delta(delta)));
        PushFrame { revision: entry.revision, payload }
    }
}

/// What subscribers see.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// Latest committed revision on this replica.
    pub revision: Revision,
    deltas: VecDeque<Arc<PushFrame>>,
}

impl Published {
    /// Nothing but a revision, after a start or an installed snapshot.
    pub fn at(revision: Revision) -> Self {
        Published { revision, deltas: VecDeque::new() }
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

    /// The changes after `from`, if all of them are kept and few enough bytes. The
    /// very next change is always served, whatever its size.
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
