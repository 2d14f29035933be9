//! The actor that drives the agreement.

use std::sync::{Arc, mpsc};

use juniper_consensus::{
    Index, Message as ConsensusMessage, ProposeError, ReadError, Ready, Replica, Status,
    StopReason, Write,
};
use juniper_protocol::Refusal;
use juniper_storage::StorageError;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::{oneshot, watch};

use super::machine::{Machine, MachineError};
use super::pending::{AnswerSender, PendingProposals, PendingReads, ReadCall, unconfirmed};
use crate::metrics::{Metrics, to_gauge};
use crate::peers::PeerLinks;
use crate::published::PushFrame;

/// Most proposals that wait for their commit at once: four seconds at the
/// claim rate designed for. More are refused with the time to come back.
const MAX_PENDING_PROPOSALS: usize = 8_192;

/// When a caller should come back that finds too much waiting, in milliseconds.
const OVERLOADED_RETRY_MS: u64 = 200;

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
        self.status.send_replace(status);
    }

    fn fail(&mut self, failure: ReplicaFailure) {
        log::error!("event=replica_failed reason=\"{failure}\"");
        if let Some(sender) = self.failure.take() {
            let _ = sender.send(failure);
        }
    }
}

/// Proposes an encoded command; the answer follows its commit.
pub(super) struct Propose {
    pub command: Vec<u8>,
    pub answer: AnswerSender,
}

impl Message<Propose> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, message: Propose, context: &mut Context<Self, ()>) {
        if self.proposals.len() >= MAX_PENDING_PROPOSALS {
            let refusal = Refusal::Overloaded { retry_after_ms: OVERLOADED_RETRY_MS };
            let _ = message.answer.send(Err(refusal));
            return;
        }
        match self.replica.propose(message.command) {
            Ok(proposal) => self.proposals.add(proposal, message.answer),
            Err(error) => {
                let _ = message.answer.send(Err(refusal_of(&error)));
            }
        }
        self.drive(context);
    }
}

fn refusal_of(error: &ProposeError) -> Refusal {
    match error {
        ProposeError::NotLeader { leader } => Refusal::NotLeader { leader: *leader },
        ProposeError::Transferring => Refusal::NoQuorum,
        ProposeError::Overloaded => Refusal::Overloaded { retry_after_ms: OVERLOADED_RETRY_MS },
        ProposeError::TooLarge { .. } => Refusal::NotAllowed,
    }
}

/// Reads the state, confirmed by a quorum if asked for.
pub(super) struct Query {
    pub confirm: bool,
    pub call: ReadCall,
}

impl Message<Query> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, message: Query, context: &mut Context<Self, ()>) {
        if !message.confirm {
            (message.call)(Ok(self.machine.state()));
            return;
        }
        let read = self.reads.add(message.call);
        if let Err(error) = self.replica.read(read)
            && let Some(call) = self.reads.take(read)
        {
            call(Err(match error {
                ReadError::NoLeader => unconfirmed(None),
                ReadError::Overloaded => {
                    Refusal::Overloaded { retry_after_ms: OVERLOADED_RETRY_MS }
                }
            }));
        }
        self.drive(context);
    }
}

/// Asks for the whole tree as an encoded push.
pub(super) struct SnapshotFrame(pub oneshot::Sender<Arc<PushFrame>>);

impl Message<SnapshotFrame> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, message: SnapshotFrame, _context: &mut Context<Self, ()>) {
        let _ = message.0.send(self.machine.snapshot_frame());
    }
}

/// A step of the clock.
pub(super) struct Tick;

impl Message<Tick> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self, ()>) {
        self.replica.tick();
        self.drive(context);
    }
}

/// A message from another replica.
pub(super) struct Received(pub ConsensusMessage);

impl Message<Received> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, received: Received, context: &mut Context<Self, ()>) {
        self.replica.step(received.0);
        self.drive(context);
    }
}

/// A snapshot of the state as of `index`.
pub(super) struct Encoded {
    index: Index,
    data: Vec<u8>,
}

impl Message<Encoded> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, encoded: Encoded, context: &mut Context<Self, ()>) {
        self.encoding = false;
        let Encoded { index, data } = encoded;
        let bytes = data.len();
        match self.replica.compact(index, data) {
            Ok(()) => {
                self.machine.snapshot_taken(bytes);
                log::info!("event=snapshot_taken index={index} bytes={bytes}");
            }
            // A leader's snapshot has come in between.
            Err(error) => log::warn!("event=snapshot_skipped index={index} reason=\"{error}\""),
        }
        self.drive(context);
    }
}

/// The write with this number is on disk and synced.
pub(super) struct Persisted(pub u64);

impl Message<Persisted> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, persisted: Persisted, context: &mut Context<Self, ()>) {
        self.replica.persisted(persisted.0);
        self.drive(context);
    }
}

/// A write failed.
pub(super) struct WriteFailed(pub StorageError);

impl Message<WriteFailed> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, failed: WriteFailed, context: &mut Context<Self, ()>) {
        self.fail(failed.0.into());
        context.stop();
    }
}
