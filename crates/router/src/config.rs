//! What a router process is started with.

use std::net::SocketAddr;
use std::path::PathBuf;

use juniper_protocol::{ClusterKey, ClusterKeyError, PeerIdentity, PeerRole};
use juniper_settings::ApiKeyHash;
use juniper_settings::node_file::{Peer, RouterLimits, RouterSettings};
use juniper_types::{NodeId, ZoneName};

/// Settings of one router process, ready for use.
#[derive(Clone)]
pub struct RouterConfig {
    /// Number of this node.
    pub node: NodeId,
    /// Zone this node runs in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where other daemons connect.
    pub internal: SocketAddr,
    /// Hashes of the operators' keys.
    pub operator_keys: Vec<ApiKeyHash>,
    /// Secret shared by the daemons.
    pub cluster_key: ClusterKey,
    /// Control replicas.
    pub control: Vec<Peer>,
    /// Other routers.
    pub peers: Vec<Peer>,
    /// Folder for the last settings in force; absent on a machine without a disk.
    pub data_folder: Option<PathBuf>,
    /// Bounds.
    pub limits: RouterLimits,
}

impl RouterConfig {
    /// Takes over the checked settings of a node file.
    pub fn from_settings(settings: RouterSettings) -> Result<Self, ClusterKeyError> {
        let common = settings.common;
        Ok(RouterConfig {
            node: common.node,
            zone: common.zone,
            caller: settings.caller,
            operator: settings.operator,
            internal: settings.internal,
            operator_keys: common.operator_keys,
            cluster_key: ClusterKey::from_text(common.cluster_key.as_str())?,
            control: settings.control,
            peers: settings.peers,
            data_folder: common.data_folder,
            limits: settings.limits,
        })
    }

    /// Who this router is to other daemons.
    pub fn identity(&self) -> PeerIdentity {
        PeerIdentity { node: self.node, role: PeerRole::Router, zone: self.zone.clone() }
    }
}
