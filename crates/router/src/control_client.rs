//! Client of the control replicas that follows the leader and retries failed calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniper_protocol::{CallError, Refusal, Reply, Request, Traffic};
use juniper_settings::node_file::Peer;
use juniper_types::{NodeId, Revision};
use tokio::time::Instant;

use crate::config::RouterConfig;
use crate::link::{Link, LinkTarget};
use crate::reachability::Reachability;

/// Timeout of a call to one replica, after which the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay after all replicas were tried once.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// Error of a call to the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlCallError {
    /// No replica answered within the time limit.
    #[error("no control replica answered in time: {0}")]
    Unavailable(CallError),
    /// A replica refused the call for a reason that holds for all replicas.
    #[error("refused by the control replica: {0}")]
    Refused(Refusal),
    /// The type of the reply doesn't match the call.
    #[error("unexpected reply from the control replica")]
    UnexpectedReply,
}

/// Client with a link to each control replica.
pub struct ControlClient {
    replicas: Vec<(NodeId, Link)>,
    by_node: HashMap<NodeId, usize>,
    preferred: Mutex<usize>,
}

impl ControlClient {
    /// Creates the links; each one connects at its first call.
    pub fn new(config: &RouterConfig, traffic: &Arc<Traffic>, reachability: &Reachability) -> Self {
        let own = config.identity();
        let new_link = |peer: &Peer| {
            let key = config.cluster_key.clone();
            let traffic = Arc::clone(traffic);
            let reachability = reachability.clone();
            let own = own.clone();
            let target = LinkTarget { address: peer.address, key, own, traffic, reachability };
            (peer.id, Link::spawn(target))
        };
        let replicas: Vec<_> = config.control.iter().map(new_link).collect();
        let by_node = replicas.iter().enumerate().map(|(at, (node, _))| (*node, at)).collect();
        let preferred = Mutex::new(config.node.0 as usize % replicas.len().max(1));
        ControlClient { replicas, by_node, preferred }
    }

    fn preferred(&self) -> usize {
        *self.preferred.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn prefer(&self, replica: usize) {
        *self.preferred.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = replica;
    }

    /// Calls the leader and retries until `limit` has passed. All calls of this protocol
    /// are idempotent, so retrying after a lost reply is safe.
    pub async fn call(&self, request: Request, limit: Duration) -> Result<Reply, ControlCallError> {
        let deadline = Instant::now() + limit;
        let mut last_error = CallError::Unreachable;
        let mut replica = self.preferred();
        let mut attempts = 0;
        while Instant::now() < deadline && !self.replicas.is_empty() {
            let remaining = deadline - Instant::now();
            let link = &self.replicas[replica].1;
            let answer = link.call(request.clone(), ATTEMPT_TIMEOUT.min(remaining)).await;
            attempts += 1;
            let hint = match answer {
                Ok(Reply::Refused(Refusal::NotLeader { leader })) => {
                    leader.and_then(|node| self.by_node.get(&node).copied())
                }
                Ok(Reply::Refused(Refusal::NoQuorum | Refusal::Unknown)) => None,
                Ok(Reply::Refused(refusal)) => return Err(ControlCallError::Refused(refusal)),
                Ok(reply) => {
                    self.prefer(replica);
                    return Ok(reply);
                }
                Err(error) => {
                    last_error = error;
                    None
                }
            };
            replica =
                hint.filter(|next| *next != replica).unwrap_or((replica + 1) % self.replicas.len());
            if attempts % self.replicas.len() == 0 {
                tokio::time::sleep(ROUND_PAUSE.min(remaining)).await;
            }
        }
        Err(ControlCallError::Unavailable(last_error))
    }

    /// Returns the latest revision, confirmed by a quorum during the call.
    pub async fn confirmed_revision(&self, limit: Duration) -> Result<Revision, ControlCallError> {
        match self.call(Request::ConfirmedRevision, limit).await? {
            Reply::ConfirmedRevision { revision } => Ok(revision),
            _ => Err(ControlCallError::UnexpectedReply),
        }
    }
}
