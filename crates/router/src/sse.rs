//! Incremental parser of the server-sent events of an engine's answer.

use serde::Deserialize;

/// Longest accepted line, in bytes.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// Error in an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SseError {
    /// A line is longer than [`MAX_LINE_BYTES`].
    #[error("a line is longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A data line is not the JSON of a chunk.
    #[error("a chunk is not valid")]
    MalformedChunk,
}

/// A parsed event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A chunk of the answer.
    Chunk(Box<Chunk>),
    /// The end of the stream.
    Done,
}

/// A chunk of the answer with its position.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Chunk {
    /// Id of the request that the engine answers.
    pub id: String,
    /// Choices, of which engines send exactly one.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Token usage, set on the last chunk.
    #[serde(default)]
    pub usage: Option<serde_json::Value>,
    /// Position in the answer.
    pub juniper: Position,
}

/// A choice of a chunk.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Choice {
    /// Text added by the chunk.
    #[serde(default)]
    pub delta: Delta,
    /// Reason for the end of the answer, set on the last chunk.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Text added by a chunk.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Delta {
    /// Text.
    #[serde(default)]
    pub content: Option<String>,
}

/// Position of a chunk in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Position {
    /// Index of the first output token.
    pub index: u64,
    /// Number of output tokens.
    #[serde(default = "one")]
    pub count: u64,
}

fn one() -> u64 {
    1
}

impl Chunk {
    /// Returns the text added by the chunk.
    pub fn text(&self) -> &str {
        self.choices.first().and_then(|choice| choice.delta.content.as_deref()).unwrap_or("")
    }

    /// Returns the reason for the end of the answer if this is the last chunk.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choices.first().and_then(|choice| choice.finish_reason.as_deref())
    }
}

/// Splits a byte stream into events and buffers an incomplete line.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Appends `bytes` to the buffer and returns the completed events in order.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, SseError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buffer[start..start + length];
            start += length + 1;
            events.extend(parse_line(line)?);
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_LINE_BYTES {
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
