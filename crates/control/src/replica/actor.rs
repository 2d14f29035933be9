//! The actor that drives the agreement.

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

use super::machine::{Machine, MachineError};
use super::pending::{PendingProposals, PendingReads};
use crate::metrics::{Metrics, to_gauge};
use crate::peers::PeerLinks;

use messages::Encoded;
pub(super) use messages::{
    HandOver, Persisted, Propose, Query, Received, Retire, SnapshotFrame, Tick, WriteFailed,
    WriterEnded,
};

/// A write that takes this long counts as stalled. Syncs take milliseconds, and a
/// hand-over that wasn't needed costs less than an election.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Why a replica ended by itself. It acknowledges nothing from then on.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaFailure {
    /// The disk failed.
    #[error("storage failed: {0}")]
    Storage(#[from] StorageError),
    /// The agreement has put the replica out of service.
    #[error("{0}; wipe its data folder to let it join anew")]
    Stopped(#[from] StopReason),
    /// The state can't be kept up.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// The replica's actor is gone; it must have panicked.
    #[error("the replica ended unexpectedly")]
    Gone,
    /// The thread that writes is gone.
    #[error("the writer thread ended")]
    WriterGone,
}

/// Owns the agreement and the replicated state.
#[derive(Actor)]
pub struct ReplicaActor {
    replica: Replica,
    machine: Machine,
    proposals: PendingProposals,
    reads: PendingReads,
    writes: mpsc::Sender<Write>,
    peers: Arc<PeerLinks>,
    status: watch::Sender<Status>,
    metrics: Arc<Metrics>,
    failure: Option<oneshot::Sender<ReplicaFailure>>,
    /// A snapshot is being encoded.
    encoding: bool,
    /// When the write that storage works on was handed over.
    writing_since: Option<Instant>,
}

/// What an actor is made of.
pub(super) struct ActorParts {
    pub replica: Replica,
    pub machine: Machine,
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
            machine: parts.machine,
            proposals: PendingProposals::default(),
            reads: PendingReads::default(),
            writes: parts.writes,
            peers: parts.peers,
            status: parts.status,
            metrics: parts.metrics,
            failure: Some(parts.failure),
            encoding: false,
            writing_since: None,
        }
    }

    /// Does everything that the agreement asks for and publishes the outcome.
    fn drive<R: kameo::reply::Reply>(&mut self, context: &mut Context<Self, R>) {
        if let Err(failure) = self.drain_ready() {
            self.fail(failure);
            context.stop();
            return;
        }
        if !self.replica.is_leader() {
            self.proposals.lose_all();
        }
        if !self.encoding {
            self.encode_if_due(context.actor_ref());
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
            self.writes.send(write).map_err(|_| ReplicaFailure::WriterGone)?;
            self.writing_since = Some(Instant::now());
        }
        for message in ready.messages {
            self.peers.send(&message);
        }
        if let Some(snapshot) = ready.installed {
            self.machine.install(&snapshot)?;
            let revision = self.machine.state().settings().revision();
            let index = snapshot.meta.position.index;
            log::info!("event=snapshot_installed index={index} revision={revision}");
        }
        for entry in ready.committed {
            let answer = self.machine.apply(&entry)?;
            let Some(answer) = answer else { continue };
            let asked = self.proposals.committed(entry.index, entry.term, answer);
            if let Some(asked) = asked {
                self.metrics.commit_seconds.observe(asked.elapsed().as_secs_f64());
            }
        }
        for read in ready.reads {
            if let Some(call) = self.reads.take(read.context) {
                call(Ok(self.machine.state()));
            }
        }
        for context in ready.dropped_reads {
            if let Some(call) = self.reads.take(context) {
                call(Err(Refusal::NoQuorum));
            }
        }
        Ok(())
    }

    /// Hands leadership over while the disk hangs: the others could go on, but a
    /// leader answers only what is on its own disk too.
    fn hand_over_if_stalled(&mut self) {
        let stalled = self.writing_since.is_some_and(|since| since.elapsed() > STALLED_AFTER);
        if stalled && self.replica.is_leader() {
            log::warn!("event=disk_stalled");
            self.hand_over();
        }
    }

    /// Asks another voter that is heard from to take over, if this replica leads.
    fn hand_over(&mut self) {
        let own = self.replica.status().id;
        let active = self.replica.active_members();
        let mut others = active.into_iter().filter(|member| member.node != own.node);
        let taken = others.find(|other| self.replica.transfer_leadership(other.node).is_ok());
        if let Some(other) = taken {
            log::info!("event=handing_over to={}", other.node);
        }
    }

    /// Encodes a snapshot beside the actor, if one is due.
    fn encode_if_due(&mut self, actor: &ActorRef<Self>) {
        let Some((index, state)) = self.machine.due_snapshot() else { return };
        self.encoding = true;
        let actor = actor.clone();
        tokio::task::spawn_blocking(move || {
            let data = state.to_snapshot();
            drop(state);
            // A replica that has ended needs no snapshot.
            let _ = actor.tell(Encoded { index, data }).blocking_send();
        });
    }

    fn publish_status(&mut self) {
        let status = self.replica.status();
        if let Some(reason) = status.stopped {
            self.fail(ReplicaFailure::Stopped(reason));
        }
        let claims = self.machine.state().claims().len();
        self.metrics.claims.set(to_gauge(claims as u64));
        self.metrics.show_status(&status);
        let known = self.status.borrow();
        let moved =
            (known.role, known.term, known.leader) != (status.role, status.term, status.leader);
        drop(known);
        if moved {
            let leader = status.leader_node().map_or(0, |node| node.0);
            log::info!(
                "event=role_changed role={:?} term={} leader={leader}",
                status.role,
                status.term
            );
        }
        self.status.send_if_modified(|known| {
            let changed = *known != status;
            *known = status;
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
