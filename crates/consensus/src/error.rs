//! Why a replica turns a call down. Nothing has changed when it does.

use juniper_types::NodeId;

use crate::membership::MembershipError;

/// Why a proposal was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The replica doesn't lead.
    #[error("not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// Leadership is being handed to another replica.
    #[error("leadership is being transferred")]
    Transferring,
    /// Too much waits for a quorum already.
    #[error("too many uncommitted bytes")]
    Overloaded,
    /// The command is larger than `limit` bytes.
    #[error("a command has at most {limit} bytes")]
    TooLarge {
        /// The limit.
        limit: usize,
    },
}

/// Why a membership change was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembersError {
    /// The proposal itself was turned down.
    #[error(transparent)]
    Propose(#[from] ProposeError),
    /// The change doesn't fit the membership.
    #[error(transparent)]
    Change(#[from] MembershipError),
    /// An earlier change isn't committed yet, or the leader has committed nothing in its term.
    #[error("an earlier change is not committed yet")]
    Pending,
    /// Too few of the resulting voters are heard from, the new voter lags behind, or
    /// fewer voters than the target would be left; promote a standby first.
    #[error("the change would leave no live quorum or fewer voters than the target")]
    Unsafe,
    /// The leader can't take itself out; transfer leadership first.
    #[error("the leader can't be taken out; transfer leadership first")]
    IsLeader,
}

/// Why a read was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// No leader is known that could confirm the read.
    #[error("no leader is known")]
    NoLeader,
    /// Too many reads wait already.
    #[error("too many reads wait for confirmation")]
    Overloaded,
}

/// Why leadership can't be transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransferError {
    /// The replica doesn't lead.
    #[error("not the leader")]
    NotLeader,
    /// The target is not another voter.
    #[error("{0} is not another voter")]
    NotVoter(NodeId),
}

/// Why a snapshot can't stand for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompactError {
    /// The index is not applied yet, or older than the snapshot that stands already.
    #[error("index {0} is not between the snapshot and the applied index")]
    Index(u64),
}
