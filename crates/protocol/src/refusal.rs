//! Reasons for refusing a call between daemons.

use juniper_types::NodeId;
use minicbor::{Decode, Encode};

/// Reason for refusing a call. The call had no effect unless the variant says otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, thiserror::Error)]
pub enum Refusal {
    /// The replica isn't the leader; the caller should retry with `leader`.
    #[n(0)]
    #[error("this replica does not lead")]
    NotLeader {
        /// Current leader, if known.
        #[n(0)]
        leader: Option<NodeId>,
    },
    /// No quorum answered in time; the call isn't known to have taken effect.
    #[n(1)]
    #[error("no quorum")]
    NoQuorum,
    /// The call may have taken effect; a retry with the same identifiers is safe.
    #[n(2)]
    #[error("the outcome is unknown")]
    Unknown,
    /// Too many concurrent calls; the caller should retry after the given time.
    #[n(3)]
    #[error("overloaded, retry after {retry_after_ms} ms")]
    Overloaded {
        /// Time before a retry, in milliseconds.
        #[n(0)]
        retry_after_ms: u64,
    },
    /// The call is not allowed for the peer's role.
    #[n(4)]
    #[error("not allowed for this role")]
    NotAllowed,
}

/// Reason for refusing [`Request::OpenTunnel`](crate::Request::OpenTunnel).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, thiserror::Error)]
pub enum TunnelRefusal {
    /// The router can't connect to the server either.
    #[n(0)]
    #[error("the server is unreachable")]
    ServerUnreachable,
    /// The router opens no tunnels at present: it is stopping, cut off from servers, or doesn't know
    /// the server.
    #[n(1)]
    #[error("no tunnels at present")]
    Unavailable,
}
