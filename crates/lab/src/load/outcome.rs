//! What became of one request, as its caller saw it.

use std::time::Duration;

use serde::Serialize;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A chat completion.
    Chat,
    /// A call that runs at most once.
    AtMostOnce,
    /// A listing.
    Listing,
    /// A preview stream.
    Preview,
}

/// An answer that must never be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// A piece of the answer came twice.
    Doubled,
    /// A piece of the answer is missing.
    Gap,
    /// The answer ended properly before its last piece.
    Truncated,
    /// The answer goes on after its end.
    Overlong,
    /// The answer is not the one to this request.
    WrongContent,
    /// The answer carries another request's id.
    WrongId,
    /// The counts of tokens are not those of this request.
    WrongUsage,
    /// A call that runs at most once ran again.
    RanTwice,
    /// A call ran although every answer to it said that it did not.
    FalseRefusal,
    /// A call was answered as done although no server ran it.
    AnsweredWithoutRunning,
}

/// One broken promise, with what was seen.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[error("{kind:?}: {detail}")]
pub struct Violation {
    /// Which promise.
    pub kind: ViolationKind,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    /// A violation of `kind`.
    pub fn new(kind: ViolationKind, detail: impl Into<String>) -> Self {
        Violation { kind, detail: detail.into() }
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With its whole answer.
    Complete,
    /// With an answer that says that nothing ran; its code.
    Refused(String),
    /// Without a whole answer; why.
    Failed(String),
    /// A call that runs at most once may have run; why that isn't known.
    Unknown(String),
    /// With an answer that must never be given.
    Violated(Violation),
}

/// One request that has ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its kind.
    pub kind: RequestKind,
    /// How it ended.
    pub ending: Ending,
    /// From arrival to the first piece of the answer.
    pub first: Option<Duration>,
    /// From arrival to the end.
    pub total: Duration,
    /// Times that the caller asked.
    pub attempts: u32,
    /// Times that the caller went on in the middle of an answer.
    pub resumed: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that the first engine found in its cache.
    pub cached_tokens: u64,
}
