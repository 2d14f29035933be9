//! Answers to the calls of other daemons.

use juniper_control_state::{Answer, Command};
use juniper_protocol::{Refusal, Reply, Request};
use kameo::error::SendError;

use super::InternalFace;
use super::session::Peer;
use crate::clock::unix_seconds;
use crate::replica::{Propose, Query};

/// When a router should come back that finds the claim table full, in milliseconds.
const CLAIMS_FULL_RETRY_MS: u64 = 5_000;

/// Answers one call.
pub(super) async fn answer(face: &InternalFace, peer: &Peer, request: Request) -> Reply {
    match request {
        Request::ConfirmedRevision => confirmed_revision(face).await,
        Request::InForce { revision } => {
            face.reports.report(&peer.identity, peer.address, revision);
            Reply::Done
        }
        Request::Claim { tenant, key, fingerprint, attempt } => {
            let now = unix_seconds();
            propose(face, Command::Claim { tenant, key, fingerprint, attempt, now }).await
        }
        Request::Settle { tenant, key, attempt, outcome } => {
            propose(face, Command::Settle { tenant, key, attempt, outcome }).await
        }
        Request::Members => {
            Reply::Members { leader: Some(face.own.node), members: face.reports.members() }
        }
        Request::Subscribe { .. }
        | Request::Lookup { .. }
        | Request::Share { .. }
        | Request::Propose { .. } => Reply::Refused(Refusal::NotAllowed),
    }
}

async fn confirmed_revision(face: &InternalFace) -> Reply {
    let read = |state: &juniper_control_state::ControlState| state.settings().revision();
    match face.replica.ask(Query { confirm: true, read }).await {
        Ok(revision) => Reply::ConfirmedRevision { revision },
        Err(SendError::HandlerError(refusal)) => Reply::Refused(refusal),
        Err(_) => Reply::Refused(Refusal::NoQuorum),
    }
}

async fn propose(face: &InternalFace, command: Command) -> Reply {
    match face.replica.ask(Propose(command)).await {
        Ok(Answer::Claim(answer)) => Reply::Claim(answer),
        Ok(Answer::ClaimsFull) => {
            Reply::Refused(Refusal::Overloaded { retry_after_ms: CLAIMS_FULL_RETRY_MS })
        }
        Ok(_) => Reply::Done,
        Err(SendError::HandlerError(refusal)) => Reply::Refused(refusal),
        Err(_) => Reply::Refused(Refusal::Unknown),
    }
}
