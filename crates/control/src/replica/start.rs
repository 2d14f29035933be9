//! Startup and planned stop of a replica.

use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use juniper_consensus::{Replica, ReplicaConfig, ReplicaId, Status};
use juniper_settings::{ControlSettings, PeerDiscovery};
use juniper_storage::{Disk, Folder};
use kameo::actor::Spawn;
use kameo::mailbox;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::actor::{ActorParts, ReplicaFailure, Retire, TransferLeadership};
use super::confirm::run_confirmations;
use super::horizon::run_horizon;
use super::state_machine::StateMachine;
use super::storage_writer::run_writer;
use super::ticker::{TICK, run_ticker};
use super::weights_log::{WeightsLog, run_weights_log};
use super::{ReplicaActor, ReplicaHandle, ReplicaView, data_folder};
use crate::error::ControlError;
use crate::metrics::Metrics;
use crate::peers::PeerLinks;

/// Maximum number of messages queued for the actor; further senders wait.
const MAILBOX_CAPACITY: usize = 1_024;

/// Timeout of one leadership transfer, about the duration of an election.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of attempts to transfer leadership.
const TRANSFER_ATTEMPTS: usize = 4;

/// Maximum number of attempts to be replaced by a standby, and the time between them.
const RETIRE_ATTEMPTS: usize = 10;
const RETIRE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Parts of the daemon that a replica uses.
pub struct ReplicaParts {
    /// Links to the other replicas.
    pub peers: Arc<PeerLinks>,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
}

/// Running replica.
pub struct RunningReplica {
    /// Handle for calls.
    pub handle: ReplicaHandle,
    /// Published state.
    pub view: ReplicaView,
    /// Receives the reason if the replica fails.
    pub failure: oneshot::Receiver<ReplicaFailure>,
    writer: JoinHandle<()>,
}

impl RunningReplica {
    /// Transfers leadership before a planned stop and waits until the next leader is known, so that
    /// writers don't have to wait for an election.
    pub async fn transfer_leadership(&mut self) {
        let mut status = self.view.status.clone();
        let own = status.borrow().id;
        let has_next = |status: &Status| status.leader.is_some_and(|leader| leader != own);
        for _ in 0..TRANSFER_ATTEMPTS {
            if !status.borrow().is_leader() || self.handle.0.tell(TransferLeadership).await.is_err()
            {
                return;
            }
            if timeout(TRANSFER_TIMEOUT, status.wait_for(has_next)).await.is_ok() {
                return;
            }
        }
        log::warn!("event=not_handed_over");
    }

    /// Has a standby, if there is one, replace this replica as a voter before a planned stop, so that
    /// the cluster can tolerate another loss immediately.
    pub async fn retire(&mut self) {
        let mut status = self.view.status.clone();
        let has_standby = status.borrow().membership.learners().next().is_some();
        for _ in 0..RETIRE_ATTEMPTS {
            if !has_standby || self.handle.0.tell(Retire).await.is_err() {
                return;
            }
            let retired = |status: &Status| !status.membership.is_voter(status.id);
            if timeout(RETIRE_RETRY_DELAY, status.wait_for(retired)).await.is_ok() {
                log::info!("event=retired");
                return;
            }
        }
    }

    /// Stops the replica and waits until its data folder is released.
    pub async fn stop(self) {
        let RunningReplica { handle, writer, .. } = self;
        handle.0.kill();
        handle.0.wait_for_shutdown().await;
        drop(handle);
        // The thread ends once the actor, and with it the sender of writes, is dropped.
        let joined = tokio::task::spawn_blocking(move || writer.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::error!("event=writer_thread_failed");
        }
    }
}

/// Opens the data folder and starts the replica. All reads and writes go through `disk`, except for
/// the formatting of a blank folder.
///
/// # Errors
/// Fails if the folder can't be opened or formatted.
pub fn start<D: Disk + Send + 'static>(
    settings: &ControlSettings,
    parts: ReplicaParts,
    disk: impl Fn(Folder) -> D,
) -> Result<RunningReplica, ControlError> {
    let (storage, restored) = data_folder::open(settings, disk)?;
    let config = replica_config(settings, storage.id());
    let replica = Replica::new(config, restored, rand::random());
    let (published, published_view) = watch::channel(Arc::default());
    let (fleet, fleet_view) = watch::channel(Arc::default());
    let (status, status_view) = watch::channel(replica.status());
    let (confirmed_at, confirmed_view) = watch::channel(None);
    let (weights_log, weights_view) = watch::channel(WeightsLog::default());
    let (writes, pending_writes) = mpsc::channel();
    let (failed, failure) = oneshot::channel();
    let actor = ReplicaActor::new(ActorParts {
        replica,
        state_machine: StateMachine::new(published, fleet, settings.tuning.snapshot_interval_bytes),
        writes,
        peers: parts.peers,
        status,
        metrics: parts.metrics,
        failure: failed,
    });
    let actor = ReplicaActor::spawn_with_mailbox(actor, mailbox::bounded(MAILBOX_CAPACITY));
    let writer_actor = actor.clone();
    let writer = std::thread::Builder::new()
        .name("storage".to_owned())
        .spawn(move || run_writer(storage, pending_writes, writer_actor))
        .map_err(ControlError::Thread)?;
    tokio::spawn(run_ticker(actor.clone()));
    let handle = ReplicaHandle(actor);
    tokio::spawn(run_confirmations(handle.clone(), confirmed_at));
    tokio::spawn(run_weights_log(fleet_view.clone(), weights_log));
    let retention = settings.limits.claim_retention_seconds;
    tokio::spawn(run_horizon(handle.clone(), status_view.clone(), retention));
    let view = ReplicaView {
        published: published_view,
        fleet: fleet_view,
        confirmed_at: confirmed_view,
        weights_log: weights_view,
        status: status_view,
    };
    Ok(RunningReplica { handle, view, failure, writer })
}

fn replica_config(settings: &ControlSettings, id: ReplicaId) -> ReplicaConfig {
    let listed = settings.peers.iter().map(|peer| peer.id).collect();
    let mut config = ReplicaConfig::new(id, settings.common.zone.clone(), listed);
    let tuning = settings.tuning;
    let tick_ms = u64::try_from(TICK.as_millis()).unwrap_or(1);
    config.target_voters = tuning.target_voters;
    config.lost_voter_ticks = tuning.lost_voter_ms / tick_ms;
    config.retained_entries = tuning.keep_entries;
    if let PeerDiscovery::Seeded { seeds, .. } = &settings.discovery {
        config.peers = seeds.clone();
        config.admits_any_node = true;
        config.spreads_zones = false;
    }
    config
}
