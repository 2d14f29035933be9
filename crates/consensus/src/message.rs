//! Messages between replicas.

use juniper_types::{NodeId, ZoneName};
use minicbor::{Decode, Encode};

use crate::entry::{Entry, Index, MAX_NUMBER, Position, SnapshotMeta, Term};
use crate::identity::{ClusterEpoch, DiskIdentity, ReplicaId};

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Message {
    /// The sender, disk included.
    #[n(0)]
    pub from: ReplicaId,
    /// The node to deliver it to.
    #[n(1)]
    pub to: NodeId,
    /// The disk it is meant for; a node with another disk drops it. Absent only
    /// while the sender doesn't know the receiver's disk.
    #[n(2)]
    pub to_disk: Option<DiskIdentity>,
    /// The sender's epoch.
    #[n(3)]
    pub epoch: ClusterEpoch,
    /// The sender's term; for a pre-vote, the term it would campaign in.
    #[n(4)]
    pub term: Term,
    /// What it says.
    #[n(5)]
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Body {
    /// Asks whether a vote could be won, without disturbing anyone's term.
    #[n(0)]
    PreVoteRequest {
        /// Last entry of the asker's log.
        #[n(0)]
        last: Position,
    },
    /// Answers a pre-vote; the message's term is the one asked about when granted.
    #[n(1)]
    PreVoteReply {
        /// Whether the vote would be granted.
        #[n(0)]
        granted: bool,
    },
    /// Asks for a vote in the message's term.
    #[n(2)]
    VoteRequest {
        /// Last entry of the candidate's log.
        #[n(0)]
        last: Position,
        /// The leader itself asked the candidate to take over, so that a
        /// receiver that still hears the leader votes all the same.
        #[n(1)]
        transfer: bool,
    },
    /// Answers a vote request.
    #[n(3)]
    VoteReply {
        /// Whether the vote is given.
        #[n(0)]
        granted: bool,
    },
    /// Entries that follow `previous` in the leader's log.
    #[n(4)]
    Append {
        /// The entry right before the first one sent.
        #[n(0)]
        previous: Position,
        /// The entries.
        #[n(1)]
        entries: Vec<Entry>,
        /// The leader's commit index.
        #[n(2)]
        commit: Index,
    },
    /// The receiver's log is on disk and equal to the leader's up to `matched`.
    #[n(5)]
    AppendReply {
        /// Last equal index.
        #[n(0)]
        matched: Index,
    },
    /// The entry before those sent isn't in the receiver's log.
    #[n(6)]
    AppendReject {
        /// Index of the entry that was missing.
        #[n(0)]
        previous: Index,
        /// Where the leader should try next: the logs may be equal up to here.
        #[n(1)]
        hint: Position,
    },
    /// Says that the leader is there.
    #[n(7)]
    Heartbeat {
        /// Commit index, not above what the receiver is known to hold.
        #[n(0)]
        commit: Index,
        /// Number of the latest read that this heartbeat confirms.
        #[n(1)]
        read_round: u64,
    },
    /// Answers a heartbeat.
    #[n(8)]
    HeartbeatReply {
        /// The number from the heartbeat.
        #[n(0)]
        read_round: u64,
    },
    /// A piece of the leader's snapshot.
    #[n(9)]
    SnapshotChunk {
        /// What the snapshot covers.
        #[n(0)]
        meta: SnapshotMeta,
        /// Bytes in the whole snapshot.
        #[n(1)]
        total: u64,
        /// Where this piece starts.
        #[n(2)]
        offset: u64,
        /// The piece.
        #[cbor(n(3), with = "minicbor::bytes")]
        data: Vec<u8>,
    },
    /// How much of a snapshot has been received.
    #[n(10)]
    SnapshotReply {
        /// End of the snapshot in the log.
        #[n(0)]
        index: Index,
        /// Next byte wanted.
        #[n(1)]
        offset: u64,
    },
    /// The leader asks the receiver to campaign at once.
    #[n(11)]
    TakeOver,
    /// Asks the leader to confirm a read for the sender.
    #[n(12)]
    ReadRequest {
        /// One life of the asking replica, so that an answer to an earlier life is dropped.
        #[n(0)]
        session: u64,
        /// Chosen by the asker.
        #[n(1)]
        context: u64,
    },
    /// The read may be served once `index` is applied.
    #[n(13)]
    ReadReply {
        /// From the request.
        #[n(0)]
        session: u64,
        /// From the request.
        #[n(1)]
        context: u64,
        /// Commit index that a quorum confirmed after the request arrived.
        #[n(2)]
        index: Index,
    },
    /// A replica that is not a member asks to become a learner.
    #[n(14)]
    JoinRequest {
        /// Its zone.
        #[n(0)]
        zone: ZoneName,
    },
    /// The receiver is not in the sender's committed membership.
    #[n(15)]
    NotMember,
    /// The receiver's epoch was left behind by a recovery; its state is void.
    #[n(16)]
    Fenced,
    /// The sender is about to stop and asks the leader for a standby in its place.
    #[n(17)]
    Retire,
}

impl Body {
    /// Whether only the leader of the message's term sends this.
    pub fn is_from_leader(&self) -> bool {
        matches!(self, Body::Append { .. } | Body::Heartbeat { .. } | Body::SnapshotChunk { .. })
    }
}

impl Message {
    /// Whether every term and index in the message can be counted with.
    pub(crate) fn is_in_bounds(&self) -> bool {
        let position = |position: &Position| position.term.max(position.index);
        let highest = match &self.body {
            Body::PreVoteRequest { last } | Body::VoteRequest { last, .. } => position(last),
            Body::Append { previous, entries, .. } => {
                let entries = entries.iter().map(|entry| position(&entry.position()));
                entries.chain([position(previous)]).max().unwrap_or(0)
            }
            Body::AppendReply { matched } => *matched,
            Body::AppendReject { previous, hint } => position(hint).max(*previous),
            Body::SnapshotChunk { meta, .. } => position(&meta.position),
            _ => 0,
        };
        self.term.max(highest) <= MAX_NUMBER
    }
}
