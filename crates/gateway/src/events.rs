//! Splits a server-sent event stream into complete events.
//!
//! A server may stop in the middle of an event. Only complete events are passed on, so that another
//! server can continue the stream with the next one.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Names of the fields of an event.
const FIELDS: [&[u8]; 4] = [b"data", b"id", b"event", b"retry"];

/// Why bytes are no events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event exceeds the maximum size.
    #[error("event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A block of lines has neither a field of an event nor a comment.
    #[error("no event")]
    NoEvent,
}

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Start of the first pending line that isn't known to be complete.
    line_start: usize,
    /// Whether a pending line isn't empty.
    has_line: bool,
}

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of the event's `id` field, if it is a number.
    pub id: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete.
    ///
    /// # Errors
    /// Fails when the pending event exceeds the maximum size, or when a complete block is no event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventError> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.end_of_event() {
            let bytes = self.pending.split_to(end).freeze();
            (self.line_start, self.has_line) = (0, false);
            if !bytes.split(|byte| *byte == b'\n').any(is_field) {
                return Err(EventError::NoEvent);
            }
            let id = event_id(&bytes);
            events.push(Event { bytes, id });
        }
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLong),
            false => Ok(events),
        }
    }

    /// Position after the empty line that ends the first event. Empty lines before an event belong to
    /// it.
    fn end_of_event(&mut self) -> Option<usize> {
        loop {
            let rest = &self.pending[self.line_start..];
            let length = rest.iter().position(|byte| *byte == b'\n')?;
            let line = &rest[..length];
            let is_empty = line.is_empty() || line == b"\r";
            self.line_start += length + 1;
            if is_empty && self.has_line {
                return Some(self.line_start);
            }
            self.has_line |= !is_empty;
        }
    }

    /// Whether no partial event is pending.
    pub fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Whether the line is a comment or a field of an event.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or(line);
    let name = name.strip_suffix(b"\r").unwrap_or(name);
    (name.is_empty() && line.first() == Some(&b':')) || FIELDS.contains(&name)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
