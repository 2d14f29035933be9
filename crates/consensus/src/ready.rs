//! Outputs of a replica: storage writes, messages, committed entries, reads and status.

use juniper_types::NodeId;

use crate::entry::{Entry, HardState, Index, Position, Snapshot, Term};
use crate::identity::{ClusterEpoch, ReplicaId};
use crate::membership::Membership;
use crate::message::Message;

/// Write for storage. At most one is in flight; changes that accumulate meanwhile are
/// combined in the next one (group commit).
///
/// The driver calls [`crate::Replica::persisted`] with the write's number once the write is
/// synced to disk. Until then, the replica defers messages that depend on the write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Number to pass to [`crate::Replica::persisted`].
    pub number: u64,
    /// Hard state to store, if any.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the entries it covers.
    pub snapshot: Option<Snapshot>,
    /// Entries to append, replacing any stored entries from the first one's index on.
    pub entries: Vec<Entry>,
    /// Last position in the log after this write.
    pub last: Position,
}

/// Read confirmed by a quorum. After the same [`Ready`] is applied, the state machine
/// includes everything committed before the read was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// Context passed to [`crate::Replica::read`].
    pub context: u64,
    /// Minimum index that the read reflects.
    pub index: Index,
}

/// Pending work for the driver, to be processed in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Write for storage.
    pub write: Option<Write>,
    /// Messages to send immediately. Loss and duplication are tolerated.
    pub messages: Vec<Message>,
    /// Snapshot that replaces the state machine.
    pub installed: Option<Snapshot>,
    /// Entries to apply to the state machine, in order, each exactly once.
    pub committed: Vec<Entry>,
    /// Reads to answer after the snapshot and the entries are applied.
    pub reads: Vec<ConfirmedRead>,
    /// Contexts of reads that were abandoned and may be retried.
    pub dropped_reads: Vec<u64>,
}

impl Ready {
    /// Whether there is no pending work.
    pub fn is_empty(&self) -> bool {
        *self == Ready::default()
    }
}

/// Current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows the leader, if there is one. Learners are followers too.
    Follower,
    /// Collects pre-votes.
    PreCandidate,
    /// Collects votes.
    Candidate,
    /// Leads the cluster.
    Leader,
    /// Stopped permanently; see [`Status::stopped`].
    Stopped,
}

/// Reason for a permanent stop. The replica's data must be wiped before the node rejoins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StopReason {
    /// A recovery from a lost quorum excluded this replica.
    #[error("a recovery of the cluster excluded this replica")]
    Fenced,
    /// The leader's log differs from entries that are committed on this replica, which
    /// implies that a disk has lost synced data.
    #[error("the leader's log contradicts committed entries of this replica")]
    Diverged,
}

/// Status of a replica and its view of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Current role.
    pub role: Role,
    /// Epoch of the cluster.
    pub epoch: ClusterEpoch,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// Last index known to be committed.
    pub commit: Index,
    /// Last index returned to the driver for applying.
    pub applied: Index,
    /// Position of the last entry in the log, synced or not.
    pub last: Position,
    /// Last position covered by the latest snapshot.
    pub snapshot: Position,
    /// Membership in force on this replica.
    pub membership: Membership,
    /// Reason for a permanent stop, if stopped.
    pub stopped: Option<StopReason>,
}

impl Status {
    /// Whether the replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Node of the leader, if known.
    pub fn leader_node(&self) -> Option<NodeId> {
        self.leader.map(|leader| leader.node)
    }
}

/// Term and index of a proposed entry. The proposal is committed if the entry at `index`
/// in [`Ready::committed`] has the same term, and lost if that entry has another term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Term of the leader.
    pub term: Term,
    /// Index in the log.
    pub index: Index,
}
