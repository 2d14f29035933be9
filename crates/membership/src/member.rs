//! Members and updates of their state.

use std::net::SocketAddr;

use juniper_types::{Incarnation, NodeId, ZoneName};
use minicbor::{Decode, Encode};

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum MemberRole {
    /// Control replica.
    #[n(0)]
    Control,
    /// Router.
    #[n(1)]
    Router,
}

/// State of a member. The order is that in which a later state overrides an earlier one of the same
/// version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Liveness {
    /// The member answers probes.
    #[n(0)]
    Alive,
    /// The member did not answer and may still refute the suspicion.
    #[n(1)]
    Suspect,
    /// The member did not refute the suspicion in time.
    #[n(2)]
    Dead,
    /// The member announced that it leaves the group.
    #[n(3)]
    Left,
}

/// Member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Member {
    /// Node id.
    #[n(0)]
    pub node: NodeId,
    /// Zone of the member.
    #[n(1)]
    pub zone: ZoneName,
    /// Role of the member.
    #[n(2)]
    pub role: MemberRole,
    /// Address for messages.
    #[cbor(n(3), with = "crate::message::address")]
    pub address: SocketAddr,
    /// Incarnation, drawn at random at each start of the process.
    #[n(4)]
    pub incarnation: Incarnation,
}

/// State of one member, as spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Update {
    /// The member.
    #[n(0)]
    pub member: Member,
    /// Version of the state, incremented only by the member itself to refute what others report.
    #[n(1)]
    pub version: u64,
    /// State of the member.
    #[n(2)]
    pub liveness: Liveness,
}

impl Update {
    /// Whether this update overrides `known`: a higher version does, and the worse state of the
    /// same version.
    pub fn overrides(&self, known: &Update) -> bool {
        (self.version, self.liveness) > (known.version, known.liveness)
    }
}
