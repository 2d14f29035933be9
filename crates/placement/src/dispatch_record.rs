//! Dispatches that routers report to each other.

use juniper_registry::InstanceId;
use juniper_types::NodeId;

use crate::cache::stored_segments::is_worth_storing;
use crate::prompt_work::MIN_TRANSFER_TOKENS;

/// Identity of a request that a router has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReportedRequest {
    /// The router that dispatched the request.
    pub router: NodeId,
    /// Number of the request, unique among the router's in-flight requests.
    pub number: u16,
}

/// A request dispatched to a server, with the segments of its prompt if there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchRecord {
    /// Incarnation of the server.
    pub instance: InstanceId,
    /// Version of the server's weights.
    pub version: u64,
    /// Keys of the prompt's shared prefixes, the longest last.
    pub keys: Vec<u64>,
    /// Tokens of each shared segment.
    pub segment_tokens: Vec<u32>,
    /// Prompt tokens after the shared segments.
    pub own_tokens: u32,
    /// Prompt tokens that the server had to compute or fetch.
    pub tokens: u32,
    /// Tokens among those that add to the server's prefill queue.
    pub prefill_tokens: u32,
}

impl DispatchRecord {
    /// Whether the server was probably asked to save the prompt in a store: reports don't state it.
    /// A late request counts as not saved, since its prefill isn't reported.
    pub(crate) fn is_saved(&self) -> bool {
        let shared_tokens = self.segment_tokens.iter().sum();
        shared_tokens >= MIN_TRANSFER_TOKENS
            && is_worth_storing(self.prefill_tokens, self.own_tokens, shared_tokens)
    }
}
