//! Frames: what one sync makes durable, with a checksum and its own place.
//!
//! A frame names the segment and the offset that it was written at. It is
//! written only after everything before it was synced, so a valid frame proves
//! that whatever stands before it in the segment was durable once.

use juniper_consensus::entry::MAX_TERM_OR_INDEX;
use juniper_consensus::{Entry, HardState, Position};
use minicbor::{Decode, Encode};

use crate::codec::{encode, read_u32, read_u64};

const MAGIC: &[u8; 4] = b"JHF1";

/// Magic, length of the body, segment, offset, checksum.
const HEADER_BYTES: usize = 4 + 4 + 8 + 8 + 4;
const CHECKSUM_AT: usize = HEADER_BYTES - 4;

/// Content of a frame. Its parts apply in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub(crate) struct Record {
    /// In the first frame of a segment: the end of the log that the segment
    /// continues. Whatever earlier segments hold beyond is void.
    #[n(0)]
    pub(crate) continues: Option<Position>,
    /// A snapshot that stands for the log up to here.
    #[n(1)]
    pub(crate) snapshot: Option<Position>,
    /// Entries; they replace those with the same or a higher index.
    #[n(2)]
    pub(crate) entries: Vec<Entry>,
    /// The promises.
    #[n(3)]
    pub(crate) hard_state: Option<HardState>,
}

impl Record {
    /// Whether every term and index in the record can be counted with.
    pub(crate) fn is_in_bounds(&self) -> bool {
        let entries = self.entries.iter().map(Entry::position);
        let mut positions = entries.chain(self.continues).chain(self.snapshot);
        let promises = self.hard_state.unwrap_or_default();
        promises.term <= MAX_TERM_OR_INDEX && positions.all(|position| position.is_in_bounds())
    }
}

/// The frame of `record` at a place in a segment.
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

/// The body of the valid frame at `offset`, if there is one.
pub(crate) fn frame_body(segment: u64, content: &[u8], offset: usize) -> Option<&[u8]> {
    let header = content.get(offset..offset.checked_add(HEADER_BYTES)?)?;
    let in_place = &header[..4] == MAGIC
        && read_u64(header, 8) == Some(segment)
        && read_u64(header, 16) == Some(offset as u64);
    if !in_place {
        return None;
    }
    let length = usize::try_from(read_u32(header, 4)?).ok()?;
    let start = offset + HEADER_BYTES;
    let body = content.get(start..start.checked_add(length)?)?;
    let valid = read_u32(header, CHECKSUM_AT) == Some(checksum(&header[..CHECKSUM_AT], body));
    valid.then_some(body)
}

/// Bytes that a frame with this body takes.
pub(crate) fn frame_length(body: &[u8]) -> usize {
    HEADER_BYTES + body.len()
}

/// Whether a valid frame starts anywhere after `offset`.
pub(crate) fn has_frame_after(segment: u64, content: &[u8], offset: usize) -> bool {
    let tail = content.get(offset + 1..).unwrap_or_default();
    let mut starts = tail.windows(MAGIC.len()).enumerate().filter(|(_, bytes)| *bytes == MAGIC);
    starts.any(|(start, _)| frame_body(segment, content, offset + 1 + start).is_some())
}
