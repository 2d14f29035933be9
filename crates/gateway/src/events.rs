//! Splits a server-sent event stream into complete events.
//!
//! A server may stop in the middle of an event. Only complete events are passed on, so that another
//! server can continue the stream with the next one.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
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
    /// Fails when the pending event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = end_of_event(&self.pending) {
            let bytes = self.pending.split_to(end).freeze();
            let id = event_id(&bytes);
            events.push(Event { bytes, id });
        }
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(events),
        }
    }

    /// Whether no partial event is pending.
    pub fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Position after the empty line that ends the first event.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
