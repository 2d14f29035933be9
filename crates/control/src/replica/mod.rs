//! One replica: the agreement state machine, its storage and the replicated state.
//!
//! [`ReplicaActor`] owns all three and does what the agreement asks for. It
//! never waits: storage works on a thread of its own (`writer`), peers have
//! actors of their own, and callers wait on channels ([`ReplicaHandle`]).

mod actor;
mod confirm;
mod folder;
mod handle;
mod horizon;
mod machine;
mod pending;
mod start;
mod ticker;
mod writer;

use std::sync::Arc;

use juniper_clock::BootInstant;
use juniper_consensus::Status;
use juniper_control_state::FleetState;
use tokio::sync::watch;

use crate::published::Published;

pub use actor::{ReplicaActor, ReplicaFailure};
pub use folder::{REPLICA_FOLDER, found, replica_folder};
pub use handle::ReplicaHandle;
pub use horizon::next_horizon;
pub use machine::MachineError;
pub use start::{ReplicaParts, RunningReplica, start};

/// What other tasks see of the replica without asking it.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// Settings changes for subscribers.
    pub published: watch::Receiver<Arc<Published>>,
    /// What the fleet of generic services agrees on.
    pub fleet: watch::Receiver<Arc<FleetState>>,
    /// When a quorum last confirmed that this replica was current. Its age counts suspensions.
    pub confirmed_at: watch::Receiver<Option<BootInstant>>,
    /// Role, term, leader and membership.
    pub status: watch::Receiver<Status>,
}
