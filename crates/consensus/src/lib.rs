//! Replicated log as a pure state machine: elections, replication, snapshots, membership.
//!
//! [`Replica`] performs no I/O, reads no clock and draws random numbers only
//! from the given seed. The driver calls [`Replica::step`] with received messages,
//! [`Replica::tick`] at a fixed interval and [`Replica::persisted`] when a write is
//! durable. After each call the driver processes the result of [`Replica::ready`].

pub mod config;
pub mod entry;
pub mod error;
pub mod identity;
mod log;
pub mod membership;
pub mod message;
mod progress;
pub mod ready;
pub mod replica;

pub use config::ReplicaConfig;
pub use entry::{
    Entry, HardState, Index, Payload, Position, RestoredState, Snapshot, SnapshotMeta, Term,
};
pub use error::{CompactError, MembershipChangeError, ProposeError, ReadError, TransferError};
pub use identity::{ClusterEpoch, DiskIdentity, ReplicaId};
pub use membership::{
    MAX_MEMBERS, Member, MemberRole, Membership, MembershipChange, MembershipError,
};
pub use message::{Body, Message};
pub use ready::{ConfirmedRead, Proposal, Ready, Role, Status, StopReason, Write};
pub use replica::Replica;
