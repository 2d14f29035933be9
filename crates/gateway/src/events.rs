//! Whole events of a stream.
//!
//! A server may stop in the middle of an event. Only whole events are passed on,
//! so that a stream can go on with the next one from another server.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is too long to be taken for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the empty line at its end included.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes in and returns the events that are whole now.
    ///
    /// # Errors
    /// Fails when an event doesn't end.
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

    /// Whether the stream stands between two events.
    pub fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Place after the empty line that ends the first event.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (place, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..place];
        if line.is_empty() || line == b"\r" {
            return Some(place + 1);
        }
        line_start = place + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
