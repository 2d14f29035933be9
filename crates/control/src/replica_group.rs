//! Writes and reads of the replicated state through any replica.
//!
//! A replica that isn't the leader forwards writes to the leader. Retries are safe: a write carries
//! a change id, so a duplicate gets the answer of the first.

use std::sync::Arc;
use std::time::{Duration, Instant};

use juniper_control_state::{Answer, Command, ControlState, to_bytes};
use juniper_protocol::{CallError, Refusal, Reply, Request};
use juniper_types::NodeId;

use crate::peers::PeerLinks;
use crate::replica::ReplicaHandle;

/// Timeout of a write or read with all its attempts; several elections long.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Timeout of one forwarded write.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Access to the group of replicas through the local one.
#[derive(Clone)]
pub struct ReplicaGroup {
    replica: ReplicaHandle,
    peers: Arc<PeerLinks>,
}

impl ReplicaGroup {
    /// Creates a group from the local replica and its links to the others.
    pub fn new(replica: ReplicaHandle, peers: Arc<PeerLinks>) -> Self {
        ReplicaGroup { replica, peers }
    }

    /// Proposes a command, on the leader if another replica leads.
    ///
    /// # Errors
    /// Returns [`Refusal::Unknown`] if any attempt may have been committed. Any other refusal means
    /// that the command had no effect.
    pub async fn write(&self, command: &Command) -> Result<Answer, Refusal> {
        let encoded = to_bytes(command);
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut maybe_committed = false;
        loop {
            let refusal = match self.attempt(&encoded).await {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            maybe_committed |= refusal == Refusal::Unknown;
            let can_retry = is_transient(&refusal) && Instant::now() < deadline;
            if !can_retry {
                return Err(if maybe_committed { Refusal::Unknown } else { refusal });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt(&self, encoded: &[u8]) -> Result<Answer, Refusal> {
        match self.replica.propose_encoded(encoded.to_vec()).await {
            Err(Refusal::NotLeader { leader: Some(leader) }) => self.forward(leader, encoded).await,
            result => result,
        }
    }

    async fn forward(&self, leader: NodeId, encoded: &[u8]) -> Result<Answer, Refusal> {
        let request = Request::Propose { command: encoded.to_vec() };
        match self.peers.call(leader, request, FORWARD_TIMEOUT).await {
            Ok(Reply::Applied { answer }) => {
                minicbor::decode(&answer).map_err(|_| Refusal::Unknown)
            }
            Ok(Reply::Refused(refusal)) => Err(refusal),
            Err(CallError::Unreachable) => Err(Refusal::NotLeader { leader: None }),
            _ => Err(Refusal::Unknown),
        }
    }

    /// Reads the state, confirmed by a quorum unless `stale` is set.
    ///
    /// # Errors
    /// Fails if no quorum confirms the read in time.
    pub async fn read<R: Send + 'static>(
        &self,
        stale: bool,
        read: impl Fn(&ControlState) -> R + Clone + Send + 'static,
    ) -> Result<R, Refusal> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        loop {
            let refusal = match self.replica.query(!stale, read.clone()).await {
                Ok(value) => return Ok(value),
                Err(refusal) => refusal,
            };
            if !is_transient(&refusal) || Instant::now() >= deadline {
                return Err(refusal);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Whether a retry may succeed.
fn is_transient(refusal: &Refusal) -> bool {
    matches!(refusal, Refusal::NotLeader { .. } | Refusal::NoQuorum | Refusal::Unknown)
}
