//! In-memory log, with its persistence state and the memberships recorded in it.

use std::collections::VecDeque;

use crate::entry::{Entry, Index, Payload, Position, RestoredState, Snapshot, SnapshotMeta};
use crate::membership::Membership;

/// Log entries after a base position, with the latest snapshot.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    snapshot: Option<Snapshot>,
    /// Position before the first entry in `entries`; at or before the end of the snapshot.
    base: Position,
    entries: VecDeque<Entry>,
    /// Memberships in log order, each with the index from which it is in force. The
    /// first one is in force at `base`.
    memberships: Vec<(Index, Membership)>,
    /// Last index submitted to storage.
    submitted: Index,
    /// Last durable index.
    persisted: Index,
}

/// Error for received entries that contradict committed entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Diverged;

impl Log {
    /// Restores the log from persistent state.
    pub(crate) fn restore(restored: RestoredState) -> Self {
        let base = restored.snapshot.as_ref().map_or(Position::default(), |s| s.meta.position);
        let membership = restored.snapshot.as_ref().map(|s| s.meta.membership.clone());
        let mut log = Log {
            snapshot: restored.snapshot,
            base,
            entries: VecDeque::new(),
            memberships: vec![(base.index, membership.unwrap_or_default())],
            submitted: base.index,
            persisted: base.index,
        };
        restored.entries.into_iter().for_each(|entry| log.push(entry));
        log.submitted = log.last().index;
        log.persisted = log.submitted;
        log
    }

    /// Position of the last entry.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// Last durable index.
    pub(crate) fn persisted(&self) -> Index {
        self.persisted
    }

    /// Last position covered by the latest snapshot.
    pub(crate) fn snapshot_position(&self) -> Position {
        self.snapshot.as_ref().map_or(Position::default(), |s| s.meta.position)
    }

    /// Latest snapshot.
    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Membership in force: the last one in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        match self.memberships.last() {
            Some((_, membership)) => membership,
            None => unreachable!("the membership at the base is always kept"),
        }
    }

    /// Index of the entry with the membership in force.
    pub(crate) fn membership_index(&self) -> Index {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// Membership in force at `index`.
    pub(crate) fn membership_at(&self, index: Index) -> &Membership {
        let position = self.memberships.partition_point(|(from, _)| *from <= index);
        &self.memberships[position.saturating_sub(1)].1
    }

    /// Position of the entry at `index`, if the log in memory contains it.
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

    /// Whether the log contains an entry with this index and term.
    pub(crate) fn contains(&self, position: Position) -> bool {
        self.position(position.index) == Some(position)
    }

    /// Last position at or before `limit.index` whose term is not above `limit.term`.
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

    /// Entries from `from` on, limited to `max_count` and, except for the first, to `max_bytes`.
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

    /// Appends an entry.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Appends entries of a leader, which follow a position in this log. Matching entries
    /// are kept; the log is replaced from the first conflicting entry on.
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

    /// Removes every entry from `index` on.
    fn truncate(&mut self, index: Index) {
        let keep = usize::try_from(index - self.base.index - 1).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        self.memberships.retain(|(from, _)| *from < index);
        self.submitted = self.submitted.min(index - 1);
        self.persisted = self.persisted.min(index - 1);
    }

    /// Returns the entries not submitted to storage yet and marks them as submitted.
    pub(crate) fn take_unsubmitted(&mut self) -> Vec<Entry> {
        let entries = self.entries_between(self.submitted, self.last().index);
        self.submitted = self.last().index;
        entries
    }

    /// Whether some entries have not been submitted to storage yet.
    pub(crate) fn has_unsubmitted(&self) -> bool {
        self.submitted < self.last().index
    }

    /// Marks submitted entries up to `last` as durable, except those replaced in the meantime.
    pub(crate) fn mark_persisted(&mut self, last: Position) {
        let end = self.durable_end(last);
        self.persisted = self.persisted.max(end.min(self.submitted));
    }

    /// `last.index` if the entry at `last` has not been replaced since it was submitted,
    /// else the index that was durable already.
    fn durable_end(&self, last: Position) -> Index {
        if self.contains(last) || last.index <= self.base.index {
            last.index
        } else {
            self.persisted
        }
    }

    /// Replaces the log by a leader's snapshot. Entries after the snapshot are kept if the
    /// log contains the snapshot's end, because then the logs match up to that position.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let position = snapshot.meta.position;
        if self.contains(position) {
            self.discard_through(position, snapshot.meta.membership.clone());
        } else {
            self.entries.clear();
            self.base = position;
            self.memberships = vec![(position.index, snapshot.meta.membership.clone())];
            self.submitted = position.index;
            self.persisted = position.index;
        }
        self.submitted = self.submitted.max(position.index);
        self.snapshot = Some(snapshot);
    }

    /// Position and membership for a snapshot of the state as of `index`.
    pub(crate) fn snapshot_meta(&self, index: Index) -> Option<SnapshotMeta> {
        let position = self.position(index)?;
        Some(SnapshotMeta { position, membership: self.membership_at(index).clone() })
    }

    /// Replaces the log up to the snapshot's end, except for the last `keep` entries before it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, keep: usize) {
        let through = snapshot.meta.position.index.saturating_sub(keep as u64);
        if through > self.base.index
            && let Some(position) = self.position(through)
        {
            let membership = self.membership_at(through).clone();
            self.discard_through(position, membership);
        }
        self.snapshot = Some(snapshot);
    }

    fn discard_through(&mut self, position: Position, membership: Membership) {
        let count = position.index.saturating_sub(self.base.index);
        let count = usize::try_from(count).unwrap_or(usize::MAX).min(self.entries.len());
        self.entries.drain(..count);
        self.base = position;
        self.memberships.retain(|(from, _)| *from > position.index);
        self.memberships.insert(0, (position.index, membership));
    }
}
