//! Operators' writes and reads, which any replica takes.
//!
//! A replica that doesn't lead forwards a write to the leader. What is asked
//! again here may be: a write carries its change id, so the log answers a
//! repeated one as it answered the first.

use std::sync::Arc;
use std::time::{Duration, Instant};

use juniper_control_state::{Answer, Command, ControlState, to_bytes};
use juniper_protocol::{CallError, Refusal, Reply, Request};
use juniper_types::NodeId;

use crate::peers::PeerLinks;
use crate::replica::ReplicaHandle;

/// Time within which an operator's call is answered: several elections.
const LIMIT: Duration = Duration::from_secs(6);

/// Longest wait for the leader before it is looked for again.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before another attempt.
const PAUSE: Duration = Duration::from_millis(100);

/// Calls the group of replicas through this one.
#[derive(Clone)]
pub struct Group {
    replica: ReplicaHandle,
    peers: Arc<PeerLinks>,
}

impl Group {
    /// Uses this replica and its links.
    pub fn new(replica: ReplicaHandle, peers: Arc<PeerLinks>) -> Self {
        Group { replica, peers }
    }

    /// Proposes a write of settings wherever the leader is.
    ///
    /// # Errors
    /// [`Refusal::Unknown`] if any attempt may have been recorded; otherwise
    /// nothing was.
    pub async fn write(&self, command: &Command) -> Result<Answer, Refusal> {
        let encoded = to_bytes(command);
        let deadline = Instant::now() + LIMIT;
        let mut maybe_recorded = false;
        loop {
            let refusal = match self.attempt(&encoded).await {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            maybe_recorded |= refusal == Refusal::Unknown;
            let again = is_passing(&refusal) && Instant::now() < deadline;
            if !again {
                return Err(if maybe_recorded { Refusal::Unknown } else { refusal });
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn attempt(&self, encoded: &[u8]) -> Result<Answer, Refusal> {
        match self.replica.propose_encoded(encoded.to_vec()).await {
            Err(Refusal::NotLeader { leader: Some(leader) }) => self.forward(leader, encoded).await,
            answered => answered,
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

    /// Reads the state, confirmed by a quorum unless a stale answer will do.
    ///
    /// # Errors
    /// Fails when no quorum confirms the read in time.
    pub async fn read<R: Send + 'static>(
        &self,
        stale: bool,
        read: impl Fn(&ControlState) -> R + Clone + Send + 'static,
    ) -> Result<R, Refusal> {
        let deadline = Instant::now() + LIMIT;
        loop {
            let refusal = match self.replica.query(!stale, read.clone()).await {
                Ok(value) => return Ok(value),
                Err(refusal) => refusal,
            };
            if !is_passing(&refusal) || Instant::now() >= deadline {
                return Err(refusal);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Whether asking again may help.
fn is_passing(refusal: &Refusal) -> bool {
    matches!(refusal, Refusal::NotLeader { .. } | Refusal::NoQuorum | Refusal::Unknown)
}
