//! Rebuilding of the log from its records.

use juniper_consensus::{Entry, HardState, Index, Position, Snapshot};

use crate::error::Damage;
use crate::frame::Record;

/// Log rebuilt from the records read so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replay {
    /// End of the latest snapshot file. Entries up to this index aren't needed.
    snapshot_index: Index,
    base: Position,
    entries: Vec<Entry>,
    hard_state: HardState,
}

impl Replay {
    /// Creates an empty log next to the latest snapshot file.
    pub(crate) fn new(snapshot: Option<&Snapshot>) -> Self {
        let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.meta.position.index);
        Replay { snapshot_index, ..Replay::default() }
    }

    /// Position of the last entry, or of the end of the snapshot if there are no entries.
    pub(crate) fn last(&self) -> Position {
        self.entries.last().map_or(self.base, Entry::position)
    }

    /// Hard state of the latest record that has one.
    pub(crate) fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Position before the first entry of the log.
    pub(crate) fn base(&self) -> Position {
        self.base
    }

    /// Applies the next record.
    pub(crate) fn apply(&mut self, record: Record) -> Result<(), Damage> {
        if !record.is_in_bounds() {
            return Err(Damage::Malformed);
        }
        if let Some(position) = record.continues {
            self.continue_from(position)?;
        }
        // A snapshot before the log's base belongs to removed segments.
        if let Some(position) = record.snapshot.filter(|at| at.index >= self.base.index) {
            self.compact_to(position);
        }
        self.append(record.entries)?;
        if let Some(hard_state) = record.hard_state {
            self.hard_state = hard_state;
        }
        Ok(())
    }

    /// Continues the log at `position`. If the log doesn't hold that position, earlier
    /// segments were removed, which is valid only if a snapshot covers them.
    fn continue_from(&mut self, position: Position) -> Result<(), Damage> {
        if self.contains(position) {
            let retained = self.offset(position.index + 1).unwrap_or(0);
            self.entries.truncate(retained);
        } else if position.index <= self.snapshot_index {
            self.entries.clear();
            self.base = position;
        } else {
            return Err(Damage::Gap);
        }
        Ok(())
    }

    /// Replaces the log up to `position` by a snapshot. Later entries are retained if
    /// the log holds `position`, because it then agrees with the snapshot.
    fn compact_to(&mut self, position: Position) {
        if self.contains(position) {
            let covered = self.offset(position.index + 1).unwrap_or(0).min(self.entries.len());
            self.entries.drain(..covered);
        } else {
            self.entries.clear();
        }
        self.base = position;
    }

    fn append(&mut self, entries: Vec<Entry>) -> Result<(), Damage> {
        let Some(first) = entries.first().map(|entry| entry.index) else { return Ok(()) };
        if first <= self.base.index && self.base.index <= self.snapshot_index {
            self.restart_before(first);
        }
        let extends_log = first > self.base.index && first <= self.last().index + 1;
        let consecutive = entries.windows(2).all(|pair| pair[1].index == pair[0].index + 1);
        if !extends_log || !consecutive {
            return Err(Damage::Gap);
        }
        let retained = self.offset(first).unwrap_or(0);
        self.entries.truncate(retained);
        self.entries.extend(entries);
        Ok(())
    }

    /// Restarts the log before `first`, for entries that replace some of removed segments
    /// which a snapshot covers. The term of the entry before `first` isn't known.
    fn restart_before(&mut self, first: Index) {
        self.entries.clear();
        self.base = Position { term: 0, index: first.saturating_sub(1) };
    }

    /// Finishes the replay by applying the latest snapshot file, which may be newer than
    /// the last record because a snapshot becomes durable before its record.
    pub(crate) fn finish(mut self, snapshot: Option<&Snapshot>) -> Result<Replay, Damage> {
        let position = snapshot.map_or(Position::default(), |snapshot| snapshot.meta.position);
        if position.index < self.base.index {
            return Err(Damage::Gap);
        }
        if position != self.base {
            self.compact_to(position);
        }
        Ok(self)
    }

    /// Returns the hard state and the entries.
    pub(crate) fn into_parts(self) -> (HardState, Vec<Entry>) {
        (self.hard_state, self.entries)
    }

    /// Position at `index`, or `None` if the log doesn't hold it.
    fn position(&self, index: Index) -> Option<Position> {
        if index == self.base.index {
            return Some(self.base);
        }
        let entry = self.offset(index).and_then(|offset| self.entries.get(offset));
        entry.map(Entry::position)
    }

    fn contains(&self, position: Position) -> bool {
        self.position(position.index) == Some(position)
    }

    fn offset(&self, index: Index) -> Option<usize> {
        usize::try_from(index.checked_sub(self.base.index + 1)?).ok()
    }
}
