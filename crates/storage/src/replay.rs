//! Rebuilds the log from its records.

use juniper_consensus::{Entry, HardState, Index, Position, Snapshot};

use crate::error::Damage;
use crate::frame::Record;

/// The log as far as it has been read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replay {
    /// End of the latest snapshot file; nothing up to here is needed from the log.
    snapshot_index: Index,
    base: Position,
    entries: Vec<Entry>,
    hard_state: HardState,
}

impl Replay {
    /// An empty log beside the latest snapshot file.
    pub(crate) fn new(snapshot: Option<&Snapshot>) -> Self {
        let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.meta.position.index);
        Replay { snapshot_index, ..Replay::default() }
    }

    /// The last entry, or the end of the snapshot that the log starts from.
    pub(crate) fn last(&self) -> Position {
        self.entries.last().map_or(self.base, Entry::position)
    }

    /// The promises read last.
    pub(crate) fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The position that the log starts after.
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
        // A snapshot from before the segments that are gone says nothing any more.
        if let Some(position) = record.snapshot.filter(|at| at.index >= self.base.index) {
            self.start_after(position);
        }
        self.append(record.entries)?;
        if let Some(hard_state) = record.hard_state {
            self.hard_state = hard_state;
        }
        Ok(())
    }

    /// A segment continues the log at `position`. If that isn't here, the segments
    /// before were removed, which is right only if a snapshot covers them.
    fn continue_from(&mut self, position: Position) -> Result<(), Damage> {
        if self.contains(position) {
            let keep = self.offset(position.index + 1).unwrap_or(0);
            self.entries.truncate(keep);
        } else if position.index <= self.snapshot_index {
            self.entries.clear();
            self.base = position;
        } else {
            return Err(Damage::Gap);
        }
        Ok(())
    }

    /// A snapshot stands for the log up to `position`. Entries after it stay if the
    /// log holds its end, because then it agrees with the snapshot.
    fn start_after(&mut self, position: Position) {
        if self.contains(position) {
            let drop = self.offset(position.index + 1).unwrap_or(0).min(self.entries.len());
            self.entries.drain(..drop);
        } else {
            self.entries.clear();
        }
        self.base = position;
    }

    fn append(&mut self, entries: Vec<Entry>) -> Result<(), Damage> {
        let Some(first) = entries.first().map(|entry| entry.index) else { return Ok(()) };
        if first <= self.base.index && self.base.index <= self.snapshot_index {
            self.replace_covered(first);
        }
        let fits = first > self.base.index && first <= self.last().index + 1;
        let consecutive = entries.windows(2).all(|pair| pair[1].index == pair[0].index + 1);
        if !fits || !consecutive {
            return Err(Damage::Gap);
        }
        let keep = self.offset(first).unwrap_or(0);
        self.entries.truncate(keep);
        self.entries.extend(entries);
        Ok(())
    }

    /// Entries from `first` on replace some that were in segments which are gone,
    /// because a snapshot covers them. The term before `first` is gone with them.
    fn replace_covered(&mut self, first: Index) {
        self.entries.clear();
        self.base = Position { term: 0, index: first.saturating_sub(1) };
    }

    /// Ends with the latest snapshot file: it may be newer than the last record,
    /// because it becomes durable before the record that names it.
    pub(crate) fn finish(mut self, snapshot: Option<&Snapshot>) -> Result<Replay, Damage> {
        let position = snapshot.map_or(Position::default(), |snapshot| snapshot.meta.position);
        if position.index < self.base.index {
            return Err(Damage::Gap);
        }
        if position != self.base {
            self.start_after(position);
        }
        Ok(self)
    }

    /// The entries, and the promises.
    pub(crate) fn into_parts(self) -> (HardState, Vec<Entry>) {
        (self.hard_state, self.entries)
    }

    /// The position at `index`, if the log holds it.
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
