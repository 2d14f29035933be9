//! Messages of the replica actor.

use std::sync::Arc;

use juniper_consensus::{Index, Message as ConsensusMessage, ProposeError, ReadError};
use juniper_protocol::Refusal;
use juniper_storage::StorageError;
use kameo::message::{Context, Message};
use tokio::sync::oneshot;

use super::{ReplicaActor, ReplicaFailure};
use crate::published_settings::PushFrame;
use crate::replica::pending::{AnswerSender, ReadCall, refusal_without_confirmation};

/// Maximum number of uncommitted proposals, four seconds' worth at the designed claim rate. Further
/// ones are refused.
const MAX_PENDING_PROPOSALS: usize = 8_192;

/// Time after which a caller refused for overload should retry, in milliseconds.
const OVERLOADED_RETRY_MS: u64 = 200;

/// Propose an encoded command; answered once the command is applied.
pub(in crate::replica) struct Propose {
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

/// Read the state, confirmed by a quorum if `confirm` is set.
pub(in crate::replica) struct Query {
    pub confirm: bool,
    pub call: ReadCall,
}

impl Message<Query> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, message: Query, context: &mut Context<Self, ()>) {
        if !message.confirm {
            (message.call)(Ok(self.state_machine.state()));
            return;
        }
        let read = self.reads.add(message.call);
        if let Err(error) = self.replica.read(read)
            && let Some(call) = self.reads.take(read)
        {
            call(Err(match error {
                ReadError::NoLeader => refusal_without_confirmation(None),
                ReadError::Overloaded => {
                    Refusal::Overloaded { retry_after_ms: OVERLOADED_RETRY_MS }
                }
            }));
        }
        self.drive(context);
    }
}

/// Get the settings tree as an encoded push.
pub(in crate::replica) struct SnapshotFrame(pub oneshot::Sender<Arc<PushFrame>>);

impl Message<SnapshotFrame> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, message: SnapshotFrame, _context: &mut Context<Self, ()>) {
        let _ = message.0.send(self.state_machine.snapshot_frame());
    }
}

/// Advance the logical clock of the consensus protocol.
pub(in crate::replica) struct Tick;

impl Message<Tick> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self, ()>) {
        self.replica.tick();
        self.transfer_leadership_if_stalled();
        self.drive(context);
    }
}

/// Transfer leadership before this replica stops.
pub(in crate::replica) struct TransferLeadership;

impl Message<TransferLeadership> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, _message: TransferLeadership, context: &mut Context<Self, ()>) {
        self.transfer_leadership();
        self.drive(context);
    }
}

/// Have a standby replace this replica as a voter before this replica stops.
pub(in crate::replica) struct Retire;

impl Message<Retire> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, _message: Retire, context: &mut Context<Self, ()>) {
        self.replica.retire();
        self.drive(context);
    }
}

/// Consensus message from another replica.
pub(in crate::replica) struct Received(pub ConsensusMessage);

impl Message<Received> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, received: Received, context: &mut Context<Self, ()>) {
        self.replica.step(received.0);
        self.drive(context);
    }
}

/// An encoded snapshot of the state at `index` is ready.
pub(in crate::replica) struct SnapshotEncoded {
    pub index: Index,
    pub data: Vec<u8>,
}

impl Message<SnapshotEncoded> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, encoded: SnapshotEncoded, context: &mut Context<Self, ()>) {
        self.is_encoding = false;
        let SnapshotEncoded { index, data } = encoded;
        let bytes = data.len();
        match self.replica.compact(index, data) {
            Ok(()) => {
                self.state_machine.record_snapshot_size(bytes);
                log::info!("event=snapshot_taken index={index} bytes={bytes}");
            }
            // A snapshot from the leader was installed in the meantime.
            Err(error) => log::warn!("event=snapshot_skipped index={index} reason=\"{error}\""),
        }
        self.drive(context);
    }
}

/// The write with this number is synced to disk.
pub(in crate::replica) struct Persisted(pub u64);

impl Message<Persisted> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, persisted: Persisted, context: &mut Context<Self, ()>) {
        self.writing_since = None;
        self.replica.persisted(persisted.0);
        self.drive(context);
    }
}

/// The writer thread has ended.
pub(in crate::replica) struct WriterEnded;

impl Message<WriterEnded> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, _ended: WriterEnded, context: &mut Context<Self, ()>) {
        self.fail(ReplicaFailure::WriterEnded);
        context.stop();
    }
}

/// A disk write failed.
pub(in crate::replica) struct WriteFailed(pub StorageError);

impl Message<WriteFailed> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, failed: WriteFailed, context: &mut Context<Self, ()>) {
        self.fail(failed.0.into());
        context.stop();
    }
}
