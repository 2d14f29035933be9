//! Answers to the calls of other daemons.

use juniper_control_state::{Answer, Command, MAX_COMMAND_BYTES, to_bytes};
use juniper_protocol::message::LimitCharge;
use juniper_protocol::{PeerRole, Refusal, Reply, Request};

use super::session::Peer;
use super::{InternalFace, follower, quarantine};
use crate::clock::unix_seconds;
use crate::limits::MAX_CONFIRMATION_AGE;

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
            let leader = face.view.status.borrow().leader_node();
            Reply::Members { leader, members: face.reports.members() }
        }
        Request::Propose { command } if peer.identity.role == PeerRole::Control => {
            forwarded(face, command).await
        }
        Request::Charge(charge) if peer.identity.role == PeerRole::Router => charged(face, &charge),
        Request::Refund { account, units } if peer.identity.role == PeerRole::Router => {
            face.limits.give_back(&account, units);
            Reply::Done
        }
        Request::Quarantine(call) if peer.identity.role == PeerRole::Router => {
            quarantine::record(face, peer, call).await
        }
        Request::Release(request) if peer.identity.role == PeerRole::Router => {
            quarantine::release(face, peer, request).await
        }
        Request::Catalog { above } => follower::catalog(face, above),
        Request::Confirm => follower::confirmed(face),
        Request::Follow
        | Request::FollowFleet { .. }
        | Request::RelayRouterUpdates { .. }
        | Request::Subscribe { .. }
        | Request::Charge(_)
        | Request::Refund { .. }
        | Request::Quarantine(_)
        | Request::Release(_)
        | Request::Lookup { .. }
        | Request::Share { .. }
        | Request::Propose { .. } => Reply::Refused(Refusal::NotAllowed),
    }
}

/// Counts a request, unless this replica may be cut off from those that own limits now.
fn charged(face: &InternalFace, charge: &LimitCharge) -> Reply {
    let confirmed_at = *face.view.confirmed_at.borrow();
    let is_owner = confirmed_at.is_some_and(|at| at.elapsed() <= MAX_CONFIRMATION_AGE);
    match is_owner {
        true => Reply::Charged(face.limits.charge(charge)),
        false => Reply::Refused(Refusal::NoQuorum),
    }
}

async fn confirmed_revision(face: &InternalFace) -> Reply {
    let read = |state: &juniper_control_state::ControlState| state.settings().revision();
    match face.replica.query(true, read).await {
        Ok(revision) => Reply::ConfirmedRevision { revision },
        Err(refusal) => Reply::Refused(refusal),
    }
}

async fn propose(face: &InternalFace, command: Command) -> Reply {
    match face.replica.propose(&command).await {
        Ok(Answer::Claim(answer)) => Reply::Claim(answer),
        Ok(Answer::ClaimsFull) => {
            Reply::Refused(Refusal::Overloaded { retry_after_ms: CLAIMS_FULL_RETRY_MS })
        }
        Ok(_) => Reply::Done,
        Err(refusal) => Reply::Refused(refusal),
    }
}

/// Proposes what another replica forwards. A command that can't be read must not
/// get into the log, where it would stop every replica.
async fn forwarded(face: &InternalFace, command: Vec<u8>) -> Reply {
    let readable = minicbor::decode::<Command>(&command).is_ok();
    if !readable || command.len() > MAX_COMMAND_BYTES {
        return Reply::Refused(Refusal::NotAllowed);
    }
    match face.replica.propose_encoded(command).await {
        Ok(answer) => Reply::Applied { answer: to_bytes(&answer) },
        Err(refusal) => Reply::Refused(refusal),
    }
}
