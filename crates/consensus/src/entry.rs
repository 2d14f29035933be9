//! Persistent state of a replica: log entries, hard state and snapshots.

use std::sync::Arc;

use minicbor::{Decode, Encode};

use crate::identity::{ClusterEpoch, ReplicaId};
use crate::membership::Membership;

/// Election term. Monotonically increasing, with at most one leader per term.
pub type Term = u64;

/// Log index. The first entry has index 1; 0 denotes the position before it.
pub type Index = u64;

/// Highest term or index accepted from a message or a file.
///
/// Prevents overflow in arithmetic on terms and indexes. At a million entries per second a log
/// reaches it after 146,000 years.
pub const MAX_TERM_OR_INDEX: u64 = 1 << 62;

/// Index and term of a log entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Position {
    /// Term of the entry. Declared first so that the derived order compares how
    /// up-to-date logs are that end at these positions.
    #[n(0)]
    pub term: Term,
    /// Index of the entry.
    #[n(1)]
    pub index: Index,
}

impl Position {
    /// Whether the term and the index are at most [`MAX_TERM_OR_INDEX`].
    pub fn is_in_bounds(&self) -> bool {
        self.term.max(self.index) <= MAX_TERM_OR_INDEX
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Payload {
    /// No content. Appended first by a new leader to commit entries of earlier terms.
    #[n(0)]
    Empty,
    /// Command for the state machine.
    #[n(1)]
    Data(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    /// Complete membership. In force on a replica as soon as the entry is appended.
    #[n(2)]
    Membership(#[n(0)] Membership),
}

/// Entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// Term of the leader that created the entry.
    #[n(0)]
    pub term: Term,
    /// Index in the log.
    #[n(1)]
    pub index: Index,
    /// Content of the entry.
    #[n(2)]
    pub payload: Payload,
}

impl Entry {
    /// Term and index of the entry.
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }

    /// Approximate size in bytes, used for limits.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 64;
        OVERHEAD_BYTES
            + match &self.payload {
                Payload::Empty => 0,
                Payload::Data(data) => data.len(),
                Payload::Membership(membership) => membership.members.len() * MEMBER_BYTES,
            }
    }
}

/// Term, vote and commit index of a replica. Must be durable before a message that relies on
/// them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct HardState {
    /// Epoch of the cluster that the replica belongs to.
    #[n(0)]
    pub epoch: ClusterEpoch,
    /// Latest term that the replica has seen.
    #[n(1)]
    pub term: Term,
    /// Replica that received this replica's vote in the term.
    #[n(2)]
    pub vote: Option<ReplicaId>,
    /// Index known to be committed. May lag behind the cluster's commit index, which a
    /// restarted replica learns from the leader.
    #[n(3)]
    pub commit: Index,
}

/// Log position and membership covered by a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotMeta {
    /// Last entry included in the snapshot.
    #[n(0)]
    pub position: Position,
    /// Membership as of that entry.
    #[n(1)]
    pub membership: Membership,
}

/// State machine as of a committed entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Log position and membership covered by the snapshot.
    pub meta: SnapshotMeta,
    /// Encoded state machine.
    pub data: Arc<Vec<u8>>,
}

/// Persistent state read from storage, from which a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// Latest hard state.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Contiguous entries that follow the snapshot.
    pub entries: Vec<Entry>,
}

impl RestoredState {
    /// Position of the last entry, or the end of the snapshot if there are no entries.
    pub fn last(&self) -> Position {
        let snapshot_end =
            || self.snapshot.as_ref().map_or(Position::default(), |s| s.meta.position);
        self.entries.last().map_or_else(snapshot_end, Entry::position)
    }

    /// Latest membership in the log or the snapshot.
    pub fn membership(&self) -> Option<&Membership> {
        let members = |entry: &'_ Entry| matches!(entry.payload, Payload::Membership(_));
        match self.entries.iter().rev().find(|entry| members(entry)).map(|entry| &entry.payload) {
            Some(Payload::Membership(membership)) => Some(membership),
            _ => self.snapshot.as_ref().map(|snapshot| &snapshot.meta.membership),
        }
    }
}
