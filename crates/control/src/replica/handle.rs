//! Handle through which other tasks call the replica.

use std::sync::Arc;

use juniper_consensus::Message;
use juniper_control_state::{Answer, Command, ControlState, to_bytes};
use juniper_protocol::Refusal;
use kameo::actor::ActorRef;
use tokio::sync::oneshot;

use super::ReplicaActor;
use super::actor::{Propose, Query, Received, SnapshotFrame};
use crate::published_settings::PushFrame;

/// Handle to a replica.
#[derive(Clone)]
pub struct ReplicaHandle(pub(super) ActorRef<ReplicaActor>);

impl ReplicaHandle {
    /// Proposes a command and waits until it is committed and applied.
    ///
    /// # Errors
    /// Returns [`Refusal::Unknown`] if the command may still be committed. Any other refusal means that
    /// it never will be.
    pub async fn propose(&self, command: &Command) -> Result<Answer, Refusal> {
        self.propose_encoded(to_bytes(command)).await
    }

    /// Same as [`ReplicaHandle::propose`], for an encoded, valid command.
    ///
    /// # Errors
    /// Same as [`ReplicaHandle::propose`].
    pub async fn propose_encoded(&self, command: Vec<u8>) -> Result<Answer, Refusal> {
        let (answer, committed) = oneshot::channel();
        let sent = self.0.tell(Propose { command, answer }).await;
        sent.map_err(|_| Refusal::NotLeader { leader: None })?;
        committed.await.unwrap_or(Err(Refusal::Unknown))
    }

    /// Reads the state. With `confirm`, a quorum confirms after the start of the call that the state is
    /// current.
    ///
    /// # Errors
    /// Fails if no quorum confirms the read or the replica has ended.
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

    /// Returns the settings tree as an encoded push; `None` if the replica has ended.
    pub async fn snapshot_frame(&self) -> Option<Arc<PushFrame>> {
        let (sender, receiver) = oneshot::channel();
        self.0.tell(SnapshotFrame(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Passes on a consensus message from another replica. Returns false if this replica has ended.
    pub async fn receive(&self, message: Message) -> bool {
        self.0.tell(Received(message)).await.is_ok()
    }

    /// Whether the replica is running.
    pub fn is_alive(&self) -> bool {
        self.0.is_alive()
    }
}
