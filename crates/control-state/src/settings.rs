//! Settings part of the replicated state: tree, revision, history and change ids.

use juniper_settings::validated::to_change_set;
use juniper_settings::{ChangeSet, NodeChange, TreeFault, ValidatedTree};
use juniper_types::{BlockHash, Revision};
use minicbor::Encode;

use crate::answer::WriteAnswer;
use crate::change_ids::{ChangeIds, RecordedWrite};
use crate::command::WriteHeader;
use crate::history::{History, HistoryEntry};
use crate::rate::WriteRateLimiter;

/// Replicated settings.
///
/// Invariants: `revision` is incremented by each accepted write and by nothing else;
/// `tree` is valid; `history` ends at `revision`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsState {
    pub(crate) tree: ValidatedTree,
    pub(crate) revision: Revision,
    pub(crate) history: History,
    pub(crate) change_ids: ChangeIds,
    pub(crate) write_rate: WriteRateLimiter,
}

impl SettingsState {
    /// Tree in force.
    pub fn tree(&self) -> &ValidatedTree {
        &self.tree
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Retained changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Changes after `from`, oldest first, if all of them are retained.
    pub fn changes_after(
        &self,
        from: Revision,
    ) -> Option<impl DoubleEndedIterator<Item = &HistoryEntry>> {
        self.history.after(from, self.revision)
    }

    /// Difference between two revisions, if the changes between them are retained.
    pub fn diff(&self, from: Revision, to: Revision) -> Option<Vec<NodeChange>> {
        self.history.diff(from, to, self.revision)
    }

    pub(crate) fn change(&mut self, header: WriteHeader, change: &ChangeSet) -> WriteAnswer {
        let fingerprint = fingerprint(&(header.base, change));
        if let Some(answer) = self.check_header(&header, &fingerprint) {
            return answer;
        }
        match self.tree.apply(change) {
            Ok(changes) => self.accept(header, fingerprint, None, changes),
            Err(faults) => WriteAnswer::Invalid { faults },
        }
    }

    pub(crate) fn rollback(&mut self, header: WriteHeader, to: Revision) -> WriteAnswer {
        let fingerprint = fingerprint(&(header.base, to));
        if let Some(answer) = self.check_header(&header, &fingerprint) {
            return answer;
        }
        let Some(changes) = self.diff(self.revision, to) else {
            let oldest = self.history.oldest(self.revision);
            return WriteAnswer::RevisionUnavailable { oldest, current: self.revision };
        };
        match self.apply_node_changes(&changes) {
            Ok(changes) => self.accept(header, fingerprint, Some(to), changes),
            Err(faults) => WriteAnswer::Invalid { faults },
        }
    }

    fn apply_node_changes(
        &mut self,
        changes: &[NodeChange],
    ) -> Result<Vec<NodeChange>, Vec<TreeFault>> {
        self.tree.apply(&to_change_set(changes))
    }

    /// Checks the change id, the base revision and the rate limit. Returns the answer to a
    /// write that needs no further processing.
    fn check_header(
        &mut self,
        header: &WriteHeader,
        fingerprint: &BlockHash,
    ) -> Option<WriteAnswer> {
        match self.change_ids.find(&header.change_id, fingerprint) {
            Some(RecordedWrite::Same(revision)) => return Some(WriteAnswer::Accepted { revision }),
            Some(RecordedWrite::Different(revision)) => {
                return Some(WriteAnswer::ChangeIdReused { revision });
            }
            None => {}
        }
        if header.base != self.revision {
            let diff = self.history.conflict_diff(header.base, self.revision);
            return Some(WriteAnswer::Conflict { current: self.revision, diff });
        }
        let acquired = self.write_rate.try_acquire(header.at_ms);
        acquired.err().map(|retry_after_ms| WriteAnswer::RateLimited { retry_after_ms })
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

/// Hash of the content of a write, without the proposer's clock and the author.
fn fingerprint(content: &impl Encode<()>) -> BlockHash {
    let hash = blake3::hash(&crate::snapshot::to_bytes(content));
    let mut short = [0; 16];
    short.copy_from_slice(&hash.as_bytes()[..16]);
    BlockHash(short)
}
