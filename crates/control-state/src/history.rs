//! The latest accepted changes, kept for diffs, rollback and lagging nodes.

use std::collections::{BTreeMap, VecDeque};

use juniper_settings::{NodeChange, SettingsNode, SettingsPath};
use juniper_types::{ChangeId, Revision};
use minicbor::{Decode, Encode};

/// Most revisions kept: more than a day at 820 changes a day.
pub const MAX_HISTORY_REVISIONS: usize = 1_000;

/// Most bytes of changes kept.
pub const MAX_HISTORY_BYTES: usize = 16 << 20;

/// Largest diff that a conflict carries, in bytes.
pub const MAX_DIFF_BYTES: usize = 1 << 20;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct HistoryEntry {
    /// The revision it made.
    #[n(0)]
    pub revision: Revision,
    /// Its change id.
    #[n(1)]
    pub change_id: ChangeId,
    /// Who wrote it.
    #[n(2)]
    pub author: String,
    /// When, by the proposer's clock, in milliseconds since the Unix epoch.
    #[n(3)]
    pub at_ms: u64,
    /// The revision that it rolled back to, if it was a rollback.
    #[n(4)]
    pub rolled_back_to: Option<Revision>,
    /// What it did to each node, in path order.
    #[n(5)]
    pub changes: Vec<NodeChange>,
    /// Encoded size of `changes`.
    #[n(6)]
    pub bytes: u64,
}

/// Accepted changes with consecutive revisions, the latest last.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
#[cbor(transparent)]
pub struct History(#[n(0)] VecDeque<HistoryEntry>);

impl History {
    /// Adds the latest change and forgets the oldest beyond the bounds.
    pub fn push(&mut self, entry: HistoryEntry) {
        self.0.push_back(entry);
        let mut bytes: u64 = self.0.iter().map(|kept| kept.bytes).sum();
        while self.0.len() > MAX_HISTORY_REVISIONS
            || (bytes > MAX_HISTORY_BYTES as u64 && self.0.len() > 1)
        {
            bytes -= self.0.pop_front().map_or(0, |oldest| oldest.bytes);
        }
    }

    /// The kept changes, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.0.iter()
    }

    /// The oldest revision whose tree can be rebuilt; `current` if nothing is kept.
    pub fn oldest(&self, current: Revision) -> Revision {
        self.0.front().map_or(current, |entry| Revision(entry.revision.0 - 1))
    }

    /// The changes after `from`, oldest first, if all of them are kept.
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

    /// What separates revision `from` from revision `to`, in path order.
    pub fn diff(&self, from: Revision, to: Revision, current: Revision) -> Option<Vec<NodeChange>> {
        if from > to {
            let backwards = self.diff(to, from, current)?;
            return Some(backwards.iter().map(NodeChange::inverse).collect());
        }
        if to > current {
            return None;
        }
        let between = self.after(from, current)?.take_while(|entry| entry.revision <= to);
        let mut merged: BTreeMap<&SettingsPath, Ends<'_>> = BTreeMap::new();
        for change in between.flat_map(|entry| &entry.changes) {
            let ends = Ends { before: change.before.as_ref(), after: change.after.as_ref() };
            merged.entry(&change.path).and_modify(|known| known.after = ends.after).or_insert(ends);
        }
        let changed = merged.into_iter().filter(|(_, ends)| ends.before != ends.after);
        Some(changed.map(|(path, ends)| ends.to_change(path)).collect())
    }

    /// The diff that a conflict carries, unless it is forgotten or too large.
    pub fn conflict_diff(&self, base: Revision, current: Revision) -> Option<Vec<NodeChange>> {
        let bytes: u64 = self.after(base, current)?.map(|entry| entry.bytes).sum();
        if bytes > MAX_DIFF_BYTES as u64 {
            return None;
        }
        self.diff(base, current, current)
    }
}

/// A node at both ends of a range of revisions.
struct Ends<'a> {
    before: Option<&'a SettingsNode>,
    after: Option<&'a SettingsNode>,
}

impl Ends<'_> {
    fn to_change(&self, path: &SettingsPath) -> NodeChange {
        NodeChange { path: path.clone(), before: self.before.cloned(), after: self.after.cloned() }
    }
}
