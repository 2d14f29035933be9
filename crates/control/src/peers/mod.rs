//! Links to the other replicas.

mod link;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use juniper_consensus::Message;
use juniper_protocol::message::encode;
use juniper_protocol::{CallError, ClusterKey, Message as Frame, PeerIdentity, Reply, Request};
use juniper_settings::PeerDiscovery;
use juniper_settings::node_file::Peer;
use juniper_types::NodeId;

use link::{Link, LinkTarget};

/// Links to other replicas, created on first use.
pub struct PeerLinks {
    links: Mutex<BTreeMap<NodeId, Link>>,
    listed: BTreeMap<NodeId, SocketAddr>,
    /// Whether the identifier of a node that isn't listed encodes its address.
    ids_are_addresses: bool,
    key: ClusterKey,
    own: PeerIdentity,
}

impl PeerLinks {
    /// Creates links to the listed peers and, with seeded discovery, to any other node. A link
    /// connects on first use.
    pub fn new(
        listed: &[Peer],
        discovery: &PeerDiscovery,
        key: &ClusterKey,
        own: &PeerIdentity,
    ) -> Self {
        PeerLinks {
            links: Mutex::default(),
            listed: listed.iter().map(|peer| (peer.id, peer.address)).collect(),
            ids_are_addresses: matches!(discovery, PeerDiscovery::Seeded { .. }),
            key: key.clone(),
            own: own.clone(),
        }
    }

    fn link(&self, node: NodeId) -> Option<Link> {
        let mut links = self.links.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(link) = links.get(&node) {
            return Some(link.clone());
        }
        let address_in_id =
            || node.address().filter(|_| self.ids_are_addresses).map(SocketAddr::V4);
        let address = self.listed.get(&node).copied().or_else(address_in_id)?;
        let (key, own) = (self.key.clone(), self.own.clone());
        let link = Link::spawn(LinkTarget { node, address, key, own });
        links.insert(node, link.clone());
        Some(link)
    }

    /// Sends a consensus message. The message is dropped if the peer is unavailable; the consensus
    /// protocol retransmits where needed.
    pub fn send(&self, message: &Message) {
        self.send_encoded(message.to, encode(&Frame::Consensus { payload: encode(message) }));
    }

    /// Sends an encoded message without a reply. The message is dropped if the peer is unavailable.
    pub(crate) fn send_encoded(&self, node: NodeId, payload: Vec<u8>) {
        if let Some(link) = self.link(node) {
            link.send(payload);
        }
    }

    /// Calls the replica on `node`.
    ///
    /// # Errors
    /// Fails if there is no reply within `time_limit`.
    pub async fn call(
        &self,
        node: NodeId,
        request: Request,
        time_limit: Duration,
    ) -> Result<Reply, CallError> {
        match self.link(node) {
            Some(link) => link.call(request, time_limit).await,
            None => Err(CallError::Unreachable),
        }
    }

    /// Identifiers of the configured replicas.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.listed.keys().copied()
    }
}
