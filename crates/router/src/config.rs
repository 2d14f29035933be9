//! What a router process is started with.

use std::net::SocketAddr;
use std::path::PathBuf;

use juniper_protocol::ClusterKey;
use juniper_types::{NodeId, ZoneName};

/// Another daemon and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its node number.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its internal address.
    pub address: SocketAddr,
}

/// Settings of one router process, already checked.
#[derive(Clone)]
pub struct RouterConfig {
    /// Number of this node.
    pub node: NodeId,
    /// Zone this node runs in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where other daemons connect.
    pub internal_address: SocketAddr,
    /// Hash of the operators' key.
    pub operator_key_hash: String,
    /// Secret shared by the daemons.
    pub cluster_key: ClusterKey,
    /// Control replicas.
    pub control: Vec<Peer>,
    /// Other routers.
    pub routers: Vec<Peer>,
    /// Folder for the last settings in force; absent on a machine without a disk.
    pub data_folder: Option<PathBuf>,
    /// Most requests in flight at once.
    pub max_in_flight: usize,
    /// Longest time that a planned stop waits for requests in flight, in seconds.
    pub drain_seconds: u64,
}
