//! Outcome of one request as its caller saw it.

use std::time::Duration;

use serde::Serialize;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A chat completion.
    Chat,
    /// An at-most-once request.
    AtMostOnce,
    /// A listing.
    Listing,
    /// A preview stream.
    Preview,
}

/// Kind of a violated guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// A piece of the answer was received twice.
    Doubled,
    /// A piece of the answer is missing.
    Gap,
    /// The answer ended without an error before the last piece.
    Truncated,
    /// The answer continues after the end marker.
    Overlong,
    /// The answer belongs to another request.
    WrongContent,
    /// The answer carries another request's id.
    WrongId,
    /// The token counts don't match this request.
    WrongUsage,
    /// An at-most-once request was executed more than once.
    RanTwice,
    /// A call was executed although every answer denied the execution.
    FalseRefusal,
    /// A call was answered as executed although no server recorded the execution.
    AnsweredWithoutRunning,
}

/// One violated guarantee with details.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[error("{kind:?}: {detail}")]
pub struct Violation {
    /// Kind of the violation.
    pub kind: ViolationKind,
    /// Details for the report.
    pub detail: String,
}

impl Violation {
    /// Creates a violation of `kind`.
    pub fn new(kind: ViolationKind, detail: impl Into<String>) -> Self {
        Violation { kind, detail: detail.into() }
    }
}

/// Final state of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Completed with the whole answer.
    Complete,
    /// Refused without execution; holds the error code.
    Refused(String),
    /// Failed without a whole answer; holds the reason.
    Failed(String),
    /// At-most-once request whose execution is unknown; holds the reason.
    Unknown(String),
    /// Answered in violation of a guarantee.
    Violated(Violation),
}

/// One finished request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Final state of the request.
    pub ending: Ending,
    /// Time from arrival to the first piece of the answer.
    pub first: Option<Duration>,
    /// Time from arrival to the end.
    pub total: Duration,
    /// Number of attempts.
    pub attempts: u32,
    /// Number of retries that resumed a partial answer.
    pub resumed: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens cached at the first engine.
    pub cached_tokens: u64,
}
