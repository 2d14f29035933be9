//! Starts a replica from its data folder.

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

use super::actor::{ActorParts, HandOver, ReplicaFailure, Retire};
use super::confirm::keep_confirmed;
use super::horizon::keep_horizon;
use super::machine::Machine;
use super::ticker::{TICK, keep_ticking};
use super::writer::write_for_ever;
use super::{ReplicaActor, ReplicaHandle, ReplicaView, folder};
use crate::error::ControlError;
use crate::metrics::Metrics;
use crate::peers::PeerLinks;

/// Messages that wait for the actor; senders wait beyond that.
const MAILBOX_CAPACITY: usize = 1_024;

/// Longest wait for another replica to take over before it is asked again; about
/// as long as an election would take.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(700);

/// How often another replica is asked to take over.
const HAND_OVER_ATTEMPTS: usize = 4;

/// How often, and how far apart, a standby is asked for.
const RETIRE_ATTEMPTS: usize = 10;
const RETIRE_PAUSE: Duration = Duration::from_millis(150);

/// What a replica needs of the daemon.
pub struct ReplicaParts {
    /// Links to the other replicas.
    pub peers: Arc<PeerLinks>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// A replica that works.
pub struct RunningReplica {
    /// How to call it.
    pub handle: ReplicaHandle,
    /// What it shows.
    pub view: ReplicaView,
    /// Tells when and why the replica ended by itself.
    pub failure: oneshot::Receiver<ReplicaFailure>,
    writer: JoinHandle<()>,
}

impl RunningReplica {
    /// Before a planned stop: a leader hands over and waits until it hears the next
    /// one, so that writers don't have to wait for an election.
    pub async fn hand_over(&mut self) {
        let mut status = self.view.status.clone();
        let own = status.borrow().id;
        let has_next = |status: &Status| status.leader.is_some_and(|leader| leader != own);
        for _ in 0..HAND_OVER_ATTEMPTS {
            if !status.borrow().is_leader() || self.handle.0.tell(HandOver).await.is_err() {
                return;
            }
            if timeout(HAND_OVER_TIMEOUT, status.wait_for(has_next)).await.is_ok() {
                return;
            }
        }
        log::warn!("event=not_handed_over");
    }

    /// Before a planned stop: a standby takes this replica's vote over, if there
    /// is one, so that the cluster bears the next loss at once.
    pub async fn retire(&mut self) {
        let mut status = self.view.status.clone();
        let has_standby = status.borrow().membership.learners().next().is_some();
        for _ in 0..RETIRE_ATTEMPTS {
            if !has_standby || self.handle.0.tell(Retire).await.is_err() {
                return;
            }
            let retired = |status: &Status| !status.membership.is_voter(status.id);
            if timeout(RETIRE_PAUSE, status.wait_for(retired)).await.is_ok() {
                log::info!("event=retired");
                return;
            }
        }
    }

    /// Ends the replica and waits until its data folder is free.
    pub async fn stop(self) {
        let RunningReplica { handle, writer, .. } = self;
        handle.0.kill();
        handle.0.wait_for_shutdown().await;
        drop(handle);
        // The thread ends once the actor and with it the channel is gone.
        let joined = tokio::task::spawn_blocking(move || writer.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::error!("event=writer_thread_failed");
        }
    }
}

/// Opens the data folder and starts the replica on it. All its reading and
/// writing goes through `disk`, save for the formatting of a blank folder.
///
/// # Errors
/// Fails when the folder can't be opened or formatted.
pub fn start<D: Disk + Send + 'static>(
    settings: &ControlSettings,
    parts: ReplicaParts,
    disk: impl Fn(Folder) -> D,
) -> Result<RunningReplica, ControlError> {
    let (storage, restored) = folder::open(settings, disk)?;
    let config = replica_config(settings, storage.id());
    let replica = Replica::new(config, restored, rand::random());
    let (published, published_view) = watch::channel(Arc::default());
    let (fleet, fleet_view) = watch::channel(Arc::default());
    let (status, status_view) = watch::channel(replica.status());
    let (confirmed_at, confirmed_view) = watch::channel(None);
    let (writes, pending_writes) = mpsc::channel();
    let (failed, failure) = oneshot::channel();
    let actor = ReplicaActor::new(ActorParts {
        replica,
        machine: Machine::new(published, fleet, settings.tuning.snapshot_interval_bytes),
        writes,
        peers: parts.peers,
        status,
        metrics: parts.metrics,
        failure: failed,
    });
    let actor = ReplicaActor::spawn_with_mailbox(actor, mailbox::bounded(MAILBOX_CAPACITY));
    let for_writer = actor.clone();
    let writer = std::thread::Builder::new()
        .name("storage".to_owned())
        .spawn(move || write_for_ever(storage, pending_writes, for_writer))
        .map_err(ControlError::Thread)?;
    tokio::spawn(keep_ticking(actor.clone()));
    let handle = ReplicaHandle(actor);
    tokio::spawn(keep_confirmed(handle.clone(), confirmed_at));
    let retention = settings.limits.claim_retention_seconds;
    tokio::spawn(keep_horizon(handle.clone(), status_view.clone(), retention));
    let view = ReplicaView {
        published: published_view,
        fleet: fleet_view,
        confirmed_at: confirmed_view,
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
