//! What can be wrong with a settings tree.

use std::net::SocketAddr;

use juniper_types::{EngineId, TenantName, ZoneName};
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::path::SettingsPath;

/// Most nodes in a tree: 31,000 tenants with five services each.
pub const MAX_NODES: usize = 200_000;

/// Largest encoded node, in bytes: 1,300 back ends in one zone.
pub const MAX_NODE_BYTES: usize = 64 << 10;

/// Largest encoded tree, in bytes. A whole tree travels in one frame of the
/// internal protocol, which takes at most 16 MiB.
pub const MAX_TREE_BYTES: usize = 12 << 20;

/// One fault of a tree; a tree with any is never accepted.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Encode,
    Decode,
    thiserror::Error,
)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum TreeFault {
    /// A node stands below a node that the tree doesn't have.
    #[n(0)]
    #[error("{path}: the node above it is missing")]
    ParentMissing {
        /// The node.
        #[n(0)]
        path: SettingsPath,
    },
    /// A value is outside its range.
    #[n(1)]
    #[error("{path}: {field} is {value}, allowed: {allowed}")]
    OutOfRange {
        /// The node.
        #[n(0)]
        path: SettingsPath,
        /// Name of the value.
        #[n(1)]
        field: String,
        /// What it is.
        #[n(2)]
        value: String,
        /// What it may be.
        #[n(3)]
        allowed: String,
    },
    /// A tenant stands in several zones; its home would be ambiguous.
    #[n(2)]
    #[error("tenant {tenant} stands in several zones")]
    TenantInManyZones {
        /// The tenant.
        #[n(0)]
        tenant: TenantName,
        /// Its zones.
        #[n(1)]
        zones: Vec<ZoneName>,
    },
    /// Two back ends have the same number.
    #[n(3)]
    #[error("{id} is used by several back ends")]
    BackEndIdRepeated {
        /// The number.
        #[n(0)]
        id: EngineId,
        /// Where they stand.
        #[n(1)]
        paths: Vec<SettingsPath>,
    },
    /// Two back ends have the same address.
    #[n(4)]
    #[error("address {address} is used by several back ends")]
    BackEndAddressRepeated {
        /// The address.
        #[cbor(n(0), with = "crate::address")]
        address: SocketAddr,
        /// Where they stand.
        #[n(1)]
        paths: Vec<SettingsPath>,
    },
    /// An API key belongs to several tenants, or twice to one.
    #[n(5)]
    #[error("an API key stands in several places")]
    ApiKeyRepeated {
        /// Where it stands. The hash isn't shown.
        #[n(0)]
        paths: Vec<SettingsPath>,
    },
    /// A hash of an API key is malformed.
    #[n(6)]
    #[error("{path}: an API key hash has 64 lower-case hexadecimal digits")]
    ApiKeyMalformed {
        /// The node.
        #[n(0)]
        path: SettingsPath,
    },
    /// Back ends stand on a node that isn't a zone.
    #[n(7)]
    #[error("{path}: back ends are allowed on zones only")]
    BackEndsNotAllowed {
        /// The node.
        #[n(0)]
        path: SettingsPath,
    },
    /// API keys stand on a node that isn't a tenant.
    #[n(8)]
    #[error("{path}: API keys are allowed on tenants only")]
    ApiKeysNotAllowed {
        /// The node.
        #[n(0)]
        path: SettingsPath,
    },
    /// A node is larger than [`MAX_NODE_BYTES`].
    #[n(9)]
    #[error("{path}: the node has {bytes} bytes, at most {MAX_NODE_BYTES} are allowed")]
    NodeTooLarge {
        /// The node.
        #[n(0)]
        path: SettingsPath,
        /// Its encoded size.
        #[n(1)]
        bytes: u64,
    },
    /// The tree has more than [`MAX_NODES`] nodes.
    #[n(10)]
    #[error("the tree has {nodes} nodes, at most {MAX_NODES} are allowed")]
    TooManyNodes {
        /// How many it has.
        #[n(0)]
        nodes: u64,
    },
    /// The tree is larger than [`MAX_TREE_BYTES`].
    #[n(11)]
    #[error("the tree has {bytes} bytes, at most {MAX_TREE_BYTES} are allowed")]
    TreeTooLarge {
        /// Its encoded size.
        #[n(0)]
        bytes: u64,
    },
}
