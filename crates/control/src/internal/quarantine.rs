//! Handlers of quarantine calls from routers.

use juniper_control_state::{Command, QuarantinedRequest};
use juniper_protocol::message::QuarantineRequest;
use juniper_protocol::{Refusal, Reply};
use juniper_types::RequestFingerprint;

use super::InternalApi;
use super::session::Peer;
use crate::clock::unix_seconds;

/// Maximum number of servers in a call; routers list the three whose crashes were counted.
const MAX_SERVERS: usize = 16;

/// Maximum length of a server's name in a call, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Quarantines a request under which servers crashed, unless the request is quarantined already.
pub(super) async fn record(api: &InternalApi, peer: &Peer, call: QuarantineRequest) -> Reply {
    let QuarantineRequest { request, servers } = call;
    let is_bounded = servers.len() <= MAX_SERVERS
        && servers.iter().all(|server| server.as_str().len() <= MAX_NAME_BYTES);
    if !is_bounded {
        return Reply::Refused(Refusal::NotAllowed);
    }
    if api.view.fleet.borrow().quarantine().contains(&request) {
        return Reply::Done;
    }
    let names: Vec<&str> = servers.iter().map(|server| server.as_str()).collect();
    log::warn!(
        "event=quarantine_asked fingerprint={request} router={} servers={}",
        peer.identity.node,
        names.join(",")
    );
    let request = QuarantinedRequest { request, servers, since: unix_seconds() };
    write(api, &Command::Quarantine { request }).await
}

/// Releases a request from quarantine.
pub(super) async fn release(api: &InternalApi, peer: &Peer, request: RequestFingerprint) -> Reply {
    if !api.view.fleet.borrow().quarantine().contains(&request) {
        return Reply::Done;
    }
    let router = peer.identity.node;
    log::info!("event=release_asked fingerprint={request} router={router} reason=answered");
    write(api, &Command::Release { request }).await
}

async fn write(api: &InternalApi, command: &Command) -> Reply {
    match api.group.write(command).await {
        Ok(_) => Reply::Done,
        Err(refusal) => {
            log::warn!("event=quarantine_not_recorded reason=\"{refusal}\"");
            Reply::Refused(refusal)
        }
    }
}
