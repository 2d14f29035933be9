//! What a replica keeps on disk: log entries, promises and snapshots.

use std::sync::Arc;

use minicbor::{Decode, Encode};

use crate::identity::{ClusterEpoch, ReplicaId};
use crate::membership::Membership;

/// Election period; it only grows, and each has at most one leader.
pub type Term = u64;

/// Position in the log; the first entry has index 1, and 0 stands before it.
pub type Index = u64;

/// Highest term or index that is taken from outside, be it a message or a file.
///
/// Guards the arithmetic on such numbers. At a million entries a second a log
/// would take 146,000 years to get there.
pub const MAX_NUMBER: u64 = 1 << 62;

/// A position in the log together with the term of the entry there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Position {
    /// Term of the entry. It comes first so that positions order by how
    /// up-to-date a log ending there is.
    #[n(0)]
    pub term: Term,
    /// Index of the entry.
    #[n(1)]
    pub index: Index,
}

impl Position {
    /// Whether the term and the index can be counted with.
    pub fn is_in_bounds(&self) -> bool {
        self.term.max(self.index) <= MAX_NUMBER
    }
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Payload {
    /// Nothing: the first entry of a new leader, which commits what came before.
    #[n(0)]
    Empty,
    /// A command for the state machine.
    #[n(1)]
    Data(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>),
    /// The whole membership; in force on a replica from the moment it is appended.
    #[n(2)]
    Members(#[n(0)] Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// Term of the leader that made it.
    #[n(0)]
    pub term: Term,
    /// Its place in the log.
    #[n(1)]
    pub index: Index,
    /// What it holds.
    #[n(2)]
    pub payload: Payload,
}

impl Entry {
    /// Term and index.
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }

    /// Approximate size in bytes, for limits.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 64;
        OVERHEAD_BYTES
            + match &self.payload {
                Payload::Empty => 0,
                Payload::Data(data) => data.len(),
                Payload::Members(membership) => membership.members.len() * MEMBER_BYTES,
            }
    }
}

/// A replica's promises. They must be on disk before a message that relies on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct HardState {
    /// The cluster that the replica belongs to.
    #[n(0)]
    pub epoch: ClusterEpoch,
    /// Latest term seen.
    #[n(1)]
    pub term: Term,
    /// Whom the replica voted for in that term.
    #[n(2)]
    pub vote: Option<ReplicaId>,
    /// An index known to be committed. Only a hint: it may lag behind, since a
    /// restarted replica learns the rest from the leader.
    #[n(3)]
    pub commit: Index,
}

/// What a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot includes.
    #[n(0)]
    pub position: Position,
    /// The membership as of that entry.
    #[n(1)]
    pub membership: Membership,
}

/// The state machine as of a committed entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// What it covers.
    pub meta: SnapshotMeta,
    /// The state machine's own encoding of itself.
    pub data: Arc<Vec<u8>>,
}

/// What storage found when it was opened; the state that a replica starts from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Promises made earlier.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// The last entry that is kept, or the end of the snapshot.
    pub fn last(&self) -> Position {
        let snapshot_end =
            || self.snapshot.as_ref().map_or(Position::default(), |s| s.meta.position);
        self.entries.last().map_or_else(snapshot_end, Entry::position)
    }

    /// The latest membership in the log or the snapshot.
    pub fn membership(&self) -> Option<&Membership> {
        let members = |entry: &'_ Entry| matches!(entry.payload, Payload::Members(_));
        match self.entries.iter().rev().find(|entry| members(entry)).map(|entry| &entry.payload) {
            Some(Payload::Members(membership)) => Some(membership),
            _ => self.snapshot.as_ref().map(|snapshot| &snapshot.meta.membership),
        }
    }
}
