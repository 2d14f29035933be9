//! Encoding of frames, the units in which the log is written and synced.
//!
//! A frame holds a checksum and the segment and offset that it was written at. A
//! frame is written only after all earlier data was synced, so a valid frame
//! implies that everything before it in the segment was durable.

use juniper_consensus::entry::MAX_TERM_OR_INDEX;
use juniper_consensus::{Entry, HardState, Position};
use minicbor::{Decode, Encode};

use crate::codec::{encode, read_u32, read_u64};

const MAGIC: &[u8; 4] = b"JHF1";

/// Magic bytes, body length, segment, offset and checksum.
const HEADER_BYTES: usize = 4 + 4 + 8 + 8 + 4;
const CHECKSUM_OFFSET: usize = HEADER_BYTES - 4;

/// Content of a frame. Fields are applied in the order of declaration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub(crate) struct Record {
    /// End of the log that a segment continues, set in its first frame. Entries of
    /// earlier segments after this position are discarded.
    #[n(0)]
    pub(crate) continues: Option<Position>,
    /// End of a snapshot that replaces the log up to this position.
    #[n(1)]
    pub(crate) snapshot: Option<Position>,
    /// Entries, which replace existing ones with the same or a higher index.
    #[n(2)]
    pub(crate) entries: Vec<Entry>,
    /// Hard state (epoch, term, vote and commit index).
    #[n(3)]
    pub(crate) hard_state: Option<HardState>,
}

impl Record {
    /// Whether every term and index is low enough for arithmetic without overflow.
    pub(crate) fn is_in_bounds(&self) -> bool {
        let entries = self.entries.iter().map(Entry::position);
        let mut positions = entries.chain(self.continues).chain(self.snapshot);
        let hard_state = self.hard_state.unwrap_or_default();
        hard_state.term <= MAX_TERM_OR_INDEX && positions.all(|position| position.is_in_bounds())
    }
}

/// Encodes the frame of `record` at `offset` in a segment.
pub(crate) fn encode_frame(segment: u64, offset: u64, record: &Record) -> Vec<u8> {
    let body = encode(record);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(MAGIC);
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&segment.to_be_bytes());
    frame.extend_from_slice(&offset.to_be_bytes());
    let checksum = checksum(&frame, &body);
    frame.extend_from_slice(&checksum.to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(body);
    hasher.finalize()
}

/// Returns the body of the frame at `offset`, or `None` if no valid frame starts there.
pub(crate) fn frame_body(segment: u64, content: &[u8], offset: usize) -> Option<&[u8]> {
    let header = content.get(offset..offset.checked_add(HEADER_BYTES)?)?;
    let matches_location = &header[..4] == MAGIC
        && read_u64(header, 8) == Some(segment)
        && read_u64(header, 16) == Some(offset as u64);
    if !matches_location {
        return None;
    }
    let length = usize::try_from(read_u32(header, 4)?).ok()?;
    let start = offset + HEADER_BYTES;
    let body = content.get(start..start.checked_add(length)?)?;
    let valid =
        read_u32(header, CHECKSUM_OFFSET) == Some(checksum(&header[..CHECKSUM_OFFSET], body));
    valid.then_some(body)
}

/// Length of a frame with this body, in bytes.
pub(crate) fn frame_length(body: &[u8]) -> usize {
    HEADER_BYTES + body.len()
}

/// Whether a valid frame starts anywhere after `offset`.
pub(crate) fn has_frame_after(segment: u64, content: &[u8], offset: usize) -> bool {
    let tail = content.get(offset + 1..).unwrap_or_default();
    let mut starts = tail.windows(MAGIC.len()).enumerate().filter(|(_, bytes)| *bytes == MAGIC);
    starts.any(|(start, _)| frame_body(segment, content, offset + 1 + start).is_some())
}
