//! An open data folder.

use std::collections::VecDeque;

use juniper_consensus::{HardState, Index, Position, ReplicaId, RestoredState, Write};
use juniper_types::NodeId;

use crate::disk::{Disk, DiskError};
use crate::error::{OpenError, StorageError};
use crate::frame::{Record, encode_frame};
use crate::identity::read_identity;
use crate::mark::{MARK_FILE, Mark, MarkWriter, read_mark};
use crate::segments::{ReadSegments, Segment, read_segments, segment_name};
use crate::snapshot;

/// Size beyond which a segment is closed, in bytes.
///
/// A segment is the unit in which old entries are deleted and unproved ones are
/// written again at start; 8 MiB takes well under a second to read.
const SEGMENT_BYTES: u64 = 8 << 20;

/// A closed segment.
#[derive(Clone, Copy, Debug)]
struct ClosedSegment {
    number: u64,
    highest: Index,
}

/// The segment that is written to.
#[derive(Clone, Copy, Debug, Default)]
struct OpenSegment {
    number: u64,
    offset: u64,
    highest: Index,
}

/// The data of one replica. One process at a time has it open.
#[derive(Debug)]
pub struct Storage<D> {
    disk: D,
    id: ReplicaId,
    hard_state: HardState,
    last: Position,
    closed: VecDeque<ClosedSegment>,
    current: OpenSegment,
    marks: MarkWriter,
    mark_is_synced: bool,
    stopped: bool,
}

impl<D: Disk> Storage<D> {
    /// Opens the data folder of `node` and reads what it keeps.
    ///
    /// # Errors
    /// Fails when the folder isn't this node's, is a copy, or has lost something
    /// that was synced. In the last two cases it counts as a lost disk.
    pub fn open(mut disk: D, node: NodeId) -> Result<(Self, RestoredState), OpenError> {
        disk.lock()?;
        let id = read_identity(&mut disk)?;
        if id.node != node {
            return Err(OpenError::WrongNode { found: id.node, expected: node });
        }
        let mark = read_mark(&mut disk)?;
        let snapshot = snapshot::read_latest(&mut disk)?;
        let read = read_segments(&mut disk, snapshot.as_ref(), mark)?;
        let mut storage = Storage {
            disk,
            id,
            hard_state: read.replay.hard_state(),
            last: read.replay.last(),
            closed: VecDeque::new(),
            current: OpenSegment::default(),
            marks: MarkWriter::default(),
            mark_is_synced: false,
            stopped: false,
        };
        storage.start_over(&read, mark)?;
        let (hard_state, entries) = read.replay.into_parts();
        Ok((storage, RestoredState { hard_state, snapshot, entries }))
    }

    /// The replica that the folder belongs to.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Makes everything in `write` durable before it returns.
    ///
    /// # Errors
    /// After an error nothing may be acknowledged any more: what was written may
    /// or may not be durable, and trying again would prove nothing, because the
    /// system may have dropped the unwritten pages. Every later call fails too.
    pub fn save(&mut self, write: &Write) -> Result<(), StorageError> {
        if self.stopped {
            return Err(StorageError::Stopped);
        }
        let saved = self.try_save(write);
        self.stopped = saved.is_err();
        Ok(saved?)
    }

    /// Syncs the mark, so that damage to the last frames is told from a torn write
    /// even after a power cut. Worth calling when nothing was written for a while.
    ///
    /// # Errors
    /// As [`Storage::save`].
    pub fn seal(&mut self) -> Result<(), StorageError> {
        if self.stopped {
            return Err(StorageError::Stopped);
        }
        let sealed = self.sync_mark();
        self.stopped = sealed.is_err();
        Ok(sealed?)
    }

    /// Hands the disk back.
    pub fn into_disk(self) -> D {
        self.disk
    }

    fn try_save(&mut self, write: &Write) -> Result<(), DiskError> {
        if let Some(snapshot) = &write.snapshot {
            snapshot::write_snapshot(&mut self.disk, snapshot)?;
        }
        let snapshot = write.snapshot.as_ref().map(|snapshot| snapshot.meta.position);
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        let record = Record {
            continues: None,
            snapshot,
            entries: write.entries.clone(),
            hard_state: write.hard_state,
        };
        let is_full = self.current.offset >= SEGMENT_BYTES;
        if is_full || snapshot.is_some() {
            self.rotate(record, write.last)?;
        } else {
            self.append(&record, write.last)?;
            self.write_mark()?;
        }
        if let Some(position) = snapshot {
            self.remove_covered(position.index)?;
        }
        Ok(())
    }

    /// Writes one frame and syncs it. Then the log ends at `last`.
    fn append(&mut self, record: &Record, last: Position) -> Result<(), DiskError> {
        let file = segment_name(self.current.number);
        let frame = encode_frame(self.current.number, self.current.offset, record);
        self.disk.write_at(&file, self.current.offset, &frame)?;
        self.disk.sync(&file)?;
        self.current.offset += frame.len() as u64;
        let highest = record.entries.last().map_or(0, |entry| entry.index);
        self.current.highest = self.current.highest.max(highest);
        self.last = last;
        Ok(())
    }

    fn write_mark(&mut self) -> Result<(), DiskError> {
        let mark = Mark { segment: self.current.number, offset: self.current.offset };
        self.mark_is_synced = false;
        self.marks.write(&mut self.disk, mark)
    }

    fn sync_mark(&mut self) -> Result<(), DiskError> {
        if !self.mark_is_synced {
            self.disk.sync(MARK_FILE)?;
            self.mark_is_synced = true;
        }
        Ok(())
    }

    /// Closes the segment and starts the next one with `record`. The mark is synced
    /// first, so that no more than about one segment is ever unproved.
    fn rotate(&mut self, record: Record, last: Position) -> Result<(), DiskError> {
        self.sync_mark()?;
        let OpenSegment { number, highest, .. } = self.current;
        self.closed.push_back(ClosedSegment { number, highest });
        self.start_segment(number + 1, record, last)
    }

    /// Makes a segment whose first frame holds `record`. The mark must not name the
    /// segment before its name is durable.
    fn start_segment(
        &mut self,
        number: u64,
        record: Record,
        last: Position,
    ) -> Result<(), DiskError> {
        self.current = OpenSegment { number, offset: 0, highest: 0 };
        let continues = record.continues.or(Some(self.last));
        let hard_state = Some(self.hard_state);
        self.disk.create(&segment_name(number))?;
        self.append(&Record { continues, hard_state, ..record }, last)?;
        self.disk.sync_folder()?;
        self.write_mark()
    }

    /// Deletes segments, the oldest first, that hold nothing beyond a snapshot.
    fn remove_covered(&mut self, index: Index) -> Result<(), DiskError> {
        snapshot::remove_older(&mut self.disk, index)?;
        let first_kept = self.closed.iter().position(|segment| segment.highest > index);
        let covered = first_kept.unwrap_or(self.closed.len());
        for segment in self.closed.drain(..covered) {
            self.disk.remove(&segment_name(segment.number))?;
        }
        Ok(())
    }

    /// Starts a new segment after the folder was read.
    fn start_over(&mut self, read: &ReadSegments, mark: Mark) -> Result<(), DiskError> {
        self.prove(read, mark)?;
        let newest = read.segments.last().map_or(0, |segment| segment.number);
        let closed = read.segments.iter().map(|segment| {
            let Segment { number, highest, .. } = *segment;
            ClosedSegment { number, highest }
        });
        self.closed.extend(closed);
        let base = read.replay.base();
        let record = Record {
            continues: Some(self.last),
            snapshot: (base.index > 0).then_some(base),
            ..Record::default()
        };
        self.start_segment(newest + 1, record, self.last)?;
        self.sync_mark()?;
        let left_over = read.empty.iter().filter(|number| **number != newest + 1);
        left_over.into_iter().try_for_each(|number| self.disk.remove(&segment_name(*number)))
    }

    /// Makes durable what was read beyond the mark.
    ///
    /// A sync that failed may have left it in the system's cache only, marked as
    /// if it were on the disk. It is written again in its place and synced before
    /// another segment is made: a segment that is followed by one has no torn end.
    fn prove(&mut self, read: &ReadSegments, mark: Mark) -> Result<(), DiskError> {
        for segment in read.segments.iter().filter(|segment| segment.number >= mark.segment) {
            let file = segment_name(segment.number);
            if segment.is_torn() {
                self.disk.truncate(&file, segment.valid)?;
            }
            let proved = if segment.number == mark.segment { mark.offset } else { 0 };
            let content = self.disk.read(&file)?;
            let unproved = usize::try_from(proved).ok().and_then(|start| content.get(start..));
            self.disk.write_at(&file, proved, unproved.unwrap_or_default())?;
            self.disk.sync(&file)?;
        }
        self.disk.sync_folder()
    }
}
