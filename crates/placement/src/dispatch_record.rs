//! Dispatches that routers report to each other.

use juniper_registry::InstanceId;
use juniper_types::NodeId;

use crate::weights::ModelKey;

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
    /// Model of the prompt; `None` if the server has only one, or in reports of earlier builds.
    pub model: Option<ModelKey>,
    /// Version of the model's weights on the server.
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
