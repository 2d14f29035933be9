//! Validation faults and size limits of a settings tree.

use std::net::SocketAddr;

use juniper_types::{EngineId, TenantName, ZoneName};
use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::path::SettingsPath;

/// Maximum number of nodes in a tree. Allows 31,000 tenants with five services each.
pub const MAX_NODES: usize = 200_000;

/// Maximum size of an encoded node, in bytes. Allows 1,300 back ends in one zone.
pub const MAX_NODE_BYTES: usize = 64 << 10;

/// Maximum size of an encoded tree, in bytes. A tree must fit into one frame of the
/// internal protocol, which is limited to 16 MiB.
pub const MAX_TREE_BYTES: usize = 12 << 20;

/// Fault that makes a tree invalid.
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
    /// The parent of a node is missing from the tree.
    #[n(0)]
    #[error("{path}: the node above it is missing")]
    ParentMissing {
        /// Path of the node.
        #[n(0)]
        path: SettingsPath,
    },
    /// A value is outside its allowed range.
    #[n(1)]
    #[error("{path}: {field} is {value}, allowed: {allowed}")]
    OutOfRange {
        /// Path of the node.
        #[n(0)]
        path: SettingsPath,
        /// Name of the setting.
        #[n(1)]
        field: String,
        /// Rejected value.
        #[n(2)]
        value: String,
        /// Allowed range.
        #[n(3)]
        allowed: String,
    },
    /// A tenant is listed in several zones, which makes its home zone ambiguous.
    #[n(2)]
    #[error("tenant {tenant} stands in several zones")]
    TenantInManyZones {
        /// Name of the tenant.
        #[n(0)]
        tenant: TenantName,
        /// Zones that list the tenant.
        #[n(1)]
        zones: Vec<ZoneName>,
    },
    /// Several back ends have the same id.
    #[n(3)]
    #[error("{id} is used by several back ends")]
    BackEndIdRepeated {
        /// Repeated id.
        #[n(0)]
        id: EngineId,
        /// Paths of the nodes that list it.
        #[n(1)]
        paths: Vec<SettingsPath>,
    },
    /// Several back ends have the same address.
    #[n(4)]
    #[error("address {address} is used by several back ends")]
    BackEndAddressRepeated {
        /// Repeated address.
        #[cbor(n(0), with = "crate::address")]
        address: SocketAddr,
        /// Paths of the nodes that list it.
        #[n(1)]
        paths: Vec<SettingsPath>,
    },
    /// An API key is listed by several tenants, or more than once by one tenant.
    #[n(5)]
    #[error("an API key stands in several places")]
    ApiKeyRepeated {
        /// Paths of the nodes that list the key. The hash is omitted.
        #[n(0)]
        paths: Vec<SettingsPath>,
    },
    /// An API key hash is malformed.
    #[n(6)]
    #[error("{path}: an API key hash has 64 lower-case hexadecimal digits")]
    ApiKeyMalformed {
        /// Path of the node.
        #[n(0)]
        path: SettingsPath,
    },
    /// A node that isn't a zone lists back ends.
    #[n(7)]
    #[error("{path}: back ends are allowed on zones only")]
    BackEndsNotAllowed {
        /// Path of the node.
        #[n(0)]
        path: SettingsPath,
    },
    /// A node that isn't a tenant lists API keys.
    #[n(8)]
    #[error("{path}: API keys are allowed on tenants only")]
    ApiKeysNotAllowed {
        /// Path of the node.
        #[n(0)]
        path: SettingsPath,
    },
    /// A node is larger than [`MAX_NODE_BYTES`].
    #[n(9)]
    #[error("{path}: the node has {bytes} bytes, at most {MAX_NODE_BYTES} are allowed")]
    NodeTooLarge {
        /// Path of the node.
        #[n(0)]
        path: SettingsPath,
        /// Encoded size, in bytes.
        #[n(1)]
        bytes: u64,
    },
    /// The tree has more than [`MAX_NODES`] nodes.
    #[n(10)]
    #[error("the tree has {nodes} nodes, at most {MAX_NODES} are allowed")]
    TooManyNodes {
        /// Number of nodes.
        #[n(0)]
        nodes: u64,
    },
    /// The tree is larger than [`MAX_TREE_BYTES`].
    #[n(11)]
    #[error("the tree has {bytes} bytes, at most {MAX_TREE_BYTES} are allowed")]
    TreeTooLarge {
        /// Encoded size, in bytes.
        #[n(0)]
        bytes: u64,
    },
}
