//! Errors of calls to a replica. A call that fails has not changed the replica.

use juniper_types::NodeId;

use crate::membership::MembershipError;

/// Reason for rejecting a proposal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The replica is not the leader.
    #[error("not the leader")]
    NotLeader {
        /// Node of the leader, if known.
        leader: Option<NodeId>,
    },
    /// Leadership is being transferred to another replica.
    #[error("leadership is being transferred")]
    Transferring,
    /// The uncommitted entries exceed their size limit.
    #[error("too many uncommitted bytes")]
    Overloaded,
    /// The command is larger than `limit` bytes.
    #[error("command exceeds the limit of {limit} bytes")]
    TooLarge {
        /// Maximum size of a command, in bytes.
        limit: usize,
    },
}

/// Reason for rejecting a membership change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipChangeError {
    /// The proposal was rejected.
    #[error(transparent)]
    Propose(#[from] ProposeError),
    /// The change is invalid for the current membership.
    #[error(transparent)]
    Change(#[from] MembershipError),
    /// An earlier change isn't committed yet, or the leader has not committed an entry in its term.
    #[error("an earlier change is not committed yet")]
    Pending,
    /// Too few of the resulting voters are active, the new voter lags behind, or fewer
    /// voters than the target would remain. A standby must be promoted first.
    #[error("the change would leave no live quorum or fewer voters than the target")]
    Unsafe,
    /// The leader can't remove or demote itself. Leadership must be transferred first.
    #[error("the leader can't be removed or demoted; transfer leadership first")]
    IsLeader,
}

/// Reason for rejecting a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// No leader is known to confirm the read.
    #[error("no leader is known")]
    NoLeader,
    /// Too many reads are unanswered.
    #[error("too many reads are waiting for confirmation")]
    Overloaded,
}

/// Reason for rejecting a transfer of leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransferError {
    /// The replica is not the leader.
    #[error("not the leader")]
    NotLeader,
    /// The target node runs no other voter.
    #[error("{0} is not another voter")]
    NotVoter(NodeId),
}

/// Reason for rejecting a snapshot for log compaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompactError {
    /// The index is not applied yet, or not after the end of the latest snapshot.
    #[error("index {0} is not between the snapshot and the applied index")]
    Index(u64),
}
