//! Reading of log segments, which distinguishes a torn write from damage.

use juniper_consensus::{Index, Snapshot};

use crate::disk::Disk;
use crate::error::{Damage, OpenError};
use crate::frame::{Record, frame_body, frame_length, has_frame_after};
use crate::mark::Mark;
use crate::replay::Replay;

const PREFIX: &str = "segment-";

/// File name of a segment.
pub(crate) fn segment_name(number: u64) -> String {
    format!("{PREFIX}{number:020}")
}

/// Numbers of the segments among `files`, in ascending order.
pub(crate) fn segment_numbers(files: &[String]) -> Vec<u64> {
    let number = |file: &String| file.strip_prefix(PREFIX)?.parse().ok();
    let mut found: Vec<u64> = files.iter().filter_map(number).collect();
    found.sort_unstable();
    found
}

/// Segment with at least one valid frame.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    /// Segment number.
    pub(crate) number: u64,
    /// Highest entry index in the segment.
    pub(crate) highest: Index,
    /// Length of the valid frames, in bytes.
    pub(crate) valid_length: u64,
    /// Length of the file, in bytes.
    file_length: u64,
}

impl Segment {
    /// Whether bytes of an incomplete write follow the valid frames.
    pub(crate) fn is_torn(&self) -> bool {
        self.file_length > self.valid_length
    }
}

/// Result of reading all segments.
pub(crate) struct ReadSegments {
    /// Rebuilt log.
    pub(crate) replay: Replay,
    /// Segments with valid frames, in ascending order.
    pub(crate) segments: Vec<Segment>,
    /// Numbers of segments without a valid frame, left by an incomplete write.
    pub(crate) empty: Vec<u64>,
}

/// Reads every segment.
///
/// An invalid frame is a torn write, to be truncated, if it may never have been synced:
/// the mark is before it and no valid frame or segment follows. Otherwise synced data is
/// damaged.
pub(crate) fn read_segments(
    disk: &mut impl Disk,
    snapshot: Option<&Snapshot>,
    mark: Mark,
) -> Result<ReadSegments, OpenError> {
    let numbers = segment_numbers(&disk.list()?);
    let mut read =
        ReadSegments { replay: Replay::new(snapshot), segments: Vec::new(), empty: Vec::new() };
    let newest = numbers.last().copied().unwrap_or(0);
    if mark.segment > newest {
        return Err(damaged(mark.segment, 0, Damage::Missing));
    }
    for number in numbers {
        let content = disk.read(&segment_name(number))?;
        read.read_segment(number, &content, mark, number == newest)?;
    }
    read.replay = read.replay.finish(snapshot).map_err(|kind| damaged(newest, 0, kind))?;
    Ok(read)
}

fn damaged(segment: u64, offset: u64, kind: Damage) -> OpenError {
    OpenError::Damaged { file: segment_name(segment), offset, kind }
}

impl ReadSegments {
    fn read_segment(
        &mut self,
        number: u64,
        content: &[u8],
        mark: Mark,
        is_newest: bool,
    ) -> Result<(), OpenError> {
        let mut offset = 0;
        let mut highest = 0;
        while let Some(body) = frame_body(number, content, offset) {
            let malformed = |_| damaged(number, offset as u64, Damage::Malformed);
            let record: Record = minicbor::decode(body).map_err(malformed)?;
            highest = record.entries.last().map_or(highest, |entry| highest.max(entry.index));
            let inconsistent = |kind| damaged(number, offset as u64, kind);
            self.replay.apply(record).map_err(inconsistent)?;
            offset += frame_length(body);
        }
        let (valid_length, file_length) = (offset as u64, content.len() as u64);
        check_end(number, content, offset, mark, is_newest)?;
        match valid_length {
            0 => self.empty.push(number),
            _ => self.segments.push(Segment { number, highest, valid_length, file_length }),
        }
        Ok(())
    }
}

/// Checks whether the valid frames may end at `offset` without a loss of synced data.
fn check_end(
    number: u64,
    content: &[u8],
    offset: usize,
    mark: Mark,
    is_newest: bool,
) -> Result<(), OpenError> {
    let at_end = offset == content.len();
    let is_before_mark = number == mark.segment && (offset as u64) < mark.offset;
    if is_before_mark {
        let kind = if at_end { Damage::Missing } else { Damage::Checksum };
        return Err(damaged(number, offset as u64, kind));
    }
    let is_followed = !is_newest || has_frame_after(number, content, offset);
    if !at_end && is_followed {
        return Err(damaged(number, offset as u64, Damage::Checksum));
    }
    Ok(())
}
