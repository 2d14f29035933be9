//! How other tasks call the replica.

use std::sync::Arc;

use juniper_consensus::Message;
use juniper_control_state::{Answer, Command, ControlState, to_bytes};
use juniper_protocol::Refusal;
use kameo::actor::ActorRef;
use tokio::sync::oneshot;

use super::ReplicaActor;
use super::actor::{Propose, Query, Received, SnapshotFrame};
use crate::published::PushFrame;

/// Calls a replica.
#[derive(Clone)]
pub struct ReplicaHandle(pub(super) ActorRef<ReplicaActor>);

impl ReplicaHandle {
    /// Proposes a command and waits until it is committed and applied.
    ///
    /// # Errors
    /// [`Refusal::Unknown`] says that it may be committed yet; the other refusals
    /// say that it never will be.
    pub async fn propose(&self, command: &Command) -> Result<Answer, Refusal> {
        self.propose_encoded(to_bytes(command)).await
    }

    /// As [`ReplicaHandle::propose`], for a command that is encoded and checked already.
    ///
    /// # Errors
    /// As [`ReplicaHandle::propose`].
    pub async fn propose_encoded(&self, command: Vec<u8>) -> Result<Answer, Refusal> {
        let (answer, committed) = oneshot::channel();
        let sent = self.0.tell(Propose { command, answer }).await;
        sent.map_err(|_| Refusal::NotLeader { leader: None })?;
        committed.await.unwrap_or(Err(Refusal::Unknown))
    }

    /// Reads the state. With `confirm` a quorum has confirmed, after the call
    /// began, that the state is current.
    ///
    /// # Errors
    /// Fails when no quorum confirms it or the replica has ended.
    pub async fn query<R: Send + 'static>(
        &self,
        confirm: bool,
        read: impl FnOnce(&ControlState) -> R + Send + 'static,
    ) -> Result<R, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let call = Box::new(move |state: Result<&ControlState, Refusal>| {
            let _ = sender.send(state.map(read));
        });
        let sent = self.0.tell(Query { confirm, call }).await;
        sent.map_err(|_| Refusal::NoQuorum)?;
        receiver.await.unwrap_or(Err(Refusal::NoQuorum))
    }

    /// The whole tree as an encoded push; `None` if the replica has ended.
    pub async fn snapshot_frame(&self) -> Option<Arc<PushFrame>> {
        let (sender, receiver) = oneshot::channel();
        self.0.tell(SnapshotFrame(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Hands on a message from another replica; false if this one has ended.
    pub async fn receive(&self, message: Message) -> bool {
        self.0.tell(Received(message)).await.is_ok()
    }

    /// Whether the replica has not ended.
    pub fn is_alive(&self) -> bool {
        self.0.is_alive()
    }
}
