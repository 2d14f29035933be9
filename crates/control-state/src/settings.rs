//! The settings half of the state: tree, revision, history and change ids.

use juniper_settings::validated::to_change_set;
use juniper_settings::{ChangeSet, NodeChange, TreeFault, ValidatedTree};
use juniper_types::{BlockHash, Revision};
use minicbor::Encode;

use crate::answer::WriteAnswer;
use crate::change_ids::{ChangeIds, Known};
use crate::command::WriteHeader;
use crate::history::{History, HistoryEntry};
use crate::rate::WriteRate;

/// Settings as the replicas hold them.
///
/// Invariants: `revision` grows by one with each accepted write and never
/// otherwise; `tree` is valid; `history` ends at `revision`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsState {
    pub(crate) tree: ValidatedTree,
    pub(crate) revision: Revision,
    pub(crate) history: History,
    pub(crate) change_ids: ChangeIds,
    pub(crate) rate: WriteRate,
}

impl SettingsState {
    /// The tree in force.
    pub fn tree(&self) -> &ValidatedTree {
        &self.tree
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The kept changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The changes after `from`, oldest first, if all of them are kept.
    pub fn changes_after(
        &self,
        from: Revision,
    ) -> Option<impl DoubleEndedIterator<Item = &HistoryEntry>> {
        self.history.after(from, self.revision)
    }

    /// What separates two kept revisions.
    pub fn diff(&self, from: Revision, to: Revision) -> Option<Vec<NodeChange>> {
        self.history.diff(from, to, self.revision)
    }

    pub(crate) fn change(&mut self, header: WriteHeader, change: &ChangeSet) -> WriteAnswer {
        let fingerprint = fingerprint(&(header.base, change));
        if let Some(answer) = self.refuse_early(&header, &fingerprint) {
            return answer;
        }
        match self.tree.apply(change) {
            Ok(changes) => self.accept(header, fingerprint, None, changes),
            Err(faults) => WriteAnswer::Invalid { faults },
        }
    }

    pub(crate) fn rollback(&mut self, header: WriteHeader, to: Revision) -> WriteAnswer {
        let fingerprint = fingerprint(&(header.base, to));
        if let Some(answer) = self.refuse_early(&header, &fingerprint) {
            return answer;
        }
        let Some(changes) = self.diff(self.revision, to) else {
            let oldest = self.history.oldest(self.revision);
            return WriteAnswer::RevisionUnavailable { oldest, current: self.revision };
        };
        match self.roll_tree_back(&changes) {
            Ok(changes) => self.accept(header, fingerprint, Some(to), changes),
            Err(faults) => WriteAnswer::Invalid { faults },
        }
    }

    fn roll_tree_back(
        &mut self,
        changes: &[NodeChange],
    ) -> Result<Vec<NodeChange>, Vec<TreeFault>> {
        self.tree.apply(&to_change_set(changes))
    }

    /// The answer to a write that need not be looked at further.
    fn refuse_early(
        &mut self,
        header: &WriteHeader,
        fingerprint: &BlockHash,
    ) -> Option<WriteAnswer> {
        match self.change_ids.find(&header.change_id, fingerprint) {
            Some(Known::Same(revision)) => return Some(WriteAnswer::Accepted { revision }),
            Some(Known::Other(revision)) => return Some(WriteAnswer::ChangeIdReused { revision }),
            None => {}
        }
        if header.base != self.revision {
            let diff = self.history.conflict_diff(header.base, self.revision);
            return Some(WriteAnswer::Conflict { current: self.revision, diff });
        }
        let taken = self.rate.take(header.at_ms);
        taken.err().map(|retry_after_ms| WriteAnswer::RateLimited { retry_after_ms })
    }

    fn accept(
        &mut self,
        header: WriteHeader,
        fingerprint: BlockHash,
        rolled_back_to: Option<Revision>,
        changes: Vec<NodeChange>,
    ) -> WriteAnswer {
        let revision = Revision(self.revision.0 + 1);
        self.revision = revision;
        self.change_ids.record(header.change_id.clone(), fingerprint, revision);
        let bytes = crate::snapshot::to_bytes(&changes).len() as u64;
        self.history.push(HistoryEntry {
            revision,
            change_id: header.change_id,
            author: header.author,
            at_ms: header.at_ms,
            rolled_back_to,
            changes,
            bytes,
        });
        WriteAnswer::Accepted { revision }
    }
}

/// Identifies what a write asks for; the proposer's clock and the author don't count.
fn fingerprint(content: &impl Encode<()>) -> BlockHash {
    let hash = blake3::hash(&crate::snapshot::to_bytes(content));
    let mut short = [0; 16];
    short.copy_from_slice(&hash.as_bytes()[..16]);
    BlockHash(short)
}
