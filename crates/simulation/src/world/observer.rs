//! Checks of the invariants that hold for the replicas at all times.

use std::collections::BTreeMap;

use juniper_consensus::{Index, Position, ReplicaId, StopReason, Term};
use juniper_types::NodeId;

use crate::queue::Micros;

/// Violation of an invariant of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClusterViolation {
    /// Two replicas were leaders in the same term.
    #[error("{first} and {second} were both leaders in term {term}")]
    TwoLeaders {
        /// Common term.
        term: Term,
        /// First observed leader.
        first: ReplicaId,
        /// Second observed leader.
        second: ReplicaId,
    },
    /// Two replicas applied different entries at one index.
    #[error("{node} applied an entry at index {index} that differs from the one applied earlier")]
    Fork {
        /// Node of the replica that applied the later entry.
        node: NodeId,
        /// Log index.
        index: Index,
    },
    /// A replica stopped permanently.
    #[error("the replica on {node} stopped: {reason}")]
    Stopped {
        /// Node of the machine.
        node: NodeId,
        /// Reason of the stop.
        reason: StopReason,
    },
    /// Storage rejected a disk that lost only unsynced data.
    #[error("cannot open the intact disk of {node}: {cause}")]
    IntactDiskRejected {
        /// Node of the machine.
        node: NodeId,
        /// Storage error.
        cause: String,
    },
    /// Storage opened a disk with corrupted synced data.
    #[error("corruption of synced data on {node} was not detected")]
    UndetectedCorruption {
        /// Node of the machine.
        node: NodeId,
    },
    /// A message differs after encoding and decoding.
    #[error("a message from {node} differs after encoding and decoding")]
    CodecMismatch {
        /// Sender of the message.
        node: NodeId,
    },
    /// A committed command or a snapshot can't be decoded.
    #[error("the process on {node} ended: {cause}")]
    UndecodableState {
        /// Node of the machine.
        node: NodeId,
        /// Error that ended the process.
        cause: String,
    },
    /// The run exceeded its event limit, so messages are probably multiplying.
    #[error("the run exceeded the limit of {events} events")]
    EventLimitExceeded {
        /// Number of handled events.
        events: u64,
    },
    /// The run did not complete in time after the last fault.
    #[error("run not completed {waited_seconds} s after the last fault: {what}")]
    NoProgress {
        /// Waiting time in seconds.
        waited_seconds: Micros,
        /// Condition that was not reached.
        what: &'static str,
    },
}

/// Checker of cluster invariants.
#[derive(Debug, Default)]
pub struct Observer {
    leaders: BTreeMap<Term, ReplicaId>,
    applied: BTreeMap<Index, (Term, u32)>,
    violations: Vec<ClusterViolation>,
}

impl Observer {
    /// Records that a replica is the leader of a term.
    pub fn observe_leader(&mut self, term: Term, id: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.report(ClusterViolation::TwoLeaders { term, first, second: id });
        }
    }

    /// Records that a replica applied an entry.
    pub fn observe_applied(&mut self, node: NodeId, position: Position, checksum: u32) {
        let Position { term, index } = position;
        let first = *self.applied.entry(index).or_insert((term, checksum));
        if first != (term, checksum) {
            self.report(ClusterViolation::Fork { node, index });
        }
    }

    /// Adds a violation unless it is already recorded.
    pub fn report(&mut self, violation: ClusterViolation) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }

    /// Recorded violations.
    pub fn violations(&self) -> &[ClusterViolation] {
        &self.violations
    }
}
