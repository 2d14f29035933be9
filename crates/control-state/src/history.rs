//! History of the latest accepted changes, for diffs, rollbacks and lagging subscribers.

use std::collections::{BTreeMap, VecDeque};

use juniper_settings::{NodeChange, SettingsNode, SettingsPath};
use juniper_types::{ChangeId, Revision};
use minicbor::{Decode, Encode};

/// Maximum number of retained revisions: more than a day at 820 changes a day.
pub const MAX_HISTORY_REVISIONS: usize = 1_000;

/// Maximum size of the retained changes, in bytes. The latest one is retained at any size.
pub const MAX_HISTORY_BYTES: usize = 16 << 20;

/// Maximum size of the diff included in a conflict, in bytes.
pub const MAX_DIFF_BYTES: usize = 1 << 20;

/// Accepted change.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct HistoryEntry {
    /// Revision created by the change.
    #[n(0)]
    pub revision: Revision,
    /// Change id chosen by the writer.
    #[n(1)]
    pub change_id: ChangeId,
    /// Author of the change.
    #[n(2)]
    pub author: String,
    /// Wall clock of the proposer, in milliseconds since the Unix epoch.
    #[n(3)]
    pub at_ms: u64,
    /// Restored revision, if the change was a rollback.
    #[n(4)]
    pub rolled_back_to: Option<Revision>,
    /// Changes of each node, in path order.
    #[n(5)]
    pub changes: Vec<NodeChange>,
    /// Encoded size of `changes`, in bytes.
    #[n(6)]
    pub bytes: u64,
}

/// Accepted changes with consecutive revisions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
#[cbor(transparent)]
pub struct History(#[n(0)] VecDeque<HistoryEntry>);

impl History {
    /// Adds the latest change and evicts the oldest ones beyond the limits.
    pub fn push(&mut self, entry: HistoryEntry) {
        self.0.push_back(entry);
        let mut bytes: u64 = self.0.iter().map(|entry| entry.bytes).sum();
        while self.0.len() > MAX_HISTORY_REVISIONS
            || (bytes > MAX_HISTORY_BYTES as u64 && self.0.len() > 1)
        {
            bytes -= self.0.pop_front().map_or(0, |oldest| oldest.bytes);
        }
    }

    /// Retained changes, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.0.iter()
    }

    /// Oldest revision whose tree can be restored; `current` if no change is retained.
    pub fn oldest(&self, current: Revision) -> Revision {
        self.0.front().map_or(current, |entry| Revision(entry.revision.0 - 1))
    }

    /// Changes after `from`, oldest first, if all of them are retained.
    pub fn after(
        &self,
        from: Revision,
        current: Revision,
    ) -> Option<impl DoubleEndedIterator<Item = &HistoryEntry>> {
        if from < self.oldest(current) || from > current {
            return None;
        }
        let skipped = self.0.partition_point(|entry| entry.revision <= from);
        Some(self.0.range(skipped..))
    }

    /// Difference between the revisions `from` and `to`, in path order.
    pub fn diff(&self, from: Revision, to: Revision, current: Revision) -> Option<Vec<NodeChange>> {
        if from > to {
            let backwards = self.diff(to, from, current)?;
            return Some(backwards.iter().map(NodeChange::inverse).collect());
        }
        if to > current {
            return None;
        }
        let between = self.after(from, current)?.take_while(|entry| entry.revision <= to);
        let mut merged: BTreeMap<&SettingsPath, NodeStates<'_>> = BTreeMap::new();
        for change in between.flat_map(|entry| &entry.changes) {
            let states =
                NodeStates { before: change.before.as_ref(), after: change.after.as_ref() };
            merged
                .entry(&change.path)
                .and_modify(|known| known.after = states.after)
                .or_insert(states);
        }
        let changed = merged.into_iter().filter(|(_, states)| states.before != states.after);
        Some(changed.map(|(path, states)| states.to_change(path)).collect())
    }

    /// Diff to include in a conflict, unless it is no longer retained or too large.
    pub fn conflict_diff(&self, base: Revision, current: Revision) -> Option<Vec<NodeChange>> {
        let bytes: u64 = self.after(base, current)?.map(|entry| entry.bytes).sum();
        if bytes > MAX_DIFF_BYTES as u64 {
            return None;
        }
        self.diff(base, current, current)
    }
}

/// State of a node before and after a range of revisions.
struct NodeStates<'a> {
    before: Option<&'a SettingsNode>,
    after: Option<&'a SettingsNode>,
}

impl NodeStates<'_> {
    fn to_change(&self, path: &SettingsPath) -> NodeChange {
        NodeChange { path: path.clone(), before: self.before.cloned(), after: self.after.cloned() }
    }
}
