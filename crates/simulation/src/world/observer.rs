//! What holds for the replicas at every moment, watched from outside.

use std::collections::BTreeMap;

use juniper_consensus::{Index, Position, ReplicaId, StopReason, Term};
use juniper_types::NodeId;

use crate::queue::Micros;

/// A breach of what the replicas promise.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClusterViolation {
    /// Two replicas led in one term.
    #[error("{first} and {second} both led in term {term}")]
    TwoLeaders {
        /// The term.
        term: Term,
        /// One.
        first: ReplicaId,
        /// The other.
        second: ReplicaId,
    },
    /// Two replicas applied different entries at one index.
    #[error("{node} applied another entry at index {index} than was applied before")]
    Fork {
        /// The replica that differs.
        node: NodeId,
        /// The index.
        index: Index,
    },
    /// A replica stopped for good.
    #[error("the replica on {node} stopped: {reason}")]
    Stopped {
        /// The machine.
        node: NodeId,
        /// Why.
        reason: StopReason,
    },
    /// A disk that only lost what was not synced reads as damaged.
    #[error("the good disk of {node} can't be opened: {cause}")]
    GoodDiskRefused {
        /// The machine.
        node: NodeId,
        /// What storage said.
        cause: String,
    },
    /// A damaged disk was opened as if nothing had happened.
    #[error("damage to synced data of {node} went unnoticed")]
    DamageUnnoticed {
        /// The machine.
        node: NodeId,
    },
    /// A message does not survive its own encoding.
    #[error("a message from {node} can't be decoded as it was encoded")]
    Codec {
        /// The sender.
        node: NodeId,
    },
    /// Applied commands or snapshots can't be read.
    #[error("the process on {node} ended: {cause}")]
    Unreadable {
        /// The machine.
        node: NodeId,
        /// What it said.
        cause: String,
    },
    /// Messages multiply.
    #[error("the run was stopped after {events} events")]
    Storm {
        /// Events handled.
        events: u64,
    },
    /// Long after the last fault, something is not finished.
    #[error("no progress {waited_seconds} s after the last fault: {what}")]
    NoProgress {
        /// How long the run waited.
        waited_seconds: Micros,
        /// What is not finished.
        what: &'static str,
    },
}

/// Watches the replicas.
#[derive(Debug, Default)]
pub struct Observer {
    leaders: BTreeMap<Term, ReplicaId>,
    applied: BTreeMap<Index, (Term, u32)>,
    violations: Vec<ClusterViolation>,
}

impl Observer {
    /// A replica says that it leads.
    pub fn leads(&mut self, term: Term, id: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.report(ClusterViolation::TwoLeaders { term, first, second: id });
        }
    }

    /// A replica has applied an entry.
    pub fn applied(&mut self, node: NodeId, position: Position, checksum: u32) {
        let Position { term, index } = position;
        let first = *self.applied.entry(index).or_insert((term, checksum));
        if first != (term, checksum) {
            self.report(ClusterViolation::Fork { node, index });
        }
    }

    /// Something is wrong.
    pub fn report(&mut self, violation: ClusterViolation) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }

    /// Everything that was wrong.
    pub fn violations(&self) -> &[ClusterViolation] {
        &self.violations
    }
}
