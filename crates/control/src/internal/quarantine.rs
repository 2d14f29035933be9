//! Records which requests are sent to no server any more.

use juniper_control_state::{Command, QuarantinedRequest};
use juniper_protocol::message::QuarantineRequest;
use juniper_protocol::{Refusal, Reply};
use juniper_types::RequestFingerprint;

use super::InternalFace;
use super::session::Peer;
use crate::clock::unix_seconds;

/// Servers that a call may name; routers name the three whose ends were counted.
const MAX_SERVERS: usize = 16;

/// Longest name of a server's life in a call, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Records a request whose servers ended, unless it is recorded already.
pub(super) async fn record(face: &InternalFace, peer: &Peer, call: QuarantineRequest) -> Reply {
    let QuarantineRequest { request, servers } = call;
    let is_bounded = servers.len() <= MAX_SERVERS
        && servers.iter().all(|server| server.as_str().len() <= MAX_NAME_BYTES);
    if !is_bounded {
        return Reply::Refused(Refusal::NotAllowed);
    }
    if face.view.fleet.borrow().quarantine().contains(&request) {
        return Reply::Done;
    }
    let names: Vec<&str> = servers.iter().map(|server| server.as_str()).collect();
    log::warn!(
        "event=quarantine_asked fingerprint={request} router={} servers={}",
        peer.identity.node,
        names.join(",")
    );
    let request = QuarantinedRequest { request, servers, since: unix_seconds() };
    write(face, &Command::Quarantine { request }).await
}

/// Records that a request may be sent again.
pub(super) async fn release(
    face: &InternalFace,
    peer: &Peer,
    request: RequestFingerprint,
) -> Reply {
    if !face.view.fleet.borrow().quarantine().contains(&request) {
        return Reply::Done;
    }
    let router = peer.identity.node;
    log::info!("event=release_asked fingerprint={request} router={router} reason=answered");
    write(face, &Command::Release { request }).await
}

async fn write(face: &InternalFace, command: &Command) -> Reply {
    match face.group.write(command).await {
        Ok(_) => Reply::Done,
        Err(refusal) => {
            log::warn!("event=quarantine_not_recorded reason=\"{refusal}\"");
            Reply::Refused(refusal)
        }
    }
}
