//! Handlers of calls from other daemons.

use juniper_control_state::{Answer, Command, MAX_COMMAND_BYTES, to_bytes};
use juniper_protocol::message::LimitCharge;
use juniper_protocol::{PeerRole, Refusal, Reply, Request};

use super::session::Peer;
use super::{InternalApi, follower, quarantine};
use crate::clock::unix_seconds;
use crate::limits::MAX_CONFIRMATION_AGE;

/// Time after which a router should retry a claim refused by a full table, in milliseconds.
const CLAIMS_FULL_RETRY_MS: u64 = 5_000;

/// Handles a call and returns the reply.
pub(super) async fn answer(api: &InternalApi, peer: &Peer, request: Request) -> Reply {
    match request {
        Request::ConfirmedRevision => confirmed_revision(api).await,
        Request::InForce { revision } => {
            api.reports.record(&peer.identity, peer.address, revision);
            Reply::Done
        }
        Request::Claim { tenant, key, fingerprint, attempt } => {
            let now = unix_seconds();
            propose(api, Command::Claim { tenant, key, fingerprint, attempt, now }).await
        }
        Request::Settle { tenant, key, attempt, outcome } => {
            propose(api, Command::Settle { tenant, key, attempt, outcome }).await
        }
        Request::Members => {
            let leader = api.view.status.borrow().leader_node();
            Reply::Members { leader, members: api.reports.members() }
        }
        Request::Propose { command } if peer.identity.role == PeerRole::Control => {
            propose_forwarded(api, command).await
        }
        Request::Charge(charge) if peer.identity.role == PeerRole::Router => {
            charge_limit(api, &charge)
        }
        Request::Refund { account, units } if peer.identity.role == PeerRole::Router => {
            api.limits.refund(&account, units);
            Reply::Done
        }
        Request::Quarantine(call) if peer.identity.role == PeerRole::Router => {
            quarantine::record(api, peer, call).await
        }
        Request::Release(request) if peer.identity.role == PeerRole::Router => {
            quarantine::release(api, peer, request).await
        }
        Request::FindStreamOrigin { stream } if peer.identity.role == PeerRole::Router => {
            Reply::StreamOrigin(api.relay.find_origin(&stream))
        }
        Request::FindServedVersions { service } if peer.identity.role == PeerRole::Router => {
            Reply::ServedVersions(api.fleet_publisher.served_versions(&service))
        }
        Request::Catalog { above } => follower::catalog_reply(api, above),
        Request::Confirm => follower::confirmation_reply(api),
        Request::Follow
        | Request::FollowFleet { .. }
        | Request::RelayRouterUpdates { .. }
        | Request::Subscribe { .. }
        | Request::Charge(_)
        | Request::Refund { .. }
        | Request::Quarantine(_)
        | Request::Release(_)
        | Request::FindStreamOrigin { .. }
        | Request::FindServedVersions { .. }
        | Request::Lookup { .. }
        | Request::Share { .. }
        | Request::OpenTunnel { .. }
        | Request::Propose { .. } => Reply::Refused(Refusal::NotAllowed),
    }
}

/// Charges a request, unless this replica may be partitioned from the current owners of limits.
fn charge_limit(api: &InternalApi, charge: &LimitCharge) -> Reply {
    let confirmed_at = *api.view.confirmed_at.borrow();
    let is_owner = confirmed_at.is_some_and(|at| at.elapsed() <= MAX_CONFIRMATION_AGE);
    match is_owner {
        true => Reply::Charged(api.limits.charge(charge)),
        false => Reply::Refused(Refusal::NoQuorum),
    }
}

async fn confirmed_revision(api: &InternalApi) -> Reply {
    let read = |state: &juniper_control_state::ControlState| state.settings().revision();
    match api.replica.query(true, read).await {
        Ok(revision) => Reply::ConfirmedRevision { revision },
        Err(refusal) => Reply::Refused(refusal),
    }
}

async fn propose(api: &InternalApi, command: Command) -> Reply {
    match api.replica.propose(&command).await {
        Ok(Answer::Claim(answer)) => Reply::Claim(answer),
        Ok(Answer::ClaimsFull) => {
            Reply::Refused(Refusal::Overloaded { retry_after_ms: CLAIMS_FULL_RETRY_MS })
        }
        Ok(_) => Reply::Done,
        Err(refusal) => Reply::Refused(refusal),
    }
}

/// Proposes a command forwarded by another replica. A malformed command must not get into the log,
/// where it would stop all replicas.
async fn propose_forwarded(api: &InternalApi, command: Vec<u8>) -> Reply {
    let is_well_formed = minicbor::decode::<Command>(&command).is_ok();
    if !is_well_formed || command.len() > MAX_COMMAND_BYTES {
        return Reply::Refused(Refusal::NotAllowed);
    }
    match api.replica.propose_encoded(command).await {
        Ok(answer) => Reply::Applied { answer: to_bytes(&answer) },
        Err(refusal) => Reply::Refused(refusal),
    }
}
