//! Links to the other replicas.

mod link;

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_consensus::Message;
use juniper_protocol::message::encode;
use juniper_protocol::{ClusterKey, Message as Frame, PeerIdentity, Reply, Request};
use juniper_settings::node_file::Peer;
use juniper_types::NodeId;

pub use link::CallError;
use link::{Link, LinkTarget};

/// One link to each configured replica.
pub struct PeerLinks(BTreeMap<NodeId, Link>);

impl PeerLinks {
    /// Starts the links; each connects when there is something to send.
    pub fn new(peers: &[Peer], key: &ClusterKey, own: &PeerIdentity) -> Self {
        let start = |peer: &Peer| {
            let (key, own) = (key.clone(), own.clone());
            let target = LinkTarget { node: peer.id, address: peer.address, key, own };
            (peer.id, Link::spawn(target))
        };
        PeerLinks(peers.iter().map(start).collect())
    }

    /// Sends a message of the agreement, or drops it if the peer takes none at
    /// the moment; the agreement repeats what matters.
    pub fn send(&self, message: &Message) {
        if let Some(link) = self.0.get(&message.to) {
            link.send(encode(&Frame::Consensus { payload: encode(message) }));
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
        match self.0.get(&node) {
            Some(link) => link.call(request, limit).await,
            None => Err(CallError::Unreachable),
        }
    }

    /// The configured replicas.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.0.keys().copied()
    }
}
