//! The request for which a server is chosen.

use std::time::Duration;

use juniper_registry::{InstanceId, SoftwareVersion};

/// A prefix segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifier of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A prompt as a chain of segments. The last segment belongs to this request only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model name.
    pub model: String,
    /// Segments in prompt order.
    pub segments: Vec<PromptSegment>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Maximum number of generated tokens.
    pub output_tokens: u32,
}

impl Prompt {
    /// Segments that other requests may share: all but the last.
    pub fn shared(&self) -> &[PromptSegment] {
        match self.segments.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }

    /// Total tokens of the shared segments.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|segment| segment.tokens).sum()
    }
}

/// A request for which a server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ServerRequest<'a> {
    /// Service name.
    pub service: &'a str,
    /// The prompt, if the service runs a model.
    pub prompt: Option<&'a Prompt>,
    /// Key of the callers that share cached segments with each other.
    pub sharing_key: u64,
    /// Servers that have already failed this request.
    pub excluded: &'a [InstanceId],
    /// Software version that began the stream which the request resumes; only servers of this version
    /// may be chosen. `None` for any version.
    pub software: Option<&'a SoftwareVersion>,
    /// Whether servers with an advertised limit are excluded.
    pub excludes_limited: bool,
    /// Minimum version of the model weights.
    pub min_version: u64,
    /// Latency objective: an answer within this time has its full value.
    pub objective: Duration,
    /// Remaining time until the first output is late.
    pub time_left: Duration,
    /// Priority rank among the requests of the service, 0 for the most urgent.
    pub rank: u8,
    /// Whether the request may be rejected under overload. Set while nothing of it has been sent.
    pub may_be_refused: bool,
    /// Longest gap between events of a stream that still counts as in time; `None` without a
    /// stream.
    pub max_gap: Option<Duration>,
}
