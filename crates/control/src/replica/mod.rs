//! Replica: consensus protocol, storage and replicated state.
//!
//! [`ReplicaActor`] drives all three and never blocks: a separate thread writes to storage
//! (`storage_writer`), each peer has its own actor, and callers wait on channels
//! ([`ReplicaHandle`]).

mod actor;
mod confirm;
mod data_folder;
mod handle;
mod horizon;
mod pending;
mod start;
mod state_machine;
mod storage_writer;
mod ticker;
mod weights_log;

use std::sync::Arc;

use juniper_clock::BootInstant;
use juniper_consensus::Status;
use juniper_control_state::FleetState;
use tokio::sync::watch;

use crate::published_settings::PublishedSettings;

pub use actor::{ReplicaActor, ReplicaFailure};
pub use data_folder::{REPLICA_FOLDER, found_cluster, replica_folder};
pub use handle::ReplicaHandle;
pub use horizon::next_horizon;
pub use start::{ReplicaParts, RunningReplica, start};
pub use state_machine::StateMachineError;
pub use weights_log::WeightsLog;

/// Published state of the replica, readable without calling it.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// Settings changes for subscribers.
    pub published: watch::Receiver<Arc<PublishedSettings>>,
    /// Replicated fleet state of generic services.
    pub fleet: watch::Receiver<Arc<FleetState>>,
    /// Time at which a quorum last confirmed that this replica was current. The clock includes system
    /// suspensions.
    pub confirmed_at: watch::Receiver<Option<BootInstant>>,
    /// Times since which this replica has known the target versions of weights.
    pub weights_log: watch::Receiver<WeightsLog>,
    /// Role, term, leader and membership.
    pub status: watch::Receiver<Status>,
}
