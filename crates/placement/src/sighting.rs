//! What routers tell each other of a request that was sent.

use juniper_registry::InstanceId;
use juniper_types::NodeId;

/// A request that a router has told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ToldRequest {
    /// The router.
    pub router: NodeId,
    /// Names the request among those of the router that are under way.
    pub number: u16,
}

/// A request that was sent to a server, with the parts of its prompt if it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainSighting {
    /// The server.
    pub instance: InstanceId,
    /// Version of its weights.
    pub version: u64,
    /// Names each beginning of the chain.
    pub keys: Vec<u64>,
    /// Tokens of each part of the chain.
    pub part_tokens: Vec<u32>,
    /// Tokens that no other prompt has.
    pub own_tokens: u32,
    /// Tokens that the server had to read or fetch.
    pub tokens: u32,
    /// Tokens among those that it had to read.
    pub read_tokens: u32,
}
