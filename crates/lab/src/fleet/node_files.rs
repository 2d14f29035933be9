//! Settings files of the daemons of a fleet.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use juniper_settings::ApiKeyHash;
use juniper_types::ZoneName;

use super::FleetError;

/// API key of a fleet's operators.
pub const OPERATOR_KEY: &str = "lab-operator-key";

/// Cluster key shared by the daemons of a fleet.
const CLUSTER_KEY: &str = "lab-cluster-key-of-this-fleet";

/// Id, zone and address of a daemon, as configured at other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAddress {
    /// Node id.
    pub id: u64,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Address of the internal API.
    pub internal: SocketAddr,
}

/// Addresses of a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlNode {
    /// Id, zone and internal address.
    pub node: NodeAddress,
    /// Address of the operator API.
    pub operator: SocketAddr,
}

/// Addresses of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterNode {
    /// Id, zone and internal address.
    pub node: NodeAddress,
    /// Address of the operator API.
    pub operator: SocketAddr,
    /// Address of the caller API.
    pub caller: SocketAddr,
}

fn common(node: &NodeAddress, folder: &Path) -> String {
    format!(
        "node = {}\nzone = \"{}\"\ndata_folder = \"{}\"\ncluster_key = \"{CLUSTER_KEY}\"\n\
         operator_key_hashes = [\"{}\"]\n",
        node.id,
        node.zone,
        folder.display(),
        ApiKeyHash::of(OPERATOR_KEY).0
    )
}

fn peers(text: &mut String, table: &str, peers: &[NodeAddress], own: u64) {
    for peer in peers.iter().filter(|peer| peer.id != own) {
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "[[{table}]]\nid = {}\nzone = \"{}\"\naddress = \"{}\"\n",
            peer.id, peer.zone, peer.internal
        );
    }
}

/// Writes the settings file of a control replica; all nodes of `group` are voters.
///
/// # Errors
/// Fails when the file can't be written.
pub fn write_control(
    folder: &Path,
    own: &ControlNode,
    group: &[NodeAddress],
) -> Result<PathBuf, FleetError> {
    let data = folder.join(format!("control-{}", own.node.id));
    let mut text = common(&own.node, &data);
    let voters: Vec<u64> = group.iter().map(|node| node.id).collect();
    let _ = write!(
        text,
        "[control]\ninternal = \"{}\"\noperator = \"{}\"\ninitial_voters = {voters:?}\n",
        own.node.internal, own.operator
    );
    peers(&mut text, "control.peers", group, own.node.id);
    write_file(folder.join(format!("control-{}.toml", own.node.id)), &text)
}

/// Writes the settings file of a router.
///
/// # Errors
/// Fails when the file can't be written.
pub fn write_router(
    folder: &Path,
    own: &RouterNode,
    control: &[NodeAddress],
    routers: &[NodeAddress],
) -> Result<PathBuf, FleetError> {
    let data = folder.join(format!("router-{}", own.node.id));
    let mut text = common(&own.node, &data);
    let _ = write!(
        text,
        "[router]\ninternal = \"{}\"\noperator = \"{}\"\ncaller = \"{}\"\n",
        own.node.internal, own.operator, own.caller
    );
    peers(&mut text, "router.control", control, own.node.id);
    peers(&mut text, "router.peers", routers, own.node.id);
    write_file(folder.join(format!("router-{}.toml", own.node.id)), &text)
}

fn write_file(path: PathBuf, text: &str) -> Result<PathBuf, FleetError> {
    match std::fs::write(&path, text) {
        Ok(()) => Ok(path),
        Err(source) => Err(FleetError::File { path, source }),
    }
}
