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

/// One link to each replica that there was something to send to.
pub struct PeerLinks {
    links: Mutex<BTreeMap<NodeId, Link>>,
    listed: BTreeMap<NodeId, SocketAddr>,
    /// Whether the number of a node that isn't listed is its address.
    addressed: bool,
    key: ClusterKey,
    own: PeerIdentity,
}

impl PeerLinks {
    /// Links to the listed peers and, if numbers are addresses, to any other node.
    /// Each connects when there is something to send.
    pub fn new(
        listed: &[Peer],
        discovery: &PeerDiscovery,
        key: &ClusterKey,
        own: &PeerIdentity,
    ) -> Self {
        PeerLinks {
            links: Mutex::default(),
            listed: listed.iter().map(|peer| (peer.id, peer.address)).collect(),
            addressed: matches!(discovery, PeerDiscovery::Seeded { .. }),
            key: key.clone(),
            own: own.clone(),
        }
    }

    fn link(&self, node: NodeId) -> Option<Link> {
        let mut links = self.links.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(link) = links.get(&node) {
            return Some(link.clone());
        }
        let by_number = || node.address().filter(|_| self.addressed).map(SocketAddr::V4);
        let address = self.listed.get(&node).copied().or_else(by_number)?;
        let (key, own) = (self.key.clone(), self.own.clone());
        let link = Link::spawn(LinkTarget { node, address, key, own });
        links.insert(node, link.clone());
        Some(link)
    }

    /// Sends a message of the agreement, or drops it if the peer takes none at
    /// the moment; the agreement repeats what matters.
    pub fn send(&self, message: &Message) {
        self.send_encoded(message.to, encode(&Frame::Consensus { payload: encode(message) }));
    }

    /// Sends an encoded message that gets no reply, or drops it if the replica takes none at
    /// the moment.
    pub(crate) fn send_encoded(&self, node: NodeId, payload: Vec<u8>) {
        if let Some(link) = self.link(node) {
            link.send(payload);
        }
    }

    /// Calls the replica on `node`.
    ///
    /// # Errors
    /// Fails when there is no reply within `limit`.
    pub async fn call(
        &self,
        node: NodeId,
        request: Request,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        match self.link(node) {
            Some(link) => link.call(request, limit).await,
            None => Err(CallError::Unreachable),
        }
    }

    /// The configured replicas.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.listed.keys().copied()
    }
}
