//! What is known of one member, and which of two reports is the newer one.

use std::net::SocketAddr;

use juniper_types::{Incarnation, NodeId, ZoneName};
use minicbor::{Decode, Encode};

/// What a member does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum MemberRole {
    /// Control replica.
    #[n(0)]
    Control,
    /// Router.
    #[n(1)]
    Router,
}

/// Whether a member is up. The order is that in which a later state overrides
/// an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Liveness {
    /// Answers probes.
    #[n(0)]
    Alive,
    /// Did not answer; may still refute.
    #[n(1)]
    Suspect,
    /// Did not refute in time.
    #[n(2)]
    Dead,
    /// Said itself that it leaves.
    #[n(3)]
    Left,
}

/// A member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Member {
    /// Its node number.
    #[n(0)]
    pub node: NodeId,
    /// Its zone.
    #[n(1)]
    pub zone: ZoneName,
    /// Its role.
    #[n(2)]
    pub role: MemberRole,
    /// Where its messages go.
    #[cbor(n(3), with = "crate::message::address")]
    pub address: SocketAddr,
    /// Drawn at each start of the process.
    #[n(4)]
    pub life: Incarnation,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Update {
    /// Who.
    #[n(0)]
    pub member: Member,
    /// Raised by the member alone, to refute what others say of it.
    #[n(1)]
    pub version: u64,
    /// Its state.
    #[n(2)]
    pub liveness: Liveness,
}

impl Update {
    /// Whether this news overrides `known`: a higher version always does; of
    /// the same version, the worse state does.
    pub fn overrides(&self, known: &Update) -> bool {
        (self.version, self.liveness) > (known.version, known.liveness)
    }
}
