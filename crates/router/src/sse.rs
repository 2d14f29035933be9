//! Server-sent events of an engine's answer, read piece by piece.

use serde::Deserialize;

/// Longest accepted line; a longer one means that the engine is broken.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// Text that ends a stream.
const DONE: &str = "[DONE]";

/// Why an engine's stream can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// A line is longer than [`MAX_LINE_BYTES`].
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A data line is not the JSON of a chunk.
    #[error("a chunk is not valid")]
    MalformedChunk,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A piece of the answer.
    Chunk(Box<Chunk>),
    /// The engine has ended the stream properly.
    Done,
}

/// A piece of the answer with its place in it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Chunk {
    /// Request id that the engine answers.
    pub id: String,
    /// Choices; engines send exactly one.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Usage, on the last chunk.
    #[serde(default)]
    pub usage: Option<serde_json::Value>,
    /// Where the piece stands in the answer.
    pub juniper: Place,
}

/// The choice of a chunk.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Choice {
    /// New text.
    #[serde(default)]
    pub delta: Delta,
    /// Why the answer ended, on the last chunk.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// New text of a chunk.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: Option<String>,
}

/// Where a chunk stands in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Place {
    /// Number of its first output token.
    pub index: u64,
    /// Output tokens in it.
    #[serde(default = "one")]
    pub count: u64,
}

fn one() -> u64 {
    1
}

impl Chunk {
    /// The new text.
    pub fn text(&self) -> &str {
        self.choices.first().and_then(|choice| choice.delta.content.as_deref()).unwrap_or("")
    }

    /// Why the answer ended, on the last chunk.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choices.first().and_then(|choice| choice.finish_reason.as_deref())
    }
}

/// Splits a byte stream into events; holds the unfinished rest.
#[derive(Debug, Default)]
pub struct EventReader {
    rest: Vec<u8>,
}

impl EventReader {
    /// Takes `bytes` and returns the events they complete, in order.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, SseError> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.rest[start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.rest[start..start + length];
            start += length + 1;
            events.extend(parse_line(line)?);
        }
        self.rest.drain(..start);
        if self.rest.len() > MAX_LINE_BYTES {
            return Err(SseError::LineTooLong);
        }
        Ok(events)
    }
}

fn parse_line(line: &[u8]) -> Result<Option<Event>, SseError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(None);
    };
    let data = data.strip_prefix(b" ").unwrap_or(data);
    if data == DONE.as_bytes() {
        return Ok(Some(Event::Done));
    }
    let chunk = serde_json::from_slice(data).map_err(|_| SseError::MalformedChunk)?;
    Ok(Some(Event::Chunk(Box::new(chunk))))
}
