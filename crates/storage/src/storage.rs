//! Open data folder of a replica.

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

/// Size at which a segment is closed, in bytes.
///
/// Old entries are deleted in units of segments. The bound also limits how much is
/// written again at start, when entries after the mark are rewritten; 8 MiB are read in
/// well under a second.
const SEGMENT_BYTES: u64 = 8 << 20;

/// Segment that is no longer written to.
#[derive(Clone, Copy, Debug)]
struct ClosedSegment {
    number: u64,
    highest: Index,
}

/// Segment that new frames are appended to.
#[derive(Clone, Copy, Debug, Default)]
struct OpenSegment {
    number: u64,
    offset: u64,
    highest: Index,
}

/// Durable data of one replica, which only one process can have open at a time.
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
    /// Opens the data folder of `node` and reads its state.
    ///
    /// # Errors
    /// Fails when the folder belongs to another node, is a copy, or has lost synced
    /// data. In the last two cases it must be treated as a lost disk.
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
        storage.resume(&read, mark)?;
        let (hard_state, entries) = read.replay.into_parts();
        Ok((storage, RestoredState { hard_state, snapshot, entries }))
    }

    /// Replica that the folder belongs to.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Saves `write` and returns once all of it is durable.
    ///
    /// # Errors
    /// After an error nothing may be acknowledged: the data may or may not be durable,
    /// and a successful retry wouldn't show that it is, because the operating system may
    /// have dropped the dirty pages. All later calls fail too.
    pub fn save(&mut self, write: &Write) -> Result<(), StorageError> {
        if self.stopped {
            return Err(StorageError::Stopped);
        }
        let saved = self.try_save(write);
        self.stopped = saved.is_err();
        Ok(saved?)
    }

    /// Syncs the mark, so that damage to the last frames can be distinguished from a torn
    /// write even after a power failure. Meant to be called when the log is idle.
    ///
    /// # Errors
    /// As [`Storage::save`].
    pub fn sync_mark(&mut self) -> Result<(), StorageError> {
        if self.stopped {
            return Err(StorageError::Stopped);
        }
        let synced = self.try_sync_mark();
        self.stopped = synced.is_err();
        Ok(synced?)
    }

    /// Returns the disk.
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

    /// Appends and syncs one frame, after which the log ends at `last`.
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

    fn try_sync_mark(&mut self) -> Result<(), DiskError> {
        if !self.mark_is_synced {
            self.disk.sync(MARK_FILE)?;
            self.mark_is_synced = true;
        }
        Ok(())
    }

    /// Closes the segment and starts the next one with `record`. The mark is synced
    /// first, so that at most about one segment lies after the durable mark.
    fn rotate(&mut self, record: Record, last: Position) -> Result<(), DiskError> {
        self.try_sync_mark()?;
        let OpenSegment { number, highest, .. } = self.current;
        self.closed.push_back(ClosedSegment { number, highest });
        self.start_segment(number + 1, record, last)
    }

    /// Creates a segment whose first frame holds `record`. The mark is written last: the
    /// segment's file name must be durable before the mark refers to it.
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

    /// Removes snapshots and closed segments that a snapshot up to `index` covers, the
    /// oldest first.
    fn remove_covered(&mut self, index: Index) -> Result<(), DiskError> {
        snapshot::remove_older(&mut self.disk, index)?;
        let first_retained = self.closed.iter().position(|segment| segment.highest > index);
        let covered = first_retained.unwrap_or(self.closed.len());
        for segment in self.closed.drain(..covered) {
            self.disk.remove(&segment_name(segment.number))?;
        }
        Ok(())
    }

    /// Starts a new segment after the folder was read and removes empty ones.
    fn resume(&mut self, read: &ReadSegments, mark: Mark) -> Result<(), DiskError> {
        self.rewrite_after_mark(read, mark)?;
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
        self.try_sync_mark()?;
        let leftover = read.empty.iter().filter(|number| **number != newest + 1);
        leftover.into_iter().try_for_each(|number| self.disk.remove(&segment_name(*number)))
    }

    /// Rewrites and syncs the data that was read after the mark.
    ///
    /// After a failed sync, such data may be only in the page cache, as clean pages that
    /// a further sync wouldn't write. This must be done before a new segment is created,
    /// because only the newest segment may have a torn end.
    fn rewrite_after_mark(&mut self, read: &ReadSegments, mark: Mark) -> Result<(), DiskError> {
        for segment in read.segments.iter().filter(|segment| segment.number >= mark.segment) {
            let file = segment_name(segment.number);
            if segment.is_torn() {
                self.disk.truncate(&file, segment.valid_length)?;
            }
            let synced_length = if segment.number == mark.segment { mark.offset } else { 0 };
            let content = self.disk.read(&file)?;
            let unconfirmed =
                usize::try_from(synced_length).ok().and_then(|start| content.get(start..));
            self.disk.write_at(&file, synced_length, unconfirmed.unwrap_or_default())?;
            self.disk.sync(&file)?;
        }
        self.disk.sync_folder()
    }
}
