//! What a replica wants done.

use juniper_types::NodeId;

use crate::entry::{Entry, HardState, Index, Position, Snapshot, Term};
use crate::identity::{ClusterEpoch, ReplicaId};
use crate::membership::Membership;
use crate::message::Message;

/// One piece of work for storage. There is at most one at a time; whatever
/// gathers meanwhile goes into the next (group commit).
///
/// It must be on disk and synced before [`crate::Replica::persisted`] is called
/// with its number. Messages that rely on it are held back by the replica until then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Number to hand to [`crate::Replica::persisted`].
    pub number: u64,
    /// Promises, if they changed.
    pub hard_state: Option<HardState>,
    /// A snapshot to keep in place of everything that it covers.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; whatever is kept at or after the first one's index is void.
    pub entries: Vec<Entry>,
    /// Where the log ends after this write.
    pub last: Position,
}

/// A read that a quorum confirmed. The state machine, with everything in the
/// same [`Ready`] applied, is at least as new as the moment the read was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// As given to [`crate::Replica::read`].
    pub context: u64,
    /// Index that the read reflects at least.
    pub index: Index,
}

/// What to do next, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Work for storage.
    pub write: Option<Write>,
    /// Messages that may be sent at once. Losing or repeating them is allowed.
    pub messages: Vec<Message>,
    /// Replaces the whole state machine.
    pub installed: Option<Snapshot>,
    /// Entries to apply to the state machine, in order, each exactly once.
    pub committed: Vec<Entry>,
    /// Reads to answer after applying the above.
    pub reads: Vec<ConfirmedRead>,
    /// Reads that can't be confirmed here any more; ask again or elsewhere.
    pub dropped_reads: Vec<u64>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Ready::default()
    }
}

/// What a replica does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows the leader, if there is one; learners are followers too.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Does nothing more; see [`Status::stopped`].
    Stopped,
}

/// Why a replica stopped for good. Its data must be wiped before its node takes part again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StopReason {
    /// A recovery from a lost quorum left this replica out.
    #[error("a recovery of the cluster left this replica out")]
    Fenced,
    /// A leader's log differs from entries that this replica knows as committed,
    /// which can't happen while disks keep what they have synced.
    #[error("the leader's log contradicts committed entries of this replica")]
    Diverged,
}

/// A replica's view of itself and the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub id: ReplicaId,
    /// What it does.
    pub role: Role,
    /// Its epoch.
    pub epoch: ClusterEpoch,
    /// Its term.
    pub term: Term,
    /// The leader it knows of.
    pub leader: Option<ReplicaId>,
    /// Last index known to be committed.
    pub commit: Index,
    /// Last index handed out for applying.
    pub applied: Index,
    /// Last entry in the log, synced or not.
    pub last: Position,
    /// Start of the log: the end of the latest snapshot.
    pub snapshot: Position,
    /// The membership in force on this replica.
    pub membership: Membership,
    /// Set once the replica has stopped for good.
    pub stopped: Option<StopReason>,
}

impl Status {
    /// Whether the replica leads.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Node of the leader it knows of.
    pub fn leader_node(&self) -> Option<NodeId> {
        self.leader.map(|leader| leader.node)
    }
}

/// Where a proposal went. It is committed when the entry at `index` that comes
/// out of [`Ready::committed`] has the same term; with another term, it never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The leader's term.
    pub term: Term,
    /// Place in the log.
    pub index: Index,
}
