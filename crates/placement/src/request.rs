//! What a choice is asked about.

use std::time::Duration;

use juniper_registry::InstanceId;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A prompt, by the chain of its parts. The last part is the request's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model that is asked.
    pub model: String,
    /// The parts, in order.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Most tokens generated.
    pub output_tokens: u32,
}

impl Prompt {
    /// The parts that other requests may have too: all but the last.
    pub fn shared(&self) -> &[PromptPart] {
        match self.parts.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }
}

/// A request for which a server is wanted.
#[derive(Clone, Copy, Debug)]
pub struct ServerRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The prompt, if the service runs a model.
    pub prompt: Option<&'a Prompt>,
    /// Names the callers among whom cached parts are shared.
    pub sharing: u64,
    /// Servers that failed this request already.
    pub excluded: &'a [InstanceId],
    /// Whether servers are left out that state what they take from all routers together.
    pub spares_limited: bool,
    /// Least version of the model's weights that may be used.
    pub min_version: u64,
    /// Time within which an answer earns its full worth.
    pub objective: Duration,
    /// Time until the first output is late.
    pub time_left: Duration,
    /// Rank among the requests of the service, 0 for the most urgent.
    pub rank: u8,
    /// Whether it is turned away if too much waits: nothing was sent of it yet.
    pub may_be_refused: bool,
    /// Longest pause within an answer that still earns its full worth, if it is a stream.
    pub max_pause: Option<Duration>,
}
