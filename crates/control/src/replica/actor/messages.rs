//! Messages that the replica actor takes.

use std::sync::Arc;

use juniper_consensus::{Index, Message as ConsensusMessage, ProposeError, ReadError};
use juniper_protocol::Refusal;
use juniper_storage::StorageError;
use kameo::message::{Context, Message};
use tokio::sync::oneshot;

use super::{ReplicaActor, ReplicaFailure};
use crate::published::PushFrame;
use crate::replica::pending::{AnswerSender, ReadCall, unconfirmed};

/// Most proposals that wait for their commit at once: four seconds at the
/// claim rate designed for. More are refused with the time to come back.
const MAX_PENDING_PROPOSALS: usize = 8_192;

/// When a caller should come back that finds too much waiting, in milliseconds.
const OVERLOADED_RETRY_MS: u64 = 200;

/// Proposes an encoded command; the answer follows its commit.
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

/// Reads the state, confirmed by a quorum if asked for.
pub(in crate::replica) struct Query {
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
pub(in crate::replica) struct SnapshotFrame(pub oneshot::Sender<Arc<PushFrame>>);

impl Message<SnapshotFrame> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, message: SnapshotFrame, _context: &mut Context<Self, ()>) {
        let _ = message.0.send(self.machine.snapshot_frame());
    }
}

/// A step of the clock.
pub(in crate::replica) struct Tick;

impl Message<Tick> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self, ()>) {
        self.replica.tick();
        self.hand_over_if_stalled();
        self.drive(context);
    }
}

/// Hand leadership over, because this replica is about to stop.
pub(in crate::replica) struct HandOver;

impl Message<HandOver> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, _message: HandOver, context: &mut Context<Self, ()>) {
        self.hand_over();
        self.drive(context);
    }
}

/// Ask for a standby in this replica's place, because it is about to stop.
pub(in crate::replica) struct Retire;

impl Message<Retire> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, _message: Retire, context: &mut Context<Self, ()>) {
        self.replica.retire();
        self.drive(context);
    }
}

/// A message from another replica.
pub(in crate::replica) struct Received(pub ConsensusMessage);

impl Message<Received> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, received: Received, context: &mut Context<Self, ()>) {
        self.replica.step(received.0);
        self.drive(context);
    }
}

/// A snapshot of the state as of `index`.
pub(in crate::replica) struct Encoded {
    pub index: Index,
    pub data: Vec<u8>,
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
pub(in crate::replica) struct Persisted(pub u64);

impl Message<Persisted> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, persisted: Persisted, context: &mut Context<Self, ()>) {
        self.writing_since = None;
        self.replica.persisted(persisted.0);
        self.drive(context);
    }
}

/// The thread that writes has ended.
pub(in crate::replica) struct WriterEnded;

impl Message<WriterEnded> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, _ended: WriterEnded, context: &mut Context<Self, ()>) {
        self.fail(ReplicaFailure::WriterGone);
        context.stop();
    }
}

/// A write failed.
pub(in crate::replica) struct WriteFailed(pub StorageError);

impl Message<WriteFailed> for ReplicaActor {
    type Reply = ();

    async fn handle(&mut self, failed: WriteFailed, context: &mut Context<Self, ()>) {
        self.fail(failed.0.into());
        context.stop();
    }
}
