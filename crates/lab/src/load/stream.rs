//! Checks a streamed answer piece by piece.
//!
//! The parser is deliberately independent of the router's, so that a parser bug
//! can't hide itself from the check.

use juniper_emulators::content::GeneratedText;
use juniper_emulators::http::chat::{Chunk, Usage};
use juniper_types::TOKEN_BYTES;
use serde::Deserialize;

use super::outcome::{Violation, ViolationKind};

/// Longest line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Data of the event that ends a stream.
const DONE_DATA: &str = "[DONE]";

/// Malformed stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A line is longer than `MAX_LINE_BYTES`.
    #[error("a line is too long")]
    LineTooLong,
    /// An event doesn't hold the expected JSON.
    #[error("an event is malformed")]
    Malformed,
}

/// One event of a stream.
#[derive(Clone, Debug)]
pub enum StreamEvent {
    /// A piece of the answer.
    Chunk(Box<Chunk>),
    /// The router can't complete the answer.
    Error(ErrorDetail),
    /// The answer is complete.
    Done,
}

/// Error details in a router's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ErrorDetail {
    /// Stable error code.
    pub code: String,
    /// Whether the router guarantees that the request wasn't executed.
    pub not_run: bool,
    /// Delay before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Body of an error answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Splits bytes into events; memory is bounded by `MAX_LINE_BYTES` and one piece.
#[derive(Debug, Default)]
pub struct StreamReader {
    buffer: Vec<u8>,
    is_error: bool,
}

impl StreamReader {
    /// Appends `bytes` and returns the events completed by them.
    ///
    /// # Errors
    /// Fails when a line is too long or an event is malformed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, StreamError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|byte| *byte == b'\n') {
            let line = self.buffer[start..start + length].to_vec();
            start += length + 1;
            events.extend(self.line(&line)?);
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(StreamError::LineTooLong);
        }
        Ok(events)
    }

    fn line(&mut self, line: &[u8]) -> Result<Option<StreamEvent>, StreamError> {
        let line = std::str::from_utf8(line).map_err(|_| StreamError::Malformed)?.trim_end();
        if line.is_empty() {
            self.is_error = false;
        }
        if let Some(name) = line.strip_prefix("event:") {
            self.is_error = name.trim() == "error";
        }
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            return Ok(None);
        };
        if data == DONE_DATA {
            return Ok(Some(StreamEvent::Done));
        }
        if self.is_error {
            let body: ErrorBody = serde_json::from_str(data).map_err(|_| StreamError::Malformed)?;
            return Ok(Some(StreamEvent::Error(body.error)));
        }
        let chunk = serde_json::from_str(data).map_err(|_| StreamError::Malformed)?;
        Ok(Some(StreamEvent::Chunk(chunk)))
    }
}

/// Expected answer to one chat.
#[derive(Clone, Debug)]
pub struct Expected {
    /// Id that every piece must carry.
    pub id: String,
    /// Acceptable texts, one for each weights version.
    pub texts: Vec<GeneratedText>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of answer tokens.
    pub output_tokens: u32,
}

/// Incremental check of one answer, possibly over several connections.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    expected: Expected,
    next: u32,
    finished: bool,
}

impl AnswerCheck {
    /// Creates a check before the first piece.
    pub fn new(expected: Expected) -> Self {
        AnswerCheck { expected, next: 0, finished: false }
    }

    /// Index of the next missing token.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Prepares for a new connection with the request id `id`, which continues at
    /// the next missing token.
    pub fn resume(&mut self, id: String) {
        self.expected.id = id;
        self.finished = false;
    }

    /// Checks one piece.
    ///
    /// # Errors
    /// Fails when the piece is out of place or has wrong content.
    pub fn push(&mut self, chunk: &Chunk) -> Result<(), Violation> {
        if chunk.id != self.expected.id {
            let detail = format!("wanted={} got={}", self.expected.id, chunk.id);
            return Err(Violation::new(ViolationKind::WrongId, detail));
        }
        let choice = chunk.choices.first();
        let text = choice.and_then(|choice| choice.delta.content.as_deref()).unwrap_or("");
        self.check_index(chunk.juniper.index, text)?;
        self.check_text(text)?;
        if choice.is_some_and(|choice| choice.finish_reason.is_some()) {
            self.finish(chunk.usage)?;
        }
        Ok(())
    }

    fn check_index(&self, index: u32, text: &str) -> Result<(), Violation> {
        let detail = || format!("id={} wanted={} got={index}", self.expected.id, self.next);
        if self.finished {
            return Err(Violation::new(ViolationKind::Overlong, detail()));
        }
        if index > self.next {
            return Err(Violation::new(ViolationKind::Gap, detail()));
        }
        if index < self.next && !text.is_empty() {
            return Err(Violation::new(ViolationKind::Doubled, detail()));
        }
        Ok(())
    }

    fn check_text(&mut self, text: &str) -> Result<(), Violation> {
        let tokens = text.len().div_ceil(TOKEN_BYTES as usize);
        let end = self.next.saturating_add(u32::try_from(tokens).unwrap_or(u32::MAX));
        let id = &self.expected.id;
        if end > self.expected.output_tokens {
            let detail = format!("id={id} tokens={end} wanted={}", self.expected.output_tokens);
            return Err(Violation::new(ViolationKind::Overlong, detail));
        }
        let next = self.next;
        let kept = |candidate: &GeneratedText| candidate.range(next, end) == text;
        if !self.expected.texts.iter().any(kept) {
            let detail = format!("id={id} at={next} got={text:?}");
            return Err(Violation::new(ViolationKind::WrongContent, detail));
        }
        // The rest of the answer must come from the same weights version.
        self.expected.texts.retain(kept);
        self.next = end;
        Ok(())
    }

    fn finish(&mut self, usage: Option<Usage>) -> Result<(), Violation> {
        self.finished = true;
        let id = &self.expected.id;
        let Some(usage) = usage else {
            let detail = format!("id={id} usage is absent");
            return Err(Violation::new(ViolationKind::WrongUsage, detail));
        };
        let wanted = (self.expected.prompt_tokens, self.expected.output_tokens);
        if (usage.prompt_tokens, usage.completion_tokens) != wanted {
            let detail = format!("id={id} wanted={wanted:?} got={usage:?}");
            return Err(Violation::new(ViolationKind::WrongUsage, detail));
        }
        Ok(())
    }

    /// Checks completeness at the end marker of the stream.
    ///
    /// # Errors
    /// Fails when the answer is incomplete.
    pub fn done(&self) -> Result<(), Violation> {
        if self.finished && self.next == self.expected.output_tokens {
            return Ok(());
        }
        let Expected { id, output_tokens, .. } = &self.expected;
        let detail = format!(
            "id={id} tokens={} wanted={output_tokens} finished={}",
            self.next, self.finished
        );
        Err(Violation::new(ViolationKind::Truncated, detail))
    }

    /// Checks an unstreamed answer.
    ///
    /// # Errors
    /// Fails when the answer doesn't match the request.
    pub fn whole(&mut self, id: &str, text: &str, usage: Option<Usage>) -> Result<(), Violation> {
        if id != self.expected.id {
            let detail = format!("wanted={} got={id}", self.expected.id);
            return Err(Violation::new(ViolationKind::WrongId, detail));
        }
        self.check_text(text)?;
        self.finish(usage)?;
        self.done()
    }
}
