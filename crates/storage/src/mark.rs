//! Mark of the position up to which the log is known to have been synced.
//!
//! The mark is written after each sync of the log, without being synced, to two
//! slots in turn. Log data before a mark was durable; data after it may not have
//! been. Each slot has its own disk sector, which disks write atomically.

use crate::codec::{read_u32, read_u64};
use crate::disk::{Disk, DiskError};

/// Name of the file that holds the mark.
pub(crate) const MARK_FILE: &str = "synced";

const SLOT_BYTES: u64 = 512;
const RECORD_BYTES: usize = 8 + 8 + 4;

/// Position in the log before which all data is durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Mark {
    /// Segment number.
    pub(crate) segment: u64,
    /// Offset in the segment, in bytes.
    pub(crate) offset: u64,
}

impl Mark {
    fn encode(self) -> Vec<u8> {
        let mut record = Vec::with_capacity(RECORD_BYTES);
        record.extend_from_slice(&self.segment.to_be_bytes());
        record.extend_from_slice(&self.offset.to_be_bytes());
        let checksum = crc32fast::hash(&record);
        record.extend_from_slice(&checksum.to_be_bytes());
        record
    }

    fn decode(slot: &[u8]) -> Option<Mark> {
        let fields = slot.get(..RECORD_BYTES - 4)?;
        let valid = read_u32(slot, RECORD_BYTES - 4) == Some(crc32fast::hash(fields));
        let mark = Mark { segment: read_u64(slot, 0)?, offset: read_u64(slot, 8)? };
        valid.then_some(mark)
    }
}

/// Writer of marks that alternates between the two slots.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MarkWriter {
    writes: u64,
}

impl MarkWriter {
    /// Creates the file with two empty slots and syncs its content, but not the folder.
    pub(crate) fn create(disk: &mut impl Disk) -> Result<(), DiskError> {
        disk.create(MARK_FILE)?;
        disk.write_at(MARK_FILE, 0, &[0; 2 * SLOT_BYTES as usize])?;
        disk.sync(MARK_FILE)
    }

    /// Writes `mark` without a sync.
    pub(crate) fn write(&mut self, disk: &mut impl Disk, mark: Mark) -> Result<(), DiskError> {
        self.writes += 1;
        let slot = self.writes % 2 * SLOT_BYTES;
        disk.write_at(MARK_FILE, slot, &mark.encode())
    }
}

/// Reads the latest valid mark. Without one, no data is taken as synced, which is safe.
pub(crate) fn read_mark(disk: &mut impl Disk) -> Result<Mark, DiskError> {
    let content = disk.read(MARK_FILE)?;
    let slots = content.chunks(SLOT_BYTES as usize).filter_map(Mark::decode);
    Ok(slots.max().unwrap_or_default())
}
