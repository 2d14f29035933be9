//! Actor that drives the consensus protocol.

mod messages;

use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use juniper_consensus::{Ready, Replica, Status, StopReason, Write};
use juniper_protocol::Refusal;
use juniper_storage::StorageError;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use tokio::sync::{oneshot, watch};

use super::pending::{PendingProposals, PendingReads};
use super::state_machine::{StateMachine, StateMachineError};
use crate::metrics::{Metrics, to_gauge};
use crate::peers::PeerLinks;

use messages::SnapshotEncoded;
pub(super) use messages::{
    Persisted, Propose, Query, Received, Retire, SnapshotFrame, Tick, TransferLeadership,
    WriteFailed, WriterEnded,
};

/// Duration of a disk write after which the disk is considered stalled. Syncs take milliseconds, and
/// an unnecessary leadership transfer costs less than an election.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a replica failed. A failed replica acknowledges nothing.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaFailure {
    /// The disk failed.
    #[error("storage failed: {0}")]
    Storage(#[from] StorageError),
    /// The consensus protocol stopped the replica.
    #[error("{0}; wipe the data folder to rejoin the cluster")]
    Stopped(#[from] StopReason),
    /// The state machine can't apply the log.
    #[error(transparent)]
    StateMachine(#[from] StateMachineError),
    /// The replica's actor ended without a reason, presumably by a panic.
    #[error("replica ended unexpectedly")]
    ActorEnded,
    /// The writer thread ended.
    #[error("writer thread ended")]
    WriterEnded,
}

/// Owner of the consensus protocol and the replicated state.
#[derive(Actor)]
pub struct ReplicaActor {
    replica: Replica,
    state_machine: StateMachine,
    proposals: PendingProposals,
    reads: PendingReads,
    writes: mpsc::Sender<Write>,
    peers: Arc<PeerLinks>,
    status: watch::Sender<Status>,
    metrics: Arc<Metrics>,
    failure: Option<oneshot::Sender<ReplicaFailure>>,
    /// Whether a snapshot is being encoded.
    is_encoding: bool,
    /// Start of the disk write in progress.
    writing_since: Option<Instant>,
}

/// Parts of a replica actor.
pub(super) struct ActorParts {
    pub replica: Replica,
    pub state_machine: StateMachine,
    pub writes: mpsc::Sender<Write>,
    pub peers: Arc<PeerLinks>,
    pub status: watch::Sender<Status>,
    pub metrics: Arc<Metrics>,
    pub failure: oneshot::Sender<ReplicaFailure>,
}

impl ReplicaActor {
    pub(super) fn new(parts: ActorParts) -> Self {
        ReplicaActor {
            replica: parts.replica,
            state_machine: parts.state_machine,
            proposals: PendingProposals::default(),
            reads: PendingReads::default(),
            writes: parts.writes,
            peers: parts.peers,
            status: parts.status,
            metrics: parts.metrics,
            failure: Some(parts.failure),
            is_encoding: false,
            writing_since: None,
        }
    }

    /// Processes all pending output of the consensus protocol and publishes the status.
    fn drive<R: kameo::reply::Reply>(&mut self, context: &mut Context<Self, R>) {
        if let Err(failure) = self.drain_ready() {
            self.fail(failure);
            context.stop();
            return;
        }
        if !self.replica.is_leader() {
            self.proposals.fail_all();
        }
        if !self.is_encoding {
            self.encode_due_snapshot(context.actor_ref());
        }
        self.publish_status();
    }

    fn drain_ready(&mut self) -> Result<(), ReplicaFailure> {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                return Ok(());
            }
            self.handle_ready(ready)?;
        }
    }

    fn handle_ready(&mut self, ready: Ready) -> Result<(), ReplicaFailure> {
        if let Some(write) = ready.write {
            self.writes.send(write).map_err(|_| ReplicaFailure::WriterEnded)?;
            self.writing_since = Some(Instant::now());
        }
        for message in ready.messages {
            self.peers.send(&message);
        }
        if let Some(snapshot) = ready.installed {
            self.state_machine.install(&snapshot)?;
            let revision = self.state_machine.state().settings().revision();
            let index = snapshot.meta.position.index;
            log::info!("event=snapshot_installed index={index} revision={revision}");
        }
        for entry in ready.committed {
            let answer = self.state_machine.apply(&entry)?;
            let Some(answer) = answer else { continue };
            let proposed_at = self.proposals.complete(entry.index, entry.term, answer);
            if let Some(proposed_at) = proposed_at {
                self.metrics.commit_seconds.observe(proposed_at.elapsed().as_secs_f64());
            }
        }
        for read in ready.reads {
            if let Some(call) = self.reads.take(read.context) {
                call(Ok(self.state_machine.state()));
            }
        }
        for context in ready.dropped_reads {
            if let Some(call) = self.reads.take(context) {
                call(Err(Refusal::NoQuorum));
            }
        }
        Ok(())
    }

    /// Transfers leadership if the disk stalls. A leader answers only writes that are on its own disk,
    /// while the other replicas could proceed.
    fn transfer_leadership_if_stalled(&mut self) {
        let stalled = self.writing_since.is_some_and(|since| since.elapsed() > STALL_TIMEOUT);
        if stalled && self.replica.is_leader() {
            log::warn!("event=disk_stalled");
            self.transfer_leadership();
        }
    }

    /// Transfers leadership to an active voter, if this replica is the leader.
    fn transfer_leadership(&mut self) {
        let own = self.replica.status().id;
        let active = self.replica.active_members();
        let mut others = active.into_iter().filter(|member| member.node != own.node);
        let target = others.find(|other| self.replica.transfer_leadership(other.node).is_ok());
        if let Some(other) = target {
            log::info!("event=handing_over to={}", other.node);
        }
    }

    /// Starts encoding a snapshot on a blocking thread, if one is due.
    fn encode_due_snapshot(&mut self, actor: &ActorRef<Self>) {
        let Some((index, state)) = self.state_machine.due_snapshot() else { return };
        self.is_encoding = true;
        let actor = actor.clone();
        tokio::task::spawn_blocking(move || {
            let data = state.to_snapshot();
            drop(state);
            // Fails if the replica has ended; the snapshot isn't needed then.
            let _ = actor.tell(SnapshotEncoded { index, data }).blocking_send();
        });
    }

    fn publish_status(&mut self) {
        let status = self.replica.status();
        if let Some(reason) = status.stopped {
            self.fail(ReplicaFailure::Stopped(reason));
        }
        let claims = self.state_machine.state().claims().len();
        self.metrics.claims.set(to_gauge(claims as u64));
        self.metrics.set_status(&status);
        let published = self.status.borrow();
        let role_changed = (published.role, published.term, published.leader)
            != (status.role, status.term, status.leader);
        drop(published);
        if role_changed {
            let leader = status.leader_node().map_or(0, |node| node.0);
            log::info!(
                "event=role_changed role={:?} term={} leader={leader}",
                status.role,
                status.term
            );
        }
        self.status.send_if_modified(|published| {
            let changed = *published != status;
            *published = status;
            changed
        });
    }

    fn fail(&mut self, failure: ReplicaFailure) {
        log::error!("event=replica_failed reason=\"{failure}\"");
        if let Some(sender) = self.failure.take() {
            let _ = sender.send(failure);
        }
    }
}
