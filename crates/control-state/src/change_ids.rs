//! Change ids of accepted writes, so that a retried write gets the original answer.
//!
//! Only accepted writes are recorded. A rejected write that is retried is checked again.
//! Evicting an id is safe: the current revision is higher than the base of every
//! recorded write, so a retry of an evicted write gets a conflict and is never applied twice.

use std::collections::{BTreeMap, VecDeque};

use juniper_types::{BlockHash, ChangeId, Revision};
use minicbor::{Decode, Encode};

/// Maximum number of recorded change ids: twelve days at 820 changes a day.
pub const MAX_CHANGE_IDS: usize = 10_000;

/// Record of an accepted write.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct ChangeRecord {
    #[n(0)]
    id: ChangeId,
    #[n(1)]
    fingerprint: BlockHash,
    #[n(2)]
    revision: Revision,
}

/// Recorded write with the change id of a new write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordedWrite {
    /// The same write created this revision.
    Same(Revision),
    /// A different write with the same id created this revision.
    Different(Revision),
}

/// Recorded change ids in order of acceptance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChangeIds {
    records: VecDeque<ChangeRecord>,
    by_id: BTreeMap<ChangeId, (BlockHash, Revision)>,
}

impl ChangeIds {
    pub fn from_records(records: VecDeque<ChangeRecord>) -> Self {
        let index =
            |record: &ChangeRecord| (record.id.clone(), (record.fingerprint, record.revision));
        let by_id = records.iter().map(index).collect();
        ChangeIds { records, by_id }
    }

    pub fn records(&self) -> &VecDeque<ChangeRecord> {
        &self.records
    }

    pub fn find(&self, id: &ChangeId, fingerprint: &BlockHash) -> Option<RecordedWrite> {
        let (recorded, revision) = self.by_id.get(id)?;
        let same = recorded == fingerprint;
        Some(if same {
            RecordedWrite::Same(*revision)
        } else {
            RecordedWrite::Different(*revision)
        })
    }

    pub fn record(&mut self, id: ChangeId, fingerprint: BlockHash, revision: Revision) {
        self.by_id.insert(id.clone(), (fingerprint, revision));
        self.records.push_back(ChangeRecord { id, fingerprint, revision });
        while self.records.len() > MAX_CHANGE_IDS {
            if let Some(oldest) = self.records.pop_front() {
                self.by_id.remove(&oldest.id);
            }
        }
    }
}
