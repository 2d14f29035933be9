//! Change ids of accepted writes, so that a resent write gets its first answer.
//!
//! Only accepted writes are recorded. A refused write that is resent is judged
//! again: its base is by then the same revision, which gives the same verdict,
//! or an older one, which is a conflict. Forgetting an id is safe for the same
//! reason: the revision has grown past the base of every recorded write, so a
//! forgotten write that is resent gets a conflict and is never applied twice.

use std::collections::{BTreeMap, VecDeque};

use juniper_types::{BlockHash, ChangeId, Revision};
use minicbor::{Decode, Encode};

/// Most ids kept: twelve days at 820 changes a day.
pub const MAX_CHANGE_IDS: usize = 10_000;

/// An accepted write.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct ChangeRecord {
    #[n(0)]
    id: ChangeId,
    #[n(1)]
    fingerprint: BlockHash,
    #[n(2)]
    revision: Revision,
}

/// What is known of a change id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    /// The same write made this revision.
    Same(Revision),
    /// Another write under the same id made this revision.
    Other(Revision),
}

/// The recorded ids, the latest last.
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

    pub fn find(&self, id: &ChangeId, fingerprint: &BlockHash) -> Option<Known> {
        let (recorded, revision) = self.by_id.get(id)?;
        let same = recorded == fingerprint;
        Some(if same { Known::Same(*revision) } else { Known::Other(*revision) })
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
