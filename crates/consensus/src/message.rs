//! Messages between replicas.

use juniper_types::{NodeId, ZoneName};
use minicbor::{Decode, Encode};

use crate::entry::{Entry, Index, MAX_TERM_OR_INDEX, Position, SnapshotMeta, Term};
use crate::identity::{ClusterEpoch, DiskIdentity, ReplicaId};

/// Message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Message {
    /// Sender, including the disk.
    #[n(0)]
    pub from: ReplicaId,
    /// Destination node.
    #[n(1)]
    pub to: NodeId,
    /// Destination disk. A node with another disk drops the message. Absent only
    /// if the sender doesn't know the receiver's disk.
    #[n(2)]
    pub to_disk: Option<DiskIdentity>,
    /// Epoch of the sender.
    #[n(3)]
    pub epoch: ClusterEpoch,
    /// Term of the sender; for a pre-vote request, the term of the intended election.
    #[n(4)]
    pub term: Term,
    /// Content of the message.
    #[n(5)]
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Body {
    /// Asks whether the receiver would grant a vote, without changing its term.
    #[n(0)]
    PreVoteRequest {
        /// Last entry of the sender's log.
        #[n(0)]
        last: Position,
    },
    /// Reply to a pre-vote request. If granted, the message's term is the requested one.
    #[n(1)]
    PreVoteReply {
        /// Whether the vote would be granted.
        #[n(0)]
        granted: bool,
    },
    /// Requests a vote in the message's term.
    #[n(2)]
    VoteRequest {
        /// Last entry of the candidate's log.
        #[n(0)]
        last: Position,
        /// Whether the leader requested this election, so that receivers in contact
        /// with the leader vote as well.
        #[n(1)]
        transfer: bool,
    },
    /// Reply to a vote request.
    #[n(3)]
    VoteReply {
        /// Whether the vote is granted.
        #[n(0)]
        granted: bool,
    },
    /// Entries that follow `previous` in the leader's log.
    #[n(4)]
    Append {
        /// Entry immediately before the first one sent.
        #[n(0)]
        previous: Position,
        /// Consecutive log entries.
        #[n(1)]
        entries: Vec<Entry>,
        /// Commit index of the leader.
        #[n(2)]
        commit: Index,
    },
    /// Reports that the follower's log is durable and equal to the leader's up to `matched`.
    #[n(5)]
    AppendReply {
        /// Last index up to which the logs are equal.
        #[n(0)]
        matched: Index,
    },
    /// Reports that the entry before those sent isn't in the follower's log.
    #[n(6)]
    AppendReject {
        /// Index of the missing entry.
        #[n(0)]
        previous: Index,
        /// Last position up to which the logs may be equal; the leader retries from there.
        #[n(1)]
        hint: Position,
    },
    /// Periodic contact from the leader.
    #[n(7)]
    Heartbeat {
        /// Commit index, capped at the last index that the receiver is known to have.
        #[n(0)]
        commit: Index,
        /// Number of the latest read round.
        #[n(1)]
        read_round: u64,
    },
    /// Reply to a heartbeat.
    #[n(8)]
    HeartbeatReply {
        /// Read round of the heartbeat.
        #[n(0)]
        read_round: u64,
    },
    /// Chunk of the leader's snapshot.
    #[n(9)]
    SnapshotChunk {
        /// Log position and membership covered by the snapshot.
        #[n(0)]
        meta: SnapshotMeta,
        /// Size of the complete snapshot, in bytes.
        #[n(1)]
        total: u64,
        /// Offset of the chunk in the snapshot, in bytes.
        #[n(2)]
        offset: u64,
        /// Content of the chunk.
        #[cbor(n(3), with = "minicbor::bytes")]
        data: Vec<u8>,
    },
    /// Reports how much of a snapshot the follower has received.
    #[n(10)]
    SnapshotReply {
        /// Last index covered by the snapshot.
        #[n(0)]
        index: Index,
        /// Offset of the next expected byte.
        #[n(1)]
        offset: u64,
    },
    /// Request of the leader that the receiver start an election immediately.
    #[n(11)]
    TakeOver,
    /// Requests confirmation of a read from the leader.
    #[n(12)]
    ReadRequest {
        /// Incarnation of the requesting replica; replies to an earlier one are dropped.
        #[n(0)]
        session: u64,
        /// Identifier chosen by the requesting replica.
        #[n(1)]
        context: u64,
    },
    /// Confirms a read, which may be served once `index` is applied.
    #[n(13)]
    ReadReply {
        /// Session of the request.
        #[n(0)]
        session: u64,
        /// Identifier of the request.
        #[n(1)]
        context: u64,
        /// Commit index when the request arrived, confirmed by a quorum after that.
        #[n(2)]
        index: Index,
    },
    /// Request of a replica that isn't a member to be added as a learner.
    #[n(14)]
    JoinRequest {
        /// Zone of the replica.
        #[n(0)]
        zone: ZoneName,
    },
    /// Reports that the receiver is not in the sender's committed membership.
    #[n(15)]
    NotMember,
    /// Reports that a recovery has superseded the receiver's epoch and invalidated its state.
    #[n(16)]
    Fenced,
    /// Announces that the sender is about to stop, so that the leader replaces it by a standby.
    #[n(17)]
    Retire,
}

impl Body {
    /// Whether only the leader of the message's term sends messages of this kind.
    pub fn is_from_leader(&self) -> bool {
        matches!(self, Body::Append { .. } | Body::Heartbeat { .. } | Body::SnapshotChunk { .. })
    }
}

impl Message {
    /// Whether every term and index in the message is at most [`MAX_TERM_OR_INDEX`].
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
        self.term.max(highest) <= MAX_TERM_OR_INDEX
    }
}
