//! Messages that the replica actor takes.

use std::sync::Arc;

use juniper_control_state::{Answer, Command, ControlState};
use juniper_protocol::Refusal;
use kameo::message::{Context, Message};

use super::ReplicaActor;
use crate::published::PushFrame;

/// Proposes a command and waits until it is committed and applied.
#[derive(Debug)]
pub struct Propose(pub Command);

impl Message<Propose> for ReplicaActor {
    type Reply = Result<Answer, Refusal>;

    async fn handle(
        &mut self,
        message: Propose,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let answer = self.apply(message.0);
        Ok(answer)
    }
}

/// Reads the state.
pub struct Query<F> {
    /// Whether a quorum must confirm that the state is current.
    pub confirm: bool,
    /// What to read.
    pub read: F,
}

impl<F, R> Message<Query<F>> for ReplicaActor
where
    F: FnOnce(&ControlState) -> R + Send + 'static,
    R: Send + 'static,
{
    type Reply = Result<R, Refusal>;

    async fn handle(
        &mut self,
        message: Query<F>,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok((message.read)(&self.state))
    }
}

/// Asks for the whole tree as an encoded push.
#[derive(Debug)]
pub struct SnapshotFrame;

impl Message<SnapshotFrame> for ReplicaActor {
    type Reply = Result<Arc<PushFrame>, Refusal>;

    async fn handle(
        &mut self,
        _message: SnapshotFrame,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(self.snapshot_frame())
    }
}
