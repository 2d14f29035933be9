//! Reads the segments of the log and tells a torn tail from damage.

use juniper_consensus::{Index, Snapshot};

use crate::disk::Disk;
use crate::error::{Damage, OpenError};
use crate::frame::{Record, frame_body, frame_length, has_frame_after};
use crate::mark::Mark;
use crate::replay::Replay;

const PREFIX: &str = "segment-";

/// Name of a segment's file.
pub(crate) fn segment_name(number: u64) -> String {
    format!("{PREFIX}{number:020}")
}

/// Numbers of the segments among `files`, in order.
pub(crate) fn segment_numbers(files: &[String]) -> Vec<u64> {
    let number = |file: &String| file.strip_prefix(PREFIX)?.parse().ok();
    let mut found: Vec<u64> = files.iter().filter_map(number).collect();
    found.sort_unstable();
    found
}

/// A segment that holds valid frames.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    /// Its number.
    pub(crate) number: u64,
    /// Highest index of an entry in it.
    pub(crate) highest: Index,
    /// Bytes of valid frames.
    pub(crate) valid: u64,
    /// Bytes in the file.
    length: u64,
}

impl Segment {
    /// Whether bytes of an unfinished write follow the valid frames.
    pub(crate) fn is_torn(&self) -> bool {
        self.length > self.valid
    }
}

/// All segments, read.
pub(crate) struct ReadSegments {
    /// The log.
    pub(crate) replay: Replay,
    /// Segments with content, in order.
    pub(crate) segments: Vec<Segment>,
    /// Files that an unfinished write left without content.
    pub(crate) empty: Vec<u64>,
}

/// Reads every segment.
///
/// A bad frame is a torn write, to be cut, if nothing shows that it was synced
/// before: the mark doesn't reach it, and no valid frame or segment follows.
/// Otherwise synced data is damaged.
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
            let gap = |kind| damaged(number, offset as u64, kind);
            self.replay.apply(record).map_err(gap)?;
            offset += frame_length(body);
        }
        let (valid, length) = (offset as u64, content.len() as u64);
        check_end(number, content, offset, mark, is_newest)?;
        match valid {
            0 => self.empty.push(number),
            _ => self.segments.push(Segment { number, highest, valid, length }),
        }
        Ok(())
    }
}

/// Decides what the end of the valid frames at `offset` means.
fn check_end(
    number: u64,
    content: &[u8],
    offset: usize,
    mark: Mark,
    is_newest: bool,
) -> Result<(), OpenError> {
    let at_end = offset == content.len();
    let proved = number == mark.segment && (offset as u64) < mark.offset;
    if proved {
        let kind = if at_end { Damage::Missing } else { Damage::Checksum };
        return Err(damaged(number, offset as u64, kind));
    }
    let followed = !is_newest || has_frame_after(number, content, offset);
    if !at_end && followed {
        return Err(damaged(number, offset as u64, Damage::Checksum));
    }
    Ok(())
}
