//! Configuration of a router process.

use std::net::SocketAddr;
use std::path::PathBuf;

use juniper_protocol::{ClusterKey, ClusterKeyError, PeerIdentity, PeerRole};
use juniper_settings::ApiKeyHash;
use juniper_settings::node_file::{Peer, RouterLimits, RouterSettings};
use juniper_types::{NodeId, ZoneName};

/// Validated configuration of one router process.
#[derive(Clone)]
pub struct RouterConfig {
    /// Id of this node.
    pub node: NodeId,
    /// Zone of this node.
    pub zone: ZoneName,
    /// Listen address of the caller API.
    pub caller: SocketAddr,
    /// Listen address of the operator API.
    pub operator: SocketAddr,
    /// Listen address of the internal API and of gossip (UDP).
    pub internal: SocketAddr,
    /// Hashes of the operator keys.
    pub operator_keys: Vec<ApiKeyHash>,
    /// Secret shared by the daemons.
    pub cluster_key: ClusterKey,
    /// Control replicas.
    pub control: Vec<Peer>,
    /// Other routers.
    pub peers: Vec<Peer>,
    /// Folder of the settings file; absent on a machine without a disk.
    pub data_folder: Option<PathBuf>,
    /// Resource limits.
    pub limits: RouterLimits,
}

impl RouterConfig {
    /// Converts the validated settings of a node file.
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

    /// Returns the identity that this router presents to other daemons.
    pub fn identity(&self) -> PeerIdentity {
        PeerIdentity {
            node: self.node,
            role: PeerRole::Router,
            zone: self.zone.clone(),
            incarnation: None,
        }
    }
}
