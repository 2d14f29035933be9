//! The log in memory: what is on disk, what is on its way there, and the memberships in it.

use std::collections::VecDeque;

use crate::entry::{Entry, Index, Payload, Position, Restored, Snapshot, SnapshotMeta};
use crate::membership::Membership;

/// Entries after a base position, with the latest snapshot.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    snapshot: Option<Snapshot>,
    /// The entry before the first one held; at or before the end of the snapshot.
    base: Position,
    entries: VecDeque<Entry>,
    /// Memberships with the index each is in force from, in order. The first one
    /// was in force at `base`.
    memberships: Vec<(Index, Membership)>,
    /// Last index handed to storage.
    handed: Index,
    /// Last index on disk.
    persisted: Index,
}

/// The entries sent contradict entries that are known to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Diverged;

impl Log {
    /// The log as storage kept it.
    pub(crate) fn restore(restored: Restored) -> Self {
        let base = restored.snapshot.as_ref().map_or(Position::default(), |s| s.meta.position);
        let membership = restored.snapshot.as_ref().map(|s| s.meta.membership.clone());
        let mut log = Log {
            snapshot: restored.snapshot,
            base,
            entries: VecDeque::new(),
            memberships: vec![(base.index, membership.unwrap_or_default())],
            handed: base.index,
            persisted: base.index,
        };
        restored.entries.into_iter().for_each(|entry| log.push(entry));
        log.handed = log.last().index;
        log.persisted = log.handed;
        log
    }

    /// The last entry.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// Last index on disk.
    pub(crate) fn persisted(&self) -> Index {
        self.persisted
    }

    /// End of the latest snapshot.
    pub(crate) fn snapshot_position(&self) -> Position {
        self.snapshot.as_ref().map_or(Position::default(), |s| s.meta.position)
    }

    /// The latest snapshot.
    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// The membership in force: the last one in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        match self.memberships.last() {
            Some((_, membership)) => membership,
            None => unreachable!("the membership at the base is always kept"),
        }
    }

    /// Index that the membership in force was appended at.
    pub(crate) fn membership_index(&self) -> Index {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// The membership in force at `index`.
    pub(crate) fn membership_at(&self, index: Index) -> &Membership {
        let position = self.memberships.partition_point(|(from, _)| *from <= index);
        &self.memberships[position.saturating_sub(1)].1
    }

    /// The position at `index`, unless it is outside of what is held.
    pub(crate) fn position(&self, index: Index) -> Option<Position> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(Entry::position)
    }

    fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Whether `position` is in this log.
    pub(crate) fn contains(&self, position: Position) -> bool {
        self.position(position.index) == Some(position)
    }

    /// The last position at or before `limit.index` whose term is not above `limit.term`.
    pub(crate) fn last_not_after(&self, limit: Position) -> Position {
        let mut index = limit.index.min(self.last().index);
        while let Some(position) = self.position(index) {
            if position.term <= limit.term || index == self.base.index {
                return position;
            }
            index -= 1;
        }
        self.base
    }

    /// Entries from `from` on, up to `max_bytes` but at least one if there is any.
    pub(crate) fn entries_from(&self, from: Index, max_bytes: usize, max_count: u64) -> Vec<Entry> {
        let Some(offset) = from.checked_sub(self.base.index + 1) else { return Vec::new() };
        let mut bytes = 0;
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(self.entries.len());
        let count = usize::try_from(max_count).unwrap_or(usize::MAX);
        let fits = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += entry.size();
            first || bytes <= max_bytes
        };
        self.entries.range(start..).take(count).take_while(fits).cloned().collect()
    }

    /// Entries with an index in `(after, through]`.
    pub(crate) fn entries_between(&self, after: Index, through: Index) -> Vec<Entry> {
        self.entries_from(after + 1, usize::MAX, through.saturating_sub(after))
    }

    /// Approximate bytes of the entries with an index in `(after, through]`.
    pub(crate) fn bytes_between(&self, after: Index, through: Index) -> usize {
        let start = usize::try_from(after.saturating_sub(self.base.index)).unwrap_or(usize::MAX);
        let count = usize::try_from(through.saturating_sub(after)).unwrap_or(usize::MAX);
        self.entries.iter().skip(start).take(count).map(Entry::size).sum()
    }

    /// Appends one entry at the end.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        if let Payload::Members(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Appends a leader's entries, which follow a position this log contains.
    /// Entries that are here already stay; from the first that differs on, the log is replaced.
    pub(crate) fn merge(&mut self, entries: Vec<Entry>, commit: Index) -> Result<(), Diverged> {
        for entry in entries {
            if entry.index <= self.base.index || self.contains(entry.position()) {
                continue;
            }
            if entry.index <= commit {
                return Err(Diverged);
            }
            if entry.index <= self.last().index {
                self.truncate(entry.index);
            }
            self.push(entry);
        }
        Ok(())
    }

    /// Drops every entry from `index` on.
    fn truncate(&mut self, index: Index) {
        let keep = usize::try_from(index - self.base.index - 1).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        self.memberships.retain(|(from, _)| *from < index);
        self.handed = self.handed.min(index - 1);
        self.persisted = self.persisted.min(index - 1);
    }

    /// Entries not handed to storage yet; they count as handed now.
    pub(crate) fn take_unhanded(&mut self) -> Vec<Entry> {
        let entries = self.entries_between(self.handed, self.last().index);
        self.handed = self.last().index;
        entries
    }

    /// Whether some entries were not handed to storage yet.
    pub(crate) fn has_unhanded(&self) -> bool {
        self.handed < self.last().index
    }

    /// Storage holds what it was handed up to `index`, unless that was replaced since.
    pub(crate) fn mark_persisted(&mut self, last: Position) {
        let end = self.last_common(last);
        self.persisted = self.persisted.max(end.min(self.handed));
    }

    /// `last.index` if that entry is still here, else the last handed entry before
    /// the replaced part; `handed` is below every replaced entry.
    fn last_common(&self, last: Position) -> Index {
        if self.contains(last) || last.index <= self.base.index {
            last.index
        } else {
            self.persisted
        }
    }

    /// Replaces the log by a leader's snapshot. Entries after it stay if the
    /// snapshot's end is in this log, because then the logs agree up to there.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let position = snapshot.meta.position;
        if self.contains(position) {
            self.drop_through(position, snapshot.meta.membership.clone());
        } else {
            self.entries.clear();
            self.base = position;
            self.memberships = vec![(position.index, snapshot.meta.membership.clone())];
            self.handed = position.index;
            self.persisted = position.index;
        }
        self.handed = self.handed.max(position.index);
        self.snapshot = Some(snapshot);
    }

    /// What a snapshot of the state as of `index` covers.
    pub(crate) fn snapshot_meta(&self, index: Index) -> Option<SnapshotMeta> {
        let position = self.position(index)?;
        Some(SnapshotMeta { position, membership: self.membership_at(index).clone() })
    }

    /// Lets a snapshot stand for the log, of which `keep` entries behind it stay in memory.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: usize) {
        let through = snapshot.meta.position.index.saturating_sub(keep as u64);
        if through > self.base.index
            && let Some(position) = self.position(through)
        {
            let membership = self.membership_at(through).clone();
            self.drop_through(position, membership);
        }
        self.snapshot = Some(snapshot);
    }

    fn drop_through(&mut self, position: Position, membership: Membership) {
        let count = position.index.saturating_sub(self.base.index);
        let count = usize::try_from(count).unwrap_or(usize::MAX).min(self.entries.len());
        self.entries.drain(..count);
        self.base = position;
        self.memberships.retain(|(from, _)| *from > position.index);
        self.memberships.insert(0, (position.index, membership));
    }
}
